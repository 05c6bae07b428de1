// The part of a process that wants a lease. It counts its lease from the instant at which its question left,
// and for a term shortened by twice the bound on drift, so it stops before any voter's clock lets another
// begin. A pure state machine.
#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// The span for which a holder may count on a lease whose voters keep to it for `term`, each by a clock that
// is off by at most `drift`.
Micros HolderTerm(Micros term, double drift);

class Proposer {
 public:
  using Words = std::vector<std::pair<std::string, LeaseWord>>;  // by the voter's name; the own one too

  // `voters`: all. `floor`: epochs start above it; a wall clock in seconds keeps them rising where every
  // voter has lost its memory, and nothing rests on it otherwise.
  Proposer(std::string self, std::uint64_t start, std::string resource, std::vector<std::string> voters,
           const Timing& pace, std::uint64_t seed, std::uint64_t floor);

  void Want(bool want, Micros now, Words& words);  // false: stops first, then says so
  void Tick(Micros now, Words& words);
  void On(const std::string& from, const LeaseWord& word, Micros now, Words& words);
  Micros NextDue() const;

  bool Holds(Micros now) const { return now < until_; }
  Micros until() const { return until_; }
  // Of the lease held last: rises with each holder, and stays while one holds on without a gap.
  std::uint64_t epoch() const { return epoch_; }
  const std::string& resource() const { return resource_; }
  // All that decides what it does next, for the explorer of tests/fleet.
  std::string State() const;

 private:
  enum class Phase : std::uint8_t { kIdle, kPreparing, kProposing };
  void Ask(LeaseKind kind, Micros now, Words& words);
  void GiveUp(Micros next);
  Micros Part(std::int64_t least, std::int64_t most);  // of a term, drawn, in hundredths

  std::string self_;
  std::uint64_t start_;
  std::string resource_;
  std::vector<std::string> voters_;
  Micros term_, holder_term_;
  std::minstd_rand random_;
  std::uint64_t counter_;  // highest seen
  bool wants_ = false, prepared_ = false;
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  std::uint64_t round_ = 0;
  std::set<std::string> answered_, blocked_;  // voters that are for it; at which another's lease runs
  Ballot held_;                               // of the lease held last
  Micros asked_{0}, ends_{0}, next_{0}, until_{Micros::min()};
  std::uint64_t epoch_ = 0;
};

}  // namespace indigosaddle::fleet
