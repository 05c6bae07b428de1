// Commands that come again once their message is over, and messages whose end is doubted.
#include <gtest/gtest.h>

#include "state_play.h"

namespace indigosaddle::state {
namespace {

class Recent : public ::testing::Test {
 protected:
  void Deliver(const std::string& id) {
    play.Owe(id);
    const Serial serial = play.state.last_serial;
    play.Event_(SendRequested{serial, "s-1", seconds(1), Micros(0), true});
    play.Turn();
    play.Event_(
        CallEnded{serial, AttemptResult::kDelivered, milliseconds(1), Micros(0), {}, milliseconds(1)});
    play.Turn();
    play.effects.clear();
  }
  Answer AnswerTo(const std::string& id) {
    play.Take(id, ++client);
    play.Turn();
    const auto replies = play.All<Reply>();
    EXPECT_EQ(replies.size(), 1u);
    const Answer answer = replies.back().answer;
    play.effects.clear();
    return answer;
  }

  Play play;
  std::uint64_t client = 100;
};

// Guards against a second run of a message whose command comes again behind its end.
TEST_F(Recent, ACommandOfADeliveredMessageIsAnsweredAndNotTaken) {
  Deliver("a");
  EXPECT_EQ(play.state.open(), 0u);
  EXPECT_EQ(AnswerTo("a"), Answer::kAccepted);
  EXPECT_EQ(play.state.open(), 0u);
}

TEST_F(Recent, TheSameOverARewriteAndARestart) {
  Deliver("a");
  const Serial serial = play.state.last_serial;
  for (int life = 0; life < 2; ++life) {
    const auto records = ParseJournal(play.journal).records;
    Play next;
    next.Event_(Recovered{records, Micros(0)});
    next.Turn();
    EXPECT_EQ(next.state.open(), 0u);
    EXPECT_TRUE(next.state.pending.empty());
    EXPECT_TRUE(next.state.completed.Has("a"));
    EXPECT_EQ(next.state.last_serial, serial);
    play.journal = next.journal;
  }
}

TEST_F(Recent, ItsTimeBoundsIt) {
  Deliver("a");
  play.state.completed.Forget(seconds(19));
  EXPECT_TRUE(play.state.completed.Has("a"));
  play.state.completed.Forget(seconds(60));
  EXPECT_FALSE(play.state.completed.Has("a"));
  EXPECT_EQ(play.state.completed.bytes(), 0u);
}

// What is pending goes first: the folder's limit holds.
TEST_F(Recent, TheJournalBoundsIt) {
  for (int i = 0; i < 400; ++i) Deliver("m" + std::to_string(i));
  EXPECT_LE(play.state.completed.bytes(), 10000u);
  EXPECT_TRUE(play.state.completed.Has("m399"));
  EXPECT_LE(play.most, 100000u);
}

// Guards against a message that a copied answer ended: its end is told after all, over a restart too.
TEST_F(Recent, ADoubtedDeliveryIsToldAsFailedOnce) {
  Deliver("a");
  const Serial serial = play.state.last_serial;
  play.Event_(AnswersDoubted{{serial}});
  play.Event_(AnswersDoubted{{serial}});
  play.Turn();
  const auto posts = play.All<PostNotices>();
  ASSERT_EQ(posts.size(), 1u);
  ASSERT_EQ(posts[0].notices.size(), 1u);
  EXPECT_EQ(posts[0].notices[0].id, "a");
  EXPECT_EQ(posts[0].notices[0].end, MessageEnd::kFailed);
  Play next;
  next.Event_(Recovered{ParseJournal(play.journal).records, Micros(0)});
  next.Turn();
  ASSERT_EQ(next.All<PostNotices>().size(), 1u);
  EXPECT_EQ(next.All<PostNotices>()[0].notices[0].id, "a");
  play.Event_(NoticesAccepted{{serial}});
  play.Turn();
  EXPECT_TRUE(play.state.pending.empty());
  EXPECT_EQ(AnswerTo("a"), Answer::kAccepted);
}

// Guards against a client that is refused while the same command, read beside it, is taken on.
TEST_F(Recent, CommandsOfOneTurnWithOneIdHaveOneAnswer) {
  play.Take("a", 1);
  play.Take("a", 2);
  play.Turn();
  const auto replies = play.All<Reply>();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].answer, Answer::kAccepted);
  EXPECT_EQ(replies[1].answer, Answer::kAccepted);
  EXPECT_EQ(play.state.open(), 1u);
}

TEST_F(Recent, OneOfThemThatLeavesTakesNothingBack) {
  play.Take("a", 1);
  play.Take("a", 2);
  play.Event_(ClientGone{1});
  play.Turn();
  const auto replies = play.All<Reply>();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].client.connection, 2u);
  EXPECT_EQ(play.state.open(), 1u);
}

// Guards against a message that runs at both processes of a hand-over, since its command came to both.
TEST_F(Recent, ASuccessorWithdrawsWhatTheProcessBeforeItKnows) {
  Deliver("over");
  play.Owe("owed");
  Play next;
  next.Owe("over");
  next.Owe("owed");
  next.Owe("own");
  std::vector<Record> before = ParseJournal(play.journal).records;
  for (Record& record : before) std::visit([](auto& r) { r.serial += 1000; }, record);
  next.effects.clear();
  next.Event_(Recovered{before, Micros(0)});
  next.Turn();
  EXPECT_EQ(next.All<TellWithdrawn>().size(), 2u);
  EXPECT_EQ(next.state.open(), 2u);
  EXPECT_GT(next.state.by_id.at("owed"), 1000u);
  EXPECT_TRUE(next.state.completed.Has("over"));
}

}  // namespace
}  // namespace indigosaddle::state
