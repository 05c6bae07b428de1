#include "fleet/fleet.h"

#include <algorithm>

namespace indigosaddle::fleet {
namespace {

constexpr int kGossipsPerProbe = 5;  // while there is news, apart from what rides on pings
constexpr std::size_t kGossipFanOut = 3;
constexpr std::size_t kLeaveTells = 8;
constexpr int kRecallsPerTerm = 10;
constexpr std::size_t kHeadBytes = 160;  // of a packet without its words, with names of full length

// Which voters a file names: order does not count, sites and addresses neither.
std::uint64_t Fingerprint(std::vector<std::string> voters) {
  std::sort(voters.begin(), voters.end());
  std::uint64_t hash = 14695981039346656037ULL;  // FNV-1a
  for (const std::string& name : voters) {
    for (const char c : name + '\n') hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

// Members whose files give them one seed must not draw the same waits: they would get in each other's way for
// ever.
FleetOptions Mixed(FleetOptions options) {
  options.seed ^= Fingerprint({options.name}) ^ options.start * 0x9e3779b97f4a7c15ULL;
  return options;
}

std::vector<std::string> Voters(const std::vector<Peer>& roster, const std::string& but) {
  std::vector<std::string> names;
  for (const Peer& peer : roster)
    if (peer.votes && peer.name != but) names.push_back(peer.name);
  return names;
}

}  // namespace

Fleet::Fleet(FleetOptions options, Micros now)
    : options_(Mixed(std::move(options))),
      voters_(Voters(options_.roster, "")),
      votes_(std::find(voters_.begin(), voters_.end(), options_.name) != voters_.end()),
      electorate_(Fingerprint(voters_)),
      members_(options_.name, options_.start, options_.roster, options_.pace, gossip_),
      prober_(members_, options_.pace, options_.seed, now),
      contact_(options_.name, options_.roster, options_.pace, now),
      sites_(options_.sites),
      acceptor_(Voters(options_.roster, options_.name), options_.pace, options_.memory, now),
      last_tick_(now),
      gossip_at_(now),
      exchange_at_(now),
      recall_at_(now),
      refresh_at_(now) {
  for (const Peer& peer : options_.roster)
    if (peer.name == options_.name) site_ = peer.site;
  if (!votes_) return;
  const auto [it, added] = proposers_.try_emplace(kCoordinator, options_.name, options_.start, kCoordinator,
                                                  voters_, options_.pace, options_.seed + 1, options_.floor);
  Proposer::Words none;
  it->second.Want(true, now, none);
}

Packet Fleet::Make(PacketKind kind) const {
  Packet packet;
  const MemberWord self = members_.Self();
  packet.kind = kind;
  packet.from = options_.name;
  packet.start = self.start;
  packet.incarnation = self.incarnation;
  packet.electorate = electorate_;
  return packet;
}

void Fleet::Send(PacketKind kind, const std::string& to, std::uint64_t seq, const std::string& target,
                 Out& out) {
  Packet packet = Make(kind);
  packet.seq = seq;
  packet.target = target;
  std::size_t room = kMostDatagram - kHeadBytes;
  // Whom we do not believe alive must hear so itself, to refute it.
  const Member& member = members_.all().at(to);
  if (member.known && member.word.liveness != Liveness::kAlive) {
    packet.members.push_back(member.word);
    room -= BytesOf(member.word);
  }
  gossip_.Fill(packet, room, members_.all().size() + 1);
  out.packets.emplace_back(to, std::move(packet));
}

void Fleet::Carry(const Prober::Asks& asks, Out& out) {
  for (const Prober::Ask& ask : asks) Send(ask.kind, ask.to, ask.seq, ask.target, out);
}

void Fleet::Tick(Micros now, Out& out) {
  // Far past what was due: this process stood still. What it missed is no sign against the others.
  const Micros gap = now - std::max(last_tick_, std::min(NextDue(), now));
  if (gap > options_.pace.probe_every) {
    members_.Thaw(gap);
    prober_.Thaw(gap);
  }
  last_tick_ = now;
  members_.Expire(now);
  while (refuted_ < members_.refuted()) prober_.Refuted(), ++refuted_;
  Prober::Asks asks;
  prober_.Tick(now, asks);
  contact_.Tick(now, prober_, asks);
  Carry(asks, out);
  if (now >= gossip_at_ && !gossip_.empty()) {
    gossip_at_ = now + options_.pace.probe_every / kGossipsPerProbe;
    for (const std::string& name : prober_.Some(kGossipFanOut, ""))
      Send(PacketKind::kGossip, name, 0, "", out);
  }
  if (now >= exchange_at_) {
    exchange_at_ = now + (joined_ ? options_.pace.exchange_every : options_.pace.probe_every / 2);
    // Every other one with somebody who is not present: that heals a cut whose two sides gave each other up.
    const bool lost = !joined_ || ++exchanges_ % 2 == 0;
    auto with = prober_.Some(1, "", !lost);
    if (with.empty()) with = prober_.Some(1, "", lost);
    out.exchanges.insert(out.exchanges.end(), with.begin(), with.end());
  }
  Refresh(now, out);
  if (votes_ && acceptor_.Recalls() && now >= recall_at_) {
    recall_at_ = now + options_.pace.lease / kRecallsPerTerm;
    Proposer::Words words;
    for (const std::string& voter : voters_)
      if (voter != options_.name) words.emplace_back(voter, acceptor_.RecallWord());
    Carry(words, now, out);
  }
  Proposer::Words words;
  for (auto& [resource, proposer] : proposers_) {
    if (!leaving_) proposer.Want(MayHold(now), now, words);
    proposer.Tick(now, words);
  }
  Carry(words, now, out);
  TellSight(now);
  Coordinate(now);
}

Micros Fleet::NextDue() const {
  Micros due = std::min({prober_.NextDue(), contact_.NextDue(), exchange_at_, members_.NextExpiry()});
  if (touched_ && !Refreshed()) due = std::min(due, refresh_at_);
  if (touched_) due = std::min(due, *contact_.Sure(last_tick_) + options_.pace.lease + Micros(1));
  if (!gossip_.empty()) due = std::min(due, gossip_at_);
  if (votes_ && acceptor_.Recalls()) due = std::min(due, recall_at_);
  for (const auto& [resource, proposer] : proposers_) due = std::min(due, proposer.NextDue());
  return due;
}

void Fleet::Merge(const Packet& packet, Micros now) {
  members_.Hear({packet.from, packet.start, packet.incarnation, Liveness::kAlive, ""}, now);
  for (const MemberWord& word : packet.members) members_.Hear(word, now);
  for (const Fact& fact : packet.facts)
    if (facts_.Merge(fact)) gossip_.Add(fact);
}

void Fleet::OnPacket(const Packet& packet, Micros now, Out& out) {
  if (packet.from == options_.name || !members_.Knows(packet.from)) return;
  // A packet of an earlier process of its sender may have been long on the way.
  if (packet.start < members_.WordOf(packet.from).start) {
    if (packet.kind == PacketKind::kPing) Send(PacketKind::kGossip, packet.from, 0, "", out);
    return;
  }
  const bool voter = members_.all().at(packet.from).peer.votes;
  if (packet.electorate != electorate_ && (voter || votes_)) {
    differed_ = now;
    acceptor_.BeSilent(now + 2 * options_.pace.lease);
  }
  Merge(packet, now);
  Prober::Asks asks;
  switch (packet.kind) {
    case PacketKind::kPing:
      if (packet.target == options_.name) Send(PacketKind::kAck, packet.from, packet.seq, "", out);
      break;
    case PacketKind::kAck:
      contact_.OnAck(packet.from, packet.seq);
      prober_.OnAck(packet.from, packet.seq, asks);
      break;
    case PacketKind::kPingReq: prober_.OnPingReq(packet.from, packet.seq, packet.target, now, asks); break;
    case PacketKind::kNack: prober_.OnNack(packet.seq); break;
    case PacketKind::kLease:
      if (packet.electorate == electorate_) OnLeases(packet, now, out);
      break;
    case PacketKind::kExchange:
    case PacketKind::kExchangeReply:
      joined_ = true;
      if (voter) refreshed_.insert(packet.from);
      break;
    case PacketKind::kGossip: break;
  }
  Carry(asks, out);
}

Packet Fleet::ExchangeWord(bool answer) const {
  Packet packet = Make(answer ? PacketKind::kExchangeReply : PacketKind::kExchange);
  for (const auto& [name, member] : members_.all())
    if (member.known) packet.members.push_back(member.word);
  for (const auto& [key, fact] : facts_.all()) packet.facts.push_back(fact);
  return packet;
}

void Fleet::Leave(Micros now, Out& out) {
  leaving_ = true;
  members_.Leave();
  Proposer::Words words;
  for (auto& [resource, proposer] : proposers_) proposer.Want(false, now, words);
  Carry(words, now, out);
  for (const std::string& name : prober_.Some(kLeaveTells, "")) Send(PacketKind::kGossip, name, 0, "", out);
}

}  // namespace indigosaddle::fleet
