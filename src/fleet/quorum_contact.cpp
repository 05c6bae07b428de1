#include "fleet/quorum_contact.h"

#include <algorithm>
#include <functional>

namespace indigosaddle::fleet {
namespace {

constexpr int kAsksPerTerm = 5;  // lost questions that a lease's term leaves room for

}  // namespace

Contact::Contact(const std::string& self, const std::vector<Peer>& roster, const Timing& pace, Micros now)
    : every_(pace.lease / kAsksPerTerm), next_(now) {
  for (const Peer& peer : roster) {
    if (!peer.votes) continue;
    if (peer.name == self) {
      self_votes_ = true;
    } else {
      voters_.emplace(peer.name, Voter{});
    }
  }
}

void Contact::Tick(Micros now, Prober& prober, Prober::Asks& asks) {
  if (now < next_) return;
  next_ = now + every_;
  for (auto& [name, voter] : voters_) {
    voter.seq = prober.NextSeq();
    voter.asked = now;
    asks.push_back({PacketKind::kPing, name, voter.seq, name});
  }
}

void Contact::OnAck(const std::string& from, std::uint64_t seq) {
  const auto it = voters_.find(from);
  if (it != voters_.end() && it->second.seq == seq) it->second.sure = it->second.asked;
}

std::optional<Micros> Contact::Sure(Micros now) const {
  std::vector<Micros> times;
  if (self_votes_) times.push_back(now);
  for (const auto& [name, voter] : voters_)
    if (voter.sure) times.push_back(*voter.sure);
  const std::size_t majority = voters() / 2 + 1;
  if (times.size() < majority) return std::nullopt;
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(majority - 1), times.end(),
                   std::greater<>());
  return times[majority - 1];
}

}  // namespace indigosaddle::fleet
