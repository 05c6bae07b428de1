// The reducer: what it tells the decision engine, answers to clients, records and starts.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

TEST(Reducer, PolicyIsToldAtOnceAndTheClientAnsweredOnlyAfterTheWrite) {
  ReducerDriver driver;
  driver.Submit("a");
  ASSERT_EQ(driver.All<TellMessage>().size(), 1u);
  const Message told = driver.All<TellMessage>()[0].message;
  EXPECT_EQ(told.message_class, 0);
  EXPECT_EQ(told.tenant, 1);
  EXPECT_EQ(told.destination, 7u);
  EXPECT_EQ(told.key, "o");
  EXPECT_TRUE(driver.All<Reply>().empty());
  driver.EndTurn();
  EXPECT_EQ(ParseJournal(driver.journal).records.size(), 1u);
  ASSERT_EQ(driver.All<Reply>().size(), 1u);
  EXPECT_EQ(driver.All<Reply>()[0].answer, Answer::kAccepted);
}

TEST(Reducer, ReturnedOrFailedInItsTurnAnswersTheClientAndWritesNothing) {
  ReducerDriver driver;
  driver.Submit("a");
  driver.Feed(ReturnRequested{driver.state.by_id.at("a"), milliseconds(700)});
  driver.Submit("b");
  driver.Feed(FailRequested{driver.state.by_id.at("b")});
  driver.EndTurn();
  const auto replies = driver.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kBusy);
  EXPECT_EQ(replies[0].retry_after, milliseconds(700));
  EXPECT_EQ(replies[1].answer, Answer::kFailed);
  EXPECT_EQ(driver.writes, 0);
  EXPECT_TRUE(driver.All<PostNotices>().empty());
  EXPECT_EQ(driver.state.reserved_bytes, 0u);
}

TEST(Reducer, ClientThatDisconnectsBeforeItsAnswerWithdrawsItsMessage) {
  ReducerDriver driver;
  driver.Submit("a", 4);
  driver.Submit("b", 5);
  driver.Feed(ClientGone{4});
  driver.EndTurn();
  ASSERT_EQ(driver.All<TellWithdrawn>().size(), 1u);
  EXPECT_FALSE(driver.state.by_id.contains("a"));
  EXPECT_TRUE(driver.state.by_id.contains("b"));
  driver.Feed(ClientGone{5});  // after its answer: has no effect
  driver.EndTurn();
  EXPECT_TRUE(driver.state.by_id.contains("b"));
  EXPECT_EQ(driver.All<TellWithdrawn>().size(), 1u);
}

TEST(Reducer, RepeatedCommandIsAnsweredAndAcceptedOnce) {
  ReducerDriver driver;
  driver.Accept("a");
  driver.effects.clear();
  driver.Submit("a", 2);
  driver.EndTurn();
  ASSERT_EQ(driver.All<Reply>().size(), 1u);
  EXPECT_EQ(driver.All<Reply>()[0].answer, Answer::kAccepted);
  EXPECT_TRUE(driver.All<TellMessage>().empty());
  EXPECT_EQ(driver.state.open(), 1u);
}

// Guards against a pending message that is submitted twice because its client was refused once intake was
// closed.
TEST(Reducer, ClosedIntakeStillAnswersRepeatedCommandsAndAcceptsNothingNew) {
  ReducerDriver driver;
  driver.Accept("a");
  driver.effects.clear();
  driver.refusal = Refusal::kStopping;
  driver.Submit("a", 2);
  driver.Submit("b", 3);
  driver.EndTurn();
  const auto replies = driver.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kAccepted);
  EXPECT_EQ(replies[1].answer, Answer::kBusy);
  EXPECT_EQ(replies[1].refusal, Refusal::kStopping);
  EXPECT_TRUE(driver.All<TellMessage>().empty());
  EXPECT_EQ(driver.state.open(), 1u);
}

TEST(Reducer, FullMessageLimitOrFullJournalAnswersBusy) {
  ReducerDriver few(100000, 2);
  few.Accept("a");
  few.Accept("b");
  few.effects.clear();
  few.Submit("c");
  EXPECT_EQ(few.TakeAll<Reply>().at(0).answer, Answer::kBusy);

  ReducerDriver small(20000);
  int accepted = 0;
  for (int i = 0; i < 50; ++i) {
    small.Submit("m" + std::to_string(i), 1, std::string(1000, 'x'));
    small.EndTurn();
    accepted += small.TakeAll<Reply>().at(0).answer == Answer::kAccepted ? 1 : 0;
  }
  EXPECT_GT(accepted, 3);
  EXPECT_LT(accepted, 10);
  // Once all of them are delivered, there is room again.
  for (const auto& [id, serial] :
       std::map<std::string, Serial>(small.state.by_id.begin(), small.state.by_id.end())) {
    small.Send(serial);
    small.End(serial, AttemptResult::kDelivered);
    small.EndTurn();
  }
  small.effects.clear();
  small.Submit("later", 1, std::string(1000, 'x'));
  small.EndTurn();
  EXPECT_EQ(small.TakeAll<Reply>().at(0).answer, Answer::kAccepted);
}

TEST(Reducer, JournalStaysUnderItsLimitWhileServing) {
  constexpr std::size_t kLimit = 12000;
  ReducerDriver driver(kLimit);
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = driver.journal.size();
    const int rewrites = driver.rewrites;
    const Serial serial = driver.Accept("m" + std::to_string(i));
    driver.Send(serial);
    driver.End(serial, i % 3 == 0 ? AttemptResult::kError : AttemptResult::kDelivered);
    if (i % 3 == 0) driver.Feed(FailRequested{serial});
    driver.EndTurn();
    if (driver.state.notices_in_flight) {
      driver.Feed(NoticesAccepted{{serial}});
      driver.EndTurn();
    }
    // During a rewrite both files exist, each in whole blocks.
    if (driver.rewrites > rewrites) {
      EXPECT_LE(before + driver.journal.size() + 1024, kLimit);
    }
    EXPECT_LE(driver.journal.size(), kLimit);
    EXPECT_EQ(driver.journal.size(), driver.state.journal_size) << i;
  }
  EXPECT_GT(driver.rewrites, 3);
  EXPECT_EQ(driver.state.reserved_bytes, 0u);
}

TEST(Reducer, FailedWriteReturnsNewMessagesAndStartsNoCall) {
  ReducerDriver driver;
  const Serial old_serial = driver.Accept("old");
  driver.effects.clear();
  driver.disk_ok = false;
  driver.Submit("new");
  const Serial new_serial = driver.state.by_id.at("new");
  driver.Feed(SendRequested{new_serial, "s-1", seconds(1), seconds(5)});
  driver.Feed(SendRequested{old_serial, "s-1", seconds(1), seconds(5)});
  driver.EndTurn();
  EXPECT_TRUE(driver.All<StartCall>().empty());
  ASSERT_EQ(driver.All<Reply>().size(), 1u);
  EXPECT_EQ(driver.All<Reply>()[0].answer, Answer::kBusy);
  ASSERT_EQ(driver.All<TellWithdrawn>().size(), 1u);
  const auto told = driver.All<TellOutcome>();
  ASSERT_EQ(told.size(), 2u);
  for (const TellOutcome& e : told) EXPECT_EQ(e.outcome.result, Result::kNotSent);
  EXPECT_TRUE(driver.state.by_id.contains("old"));
  EXPECT_FALSE(driver.state.by_id.contains("new"));

  driver.disk_ok = true;  // the journal is rewritten, since the file may be damaged
  driver.effects.clear();
  driver.Submit("later");
  driver.EndTurn();
  EXPECT_EQ(driver.rewrites, 1);
  EXPECT_EQ(driver.TakeAll<Reply>().at(0).answer, Answer::kAccepted);
  EXPECT_EQ(driver.Restart().state.by_id.size(), 2u);
}

TEST(Reducer, ListsReachThePolicyAndTheirAddressesTheCalls) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.effects.clear();
  driver.Feed(ListUpdate{{{{"s-2", 0, 0, 7, EndpointState::kReady}, "127.0.0.1:2"},
                          {{"s-1", 3, 0, 7, EndpointState::kDraining}, "127.0.0.1:1"}},
                         false});
  ASSERT_EQ(driver.All<TellList>().size(), 1u);
  EXPECT_EQ(driver.All<TellList>()[0].entries.size(), 2u);
  EXPECT_FALSE(driver.All<TellList>()[0].whole);
  driver.Feed(SendRequested{serial, "s-2", seconds(1), seconds(5)});
  driver.EndTurn();
  EXPECT_EQ(driver.All<StartCall>().at(0).address, "127.0.0.1:2");
  driver.Feed(ListWatchLost{});
  EXPECT_EQ(driver.All<TellListWatchLost>().size(), 1u);
  driver.Feed(ListValidityChanged{seconds(3)});
  EXPECT_EQ(driver.All<TellListValidity>().at(0).outdated_from, seconds(3));
  driver.Feed(CloseIdleRequested{"s-2"});
  EXPECT_EQ(driver.All<CloseIdle>().at(0).endpoint, "s-2");
  driver.effects.clear();
  driver.Feed(ListUpdate{{{{"s-2", 0, 0, 7, EndpointState::kGone}, ""}}, false});
  EXPECT_EQ(driver.All<CloseIdle>().at(0).endpoint, "s-2");
  EXPECT_EQ(driver.state.endpoints.size(), 1u);
  driver.Feed(ListUpdate{{}, true});  // endpoints that are not in it are gone
  EXPECT_TRUE(driver.state.endpoints.empty());
  EXPECT_TRUE(driver.All<TellList>().back().whole);
  driver.Feed(StopRequested{seconds(9)});
  EXPECT_EQ(driver.All<TellStop>().at(0).at, seconds(9));
}

}  // namespace
}  // namespace indigosaddle::state
