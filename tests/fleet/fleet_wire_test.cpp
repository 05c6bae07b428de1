// What crosses the network and the disk, and what is said of a change.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>

#include "fleet/memory_file.h"
#include "fleet/notes.h"
#include "fleet/wire.h"

namespace indigosaddle::fleet {
namespace {

MemberWord Word(const std::string& name, Liveness liveness, std::uint64_t start = 1,
                std::uint32_t incarnation = 0, const std::string& accuser = "") {
  return {name, start, incarnation, liveness, accuser};
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
