// Commands that come again after their message has ended, and deliveries that are doubted later.
#include <gtest/gtest.h>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

class RepeatedCommand : public ::testing::Test {
 protected:
  void Deliver(const std::string& id) {
    driver.Accept(id);
    const Serial serial = driver.state.last_serial;
    driver.Feed(SendRequested{serial, "s-1", seconds(1), Micros(0), true});
    driver.EndTurn();
    driver.Feed(
        CallEnded{serial, AttemptResult::kDelivered, milliseconds(1), Micros(0), {}, milliseconds(1)});
    driver.EndTurn();
    driver.effects.clear();
  }
  Answer AnswerTo(const std::string& id) {
    driver.Submit(id, ++client);
    driver.EndTurn();
    const auto replies = driver.All<Reply>();
    EXPECT_EQ(replies.size(), 1u);
    const Answer answer = replies.back().answer;
    driver.effects.clear();
    return answer;
  }

  ReducerDriver driver;
  std::uint64_t client = 100;
};

// Guards against a second effect of a message whose command comes again after its end.
TEST_F(RepeatedCommand, CommandOfADeliveredMessageIsAnsweredAndNotAcceptedAgain) {
  Deliver("a");
  EXPECT_EQ(driver.state.open(), 0u);
  EXPECT_EQ(AnswerTo("a"), Answer::kAccepted);
  EXPECT_EQ(driver.state.open(), 0u);
}

TEST_F(RepeatedCommand, DeliveredMessageIsRememberedOverARewriteAndARestart) {
  Deliver("a");
  const Serial serial = driver.state.last_serial;
  for (int life = 0; life < 2; ++life) {
    const auto records = ParseJournal(driver.journal).records;
    ReducerDriver next;
    next.Feed(Recovered{records, Micros(0)});
    next.EndTurn();
    EXPECT_EQ(next.state.open(), 0u);
    EXPECT_TRUE(next.state.pending.empty());
    EXPECT_TRUE(next.state.completed.Has("a"));
    EXPECT_EQ(next.state.last_serial, serial);
    driver.journal = next.journal;
  }
}

TEST_F(RepeatedCommand, MessageIsForgottenAtItsDeadline) {
  Deliver("a");
  driver.state.completed.Forget(seconds(19));
  EXPECT_TRUE(driver.state.completed.Has("a"));
  driver.state.completed.Forget(seconds(60));
  EXPECT_FALSE(driver.state.completed.Has("a"));
  EXPECT_EQ(driver.state.completed.bytes(), 0u);
}

// Pending messages have priority: the journal's limit holds.
TEST_F(RepeatedCommand, JournalLimitBoundsTheRememberedMessages) {
  for (int i = 0; i < 400; ++i) Deliver("m" + std::to_string(i));
  EXPECT_LE(driver.state.completed.bytes(), 10000u);
  EXPECT_TRUE(driver.state.completed.Has("m399"));
  EXPECT_LE(driver.max_journal_bytes, 100000u);
}

// Guards against a lost message that another call's response ended as delivered: a notice says that it
// failed, after a restart too.
TEST_F(RepeatedCommand, DoubtedDeliverySendsOneNotice) {
  Deliver("a");
  const Serial serial = driver.state.last_serial;
  driver.Feed(AnswersInDoubt{{serial}});
  driver.Feed(AnswersInDoubt{{serial}});
  driver.EndTurn();
  const auto posts = driver.All<PostNotices>();
  ASSERT_EQ(posts.size(), 1u);
  ASSERT_EQ(posts[0].notices.size(), 1u);
  EXPECT_EQ(posts[0].notices[0].id, "a");
  EXPECT_EQ(posts[0].notices[0].end, MessageEnd::kFailed);
  ReducerDriver next;
  next.Feed(Recovered{ParseJournal(driver.journal).records, Micros(0)});
  next.EndTurn();
  ASSERT_EQ(next.All<PostNotices>().size(), 1u);
  EXPECT_EQ(next.All<PostNotices>()[0].notices[0].id, "a");
  driver.Feed(NoticesAccepted{{serial}});
  driver.EndTurn();
  EXPECT_TRUE(driver.state.pending.empty());
  EXPECT_EQ(AnswerTo("a"), Answer::kAccepted);
}

// Guards against a client that is refused while the same command, read in the same turn, is accepted.
TEST_F(RepeatedCommand, CommandsOfOneTurnWithTheSameIdGetTheSameAnswer) {
  driver.Submit("a", 1);
  driver.Submit("a", 2);
  driver.EndTurn();
  const auto replies = driver.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kAccepted);
  EXPECT_EQ(replies[1].answer, Answer::kAccepted);
  EXPECT_EQ(driver.state.open(), 1u);
}

TEST_F(RepeatedCommand, DisconnectOfOneOfTwoClientsDoesNotWithdrawTheMessage) {
  driver.Submit("a", 1);
  driver.Submit("a", 2);
  driver.Feed(ClientGone{1});
  driver.EndTurn();
  const auto replies = driver.All<Reply>();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].client.connection, 2u);
  EXPECT_EQ(driver.state.open(), 1u);
}

// Guards against a message that both processes of a hand-over send, since its command came to both.
TEST_F(RepeatedCommand, SuccessorWithdrawsMessagesThatThePreviousProcessAccepted) {
  Deliver("over");
  driver.Accept("owed");
  ReducerDriver next;
  next.Accept("over");
  next.Accept("owed");
  next.Accept("own");
  std::vector<Record> before = ParseJournal(driver.journal).records;
  for (Record& record : before) std::visit([](auto& r) { r.serial += 1000; }, record);
  next.effects.clear();
  next.Feed(Recovered{before, Micros(0)});
  next.EndTurn();
  EXPECT_EQ(next.All<TellWithdrawn>().size(), 2u);
  EXPECT_EQ(next.state.open(), 2u);
  EXPECT_GT(next.state.by_id.at("owed"), 1000u);
  EXPECT_TRUE(next.state.completed.Has("over"));
}

}  // namespace
}  // namespace indigosaddle::state
