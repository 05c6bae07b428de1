// The formats on the network and on disk, the events of a change, and the number of senders.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <string_view>

#include "fleet/fleet_events.h"
#include "fleet/memory_file.h"
#include "fleet/wire.h"

namespace indigosaddle::fleet {
namespace {

MemberUpdate Update(const std::string& name, Liveness liveness, std::uint64_t start = 1,
                    std::uint32_t incarnation = 0, const std::string& accuser = "") {
  return {name, start, incarnation, liveness, accuser};
}

Packet SamplePacket() {
  Packet packet;
  packet.kind = PacketKind::kLease;
  packet.from = "node-1", packet.start = 1764600000000, packet.incarnation = 3,
  packet.voters_hash = 0xfedcba9876543210;
  packet.seq = 1ull << 62, packet.target = "node-2";
  packet.members = {Update("node-3", Liveness::kSuspect, 9, 2, "node-1"), Update("node-4", Liveness::kLeft)};
  packet.facts = {{"senders", "node-1", std::string("3\0x", 3), 12, 4}};
  packet.leases = {{LeaseKind::kReject, "coordinator", {5, "a", 1}, 7, {6, "b", 2}, true}};
  return packet;
}

TEST(FleetWire, DecodingAnEncodedPacketGivesTheSamePacket) {
  const Packet packet = SamplePacket();
  const auto read = Decode(Encode(packet));
  ASSERT_TRUE(read);
  EXPECT_TRUE(*read == packet);
}

TEST(FleetWire, DamagedBytesAreRejectedOrStayWithinTheLimits) {
  EXPECT_FALSE(Decode(""));
  EXPECT_FALSE(Decode("GET / HTTP/1.1\r\n"));
  const std::string good = Encode(SamplePacket());
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
      EXPECT_LE(packet->from.size(), kMaxNameBytes);
      for (const MemberUpdate& update : packet->members) EXPECT_LE(update.liveness, Liveness::kLeft);
      for (const Fact& fact : packet->facts) EXPECT_LE(fact.key.size() + fact.value.size(), kMaxFactBytes);
    }
  }
}

TEST(FleetWire, InvalidValuesAreRejected) {
  const auto refused = [](auto change) {
    Packet packet = SamplePacket();
    change(packet);
    return !Decode(Encode(packet)).has_value();
  };
  EXPECT_TRUE(refused([](Packet& p) { p.from.clear(); }));
  EXPECT_TRUE(refused([](Packet& p) { p.from = std::string(kMaxNameBytes + 1, 'x'); }));
  EXPECT_TRUE(refused([](Packet& p) { p.kind = static_cast<PacketKind>(99); }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].liveness = static_cast<Liveness>(9); }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].value = std::string(kMaxFactBytes, 'x'); }));
  EXPECT_TRUE(refused([](Packet& p) { p.leases.resize(kMaxLeaseMessages + 1, p.leases[0]); }));
  EXPECT_FALSE(refused([](Packet&) {}));
}

// In proto3 an absent field reads as 0 or empty. A packet that lacks one must not pass for an update of an
// earlier process, a lease that nobody holds, a ballot never promised or a fact without an epoch.
TEST(FleetWire, MissingFieldsAreRejected) {
  const auto refused = [](auto change) {
    Packet packet = SamplePacket();
    change(packet);
    return !Decode(Encode(packet)).has_value();
  };
  EXPECT_TRUE(refused([](Packet& p) { p.start = 0; }));
  EXPECT_TRUE(refused([](Packet& p) { p.voters_hash = 0; }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].start = 0; }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].accuser.clear(); })) << "a suspicion without an accuser";
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].owner.clear(); }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].epoch = 0; }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].version = 0; }));
  for (const PacketKind kind : {PacketKind::kPing, PacketKind::kAck, PacketKind::kPingReq, PacketKind::kNack})
    EXPECT_TRUE(refused([&](Packet& p) { p.kind = kind, p.seq = 0; })) << static_cast<int>(kind);
  for (const PacketKind kind : {PacketKind::kPing, PacketKind::kPingReq})
    EXPECT_TRUE(refused([&](Packet& p) { p.kind = kind, p.target.clear(); })) << static_cast<int>(kind);
}

// Each kind of lease message must have the fields of its kind, and no ballot that its kind does not carry.
TEST(FleetWire, LeaseMessagesWithoutAFieldOfTheirKindAreRejected) {
  const auto read = [](const LeaseMessage& message) {
    Packet packet = SamplePacket();
    packet.leases = {message};
    return Decode(Encode(packet)).has_value();
  };
  const Ballot five{5, "a", 1}, six{6, "b", 2};
  for (const LeaseKind kind : {LeaseKind::kPrepare, LeaseKind::kPromise, LeaseKind::kReject,
                               LeaseKind::kPropose, LeaseKind::kAccept, LeaseKind::kRelease}) {
    const bool rejects = kind == LeaseKind::kReject, may_tell = rejects || kind == LeaseKind::kPromise;
    const LeaseMessage whole{kind, "x", five, 7, rejects ? six : Ballot{}, false};
    const auto with = [&](auto change) {
      LeaseMessage message = whole;
      change(message);
      return read(message);
    };
    SCOPED_TRACE(static_cast<int>(kind));
    EXPECT_TRUE(read(whole));
    EXPECT_FALSE(with([](LeaseMessage& m) { m.resource.clear(); }));
    EXPECT_FALSE(with([](LeaseMessage& m) { m.ballot.counter = 0; }));
    EXPECT_FALSE(with([](LeaseMessage& m) { m.ballot.proposer.clear(); }));
    EXPECT_FALSE(with([](LeaseMessage& m) { m.ballot.start = 0; }));
    EXPECT_FALSE(with([](LeaseMessage& m) { m.round = 0; }));
    EXPECT_FALSE(with([&](LeaseMessage& m) { m.accepted = {6, "", 2}; }));
    EXPECT_FALSE(with([&](LeaseMessage& m) { m.accepted = {6, "b", 0}; }));
    EXPECT_EQ(with([&](LeaseMessage& m) { m.accepted = six; }), may_tell);
    EXPECT_EQ(with([&](LeaseMessage& m) { m.accepted = {}; }), !rejects);
  }
  EXPECT_TRUE(read({LeaseKind::kRecoveryRequest, "", {}, 0, {}, false}));
  EXPECT_TRUE(read({LeaseKind::kRecoveryReply, "", {}, 0, {}, true}));
  EXPECT_TRUE(read({LeaseKind::kRecoveryReply, "x", five, 0, {}, true}));
  EXPECT_FALSE(read({LeaseKind::kRecoveryReply, "x", {}, 0, {}, true}))
      << "a promise without its ballot, from a voter with complete memory";
  EXPECT_FALSE(read({LeaseKind::kRecoveryReply, "x", {5, "a", 0}, 0, {}, true}));
}

// A promise reports the running lease in `accepted`. One that came without its counter must not be read as
// "no lease runs".
TEST(FleetWire, AnAcceptedBallotWithoutItsCounterIsRejected) {
  using std::string_view_literals::operator""sv;
  Packet packet = SamplePacket();
  packet.leases.clear();
  const std::string head = Encode(packet) + std::string("\x5a");
  constexpr std::string_view kPromise =
      "\x08\x01\x12\x01x\x1a\x07\x08\x05\x12\x01"
      "a\x18\x01\x20\x07"sv;
  const auto read = [&](std::string_view accepted) {
    const std::string message = std::string(kPromise) + std::string(accepted);
    return Decode(head + static_cast<char>(message.size()) + message).has_value();
  };
  EXPECT_TRUE(read(""));
  EXPECT_TRUE(
      read("\x2a\x07\x08\x06\x12\x01"
           "b\x18\x02"));
  EXPECT_FALSE(
      read("\x2a\x05\x12\x01"
           "b\x18\x02"));
  EXPECT_FALSE(read("\x2a\x00"sv));
}

// Receivers add 1 to numbers that they received: after the highest the next would be 0.
TEST(FleetWire, NumbersThatWouldOverflowAreRejected) {
  constexpr std::uint64_t kLast = ~std::uint64_t{0};
  const auto refused = [](auto change) {
    Packet packet = SamplePacket();
    change(packet);
    return !Decode(Encode(packet)).has_value();
  };
  EXPECT_TRUE(refused([](Packet& p) { p.start = kLast; }));
  EXPECT_TRUE(refused([](Packet& p) { p.incarnation = ~std::uint32_t{0}; }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].start = kLast; }));
  EXPECT_TRUE(refused([](Packet& p) { p.members[0].incarnation = ~std::uint32_t{0}; }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].epoch = kLast; }));
  EXPECT_TRUE(refused([](Packet& p) { p.facts[0].version = kLast; }));
  EXPECT_TRUE(refused([](Packet& p) { p.leases[0].ballot.counter = kLast; }));
  EXPECT_TRUE(refused([](Packet& p) { p.leases[0].accepted.counter = kLast; }));
}

TEST(MemoryFileTest, ADamagedFileCountsAsLostAndDiffersFromAMissingOne) {
  const std::string folder = ::testing::TempDir() + "fleet-memory";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const VoterMemoryFile file(folder);
  VoterMemory memory, read;
  std::string error;
  EXPECT_FALSE(file.Read(read, error));
  EXPECT_EQ(error, "");
  memory.promised["x"] = {5, "a \"quoted\" name", 8};
  memory.start = 77, memory.complete = true;
  ASSERT_TRUE(file.Write(memory));
  ASSERT_TRUE(file.Read(read, error)) << error;
  EXPECT_TRUE(read == memory);
  const std::string text = VoterMemoryFile::Serialize(memory);
  for (std::size_t cut = 0; cut < text.size() - 1; ++cut)
    EXPECT_FALSE(VoterMemoryFile::Parse(text.substr(0, cut), read));
  std::string changed = text;
  changed[changed.find("77")] = '9';
  std::ofstream(folder + "/fleet.memory") << changed;
  EXPECT_FALSE(file.Read(read, error));
  EXPECT_NE(error, "");
  EXPECT_FALSE(VoterMemoryFile(folder + "/none").Write(memory));
}

TEST(FleetEventsTest, ReportOnlyWhatChanged) {
  Snapshot before, after;
  after.members =
      before.members = {{"a", "s", Liveness::kAlive, true, 1}, {"b", "s", Liveness::kDead, false, 0}};
  EXPECT_TRUE(EventsBetween(before, after).empty());
  after.members[0].liveness = Liveness::kDead;
  after.connectivity = Connectivity::kIsolated;
  after.leases["coordinator"] = {4, Micros(1)};
  const auto events = EventsBetween(before, after);
  ASSERT_EQ(events.size(), 3u);
  EXPECT_EQ(events[0], (FleetEvent{FleetEvent::Kind::kConnectivity, "cut off", "", 1}));
  EXPECT_EQ(events[1], (FleetEvent{FleetEvent::Kind::kMember, "a", "dead", 1}));
  EXPECT_EQ(events[2], (FleetEvent{FleetEvent::Kind::kLease, "coordinator", "held", 4}));
  EXPECT_EQ(EventsBetween(after, before).back(),
            (FleetEvent{FleetEvent::Kind::kLease, "coordinator", "not held", 4}));
}

TEST(SendersTest, AnUnreliableCountIsNeverBelowTheFiles) {
  Snapshot snapshot;
  EXPECT_EQ(SendersToUse(snapshot, 9), 9u);
  snapshot.senders = 4;
  snapshot.connectivity = Connectivity::kConnected;
  EXPECT_EQ(SendersToUse(snapshot, 9), 4u);
  snapshot.connectivity = Connectivity::kIsolated;
  EXPECT_EQ(SendersToUse(snapshot, 9), 9u);
  snapshot.senders = 14;
  EXPECT_EQ(SendersToUse(snapshot, 9), 14u);
}

// Where the count is missing or unreadable, fewer senders than the members seen would make each send too
// much.
TEST(SendersTest, WithoutAgreementTheCountIsNotBelowThePresentMembers) {
  Snapshot snapshot;
  snapshot.present = 5;
  EXPECT_EQ(SendersToUse(snapshot, 2), 5u);
  EXPECT_EQ(SendersToUse(snapshot, 9), 9u);
}

}  // namespace
}  // namespace indigosaddle::fleet
