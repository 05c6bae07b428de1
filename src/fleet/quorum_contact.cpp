#include "fleet/quorum_contact.h"

#include <algorithm>
#include <functional>

namespace indigosaddle::fleet {
namespace {

constexpr int kPingsPerTerm = 5;  // so that a few lost pings within a lease's term do not matter

}  // namespace

QuorumContact::QuorumContact(const std::string& self, const std::vector<Peer>& roster, const Timing& timing,
                             Micros now)
    : ping_every_(timing.lease / kPingsPerTerm), next_ping_at_(now) {
  for (const Peer& peer : roster) {
    if (!peer.votes) continue;
    if (peer.name == self) {
      self_votes_ = true;
    } else {
      voters_.emplace(peer.name, Voter{});
    }
  }
}

void QuorumContact::Tick(Micros now, Prober& prober, Prober::ProbeMessages& messages) {
  if (now < next_ping_at_) return;
  next_ping_at_ = now + ping_every_;
  for (auto& [name, voter] : voters_) {
    voter.seq = prober.NextSeq();
    voter.pinged_at = now;
    messages.push_back({PacketKind::kPing, name, voter.seq, name});
  }
}

void QuorumContact::OnAck(const std::string& from, std::uint64_t seq) {
  const auto it = voters_.find(from);
  if (it != voters_.end() && it->second.seq == seq) it->second.confirmed = it->second.pinged_at;
}

std::optional<Micros> QuorumContact::LastConfirmed(Micros now) const {
  std::vector<Micros> times;
  if (self_votes_) times.push_back(now);
  for (const auto& [name, voter] : voters_)
    if (voter.confirmed) times.push_back(*voter.confirmed);
  const std::size_t majority = voters() / 2 + 1;
  if (times.size() < majority) return std::nullopt;
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(majority - 1), times.end(),
                   std::greater<>());
  return times[majority - 1];
}

}  // namespace indigosaddle::fleet
