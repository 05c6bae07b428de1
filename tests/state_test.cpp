// The reducer on recorded events: what it tells the module, answers, records and starts.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "state_play.h"

namespace indigosaddle::state {
namespace {

TEST(Reducer, TellsTheModuleAndAnswersOnlyOnceTheJournalHoldsIt) {
  Play play;
  play.Take("a");
  ASSERT_EQ(play.All<TellMessage>().size(), 1u);
  const Message told = play.All<TellMessage>()[0].message;
  EXPECT_EQ(told.message_class, 0);
  EXPECT_EQ(told.tenant, 1);
  EXPECT_EQ(told.destination, 7u);
  EXPECT_EQ(told.key, "o");
  EXPECT_TRUE(play.All<Reply>().empty());
  play.Turn();
  EXPECT_EQ(ParseJournal(play.journal).records.size(), 1u);
  ASSERT_EQ(play.All<Reply>().size(), 1u);
  EXPECT_EQ(play.All<Reply>()[0].answer, Answer::kAccepted);
}

TEST(Reducer, ARefusalOrFailureInTheSameTurnAnswersTheClientAndLeavesNoTrace) {
  Play play;
  play.Take("a");
  play.Event_(ReturnRequested{play.state.by_id.at("a"), milliseconds(700)});
  play.Take("b");
  play.Event_(FailRequested{play.state.by_id.at("b")});
  play.Turn();
  const auto replies = play.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kBusy);
  EXPECT_EQ(replies[0].not_before, milliseconds(700));
  EXPECT_EQ(replies[1].answer, Answer::kFailed);
  EXPECT_EQ(play.writes, 0);
  EXPECT_TRUE(play.All<PostNotices>().empty());
  EXPECT_EQ(play.state.reserved_bytes, 0u);
}

TEST(Reducer, AClientThatLeavesBeforeItsAnswerWithdraws) {
  Play play;
  play.Take("a", 4);
  play.Take("b", 5);
  play.Event_(ClientGone{4});
  play.Turn();
  ASSERT_EQ(play.All<TellWithdrawn>().size(), 1u);
  EXPECT_FALSE(play.state.by_id.contains("a"));
  EXPECT_TRUE(play.state.by_id.contains("b"));
  play.Event_(ClientGone{5});  // after its answer: means nothing
  play.Turn();
  EXPECT_TRUE(play.state.by_id.contains("b"));
  EXPECT_EQ(play.All<TellWithdrawn>().size(), 1u);
}

TEST(Reducer, TheSameRequestOnceMoreIsAnsweredAndTakenOnce) {
  Play play;
  play.Owe("a");
  play.effects.clear();
  play.Take("a", 2);
  play.Turn();
  ASSERT_EQ(play.All<Reply>().size(), 1u);
  EXPECT_EQ(play.All<Reply>()[0].answer, Answer::kAccepted);
  EXPECT_TRUE(play.All<TellMessage>().empty());
  EXPECT_EQ(play.state.open(), 1u);
}

// Guards against a message that is pending and is handed in twice, since its client was refused once intake
// was over.
TEST(Reducer, BehindIntakeWhatIsOwedIsStillTakenAndNothingElse) {
  Play play;
  play.Owe("a");
  play.effects.clear();
  play.may_accept = false;
  play.Take("a", 2);
  play.Take("b", 3);
  play.Turn();
  const auto replies = play.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kAccepted);
  EXPECT_EQ(replies[1].answer, Answer::kBusy);
  EXPECT_EQ(replies[1].refusal, Refusal::kStopping);
  EXPECT_TRUE(play.All<TellMessage>().empty());
  EXPECT_EQ(play.state.open(), 1u);
}

TEST(Reducer, AFullHouseOrAFullJournalTurnsAway) {
  Play few(100000, 2);
  few.Owe("a");
  few.Owe("b");
  few.effects.clear();
  few.Take("c");
  EXPECT_EQ(few.Fresh<Reply>().at(0).answer, Answer::kBusy);

  Play small(20000);
  int taken = 0;
  for (int i = 0; i < 50; ++i) {
    small.Take("m" + std::to_string(i), 1, std::string(1000, 'x'));
    small.Turn();
    taken += small.Fresh<Reply>().at(0).answer == Answer::kAccepted ? 1 : 0;
  }
  EXPECT_GT(taken, 3);
  EXPECT_LT(taken, 10);
  // With all of them through, there is room again.
  for (const auto& [id, serial] :
       std::map<std::string, Serial>(small.state.by_id.begin(), small.state.by_id.end())) {
    small.Send(serial);
    small.End(serial, AttemptResult::kDelivered);
    small.Turn();
  }
  small.effects.clear();
  small.Take("later", 1, std::string(1000, 'x'));
  small.Turn();
  EXPECT_EQ(small.Fresh<Reply>().at(0).answer, Answer::kAccepted);
}

TEST(Reducer, TheFolderStaysUnderItsLimitWhileServing) {
  constexpr std::size_t kLimit = 12000;
  Play play(kLimit);
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = play.journal.size();
    const int rewrites = play.rewrites;
    const Serial serial = play.Owe("m" + std::to_string(i));
    play.Send(serial);
    play.End(serial, i % 3 == 0 ? AttemptResult::kError : AttemptResult::kDelivered);
    if (i % 3 == 0) play.Event_(FailRequested{serial});
    play.Turn();
    if (play.state.notices_in_flight) {
      play.Event_(NoticesAccepted{{serial}});
      play.Turn();
    }
    // During a rewrite both files stand there, each in whole blocks.
    if (play.rewrites > rewrites) {
      EXPECT_LE(before + play.journal.size() + 1024, kLimit);
    }
    EXPECT_LE(play.journal.size(), kLimit);
    EXPECT_EQ(play.journal.size(), play.state.journal_size) << i;
  }
  EXPECT_GT(play.rewrites, 3);
  EXPECT_EQ(play.state.reserved_bytes, 0u);
}

TEST(Reducer, AFailedWriteHandsBackAndStartsNothing) {
  Play play;
  const Serial old = play.Owe("old");
  play.effects.clear();
  play.disk_ok = false;
  play.Take("new");
  const Serial fresh = play.state.by_id.at("new");
  play.Event_(SendRequested{fresh, "s-1", seconds(1), seconds(5)});
  play.Event_(SendRequested{old, "s-1", seconds(1), seconds(5)});
  play.Turn();
  EXPECT_TRUE(play.All<StartCall>().empty());
  ASSERT_EQ(play.All<Reply>().size(), 1u);
  EXPECT_EQ(play.All<Reply>()[0].answer, Answer::kBusy);
  ASSERT_EQ(play.All<TellWithdrawn>().size(), 1u);
  const auto told = play.All<TellOutcome>();
  ASSERT_EQ(told.size(), 2u);
  for (const TellOutcome& e : told) EXPECT_EQ(e.outcome.result, Result::kNotSent);
  EXPECT_TRUE(play.state.by_id.contains("old"));
  EXPECT_FALSE(play.state.by_id.contains("new"));

  play.disk_ok = true;  // the whole is written anew, since the file may be damaged
  play.effects.clear();
  play.Take("later");
  play.Turn();
  EXPECT_EQ(play.rewrites, 1);
  EXPECT_EQ(play.Fresh<Reply>().at(0).answer, Answer::kAccepted);
  EXPECT_EQ(play.Restart().state.by_id.size(), 2u);
}

TEST(Reducer, ListsReachTheModuleAndTheirAddressesTheCalls) {
  Play play;
  const Serial serial = play.Owe("a");
  play.effects.clear();
  play.Event_(ListUpdate{{{{"s-2", 0, 0, 7, EndpointState::kReady}, "127.0.0.1:2"},
                          {{"s-1", 3, 0, 7, EndpointState::kDraining}, "127.0.0.1:1"}},
                         false});
  ASSERT_EQ(play.All<TellList>().size(), 1u);
  EXPECT_EQ(play.All<TellList>()[0].entries.size(), 2u);
  EXPECT_FALSE(play.All<TellList>()[0].whole);
  play.Event_(SendRequested{serial, "s-2", seconds(1), seconds(5)});
  play.Turn();
  EXPECT_EQ(play.All<StartCall>().at(0).dial, "127.0.0.1:2");
  play.Event_(ListWatchLost{});
  EXPECT_EQ(play.All<TellListWatchLost>().size(), 1u);
  play.Event_(CloseIdleRequested{"s-2"});
  EXPECT_EQ(play.All<CloseIdle>().at(0).endpoint, "s-2");
  play.effects.clear();
  play.Event_(ListUpdate{{{{"s-2", 0, 0, 7, EndpointState::kGone}, ""}}, false});
  EXPECT_EQ(play.All<CloseIdle>().at(0).endpoint, "s-2");
  EXPECT_EQ(play.state.endpoints.size(), 1u);
  play.Event_(ListUpdate{{}, true});  // what is not in it is gone
  EXPECT_TRUE(play.state.endpoints.empty());
  EXPECT_TRUE(play.All<TellList>().back().whole);
  play.Event_(StopRequested{seconds(9)});
  EXPECT_EQ(play.All<TellStop>().at(0).at, seconds(9));
}

}  // namespace
}  // namespace indigosaddle::state
