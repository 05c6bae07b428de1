// The reducer over calls, their ends and the notices that follow: no sockets, no disk.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "state_play.h"

namespace indigosaddle::state {
namespace {

TEST(Reducer, ACallStartsOnlyAfterItsRecord) {
  Play play;
  const Serial serial = play.Owe("a");
  play.effects.clear();
  play.Event_(SendRequested{serial, "s-1", seconds(1), seconds(5)});
  EXPECT_TRUE(play.All<StartCall>().empty());
  play.Turn();
  const auto calls = play.Fresh<StartCall>();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].dial, "127.0.0.1:1");
  EXPECT_EQ(calls[0].id, "a");
  EXPECT_EQ(calls[0].idempotency_key, "k0");
  EXPECT_EQ(calls[0].body, "b");
  ASSERT_TRUE(std::holds_alternative<AttemptConnecting>(ParseJournal(play.journal).records.back()));
  play.Event_(CallConnected{serial});  // its connection is up, and its first byte may leave
  const auto records = ParseJournal(play.journal).records;
  ASSERT_TRUE(std::holds_alternative<AttemptStarted>(records.back()));
  EXPECT_EQ(std::get<AttemptStarted>(records.back()).zone, "z-3");
  const int writes = play.writes;
  play.Event_(CallConnected{serial});  // it is on record
  EXPECT_EQ(play.writes, writes);
}

// On an idle connection a call begins in its turn: one write holds both.
TEST(Reducer, ACallOnAnIdleConnectionIsOnRecordAsBegunBeforeItStarts) {
  Play play;
  const Serial serial = play.Owe("a");
  play.effects.clear();
  const int writes = play.writes;
  play.Event_(SendRequested{serial, "s-1", seconds(1), seconds(5), true});
  play.Turn();
  ASSERT_EQ(play.All<StartCall>().size(), 1u);
  ASSERT_TRUE(std::holds_alternative<AttemptStarted>(ParseJournal(play.journal).records.back()));
  play.Event_(CallConnected{serial});
  EXPECT_EQ(play.writes, writes + 1);
}

// What can't be recorded as begun does not begin: it ends as not sent, and the journal is written anew first.
TEST(Reducer, ACallWhoseRecordFailsHasNotRun) {
  Play play;
  const Serial serial = play.Owe("a");
  play.Send(serial);
  play.disk_ok = false;
  play.Event_(CallConnected{serial});
  EXPECT_TRUE(play.state.rewrite_due);
  play.effects.clear();
  play.End(serial, AttemptResult::kNotStarted);  // as the pool says it
  ASSERT_EQ(play.All<TellOutcome>().size(), 1u);
  EXPECT_EQ(play.All<TellOutcome>()[0].outcome.result, Result::kNotSent);
  EXPECT_FALSE(play.state.pending.at(serial).past.may_have_run);
  play.disk_ok = true;
  play.Turn();
  EXPECT_EQ(play.rewrites, 1);
}

TEST(Reducer, EachEndingReachesTheModuleAsItsOutcome) {
  for (int i = 0; i <= static_cast<int>(kLastAttemptResult); ++i) {
    const auto attempt_result = static_cast<AttemptResult>(i);
    Play play;
    const Serial serial = play.Owe("a");
    play.Send(serial);
    play.effects.clear();
    play.Event_(CallEnded{serial, attempt_result, milliseconds(9), milliseconds(30), {0.5, 8}});
    play.Turn();
    const auto told = play.All<TellOutcome>();
    ASSERT_EQ(told.size(), 1u) << NameOf(attempt_result);
    EXPECT_EQ(told[0].outcome.result, MeaningOf(attempt_result).result);
    EXPECT_EQ(told[0].outcome.last, MeaningOf(attempt_result).message_done);
    EXPECT_EQ(told[0].outcome.attempt, 0);
    EXPECT_EQ(told[0].outcome.endpoint, "s-1");
    EXPECT_EQ(told[0].outcome.wait, milliseconds(30));
    EXPECT_EQ(told[0].outcome.load.limit, 8);
    EXPECT_EQ(play.state.pending.empty(), MeaningOf(attempt_result).message_done) << NameOf(attempt_result);
    EXPECT_TRUE(play.All<PostNotices>().empty());
    play.End(serial, attempt_result);  // a second end of the same call means nothing
    EXPECT_EQ(play.All<TellOutcome>().size(), 1u);
  }
}

// A client's clock runs from its own sending. A delivery in the last moment may have come too late for it,
// and with no word to the platform such a message was lost: its end is told as well. Earlier ones owe
// nothing.
TEST(Reducer, ADeliveryInTheLastMomentIsToldAsWell) {
  for (const Micros before : {Micros(milliseconds(60)), Micros(milliseconds(50)), Micros(0), -Micros(1)}) {
    Play play;
    const Serial serial = play.Owe("a");
    play.Begin(serial);
    play.effects.clear();
    const Micros at = play.state.pending.at(serial).message.give_up_at - before;
    play.Event_(CallEnded{serial, AttemptResult::kDelivered, milliseconds(9), {}, {}, at});
    play.Turn();
    const bool in_doubt = before <= milliseconds(50);
    ASSERT_EQ(play.All<TellOutcome>().size(), 1u);
    EXPECT_TRUE(play.All<TellOutcome>()[0].outcome.last);
    EXPECT_EQ(play.All<TellOutcome>()[0].outcome.untold, in_doubt);
    ASSERT_EQ(play.All<PostNotices>().size(), in_doubt ? 1u : 0u);
    if (!in_doubt) {
      EXPECT_TRUE(play.state.pending.empty());
      continue;
    }
    EXPECT_EQ(play.All<PostNotices>()[0].notices.at(0).id, "a");
    EXPECT_EQ(play.All<PostNotices>()[0].notices.at(0).end, MessageEnd::kFailed);
    EXPECT_EQ(play.Restart().All<PostNotices>().size(), 0u);  // with the first turn of the next life
    play.Event_(NoticesAccepted{{serial}});
    EXPECT_EQ(play.All<TellAnswerTold>().size(), 1u);
    EXPECT_TRUE(play.state.pending.empty());
  }
}

TEST(Reducer, AnEndAfterTheAnswerIsOneNoticeUntilItIsTaken) {
  Play play;
  const Serial returned = play.Owe("a"), failed = play.Owe("b");
  play.effects.clear();
  play.Event_(ReturnRequested{returned, milliseconds(500)});
  play.Event_(FailRequested{failed});
  play.Event_(FailRequested{failed});
  EXPECT_TRUE(play.All<PostNotices>().empty());
  play.Turn();
  auto posts = play.Fresh<PostNotices>();
  ASSERT_EQ(posts.size(), 1u);
  ASSERT_EQ(posts[0].notices.size(), 2u);
  EXPECT_EQ(posts[0].notices[0].id, "a");
  EXPECT_EQ(posts[0].notices[0].end, MessageEnd::kReturned);
  EXPECT_EQ(posts[0].notices[0].not_before, milliseconds(500));
  EXPECT_EQ(posts[0].notices[1].end, MessageEnd::kFailed);
  play.Turn();
  EXPECT_TRUE(play.All<PostNotices>().empty());  // one batch at a time
  play.Event_(NoticesAccepted{{returned, failed}});
  play.Turn();
  EXPECT_TRUE(play.state.pending.empty());
  EXPECT_EQ(play.state.reserved_bytes, 0u);
  Play next = play.Restart();
  next.Turn();
  EXPECT_TRUE(next.All<PostNotices>().empty());
}

TEST(Reducer, NothingIsSentForAMessageThatIsOver) {
  Play play;
  const Serial serial = play.Owe("a");
  play.Event_(FailRequested{serial});
  play.effects.clear();
  play.Send(serial);
  EXPECT_TRUE(play.All<StartCall>().empty());
}

TEST(Reducer, AMessageThatEndedWithItsCallOutStillTellsThatCallsOutcome) {
  Play play;
  const Serial serial = play.Owe("a");
  play.Send(serial);
  play.Event_(FailRequested{serial});
  play.Turn();
  play.Event_(NoticesAccepted{{serial}});
  play.effects.clear();
  play.End(serial, AttemptResult::kTimedOut);
  ASSERT_EQ(play.All<TellOutcome>().size(), 1u);
  EXPECT_TRUE(play.All<TellOutcome>()[0].outcome.last);
  EXPECT_TRUE(play.state.pending.empty());
}

}  // namespace
}  // namespace indigosaddle::state
