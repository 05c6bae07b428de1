#include "fleet/acceptor.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace indigosaddle::fleet {
namespace {

constexpr std::size_t kMostResources = 64;

}  // namespace

// A lease that an earlier process of this voter accepted in its last instant ends a term later by this clock.
Acceptor::Acceptor(std::vector<std::string> others, const Timing& pace, Memory memory, Micros now)
    : others_(std::move(others)),
      term_(pace.lease),
      memory_(std::move(memory)),
      silent_until_(now + pace.lease) {
  memory_.sure |= others_.empty();
}

std::optional<LeaseWord> Acceptor::Answer(const LeaseWord& word, Micros now, bool& remember) {
  if (Silent(now)) return std::nullopt;
  LeaseWord answer = word;
  answer.accepted = {};
  if (word.kind == LeaseKind::kRelease) {
    const auto it = accepted_.find(word.resource);
    if (it != accepted_.end() && it->second.ballot == word.ballot) accepted_.erase(it);
    return std::nullopt;
  }
  if (word.kind != LeaseKind::kPrepare && word.kind != LeaseKind::kPropose) return std::nullopt;
  if (!memory_.promised.contains(word.resource) && memory_.promised.size() >= kMostResources)
    return std::nullopt;
  Ballot& promised = memory_.promised[word.resource];
  // Two ballots of one counter would give two holders one epoch: a voter heeds only the first of them.
  if (word.ballot != promised && word.ballot.counter <= promised.counter) {
    answer.kind = LeaseKind::kReject;
    answer.accepted = promised;
    return answer;
  }
  if (promised != word.ballot) promised = word.ballot, remember = true;
  if (word.kind == LeaseKind::kPrepare) {
    answer.kind = LeaseKind::kPromise;
    const auto it = accepted_.find(word.resource);
    if (it != accepted_.end() && now < it->second.until) answer.accepted = it->second.ballot;
    return answer;
  }
  answer.kind = LeaseKind::kAccept;
  accepted_[word.resource] = {word.ballot, now + term_};
  return answer;
}

std::string Acceptor::State() const {
  std::ostringstream out;
  const auto put = [&](const Ballot& b) { out << b.counter << ',' << b.proposer << ',' << b.start << ';'; };
  for (const auto& [resource, ballot] : memory_.promised) out << resource, put(ballot);
  for (const auto& [resource, lease] : accepted_)
    out << resource, put(lease.ballot), out << lease.until.count() << ';';
  for (const auto& [voter, sure] : heard_) out << voter << sure;
  out << ' ' << memory_.sure << ' ' << silent_until_.count();
  return out.str();
}

std::vector<LeaseWord> Acceptor::Recollections() const {
  std::vector<LeaseWord> words = {{LeaseKind::kRecollect, "", {}, 0, {}, memory_.sure}};
  for (const auto& [resource, ballot] : memory_.promised)
    words.push_back({LeaseKind::kRecollect, resource, ballot, 0, {}, memory_.sure});
  return words;
}

// Any majority that once promised holds, without this voter, half of all voters (rounded down) among the
// others. Those heard with memory must be so many that every such half has one of them: then no promise is
// forgotten. Where every other voter has been heard, nothing more can be known.
void Acceptor::OnRecollect(const std::string& from, const std::vector<LeaseWord>& words, bool& remember) {
  if (memory_.sure || std::find(others_.begin(), others_.end(), from) == others_.end()) return;
  bool sure = false;
  for (const LeaseWord& word : words) {
    sure |= word.memory;
    if (word.resource.empty() || memory_.promised.size() >= kMostResources) continue;
    Ballot& promised = memory_.promised[word.resource];
    promised = std::max(promised, word.ballot);
  }
  heard_[from] |= sure;
  const std::size_t voters = others_.size() + 1;
  const auto with_memory = static_cast<std::size_t>(
      std::count_if(heard_.begin(), heard_.end(), [](const auto& one) { return one.second; }));
  if (with_memory >= voters - voters / 2 || heard_.size() == others_.size()) memory_.sure = remember = true;
}

}  // namespace indigosaddle::fleet
