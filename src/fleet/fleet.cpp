#include "fleet/fleet.h"

#include <algorithm>

namespace indigosaddle::fleet {
namespace {

constexpr int kGossipRoundsPerProbe = 5;  // while news is queued, apart from what is piggybacked on pings
constexpr std::size_t kGossipFanOut = 3;
constexpr std::size_t kLeaveFanOut = 8;
constexpr int kRecoveryRequestsPerTerm = 10;
constexpr std::size_t kHeaderBytes = 160;  // of a packet without items, with names of full length

// Hash of the voters that a file names, independent of their order, sites and addresses.
std::uint64_t Fingerprint(std::vector<std::string> voters) {
  std::sort(voters.begin(), voters.end());
  std::uint64_t hash = 14695981039346656037ULL;  // FNV-1a
  for (const std::string& name : voters) {
    for (const char c : name + '\n') hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

// Mixes name and start number into the seed. Members whose files hold the same seed would otherwise draw the
// same waiting times and collide with each other for ever.
FleetOptions WithMixedSeed(FleetOptions options) {
  options.seed ^= Fingerprint({options.name}) ^ options.start * 0x9e3779b97f4a7c15ULL;
  return options;
}

std::vector<std::string> VoterNames(const std::vector<Peer>& roster, const std::string& except) {
  std::vector<std::string> names;
  for (const Peer& peer : roster)
    if (peer.votes && peer.name != except) names.push_back(peer.name);
  return names;
}

}  // namespace

FleetMember::FleetMember(FleetOptions options, Micros now)
    : options_(WithMixedSeed(std::move(options))),
      voters_(VoterNames(options_.roster, "")),
      votes_(std::find(voters_.begin(), voters_.end(), options_.name) != voters_.end()),
      voters_hash_(Fingerprint(voters_)),
      members_(options_.name, options_.start, options_.roster, options_.timing, gossip_),
      prober_(members_, options_.timing, options_.seed, now),
      quorum_contact_(options_.name, options_.roster, options_.timing, now),
      site_monitor_(options_.sites),
      acceptor_(VoterNames(options_.roster, options_.name), options_.timing, options_.memory, now),
      last_tick_(now),
      gossip_at_(now),
      exchange_at_(now),
      recovery_request_at_(now),
      catch_up_at_(now) {
  for (const Peer& peer : options_.roster)
    if (peer.name == options_.name) site_ = peer.site;
  if (!votes_) return;
  const auto [it, added] =
      proposers_.try_emplace(kCoordinator, options_.name, options_.start, kCoordinator, voters_,
                             options_.timing, options_.seed + 1, options_.epoch_floor);
  Proposer::LeaseMessages none;
  it->second.SetWanted(true, now, none);
}

Packet FleetMember::MakePacket(PacketKind kind) const {
  Packet packet;
  const MemberUpdate self = members_.Self();
  packet.kind = kind;
  packet.from = options_.name;
  packet.start = self.start;
  packet.incarnation = self.incarnation;
  packet.voters_hash = voters_hash_;
  return packet;
}

void FleetMember::Send(PacketKind kind, const std::string& to, std::uint64_t seq, const std::string& target,
                       Actions& actions) {
  Packet packet = MakePacket(kind);
  packet.seq = seq;
  packet.target = target;
  std::size_t room = kMaxDatagramBytes - kHeaderBytes;
  // A member that is not believed alive must learn so itself, to refute it.
  const Member& member = members_.all().at(to);
  if (member.known && member.latest.liveness != Liveness::kAlive) {
    packet.members.push_back(member.latest);
    room -= MaxEncodedBytes(member.latest);
  }
  gossip_.Fill(packet, room, members_.all().size() + 1);
  actions.packets.emplace_back(to, std::move(packet));
}

void FleetMember::Dispatch(const Prober::ProbeMessages& messages, Actions& actions) {
  for (const Prober::ProbeMessage& message : messages)
    Send(message.kind, message.to, message.seq, message.target, actions);
}

void FleetMember::Tick(Micros now, Actions& actions) {
  // The tick comes long after it was due: this process stood still. Answers that it missed meanwhile are no
  // evidence against the others.
  const Micros gap = now - std::max(last_tick_, std::min(NextDue(), now));
  if (gap > options_.timing.probe_every) {
    members_.ShiftDeadlines(gap);
    prober_.ShiftDeadlines(gap);
  }
  last_tick_ = now;
  members_.ExpireSuspicions(now);
  while (refuted_ < members_.refuted()) {
    prober_.OnRefutation();
    ++refuted_;
  }
  Prober::ProbeMessages probes;
  prober_.Tick(now, probes);
  quorum_contact_.Tick(now, prober_, probes);
  Dispatch(probes, actions);
  if (now >= gossip_at_ && !gossip_.empty()) {
    gossip_at_ = now + options_.timing.probe_every / kGossipRoundsPerProbe;
    for (const std::string& name : prober_.RandomMembers(kGossipFanOut, ""))
      Send(PacketKind::kGossip, name, 0, "", actions);
  }
  if (now >= exchange_at_) {
    exchange_at_ = now + (joined_ ? options_.timing.exchange_every : options_.timing.probe_every / 2);
    // Every second exchange is with a member that is not present: that ends a partition whose two sides have
    // declared each other dead.
    const bool prefer_absent = !joined_ || ++exchanges_ % 2 == 0;
    auto with = prober_.RandomMembers(1, "", !prefer_absent);
    if (with.empty()) with = prober_.RandomMembers(1, "", prefer_absent);
    actions.exchanges.insert(actions.exchanges.end(), with.begin(), with.end());
  }
  UpdateContactAndCatchUp(now, actions);
  if (votes_ && acceptor_.NeedsRecovery() && now >= recovery_request_at_) {
    recovery_request_at_ = now + options_.timing.lease / kRecoveryRequestsPerTerm;
    Proposer::LeaseMessages messages;
    for (const std::string& voter : voters_)
      if (voter != options_.name) messages.emplace_back(voter, acceptor_.RecoveryRequest());
    Dispatch(messages, now, actions);
  }
  Proposer::LeaseMessages messages;
  for (auto& [resource, proposer] : proposers_) {
    if (!leaving_) proposer.SetWanted(MayHoldLeases(now), now, messages);
    proposer.Tick(now, messages);
  }
  Dispatch(messages, now, actions);
  PublishObservation(now);
  Coordinate(now);
}

Micros FleetMember::NextDue() const {
  Micros due = std::min({prober_.NextDue(), quorum_contact_.NextDue(), exchange_at_, members_.NextExpiry()});
  if (in_contact_ && !CaughtUp()) due = std::min(due, catch_up_at_);
  if (in_contact_)
    due = std::min(due, *quorum_contact_.LastConfirmed(last_tick_) + options_.timing.lease + Micros(1));
  if (!gossip_.empty()) due = std::min(due, gossip_at_);
  if (votes_ && acceptor_.NeedsRecovery()) due = std::min(due, recovery_request_at_);
  for (const auto& [resource, proposer] : proposers_) due = std::min(due, proposer.NextDue());
  return due;
}

void FleetMember::Merge(const Packet& packet, Micros now) {
  members_.Apply({packet.from, packet.start, packet.incarnation, Liveness::kAlive, ""}, now);
  for (const MemberUpdate& update : packet.members) members_.Apply(update, now);
  for (const Fact& fact : packet.facts)
    if (facts_.Merge(fact)) gossip_.Add(fact);
}

void FleetMember::OnPacket(const Packet& packet, Micros now, Actions& actions) {
  if (packet.from == options_.name || !members_.Knows(packet.from)) return;
  // The packet is from an earlier process of its sender, delayed on the network, or the sender's start
  // numbers began anew. In the second case, once the process with the higher number counts as dead, the
  // answer to a ping tells the sender which number to exceed (Members::ApplyAboutSelf).
  if (packet.start < members_.LatestUpdate(packet.from).start) {
    if (packet.kind == PacketKind::kPing) Send(PacketKind::kGossip, packet.from, 0, "", actions);
    return;
  }
  const bool voter = members_.all().at(packet.from).peer.votes;
  if (packet.voters_hash != voters_hash_ && (voter || votes_)) {
    voters_differed_at_ = now;
    acceptor_.SilenceUntil(now + 2 * options_.timing.lease);
  }
  Merge(packet, now);
  Prober::ProbeMessages probes;
  switch (packet.kind) {
    case PacketKind::kPing:
      if (packet.target == options_.name) Send(PacketKind::kAck, packet.from, packet.seq, "", actions);
      break;
    case PacketKind::kAck:
      quorum_contact_.OnAck(packet.from, packet.seq);
      prober_.OnAck(packet.from, packet.seq, probes);
      break;
    case PacketKind::kPingReq: prober_.OnPingReq(packet.from, packet.seq, packet.target, now, probes); break;
    case PacketKind::kNack: prober_.OnNack(packet.seq); break;
    case PacketKind::kLease:
      if (packet.voters_hash == voters_hash_) OnLeases(packet, now, actions);
      break;
    case PacketKind::kExchange:
    case PacketKind::kExchangeReply:
      joined_ = true;
      if (voter) state_received_from_.insert(packet.from);
      break;
    case PacketKind::kGossip: break;
  }
  Dispatch(probes, actions);
}

Packet FleetMember::ExchangePacket(bool answer) const {
  Packet packet = MakePacket(answer ? PacketKind::kExchangeReply : PacketKind::kExchange);
  for (const auto& [name, member] : members_.all())
    if (member.known) packet.members.push_back(member.latest);
  for (const auto& [key, fact] : facts_.all()) packet.facts.push_back(fact);
  return packet;
}

void FleetMember::Leave(Micros now, Actions& actions) {
  leaving_ = true;
  members_.Leave();
  Proposer::LeaseMessages messages;
  for (auto& [resource, proposer] : proposers_) proposer.SetWanted(false, now, messages);
  Dispatch(messages, now, actions);
  for (const std::string& name : prober_.RandomMembers(kLeaveFanOut, ""))
    Send(PacketKind::kGossip, name, 0, "", actions);
}

}  // namespace indigosaddle::fleet
