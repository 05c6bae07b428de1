// A voter's part in leases, after PaxosLease (Trencseni, Gazso, Reinhardt 2009): a lease is a value accepted
// by a majority that runs out by itself, on each voter's own steady clock. Nothing of the lease itself is on
// the disk: a voter that starts is silent until every lease that it may have accepted before has run out. The
// highest ballot promised is on the disk, so that epochs only rise; a voter that lost it asks the others
// first. A pure state machine; also what the explorer of tests/fleet walks through.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// What a voter must not forget.
struct Memory {
  std::map<std::string, Ballot> promised;  // by resource
  std::uint64_t start = 0;                 // number of the latest process of this name
  bool sure = false;                       // no promise is missing here
  bool operator==(const Memory&) const = default;
};

class Acceptor {
 public:
  // `others`: the voters but this one.
  Acceptor(std::vector<std::string> others, const Timing& pace, Memory memory, Micros now);

  // The answer to a proposer, or nothing where this voter must be silent. `remember` is set where memory()
  // has to be on the disk before the answer leaves.
  std::optional<LeaseWord> Answer(const LeaseWord& word, Micros now, bool& remember);

  // A voter without memory: words for every other voter, until it has heard enough.
  bool Recalls() const { return !memory_.sure; }
  LeaseWord RecallWord() const { return {LeaseKind::kRecall, "", {}, 0, {}, false}; }
  std::vector<LeaseWord> Recollections() const;
  void OnRecollect(const std::string& from, const std::vector<LeaseWord>& words, bool& remember);

  std::string State() const;  // as Proposer::State
  bool Silent(Micros now) const { return now < silent_until_ || !memory_.sure; }
  void BeSilent(Micros until) { silent_until_ = std::max(silent_until_, until); }
  const Memory& memory() const { return memory_; }

 private:
  struct Lease {
    Ballot ballot;
    Micros until{0};
    auto operator<=>(const Lease&) const = default;
  };
  std::vector<std::string> others_;
  Micros term_;
  Memory memory_;
  Micros silent_until_;
  std::map<std::string, Lease> accepted_;
  std::map<std::string, bool> heard_;  // voters that told what they remember, and whether they do
};

}  // namespace indigosaddle::fleet
