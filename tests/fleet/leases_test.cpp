// Acceptor and Proposer, each on its own.
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
  AcceptorTest() { memory.complete = true; }
  Timing timing;
  VoterMemory memory;
  bool persist = false;
  LeaseMessage Request(LeaseKind kind, std::uint64_t counter, const std::string& who) {
    return {kind, "x", {counter, who, 1}, 1, {}, false};
  }
};

TEST_F(AcceptorTest, IsSilentForATermAfterItsStart) {
  Acceptor voter({"b", "c"}, timing, memory, Micros(0));
  EXPECT_FALSE(voter.Answer(Request(LeaseKind::kPrepare, 1, "b"), timing.lease - Micros(1), persist));
  EXPECT_TRUE(voter.Answer(Request(LeaseKind::kPrepare, 1, "b"), timing.lease, persist));
  EXPECT_TRUE(persist);
}

TEST_F(AcceptorTest, ReportsARunningLeaseUntilItExpires) {
  Acceptor voter({"b", "c"}, timing, memory, Micros(0));
  const Micros now = seconds(20);
  EXPECT_EQ(voter.Answer(Request(LeaseKind::kPropose, 3, "b"), now, persist)->kind, LeaseKind::kAccept);
  const auto running =
      voter.Answer(Request(LeaseKind::kPrepare, 4, "c"), now + timing.lease - Micros(1), persist);
  EXPECT_EQ(running->accepted.proposer, "b");
  const auto over = voter.Answer(Request(LeaseKind::kPrepare, 5, "c"), now + timing.lease, persist);
  EXPECT_EQ(over->accepted.counter, 0u);
  const auto old = voter.Answer(Request(LeaseKind::kPropose, 3, "b"), now + timing.lease, persist);
  EXPECT_EQ(old->kind, LeaseKind::kReject);
  EXPECT_EQ(old->accepted.counter, 5u);
}

// Found by seed 1452 of FleetWorld.NoLeaseHasTwoHoldersUnderRandomFaults: ballots of one counter were ordered
// by name, so that two successive holders had the same epoch.
TEST_F(AcceptorTest, AnswersOnlyTheFirstBallotOfOneCounter) {
  Acceptor voter({"b", "c"}, timing, memory, Micros(0));
  EXPECT_EQ(voter.Answer(Request(LeaseKind::kPrepare, 3, "b"), seconds(20), persist)->kind,
            LeaseKind::kPromise);
  EXPECT_EQ(voter.Answer(Request(LeaseKind::kPrepare, 3, "c"), seconds(20), persist)->kind,
            LeaseKind::kReject);
  EXPECT_EQ(voter.Answer(Request(LeaseKind::kPropose, 3, "b"), seconds(20), persist)->kind,
            LeaseKind::kAccept);
}

TEST_F(AcceptorTest, WithoutMemoryItIsSilentUntilNoPromiseCanBeMissing) {
  Acceptor voter({"b", "c", "d", "e"}, timing, {}, Micros(0));
  const std::vector<LeaseMessage> complete = {{LeaseKind::kRecoveryReply, "", {}, 0, {}, true},
                                              {LeaseKind::kRecoveryReply, "x", {9, "b", 1}, 0, {}, true}};
  const std::vector<LeaseMessage> incomplete = {{LeaseKind::kRecoveryReply, "", {}, 0, {}, false}};
  voter.OnRecoveryReply("b", complete, persist);
  voter.OnRecoveryReply("c", incomplete, persist);
  voter.OnRecoveryReply("stranger", complete, persist);
  voter.OnRecoveryReply("d", complete, persist);
  // c and e, which are a majority with this voter, may have promised a later ballot that b and d don't know.
  EXPECT_TRUE(voter.Silent(seconds(100)));
  EXPECT_FALSE(persist);
  voter.OnRecoveryReply("e", complete, persist);
  EXPECT_FALSE(voter.Silent(seconds(100)));
  EXPECT_TRUE(persist);
  EXPECT_EQ(voter.Answer(Request(LeaseKind::kPrepare, 9, "c"), seconds(100), persist)->kind,
            LeaseKind::kReject);
}

TEST(ProposerTest, CountsItsLeaseFromTheProposalAndShorterThanAnyVoter) {
  Timing timing;
  timing.drift = 0.05;
  EXPECT_LT(
      std::chrono::duration<double>(HolderTerm(timing.lease, timing.drift)).count() / (1 - timing.drift),
      std::chrono::duration<double>(timing.lease).count() / (1 + timing.drift) + 1e-6);
  Proposer proposer("a", 1, "x", {"a", "b", "c"}, timing, 1, 0);
  Proposer::LeaseMessages messages;
  proposer.SetWanted(true, Micros(0), messages);
  proposer.Tick(seconds(5), messages);
  ASSERT_EQ(messages.size(), 3u);
  const auto answer = [&](const std::string& who, LeaseKind kind, Micros at) {
    LeaseMessage message = messages.back().second;
    message.kind = kind;
    proposer.OnMessage(who, message, at, messages);
  };
  answer("a", LeaseKind::kPromise, seconds(5));
  answer("a", LeaseKind::kPromise, seconds(5));  // a duplicate is no second vote
  EXPECT_EQ(messages.size(), 3u);
  answer("b", LeaseKind::kPromise, seconds(6));
  ASSERT_EQ(messages.size(), 6u);
  answer("b", LeaseKind::kAccept, seconds(6));
  answer("c", LeaseKind::kAccept, seconds(7));
  EXPECT_TRUE(proposer.Holds(seconds(7)));
  EXPECT_EQ(proposer.until(), seconds(6) + HolderTerm(timing.lease, timing.drift));
  EXPECT_FALSE(proposer.Holds(proposer.until()));
}

}  // namespace
}  // namespace indigosaddle::fleet
