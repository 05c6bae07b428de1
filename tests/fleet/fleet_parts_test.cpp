// The parts of the fleet alone: words and their order, suspicion, gossip, facts, leases' voters, the wire,
// notes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "fleet/acceptor.h"
#include "fleet/facts.h"
#include "fleet/gossip.h"
#include "fleet/members.h"
#include "fleet/memory_file.h"
#include "fleet/notes.h"
#include "fleet/prober.h"
#include "fleet/proposer.h"
#include "fleet/wire.h"

namespace indigosaddle::fleet {
namespace {

using std::chrono::milliseconds;
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
  Pace pace;
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

class AcceptorTest : public ::testing::Test {
 protected:
  AcceptorTest() { memory.sure = true; }
  Pace pace;
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
  Pace pace;
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

Packet Whole() {
  Packet packet;
  packet.kind = PacketKind::kLease;
  packet.from = "node-1", packet.start = 1764600000000, packet.incarnation = 3,
  packet.electorate = 0xfedcba9876543210;
  packet.seq = 1ull << 62, packet.target = "node-2";
  packet.members = {Word("node-3", Liveness::kSuspect, 9, 2, "node-1"), Word("node-4", Liveness::kLeft)};
  packet.facts = {{"senders", "node-1", std::string("3\0x", 3), 12, 4}};
  packet.leases = {{LeaseKind::kReject, "coordinator", {5, "a", 1}, 7, {6, "b", 2}, true}};
  return packet;
}

TEST(FleetWire, WhatIsWrittenIsRead) {
  const Packet packet = Whole();
  const auto read = Decode(Encode(packet));
  ASSERT_TRUE(read);
  EXPECT_TRUE(*read == packet);
}

TEST(FleetWire, RubbishIsNoPacketAndBreaksNothing) {
  EXPECT_FALSE(Decode(""));
  EXPECT_FALSE(Decode("GET / HTTP/1.1\r\n"));
  const std::string good = Encode(Whole());
  std::mt19937 random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (int n = 1 + static_cast<int>(random() % 4); n > 0; --n) {
      if (random() % 3 == 0) {
        bytes.resize(random() % (bytes.size() + 1));
      } else if (!bytes.empty()) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
    }
    if (const auto packet = Decode(bytes)) {
      EXPECT_LE(packet->from.size(), kMostName);
      for (const MemberWord& word : packet->members) EXPECT_LE(word.liveness, Liveness::kLeft);
      for (const Fact& fact : packet->facts) EXPECT_LE(fact.key.size() + fact.value.size(), kMostFactBytes);
    }
  }
}

TEST(FleetWire, ValuesThatNoProgramSendsAreRefused) {
  const auto refused = [](auto change) {
    Packet packet = Whole();
    change(packet);
    return !Decode(Encode(packet)).has_value();
  };
  EXPECT_TRUE(refused([](Packet& p) { p.from.clear(); }));
  EXPECT_TRUE(refused([](Packet& p) { p.from = std::string(kMostName + 1, 'x'); }));
  EXPECT_TRUE(refused([](Packet& p) { p.kind = static_cast<PacketKind>(99); }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].liveness = static_cast<Liveness>(9); }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].value = std::string(kMostFactBytes, 'x'); }));
  EXPECT_TRUE(refused([](Packet& p) { p.leases.resize(kMostLeaseWords + 1, p.leases[0]); }));
  EXPECT_FALSE(refused([](Packet&) {}));
}

TEST(MemoryFileTest, ADamagedFileCountsAsLostAndIsToldApartFromNone) {
  const std::string folder = ::testing::TempDir() + "fleet-memory";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const MemoryFile file(folder);
  Memory memory, read;
  std::string trouble;
  EXPECT_FALSE(file.Read(read, trouble));
  EXPECT_EQ(trouble, "");
  memory.promised["x"] = {5, "a \"quoted\" name", 8};
  memory.start = 77, memory.sure = true;
  ASSERT_TRUE(file.Write(memory));
  ASSERT_TRUE(file.Read(read, trouble)) << trouble;
  EXPECT_TRUE(read == memory);
  const std::string text = MemoryFile::Text(memory);
  for (std::size_t cut = 0; cut < text.size() - 1; ++cut)
    EXPECT_FALSE(MemoryFile::Parse(text.substr(0, cut), read));
  std::string changed = text;
  changed[changed.find("77")] = '9';
  std::ofstream(folder + "/fleet.memory") << changed;
  EXPECT_FALSE(file.Read(read, trouble));
  EXPECT_NE(trouble, "");
  EXPECT_FALSE(MemoryFile(folder + "/none").Write(memory));
}

TEST(NotesTest, SayWhatChangedAndNothingElse) {
  Snapshot before, after;
  after.members =
      before.members = {{"a", "s", Liveness::kAlive, true, 1}, {"b", "s", Liveness::kDead, false, 0}};
  EXPECT_TRUE(Notes(before, after).empty());
  after.members[0].liveness = Liveness::kDead;
  after.standing = Standing::kCutOff;
  after.leases["coordinator"] = {4, Micros(1)};
  const auto notes = Notes(before, after);
  ASSERT_EQ(notes.size(), 3u);
  EXPECT_EQ(notes[0], (Note{Note::Kind::kStanding, "cut off", "", 1}));
  EXPECT_EQ(notes[1], (Note{Note::Kind::kMember, "a", "dead", 1}));
  EXPECT_EQ(notes[2], (Note{Note::Kind::kLease, "coordinator", "held", 4}));
  EXPECT_EQ(Notes(after, before).back(), (Note{Note::Kind::kLease, "coordinator", "not held", 4}));
}

TEST(SendersTest, WhatIsNotSureCountsAsMoreSenders) {
  Snapshot snapshot;
  EXPECT_EQ(SendersToUse(snapshot, 9), 9u);
  snapshot.senders = 4;
  snapshot.standing = Standing::kConnected;
  EXPECT_EQ(SendersToUse(snapshot, 9), 4u);
  snapshot.standing = Standing::kCutOff;
  EXPECT_EQ(SendersToUse(snapshot, 9), 9u);
  snapshot.senders = 14;
  EXPECT_EQ(SendersToUse(snapshot, 9), 14u);
}

}  // namespace
}  // namespace indigosaddle::fleet
