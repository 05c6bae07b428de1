// What a member makes of the others' words together: leases, whether it is connected, what is agreed, its
// picture.
#include <algorithm>

#include "fleet/fleet.h"

namespace indigosaddle::fleet {

// Words to this process itself are answered on the spot, others leave. Answers may bring further words.
void Fleet::Carry(const Proposer::Words& words, Micros now, Out& out) {
  Proposer::Words more;
  for (const auto& [to, word] : words) {
    if (to == options_.name) {
      const auto answer = acceptor_.Answer(word, now, out.remember);
      const auto it = proposers_.find(word.resource);
      if (answer && it != proposers_.end()) it->second.On(to, *answer, now, more);
    } else {
      Packet packet = Make(PacketKind::kLease);
      packet.leases.push_back(word);
      out.packets.emplace_back(to, std::move(packet));
    }
  }
  if (!more.empty()) Carry(more, now, out);
}

bool Fleet::FilesDiffer(Micros now) const { return differed_ && now - *differed_ < 2 * options_.pace.lease; }

bool Fleet::MayHold(Micros now) const { return !leaving_ && !members_.superseded() && !FilesDiffer(now); }

bool Fleet::InTouch(Micros now) const {
  const auto sure = contact_.Sure(now);
  return sure && now - *sure <= options_.pace.lease;
}

bool Fleet::Refreshed() const { return (refreshed_.size() + (votes_ ? 1 : 0)) * 2 > voters_.size(); }

// Back in touch, knowledge comes first: until a majority of the voters has told all it knows, what is agreed
// may have changed meanwhile, and this process does not count as connected.
void Fleet::Refresh(Micros now, Out& out) {
  const bool touch = InTouch(now);
  if (touch != touched_) refreshed_.clear(), refresh_at_ = now;
  touched_ = touch;
  reached_ |= touch && Refreshed();
  if (!touch || Refreshed() || now < refresh_at_) return;
  refresh_at_ = now + options_.pace.probe_every / 2;
  for (const std::string& voter : voters_)
    if (voter != options_.name && !refreshed_.contains(voter)) out.exchanges.push_back(voter);
}

void Fleet::OnLeases(const Packet& packet, Micros now, Out& out) {
  Proposer::Words words;
  Packet answers = Make(PacketKind::kLease);
  for (const LeaseWord& word : packet.leases) {
    switch (word.kind) {
      case LeaseKind::kPrepare:
      case LeaseKind::kPropose:
      case LeaseKind::kRelease:
        if (!votes_) break;
        if (auto answer = acceptor_.Answer(word, now, out.remember))
          answers.leases.push_back(std::move(*answer));
        break;
      case LeaseKind::kRecall:
        if (votes_) answers.leases = acceptor_.Recollections();
        break;
      case LeaseKind::kRecollect: break;  // all of a packet together, below
      case LeaseKind::kPromise:
      case LeaseKind::kReject:
      case LeaseKind::kAccept:
        if (const auto it = proposers_.find(word.resource); it != proposers_.end())
          it->second.On(packet.from, word, now, words);
    }
  }
  if (!packet.leases.empty() && packet.leases.front().kind == LeaseKind::kRecollect)
    acceptor_.OnRecollect(packet.from, packet.leases, out.remember);
  if (!answers.leases.empty()) out.packets.emplace_back(packet.from, std::move(answers));
  Carry(words, now, out);
}

// Members that may send: whoever is present, and whoever is gone without a word for less than a lease's term.
std::size_t Fleet::Senders(Micros now) const {
  std::size_t count = 1;
  for (const auto& [name, member] : members_.all()) {
    const bool may_linger =
        member.known && member.word.liveness == Liveness::kDead && now - member.since < options_.pace.lease;
    if (member.present() || may_linger) ++count;
  }
  return count;
}

// The holder of the coordinator's lease writes what is agreed.
void Fleet::Coordinate(Micros now) {
  const auto leases = Leases(now);
  const auto it = leases.find(kCoordinator);
  if (it == leases.end()) return;
  Write(kSendersFact, std::to_string(Senders(now)), it->second.epoch);
  CoordinateSites(it->second.epoch, now);
}

std::map<std::string, LeaseView> Fleet::Leases(Micros now) const {
  std::map<std::string, LeaseView> leases;
  for (const auto& [resource, proposer] : proposers_) {
    if (proposer.Holds(now) && MayHold(now)) leases[resource] = {proposer.epoch(), proposer.until()};
  }
  return leases;
}

Snapshot Fleet::View(Micros now) const {
  Snapshot view;
  view.sure = contact_.Sure(now);
  view.connectivity = touched_ && InTouch(now) && Refreshed() ? Standing::kConnected
                      : reached_                              ? Standing::kCutOff
                                                              : Standing::kJoining;
  view.present = members_.present();
  view.superseded = members_.superseded();
  view.files_differ = FilesDiffer(now);
  view.health_penalty = prober_.health_penalty();
  const Fact* fact = facts_.Find(kSendersFact);
  const auto agreed = fact != nullptr ? ParseSenders(fact->value) : std::nullopt;
  if (agreed && reached_) view.senders = std::max(*agreed, view.present);
  for (const auto& [name, member] : members_.all())
    view.members.push_back({name, member.peer.site, member.word.liveness, member.known, member.word.start});
  view.leases = Leases(now);
  view.facts = facts_.all();
  view.sites = SitesAgreed();
  return view;
}

}  // namespace indigosaddle::fleet
