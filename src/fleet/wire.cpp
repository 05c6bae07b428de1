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
  return text.size() <= kMostName && (may_be_empty || !text.empty());
}

// Numbers of processes, ballots and facts begin at 1, and the next one behind the highest is one too.
bool IsNumber(std::uint64_t number) { return number > 0 && number <= kMostNumber; }

bool IsIncarnation(std::uint32_t number) { return number <= kMostIncarnation; }

std::optional<MemberWord> Read(const pb::MemberWord& from) {
  if (!IsName(from.name(), false) || !IsNumber(from.start()) || !IsIncarnation(from.incarnation()))
    return std::nullopt;
  if (from.liveness() > static_cast<std::uint32_t>(Liveness::kLeft)) return std::nullopt;
  const auto liveness = static_cast<Liveness>(from.liveness());
  if (!IsName(from.accuser(), liveness != Liveness::kSuspect)) return std::nullopt;
  return MemberWord{from.name(), from.start(), from.incarnation(), liveness, from.accuser()};
}

std::optional<Fact> Read(const pb::Fact& from) {
  if (from.key().empty() || from.key().size() + from.value().size() > kMostFactBytes) return std::nullopt;
  if (!IsName(from.owner(), false) || !IsNumber(from.epoch()) || !IsNumber(from.version()))
    return std::nullopt;
  return Fact{from.key(), from.owner(), from.value(), from.epoch(), from.version()};
}

// Whole; or none, where `may_be_none` and no part of it came.
std::optional<Ballot> Read(const pb::Ballot& from, bool may_be_none) {
  const Ballot ballot{from.counter(), from.proposer(), from.start()};
  if (may_be_none && ballot == Ballot{}) return ballot;
  if (!IsNumber(ballot.counter) || !IsName(ballot.proposer, false) || !IsNumber(ballot.start))
    return std::nullopt;
  return ballot;
}

// A promise leaves out the lease that runs where none does; one that came in part is no promise.
std::optional<Ballot> ReadAccepted(const pb::LeaseWord& from, LeaseKind kind) {
  if (!from.has_accepted()) return kind == LeaseKind::kReject ? std::nullopt : std::optional(Ballot{});
  if (kind != LeaseKind::kReject && kind != LeaseKind::kPromise) return std::nullopt;
  return Read(from.accepted(), false);
}

std::optional<LeaseWord> Read(const pb::LeaseWord& from) {
  if (from.kind() > static_cast<std::uint32_t>(LeaseKind::kRecollect)) return std::nullopt;
  const auto kind = static_cast<LeaseKind>(from.kind());
  const bool of_all =
      kind == LeaseKind::kRecall || (kind == LeaseKind::kRecollect && from.resource().empty());
  const bool has_round = kind != LeaseKind::kRecall && kind != LeaseKind::kRecollect;
  if (!IsName(from.resource(), of_all) || (has_round && !IsNumber(from.round()))) return std::nullopt;
  const auto ballot = Read(from.ballot(), of_all);
  const auto accepted = ReadAccepted(from, kind);
  if (!ballot || !accepted) return std::nullopt;
  return LeaseWord{kind, from.resource(), *ballot, from.round(), *accepted, from.memory()};
}

template <typename List, typename Word>
bool ReadAll(const List& list, std::size_t most, std::vector<Word>& words) {
  if (static_cast<std::size_t>(list.size()) > most) return false;
  for (const auto& one : list) {
    auto word = Read(one);
    if (!word) return false;
    words.push_back(std::move(*word));
  }
  return true;
}

// What a packet of its kind can't be without: a ping and its answers their number, a ping whom it is meant
// for.
bool IsWhole(const Packet& packet) {
  const bool pings = packet.kind == PacketKind::kPing || packet.kind == PacketKind::kPingReq;
  const bool answers = packet.kind == PacketKind::kAck || packet.kind == PacketKind::kNack;
  if (!IsName(packet.from, false) || !IsName(packet.target, !pings)) return false;
  if (!IsNumber(packet.start) || !IsIncarnation(packet.incarnation) || packet.electorate == 0) return false;
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
  out.set_electorate(packet.electorate);
  out.set_seq(packet.seq);
  out.set_target(packet.target);
  for (const MemberWord& word : packet.members) {
    pb::MemberWord& to = *out.add_members();
    to.set_name(word.name);
    to.set_start(word.start);
    to.set_incarnation(word.incarnation);
    to.set_liveness(static_cast<std::uint32_t>(word.liveness));
    to.set_accuser(word.accuser);
  }
  for (const Fact& fact : packet.facts) {
    pb::Fact& to = *out.add_facts();
    to.set_key(fact.key);
    to.set_owner(fact.owner);
    to.set_value(fact.value);
    to.set_epoch(fact.epoch);
    to.set_version(fact.version);
  }
  for (const LeaseWord& word : packet.leases) {
    pb::LeaseWord& to = *out.add_leases();
    to.set_kind(static_cast<std::uint32_t>(word.kind));
    to.set_resource(word.resource);
    Put(word.ballot, *to.mutable_ballot());
    to.set_round(word.round);
    if (word.accepted.counter > 0) Put(word.accepted, *to.mutable_accepted());
    to.set_memory(word.memory);
  }
  return out.SerializeAsString();
}

std::optional<Packet> Decode(std::string_view bytes) {
  if (bytes.size() > kMostExchangeBytes) return std::nullopt;
  pb::Packet in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (in.version() != kWireVersion || in.kind() > static_cast<std::uint32_t>(PacketKind::kExchangeReply))
    return std::nullopt;
  Packet packet;
  packet.kind = static_cast<PacketKind>(in.kind());
  packet.from = in.from();
  packet.start = in.start();
  packet.incarnation = in.incarnation();
  packet.electorate = in.electorate();
  packet.seq = in.seq();
  packet.target = in.target();
  const bool whole = IsWhole(packet) && ReadAll(in.members(), kMostMembers, packet.members) &&
                     ReadAll(in.facts(), kMostFacts, packet.facts) &&
                     ReadAll(in.leases(), kMostLeaseWords, packet.leases);
  return whole ? std::optional(std::move(packet)) : std::nullopt;
}

}  // namespace indigosaddle::fleet
