// The order of membership updates, suspicion, the gossip queue, and which fact replaces which.
#include "fleet/members.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/facts.h"
#include "fleet/gossip.h"

namespace indigosaddle::fleet {
namespace {

using std::chrono::seconds;

std::vector<Peer> Roster(int count) {
  std::vector<Peer> roster;
  for (int i = 0; i < count; ++i) roster.push_back({"m" + std::to_string(i), "s", "", true});
  return roster;
}

MemberUpdate Update(const std::string& name, Liveness liveness, std::uint64_t start = 1,
                    std::uint32_t incarnation = 0, const std::string& accuser = "") {
  return {name, start, incarnation, liveness, accuser};
}

TEST(MemberUpdateTest, AreOrderedByProcessThenLeavingThenIncarnationThenLiveness) {
  const auto newer = [](const MemberUpdate& a, const MemberUpdate& b) {
    return Supersedes(a, b) && !Supersedes(b, a);
  };
  EXPECT_TRUE(newer(Update("x", Liveness::kAlive, 2), Update("x", Liveness::kLeft, 1, 9)));
  EXPECT_TRUE(newer(Update("x", Liveness::kLeft, 1, 0), Update("x", Liveness::kAlive, 1, 5)));
  EXPECT_TRUE(newer(Update("x", Liveness::kAlive, 1, 2), Update("x", Liveness::kDead, 1, 1)));
  EXPECT_TRUE(newer(Update("x", Liveness::kSuspect, 1, 2), Update("x", Liveness::kAlive, 1, 2)));
  EXPECT_TRUE(newer(Update("x", Liveness::kDead, 1, 2), Update("x", Liveness::kSuspect, 1, 2)));
  EXPECT_FALSE(Supersedes(Update("x", Liveness::kDead), Update("x", Liveness::kDead)));
}

class MembersTest : public ::testing::Test {
 protected:
  Timing timing;
  Gossip gossip;
  Members members{"m0", 7, Roster(12), timing, gossip};
  void AllAlive() {
    for (int i = 1; i < 12; ++i) members.Apply(Update("m" + std::to_string(i), Liveness::kAlive), Micros(0));
  }
  Liveness LivenessOf(const std::string& name) const { return members.all().at(name).latest.liveness; }
};

TEST_F(MembersTest, IgnoresMembersThatAreNotInTheRoster) {
  EXPECT_FALSE(members.Apply(Update("stranger", Liveness::kAlive), Micros(0)));
  EXPECT_EQ(members.present(), 1u);
}

TEST_F(MembersTest, AnAccusedMemberRefutesWithAHigherIncarnation) {
  members.Apply(Update("m0", Liveness::kSuspect, 7, 0, "m1"), Micros(0));
  EXPECT_EQ(members.Self().incarnation, 1u);
  EXPECT_EQ(members.refuted(), 1u);
  members.Apply(Update("m0", Liveness::kSuspect, 7, 0, "m2"),
                Micros(0));  // a duplicate, refuted already
  EXPECT_EQ(members.Self().incarnation, 1u);
  members.Apply(Update("m0", Liveness::kDead, 7, 4), Micros(0));
  EXPECT_EQ(members.Self().incarnation, 5u);
  members.Apply(Update("m0", Liveness::kDead, 6, 9), Micros(0));  // of an earlier process
  EXPECT_EQ(members.Self().incarnation, 5u);
}

TEST_F(MembersTest, ALaterProcessOfTheSameNameSupersedesThisOne) {
  members.Apply(Update("m0", Liveness::kAlive, 8), Micros(0));
  EXPECT_TRUE(members.superseded());
  members.Apply(Update("m0", Liveness::kDead, 8), Micros(0));  // from before the start numbers began anew
  EXPECT_FALSE(members.superseded());
  EXPECT_EQ(members.start(), 9u);
}

TEST_F(MembersTest, ALeavingMemberRefutesNothing) {
  members.Leave();
  members.Apply(Update("m0", Liveness::kDead, 7, 3), Micros(0));
  EXPECT_EQ(members.Self().liveness, Liveness::kLeft);
  EXPECT_EQ(members.Self().incarnation, 0u);
}

// With one accuser a suspicion lasts longest; each further accuser shortens it, down to the minimum.
TEST_F(MembersTest, FurtherAccusersShortenTheSuspicion) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  const Micros alone = members.NextExpiry();
  members.Apply(Update("m5", Liveness::kSuspect, 1, 0, "m1"), seconds(1));
  const Micros two = members.NextExpiry();
  members.Apply(Update("m5", Liveness::kSuspect, 1, 0, "m1"), seconds(1));  // no new accuser
  EXPECT_EQ(members.NextExpiry(), two);
  members.Apply(Update("m5", Liveness::kSuspect, 1, 0, "m2"), seconds(1));
  members.Apply(Update("m5", Liveness::kSuspect, 1, 0, "m3"), seconds(1));
  const Micros four = members.NextExpiry();
  EXPECT_LT(two, alone);
  EXPECT_LT(four, two);
  members.ExpireSuspicions(four - Micros(1));
  EXPECT_EQ(LivenessOf("m5"), Liveness::kSuspect);
  members.ExpireSuspicions(four);
  EXPECT_EQ(LivenessOf("m5"), Liveness::kDead);
}

TEST_F(MembersTest, ARefutationEndsASuspicion) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  members.Apply(Update("m5", Liveness::kAlive, 1, 1), seconds(1));
  members.ExpireSuspicions(seconds(1000));
  EXPECT_EQ(LivenessOf("m5"), Liveness::kAlive);
}

TEST_F(MembersTest, AStallExtendsSuspicions) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  const Micros due = members.NextExpiry();
  members.ShiftDeadlines(seconds(100));
  members.ExpireSuspicions(due + seconds(50));
  EXPECT_EQ(LivenessOf("m5"), Liveness::kSuspect);
}

TEST(GossipTest, SendsTheLeastSentFirstAndEachALimitedNumberOfTimes) {
  Gossip gossip;
  gossip.Add(Update("old", Liveness::kAlive));
  Packet packet;
  gossip.Fill(packet, 1000, 100);
  gossip.Add(Update("new", Liveness::kDead));
  packet = {};
  gossip.Fill(packet, MaxEncodedBytes(Update("new", Liveness::kDead)), 100);
  ASSERT_EQ(packet.members.size(), 1u);
  EXPECT_EQ(packet.members.front().name, "new");
  int transmissions = 0;
  for (; !gossip.empty() && transmissions < 1000; ++transmissions) gossip.Fill(packet = {}, 1000, 100);
  EXPECT_GT(transmissions, 10);
  EXPECT_LT(transmissions, 30);  // 3 x log2(101)
}

TEST(FactsTest, ALowerEpochNeverReplacesAHigherOne) {
  Facts facts;
  EXPECT_TRUE(facts.Merge({"k", "a", "1", 5, 9}));
  EXPECT_FALSE(facts.Merge({"k", "b", "2", 4, 100}));
  EXPECT_FALSE(facts.Merge({"k", "a", "0", 5, 8}));
  EXPECT_TRUE(facts.Merge({"k", "b", "3", 6, 1}));
  EXPECT_EQ(facts.Find("k")->value, "3");
  EXPECT_FALSE(facts.Merge({"k", "c", "4", 6, 1}));  // two writers of one epoch
  EXPECT_EQ(facts.Find("k")->value, "3");
  EXPECT_EQ(facts.conflicts(), 1u);
  EXPECT_FALSE(facts.Merge({"long", "a", std::string(kMaxFactBytes, 'x'), 1, 1}));
  EXPECT_EQ(facts.rejected(), 1u);
}

}  // namespace
}  // namespace indigosaddle::fleet
