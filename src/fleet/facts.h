// Copies of what is agreed, on every member. A newer fact goes before an older one by epoch, then version.
// Who may write a key is settled by the lease under whose epoch it is written, so two writers of one epoch
// are a fault: the copy stays as it is, and the clash is counted.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "fleet/types.h"

namespace indigosaddle::fleet {

constexpr std::size_t kMostFacts = 4096;
constexpr std::size_t kMostFactBytes = 1024;  // of key and value together

class Facts {
 public:
  // True where the fact was news.
  bool Merge(const Fact& fact);
  const Fact* Find(const std::string& key) const;  // null: never heard
  const std::map<std::string, Fact>& all() const { return facts_; }
  std::uint64_t clashes() const { return clashes_; }
  std::uint64_t turned_away() const { return turned_away_; }  // for size or number

 private:
  std::map<std::string, Fact> facts_;
  std::uint64_t clashes_ = 0, turned_away_ = 0;
};

}  // namespace indigosaddle::fleet
