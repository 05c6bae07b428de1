// Replicated key-value facts: every member keeps a copy. A fact of a higher epoch replaces one of a lower
// epoch; within an epoch the higher version wins. The lease under whose epoch a key is written decides who
// may write it, so two writers of one epoch are a fault: the copy is kept as it is, and the conflict is
// counted.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// Most facts that a member keeps.
constexpr std::size_t kMaxFacts = 4096;
// Most bytes of one fact's key and value together.
constexpr std::size_t kMaxFactBytes = 1024;

// One member's copy of all facts.
class Facts {
 public:
  // Takes in a fact. Returns true where it was new, so that it has to be passed on.
  bool Merge(const Fact& fact);
  // The fact of that key; null where none is known.
  const Fact* Find(const std::string& key) const;
  // All facts, by key.
  const std::map<std::string, Fact>& all() const { return facts_; }
  // Facts that differed from the copy of the same epoch and version.
  std::uint64_t conflicts() const { return conflicts_; }
  // Facts refused because of their size or because of kMaxFacts.
  std::uint64_t rejected() const { return rejected_; }

 private:
  std::map<std::string, Fact> facts_;
  std::uint64_t conflicts_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace indigosaddle::fleet
