#include "fleet/wire.h"

#include "fleet.pb.h"
#include "fleet/facts.h"

namespace indigosaddle::fleet {
namespace {

void Put(const Ballot& ballot, pb::Ballot& to) {
  to.set_counter(ballot.counter);
  to.set_proposer(ballot.proposer);
  to.set_start(ballot.start);
}

Ballot Taken(const pb::Ballot& from) { return {from.counter(), from.proposer(), from.start()}; }

bool IsName(const std::string& text, bool may_be_empty) {
  return text.size() <= kMostName && (may_be_empty || !text.empty());
}

bool Take(const pb::MemberWord& from, Packet& packet) {
  if (!IsName(from.name(), false) || !IsName(from.accuser(), true)) return false;
  if (from.liveness() > static_cast<std::uint32_t>(Liveness::kLeft)) return false;
  packet.members.push_back({from.name(), from.start(), from.incarnation(),
                            static_cast<Liveness>(from.liveness()), from.accuser()});
  return true;
}

bool Take(const pb::Fact& from, Packet& packet) {
  if (from.key().empty() || from.key().size() + from.value().size() > kMostFactBytes) return false;
  if (!IsName(from.owner(), true)) return false;
  packet.facts.push_back({from.key(), from.owner(), from.value(), from.epoch(), from.version()});
  return true;
}

bool Take(const pb::LeaseWord& from, Packet& packet) {
  if (from.kind() > static_cast<std::uint32_t>(LeaseKind::kRecollect)) return false;
  if (!IsName(from.resource(), true) || !IsName(from.ballot().proposer(), true) ||
      !IsName(from.accepted().proposer(), true)) {
    return false;
  }
  packet.leases.push_back({static_cast<LeaseKind>(from.kind()), from.resource(), Taken(from.ballot()),
                           from.round(), Taken(from.accepted()), from.memory()});
  return true;
}

template <typename List>
bool TakeAll(const List& list, int most, Packet& packet) {
  if (list.size() > most) return false;
  for (const auto& one : list)
    if (!Take(one, packet)) return false;
  return true;
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
  if (!IsName(in.from(), false) || !IsName(in.target(), true)) return std::nullopt;
  Packet packet;
  packet.kind = static_cast<PacketKind>(in.kind());
  packet.from = in.from();
  packet.start = in.start();
  packet.incarnation = in.incarnation();
  packet.electorate = in.electorate();
  packet.seq = in.seq();
  packet.target = in.target();
  if (!TakeAll(in.members(), kMostMembers, packet) ||
      !TakeAll(in.facts(), static_cast<int>(kMostFacts), packet) ||
      !TakeAll(in.leases(), kMostLeaseWords, packet)) {
    return std::nullopt;
  }
  return packet;
}

}  // namespace indigosaddle::fleet
