#include "fleet/wire.h"

#include <utility>
#include <vector>

#include "fleet.pb.h"
#include "fleet/facts.h"

namespace indigosaddle::fleet {
namespace {

void Put(const Ballot& ballot, pb::Ballot& to) {
  to.set_counter(ballot.counter);
  to.set_proposer(ballot.proposer);
  to.set_start(ballot.start);
}

bool IsName(const std::string& text, bool may_be_empty) {
  return text.size() <= kMaxNameBytes && (may_be_empty || !text.empty());
}

// Start numbers, ballot counters, epochs and versions begin at 1; the limit leaves room for the next one.
bool IsNumber(std::uint64_t number) { return number > 0 && number <= kMaxNumber; }

bool IsIncarnation(std::uint32_t number) { return number <= kMaxIncarnation; }

std::optional<MemberUpdate> Read(const pb::MemberWord& from) {
  if (!IsName(from.name(), false) || !IsNumber(from.start()) || !IsIncarnation(from.incarnation()))
    return std::nullopt;
  if (from.liveness() > static_cast<std::uint32_t>(Liveness::kLeft)) return std::nullopt;
  const auto liveness = static_cast<Liveness>(from.liveness());
  if (!IsName(from.accuser(), liveness != Liveness::kSuspect)) return std::nullopt;
  return MemberUpdate{from.name(), from.start(), from.incarnation(), liveness, from.accuser()};
}

std::optional<Fact> Read(const pb::Fact& from) {
  if (from.key().empty() || from.key().size() + from.value().size() > kMaxFactBytes) return std::nullopt;
  if (!IsName(from.owner(), false) || !IsNumber(from.epoch()) || !IsNumber(from.version()))
    return std::nullopt;
  return Fact{from.key(), from.owner(), from.value(), from.epoch(), from.version()};
}

// A complete ballot; or an empty one, where `may_be_none` and all of its fields are absent.
std::optional<Ballot> Read(const pb::Ballot& from, bool may_be_none) {
  const Ballot ballot{from.counter(), from.proposer(), from.start()};
  if (may_be_none && ballot == Ballot{}) return ballot;
  if (!IsNumber(ballot.counter) || !IsName(ballot.proposer, false) || !IsNumber(ballot.start))
    return std::nullopt;
  return ballot;
}

// A promise omits the running lease where there is none; a promise with an incomplete one is rejected.
std::optional<Ballot> ReadAccepted(const pb::LeaseWord& from, LeaseKind kind) {
  if (!from.has_accepted()) return kind == LeaseKind::kReject ? std::nullopt : std::optional(Ballot{});
  if (kind != LeaseKind::kReject && kind != LeaseKind::kPromise) return std::nullopt;
  return Read(from.accepted(), false);
}

std::optional<LeaseMessage> Read(const pb::LeaseWord& from) {
  if (from.kind() > static_cast<std::uint32_t>(LeaseKind::kRecoveryReply)) return std::nullopt;
  const auto kind = static_cast<LeaseKind>(from.kind());
  const bool resource_optional =
      kind == LeaseKind::kRecoveryRequest || (kind == LeaseKind::kRecoveryReply && from.resource().empty());
  const bool has_round = kind != LeaseKind::kRecoveryRequest && kind != LeaseKind::kRecoveryReply;
  if (!IsName(from.resource(), resource_optional) || (has_round && !IsNumber(from.round())))
    return std::nullopt;
  const auto ballot = Read(from.ballot(), resource_optional);
  const auto accepted = ReadAccepted(from, kind);
  if (!ballot || !accepted) return std::nullopt;
  return LeaseMessage{kind, from.resource(), *ballot, from.round(), *accepted, from.memory()};
}

template <typename List, typename Item>
bool ReadAll(const List& list, std::size_t max_count, std::vector<Item>& items) {
  if (static_cast<std::size_t>(list.size()) > max_count) return false;
  for (const auto& one : list) {
    auto item = Read(one);
    if (!item) return false;
    items.push_back(std::move(*item));
  }
  return true;
}

// Checks the fields that a packet of its kind must have: pings and their answers a sequence number, pings a
// target.
bool HasRequiredFields(const Packet& packet) {
  const bool pings = packet.kind == PacketKind::kPing || packet.kind == PacketKind::kPingReq;
  const bool answers = packet.kind == PacketKind::kAck || packet.kind == PacketKind::kNack;
  if (!IsName(packet.from, false) || !IsName(packet.target, !pings)) return false;
  if (!IsNumber(packet.start) || !IsIncarnation(packet.incarnation) || packet.voters_hash == 0) return false;
  return packet.seq > 0 || !(pings || answers);
}

}  // namespace

std::string Encode(const Packet& packet) {
  pb::Packet out;
  out.set_version(kWireVersion);
  out.set_kind(static_cast<std::uint32_t>(packet.kind));
  out.set_from(packet.from);
  out.set_start(packet.start);
  out.set_incarnation(packet.incarnation);
  out.set_electorate(packet.voters_hash);
  out.set_seq(packet.seq);
  out.set_target(packet.target);
  for (const MemberUpdate& item : packet.members) {
    pb::MemberWord& to = *out.add_members();
    to.set_name(item.name);
    to.set_start(item.start);
    to.set_incarnation(item.incarnation);
    to.set_liveness(static_cast<std::uint32_t>(item.liveness));
    to.set_accuser(item.accuser);
  }
  for (const Fact& fact : packet.facts) {
    pb::Fact& to = *out.add_facts();
    to.set_key(fact.key);
    to.set_owner(fact.owner);
    to.set_value(fact.value);
    to.set_epoch(fact.epoch);
    to.set_version(fact.version);
  }
  for (const LeaseMessage& item : packet.leases) {
    pb::LeaseWord& to = *out.add_leases();
    to.set_kind(static_cast<std::uint32_t>(item.kind));
    to.set_resource(item.resource);
    Put(item.ballot, *to.mutable_ballot());
    to.set_round(item.round);
    if (item.accepted.counter > 0) Put(item.accepted, *to.mutable_accepted());
    to.set_memory(item.has_memory);
  }
  return out.SerializeAsString();
}

std::optional<Packet> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxExchangeBytes) return std::nullopt;
  pb::Packet in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (in.version() != kWireVersion || in.kind() > static_cast<std::uint32_t>(PacketKind::kExchangeReply))
    return std::nullopt;
  Packet packet;
  packet.kind = static_cast<PacketKind>(in.kind());
  packet.from = in.from();
  packet.start = in.start();
  packet.incarnation = in.incarnation();
  packet.voters_hash = in.electorate();
  packet.seq = in.seq();
  packet.target = in.target();
  const bool whole = HasRequiredFields(packet) && ReadAll(in.members(), kMaxMembers, packet.members) &&
                     ReadAll(in.facts(), kMaxFacts, packet.facts) &&
                     ReadAll(in.leases(), kMaxLeaseMessages, packet.leases);
  return whole ? std::optional(std::move(packet)) : std::nullopt;
}

}  // namespace indigosaddle::fleet
