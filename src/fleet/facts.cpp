#include "fleet/facts.h"

#include <tuple>

namespace indigosaddle::fleet {

bool Facts::Merge(const Fact& fact) {
  if (fact.key.empty() || fact.key.size() + fact.value.size() > kMaxFactBytes) return ++rejected_, false;
  const auto it = facts_.find(fact.key);
  if (it == facts_.end()) {
    if (facts_.size() >= kMaxFacts) return ++rejected_, false;
    facts_.emplace(fact.key, fact);
    return true;
  }
  Fact& held = it->second;
  const auto order = std::tie(fact.epoch, fact.version) <=> std::tie(held.epoch, held.version);
  if (order < 0) return false;
  if (order == 0) {
    if (!(fact == held)) ++conflicts_;
    return false;
  }
  held = fact;
  return true;
}

const Fact* Facts::Find(const std::string& key) const {
  const auto it = facts_.find(key);
  return it == facts_.end() ? nullptr : &it->second;
}

}  // namespace indigosaddle::fleet
