// Words about members and their order, suspicion, what gossip tells, which fact goes before which.
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

MemberWord Word(const std::string& name, Liveness liveness, std::uint64_t start = 1,
                std::uint32_t incarnation = 0, const std::string& accuser = "") {
  return {name, start, incarnation, liveness, accuser};
}

TEST(MemberWords, AreOrderedByProcessThenLeavingThenIncarnationThenLiveness) {
  const auto newer = [](const MemberWord& a, const MemberWord& b) { return Newer(a, b) && !Newer(b, a); };
  EXPECT_TRUE(newer(Word("x", Liveness::kAlive, 2), Word("x", Liveness::kLeft, 1, 9)));
  EXPECT_TRUE(newer(Word("x", Liveness::kLeft, 1, 0), Word("x", Liveness::kAlive, 1, 5)));
  EXPECT_TRUE(newer(Word("x", Liveness::kAlive, 1, 2), Word("x", Liveness::kDead, 1, 1)));
  EXPECT_TRUE(newer(Word("x", Liveness::kSuspect, 1, 2), Word("x", Liveness::kAlive, 1, 2)));
  EXPECT_TRUE(newer(Word("x", Liveness::kDead, 1, 2), Word("x", Liveness::kSuspect, 1, 2)));
  EXPECT_FALSE(Newer(Word("x", Liveness::kDead), Word("x", Liveness::kDead)));
}

class MembersTest : public ::testing::Test {
 protected:
  Timing pace;
  Gossip gossip;
  Members members{"m0", 7, Roster(12), pace, gossip};
  void AllAlive() {
    for (int i = 1; i < 12; ++i) members.Hear(Word("m" + std::to_string(i), Liveness::kAlive), Micros(0));
  }
  Liveness Of(const std::string& name) const { return members.all().at(name).word.liveness; }
};

TEST_F(MembersTest, WhoIsNotInTheFileIsNotHeard) {
  EXPECT_FALSE(members.Hear(Word("stranger", Liveness::kAlive), Micros(0)));
  EXPECT_EQ(members.present(), 1u);
}

TEST_F(MembersTest, AnAccusedMemberRefutesWithAHigherIncarnation) {
  members.Hear(Word("m0", Liveness::kSuspect, 7, 0, "m1"), Micros(0));
  EXPECT_EQ(members.Self().incarnation, 1u);
  EXPECT_EQ(members.refuted(), 1u);
  members.Hear(Word("m0", Liveness::kSuspect, 7, 0, "m2"),
               Micros(0));  // the same once more: answered already
  EXPECT_EQ(members.Self().incarnation, 1u);
  members.Hear(Word("m0", Liveness::kDead, 7, 4), Micros(0));
  EXPECT_EQ(members.Self().incarnation, 5u);
  members.Hear(Word("m0", Liveness::kDead, 6, 9), Micros(0));  // of an earlier process
  EXPECT_EQ(members.Self().incarnation, 5u);
}

TEST_F(MembersTest, ALaterProcessOfTheSameNameEndsItsClaims) {
  members.Hear(Word("m0", Liveness::kAlive, 8), Micros(0));
  EXPECT_TRUE(members.superseded());
  members.Hear(Word("m0", Liveness::kDead, 8), Micros(0));  // it was an old one, our numbers began anew
  EXPECT_FALSE(members.superseded());
  EXPECT_EQ(members.start(), 9u);
}

TEST_F(MembersTest, WhoLeavesRefutesNothing) {
  members.Leave();
  members.Hear(Word("m0", Liveness::kDead, 7, 3), Micros(0));
  EXPECT_EQ(members.Self().liveness, Liveness::kLeft);
  EXPECT_EQ(members.Self().incarnation, 0u);
}

// Alone an accuser waits long; each further one brings the deadline nearer, down to the least.
TEST_F(MembersTest, AccusersBringTheDeadlineNearer) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  const Micros alone = members.NextExpiry();
  members.Hear(Word("m5", Liveness::kSuspect, 1, 0, "m1"), seconds(1));
  const Micros two = members.NextExpiry();
  members.Hear(Word("m5", Liveness::kSuspect, 1, 0, "m1"), seconds(1));  // no new accuser
  EXPECT_EQ(members.NextExpiry(), two);
  members.Hear(Word("m5", Liveness::kSuspect, 1, 0, "m2"), seconds(1));
  members.Hear(Word("m5", Liveness::kSuspect, 1, 0, "m3"), seconds(1));
  const Micros four = members.NextExpiry();
  EXPECT_LT(two, alone);
  EXPECT_LT(four, two);
  members.Expire(four - Micros(1));
  EXPECT_EQ(Of("m5"), Liveness::kSuspect);
  members.Expire(four);
  EXPECT_EQ(Of("m5"), Liveness::kDead);
}

TEST_F(MembersTest, ARefutationEndsASuspicion) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  members.Hear(Word("m5", Liveness::kAlive, 1, 1), seconds(1));
  members.Expire(seconds(1000));
  EXPECT_EQ(Of("m5"), Liveness::kAlive);
}

TEST_F(MembersTest, TimeStoodStillCountsAgainstNobody) {
  AllAlive();
  members.Suspect("m5", Micros(0));
  const Micros due = members.NextExpiry();
  members.Thaw(seconds(100));
  members.Expire(due + seconds(50));
  EXPECT_EQ(Of("m5"), Liveness::kSuspect);
}

TEST(GossipTest, TellsTheLeastToldFirstAndEachALimitedNumberOfTimes) {
  Gossip gossip;
  gossip.Add(Word("old", Liveness::kAlive));
  Packet packet;
  gossip.Fill(packet, 1000, 100);
  gossip.Add(Word("new", Liveness::kDead));
  packet = {};
  gossip.Fill(packet, BytesOf(Word("new", Liveness::kDead)), 100);
  ASSERT_EQ(packet.members.size(), 1u);
  EXPECT_EQ(packet.members.front().name, "new");
  int told = 0;
  for (; !gossip.empty() && told < 1000; ++told) gossip.Fill(packet = {}, 1000, 100);
  EXPECT_GT(told, 10);
  EXPECT_LT(told, 30);  // 3 x log2(101)
}

TEST(FactsTest, ALowerEpochNeverTakesTheHighersPlace) {
  Facts facts;
  EXPECT_TRUE(facts.Merge({"k", "a", "1", 5, 9}));
  EXPECT_FALSE(facts.Merge({"k", "b", "2", 4, 100}));
  EXPECT_FALSE(facts.Merge({"k", "a", "0", 5, 8}));
  EXPECT_TRUE(facts.Merge({"k", "b", "3", 6, 1}));
  EXPECT_EQ(facts.Find("k")->value, "3");
  EXPECT_FALSE(facts.Merge({"k", "c", "4", 6, 1}));  // two writers of one epoch
  EXPECT_EQ(facts.Find("k")->value, "3");
  EXPECT_EQ(facts.clashes(), 1u);
  EXPECT_FALSE(facts.Merge({"long", "a", std::string(kMostFactBytes, 'x'), 1, 1}));
  EXPECT_EQ(facts.turned_away(), 1u);
}

}  // namespace
}  // namespace indigosaddle::fleet
