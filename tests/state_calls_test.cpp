// The reducer on calls, their results and the notices that follow. No sockets, no disk.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

TEST(Reducer, CallStartsOnlyAfterItsRecordIsWritten) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.effects.clear();
  driver.Feed(SendRequested{serial, "s-1", seconds(1), seconds(5)});
  EXPECT_TRUE(driver.All<StartCall>().empty());
  driver.EndTurn();
  const auto calls = driver.TakeAll<StartCall>();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].address, "127.0.0.1:1");
  EXPECT_EQ(calls[0].id, "a");
  EXPECT_EQ(calls[0].idempotency_key, "k0");
  EXPECT_EQ(calls[0].body, "b");
  ASSERT_TRUE(std::holds_alternative<AttemptConnecting>(ParseJournal(driver.journal).records.back()));
  driver.Feed(CallConnected{serial});  // its connection is up, and its first byte may leave
  const auto records = ParseJournal(driver.journal).records;
  ASSERT_TRUE(std::holds_alternative<AttemptStarted>(records.back()));
  EXPECT_EQ(std::get<AttemptStarted>(records.back()).zone, "z-3");
  const int writes = driver.writes;
  driver.Feed(CallConnected{serial});  // already recorded
  EXPECT_EQ(driver.writes, writes);
}

// On an idle connection a call starts in the turn that decided it: one write holds all of its records.
TEST(Reducer, CallOnAnIdleConnectionIsRecordedAsStartedBeforeItStarts) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.effects.clear();
  const int writes = driver.writes;
  driver.Feed(SendRequested{serial, "s-1", seconds(1), seconds(5), true});
  driver.EndTurn();
  ASSERT_EQ(driver.All<StartCall>().size(), 1u);
  ASSERT_TRUE(std::holds_alternative<AttemptStarted>(ParseJournal(driver.journal).records.back()));
  driver.Feed(CallConnected{serial});
  EXPECT_EQ(driver.writes, writes + 1);
}

// A call whose AttemptStarted can't be written does not start: it ends as not sent, and the journal is
// rewritten first.
TEST(Reducer, CallWhoseRecordCouldNotBeWrittenHasNotRun) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.Send(serial);
  driver.disk_ok = false;
  driver.Feed(CallConnected{serial});
  EXPECT_TRUE(driver.state.rewrite_due);
  driver.effects.clear();
  driver.End(serial, AttemptResult::kNotStarted);  // as the call pool reports it
  ASSERT_EQ(driver.All<TellOutcome>().size(), 1u);
  EXPECT_EQ(driver.All<TellOutcome>()[0].outcome.result, Result::kNotSent);
  EXPECT_FALSE(driver.state.pending.at(serial).past.may_have_run);
  driver.disk_ok = true;
  driver.EndTurn();
  EXPECT_EQ(driver.rewrites, 1);
}

TEST(Reducer, EachAttemptResultReachesThePolicyAsItsOutcome) {
  for (int i = 0; i <= static_cast<int>(kLastAttemptResult); ++i) {
    const auto attempt_result = static_cast<AttemptResult>(i);
    ReducerDriver driver;
    const Serial serial = driver.Accept("a");
    driver.Send(serial);
    driver.effects.clear();
    driver.Feed(CallEnded{serial, attempt_result, milliseconds(9), milliseconds(30), {0.5, 8}});
    driver.EndTurn();
    const auto told = driver.All<TellOutcome>();
    ASSERT_EQ(told.size(), 1u) << NameOf(attempt_result);
    EXPECT_EQ(told[0].outcome.result, MeaningOf(attempt_result).result);
    EXPECT_EQ(told[0].outcome.last, MeaningOf(attempt_result).message_done);
    EXPECT_EQ(told[0].outcome.attempt, 0);
    EXPECT_EQ(told[0].outcome.endpoint, "s-1");
    EXPECT_EQ(told[0].outcome.wait, milliseconds(30));
    EXPECT_EQ(told[0].outcome.load.limit, 8);
    EXPECT_EQ(driver.state.pending.empty(), MeaningOf(attempt_result).message_done) << NameOf(attempt_result);
    EXPECT_TRUE(driver.All<PostNotices>().empty());
    driver.End(serial, attempt_result);  // a second end of the same call has no effect
    EXPECT_EQ(driver.All<TellOutcome>().size(), 1u);
  }
}

// Guards against a message that is lost: its client counts the deadline from its own sending, so a delivery
// within 50 ms of the deadline may be too late for it, and without a notice nobody learned of that. Earlier
// deliveries send no notice.
TEST(Reducer, DeliveryJustBeforeTheDeadlineSendsANoticeToo) {
  for (const Micros before : {Micros(milliseconds(60)), Micros(milliseconds(50)), Micros(0), -Micros(1)}) {
    ReducerDriver driver;
    const Serial serial = driver.Accept("a");
    driver.SendAndConnect(serial);
    driver.effects.clear();
    const Micros at = driver.state.pending.at(serial).message.deadline - before;
    driver.Feed(CallEnded{serial, AttemptResult::kDelivered, milliseconds(9), {}, {}, at});
    driver.EndTurn();
    const bool in_doubt = before <= milliseconds(50);
    ASSERT_EQ(driver.All<TellOutcome>().size(), 1u);
    EXPECT_TRUE(driver.All<TellOutcome>()[0].outcome.last);
    EXPECT_EQ(driver.All<TellOutcome>()[0].outcome.answer_pending, in_doubt);
    ASSERT_EQ(driver.All<PostNotices>().size(), in_doubt ? 1u : 0u);
    if (!in_doubt) {
      EXPECT_TRUE(driver.state.pending.empty());
      continue;
    }
    EXPECT_EQ(driver.All<PostNotices>()[0].notices.at(0).id, "a");
    EXPECT_EQ(driver.All<PostNotices>()[0].notices.at(0).end, MessageEnd::kFailed);
    EXPECT_EQ(driver.Restart().All<PostNotices>().size(), 0u);  // sent in the first turn of the next process
    driver.Feed(NoticesAccepted{{serial}});
    EXPECT_EQ(driver.All<TellAnswerDelivered>().size(), 1u);
    EXPECT_TRUE(driver.state.pending.empty());
  }
}

TEST(Reducer, EndAfterTheAnswerSendsOneNoticeUntilItIsAccepted) {
  ReducerDriver driver;
  const Serial returned = driver.Accept("a"), failed = driver.Accept("b");
  driver.effects.clear();
  driver.Feed(ReturnRequested{returned, milliseconds(500)});
  driver.Feed(FailRequested{failed});
  driver.Feed(FailRequested{failed});
  EXPECT_TRUE(driver.All<PostNotices>().empty());
  driver.EndTurn();
  auto posts = driver.TakeAll<PostNotices>();
  ASSERT_EQ(posts.size(), 1u);
  ASSERT_EQ(posts[0].notices.size(), 2u);
  EXPECT_EQ(posts[0].notices[0].id, "a");
  EXPECT_EQ(posts[0].notices[0].end, MessageEnd::kReturned);
  EXPECT_EQ(posts[0].notices[0].retry_after, milliseconds(500));
  EXPECT_EQ(posts[0].notices[1].end, MessageEnd::kFailed);
  driver.EndTurn();
  EXPECT_TRUE(driver.All<PostNotices>().empty());  // one batch at a time
  driver.Feed(NoticesAccepted{{returned, failed}});
  driver.EndTurn();
  EXPECT_TRUE(driver.state.pending.empty());
  EXPECT_EQ(driver.state.reserved_bytes, 0u);
  ReducerDriver next = driver.Restart();
  next.EndTurn();
  EXPECT_TRUE(next.All<PostNotices>().empty());
}

TEST(Reducer, NoCallStartsForAMessageThatHasEnded) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.Feed(FailRequested{serial});
  driver.effects.clear();
  driver.Send(serial);
  EXPECT_TRUE(driver.All<StartCall>().empty());
}

TEST(Reducer, MessageThatEndedWithACallInFlightStillReportsItsOutcome) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.Send(serial);
  driver.Feed(FailRequested{serial});
  driver.EndTurn();
  driver.Feed(NoticesAccepted{{serial}});
  driver.effects.clear();
  driver.End(serial, AttemptResult::kTimedOut);
  ASSERT_EQ(driver.All<TellOutcome>().size(), 1u);
  EXPECT_TRUE(driver.All<TellOutcome>()[0].outcome.last);
  EXPECT_TRUE(driver.state.pending.empty());
}

}  // namespace
}  // namespace indigosaddle::state
