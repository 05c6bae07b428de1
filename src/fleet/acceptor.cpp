#include "fleet/acceptor.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace indigosaddle::fleet {
namespace {

constexpr std::size_t kMaxResources = 64;

}  // namespace

// An earlier process of this voter may have accepted a lease in its last instant; that lease ends one term
// from now by this clock, so the voter is silent until then.
Acceptor::Acceptor(std::vector<std::string> others, const Timing& timing, VoterMemory memory, Micros now)
    : others_(std::move(others)),
      term_(timing.lease),
      memory_(std::move(memory)),
      silent_until_(now + timing.lease) {
  memory_.complete |= others_.empty();
}

std::optional<LeaseMessage> Acceptor::Answer(const LeaseMessage& message, Micros now, bool& persist) {
  if (Silent(now)) return std::nullopt;
  LeaseMessage answer = message;
  answer.accepted = {};
  if (message.kind == LeaseKind::kRelease) {
    const auto it = accepted_.find(message.resource);
    if (it != accepted_.end() && it->second.ballot == message.ballot) accepted_.erase(it);
    return std::nullopt;
  }
  if (message.kind != LeaseKind::kPrepare && message.kind != LeaseKind::kPropose) return std::nullopt;
  if (!memory_.promised.contains(message.resource) && memory_.promised.size() >= kMaxResources)
    return std::nullopt;
  Ballot& promised = memory_.promised[message.resource];
  // The counter becomes the epoch. Two ballots with one counter would give two holders one epoch, so a voter
  // answers only the first of them.
  if (message.ballot != promised && message.ballot.counter <= promised.counter) {
    answer.kind = LeaseKind::kReject;
    answer.accepted = promised;
    return answer;
  }
  if (promised != message.ballot) {
    promised = message.ballot;
    persist = true;
  }
  if (message.kind == LeaseKind::kPrepare) {
    answer.kind = LeaseKind::kPromise;
    const auto it = accepted_.find(message.resource);
    if (it != accepted_.end() && now < it->second.until) answer.accepted = it->second.ballot;
    return answer;
  }
  answer.kind = LeaseKind::kAccept;
  accepted_[message.resource] = {message.ballot, now + term_};
  return answer;
}

std::string Acceptor::StateKey() const {
  std::ostringstream out;
  const auto put = [&](const Ballot& b) { out << b.counter << ',' << b.proposer << ',' << b.start << ';'; };
  for (const auto& [resource, ballot] : memory_.promised) {
    out << resource;
    put(ballot);
  }
  for (const auto& [resource, lease] : accepted_) {
    out << resource;
    put(lease.ballot);
    out << lease.until.count() << ';';
  }
  for (const auto& [voter, has_memory] : recovery_replies_) out << voter << has_memory;
  out << ' ' << memory_.complete << ' ' << silent_until_.count();
  return out.str();
}

std::vector<LeaseMessage> Acceptor::RecoveryReplies() const {
  std::vector<LeaseMessage> messages = {{LeaseKind::kRecoveryReply, "", {}, 0, {}, memory_.complete}};
  for (const auto& [resource, ballot] : memory_.promised)
    messages.push_back({LeaseKind::kRecoveryReply, resource, ballot, 0, {}, memory_.complete});
  return messages;
}

// Any majority that made a promise contains, besides this voter, at least half of all voters (rounded down)
// among the others. No promise is missing once enough voters with complete memory have replied that every
// such half contains one of them. Where every other voter has replied, nothing more can be learned.
void Acceptor::OnRecoveryReply(const std::string& from, const std::vector<LeaseMessage>& messages,
                               bool& persist) {
  if (memory_.complete || std::find(others_.begin(), others_.end(), from) == others_.end()) return;
  bool has_memory = false;
  for (const LeaseMessage& message : messages) {
    has_memory |= message.has_memory;
    if (message.resource.empty() || memory_.promised.size() >= kMaxResources) continue;
    Ballot& promised = memory_.promised[message.resource];
    promised = std::max(promised, message.ballot);
  }
  recovery_replies_[from] |= has_memory;
  const std::size_t voters = others_.size() + 1;
  const auto with_memory = static_cast<std::size_t>(std::count_if(
      recovery_replies_.begin(), recovery_replies_.end(), [](const auto& one) { return one.second; }));
  if (with_memory >= voters - voters / 2 || recovery_replies_.size() == others_.size())
    memory_.complete = persist = true;
}

}  // namespace indigosaddle::fleet
