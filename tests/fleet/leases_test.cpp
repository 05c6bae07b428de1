// The voters and the holder of a lease, each alone.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/acceptor.h"
#include "fleet/proposer.h"

namespace indigosaddle::fleet {
namespace {

using std::chrono::seconds;

class AcceptorTest : public ::testing::Test {
 protected:
  AcceptorTest() { memory.sure = true; }
  Timing pace;
  Memory memory;
  bool remember = false;
  LeaseWord Ask(LeaseKind kind, std::uint64_t counter, const std::string& who) {
    return {kind, "x", {counter, who, 1}, 1, {}, false};
  }
};

TEST_F(AcceptorTest, IsSilentForATermAfterItsStart) {
  Acceptor voter({"b", "c"}, pace, memory, Micros(0));
  EXPECT_FALSE(voter.Answer(Ask(LeaseKind::kPrepare, 1, "b"), pace.lease - Micros(1), remember));
  EXPECT_TRUE(voter.Answer(Ask(LeaseKind::kPrepare, 1, "b"), pace.lease, remember));
  EXPECT_TRUE(remember);
}

TEST_F(AcceptorTest, TellsOfARunningLeaseAndForgetsOneThatHasRunOut) {
  Acceptor voter({"b", "c"}, pace, memory, Micros(0));
  const Micros now = seconds(20);
  EXPECT_EQ(voter.Answer(Ask(LeaseKind::kPropose, 3, "b"), now, remember)->kind, LeaseKind::kAccept);
  const auto running = voter.Answer(Ask(LeaseKind::kPrepare, 4, "c"), now + pace.lease - Micros(1), remember);
  EXPECT_EQ(running->accepted.proposer, "b");
  const auto over = voter.Answer(Ask(LeaseKind::kPrepare, 5, "c"), now + pace.lease, remember);
  EXPECT_EQ(over->accepted.counter, 0u);
  const auto old = voter.Answer(Ask(LeaseKind::kPropose, 3, "b"), now + pace.lease, remember);
  EXPECT_EQ(old->kind, LeaseKind::kReject);
  EXPECT_EQ(old->accepted.counter, 5u);
}

// Found by seed 1452 of FleetWorld.NoLeaseHasTwoHoldersUnderRandomFaults: ballots of one counter were ordered
// by name, so two holders in turn had the same epoch.
TEST_F(AcceptorTest, HeedsOnlyTheFirstBallotOfOneCounter) {
  Acceptor voter({"b", "c"}, pace, memory, Micros(0));
  EXPECT_EQ(voter.Answer(Ask(LeaseKind::kPrepare, 3, "b"), seconds(20), remember)->kind, LeaseKind::kPromise);
  EXPECT_EQ(voter.Answer(Ask(LeaseKind::kPrepare, 3, "c"), seconds(20), remember)->kind, LeaseKind::kReject);
  EXPECT_EQ(voter.Answer(Ask(LeaseKind::kPropose, 3, "b"), seconds(20), remember)->kind, LeaseKind::kAccept);
}

TEST_F(AcceptorTest, WithoutMemoryItAsksUntilNoPromiseCanBeMissing) {
  Acceptor voter({"b", "c", "d", "e"}, pace, {}, Micros(0));
  const std::vector<LeaseWord> told = {{LeaseKind::kRecollect, "", {}, 0, {}, true},
                                       {LeaseKind::kRecollect, "x", {9, "b", 1}, 0, {}, true}};
  const std::vector<LeaseWord> unsure = {{LeaseKind::kRecollect, "", {}, 0, {}, false}};
  voter.OnRecollect("b", told, remember);
  voter.OnRecollect("c", unsure, remember);
  voter.OnRecollect("stranger", told, remember);
  voter.OnRecollect("d", told, remember);
  EXPECT_TRUE(voter.Silent(seconds(100)));  // c and e may have promised more to a majority with this one
  EXPECT_FALSE(remember);
  voter.OnRecollect("e", told, remember);
  EXPECT_FALSE(voter.Silent(seconds(100)));
  EXPECT_TRUE(remember);
  EXPECT_EQ(voter.Answer(Ask(LeaseKind::kPrepare, 9, "c"), seconds(100), remember)->kind, LeaseKind::kReject);
}

TEST(ProposerTest, CountsItsLeaseFromTheQuestionAndShorterThanAnyVoter) {
  Timing pace;
  pace.drift = 0.05;
  EXPECT_LT(std::chrono::duration<double>(HolderTerm(pace.lease, pace.drift)).count() / (1 - pace.drift),
            std::chrono::duration<double>(pace.lease).count() / (1 + pace.drift) + 1e-6);
  Proposer proposer("a", 1, "x", {"a", "b", "c"}, pace, 1, 0);
  Proposer::Words words;
  proposer.Want(true, Micros(0), words);
  proposer.Tick(seconds(5), words);
  ASSERT_EQ(words.size(), 3u);
  const auto answer = [&](const std::string& who, LeaseKind kind, Micros at) {
    LeaseWord word = words.back().second;
    word.kind = kind;
    proposer.On(who, word, at, words);
  };
  answer("a", LeaseKind::kPromise, seconds(5));
  answer("a", LeaseKind::kPromise, seconds(5));  // the same once more is no second vote
  EXPECT_EQ(words.size(), 3u);
  answer("b", LeaseKind::kPromise, seconds(6));
  ASSERT_EQ(words.size(), 6u);
  answer("b", LeaseKind::kAccept, seconds(6));
  answer("c", LeaseKind::kAccept, seconds(7));
  EXPECT_TRUE(proposer.Holds(seconds(7)));
  EXPECT_EQ(proposer.until(), seconds(6) + HolderTerm(pace.lease, pace.drift));
  EXPECT_FALSE(proposer.Holds(proposer.until()));
}

}  // namespace
}  // namespace indigosaddle::fleet
