// The proposer side of leases: a process that wants to hold one. It counts its lease from the instant at
// which its proposal was sent, and for a term shortened by twice the bound on clock drift, so that it stops
// using the lease before any voter's clock lets another begin. A pure state machine.
#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// How long a holder may rely on a lease that voters grant for `term`, where every clock is off by at most
// the share `drift`.
Micros HolderTerm(Micros term, double drift);

// Acquires, renews and releases the lease of one resource.
class Proposer {
 public:
  // Messages to send, with the receiving voter's name, which may be this process's own.
  using LeaseMessages = std::vector<std::pair<std::string, LeaseMessage>>;

  // `voters` names all voters. Epochs start above `epoch_floor`: a wall clock in seconds keeps them rising
  // where every voter has lost its memory, and nothing else depends on it.
  Proposer(std::string self, std::uint64_t start, std::string resource, std::vector<std::string> voters,
           const Timing& timing, std::uint64_t seed, std::uint64_t epoch_floor);

  // Starts or stops acquiring the lease. With `want` false, this process stops using a held lease, and only
  // then tells the voters that it is free.
  void SetWanted(bool want, Micros now, LeaseMessages& messages);
  // Does what is due; appends what is to be sent to `messages`.
  void Tick(Micros now, LeaseMessages& messages);
  // Handles an answer of the voter `from`.
  void OnMessage(const std::string& from, const LeaseMessage& message, Micros now, LeaseMessages& messages);
  // When Tick has to be called next; Micros::max() while the lease is not wanted.
  Micros NextDue() const;

  // True while this process may act as the holder.
  bool Holds(Micros now) const { return now < until_; }
  // End of the lease by the local clock.
  Micros until() const { return until_; }
  // Epoch of the lease held last: rises with each holder, and stays while one holds it without a gap.
  std::uint64_t epoch() const { return epoch_; }
  const std::string& resource() const { return resource_; }
  // Text of everything that decides what it does next; lease_explorer.h in tests/fleet compares states by it.
  std::string StateKey() const;

 private:
  enum class Phase : std::uint8_t { kIdle, kPreparing, kProposing };
  // Sends a message to all voters and starts a new round.
  void Broadcast(LeaseKind kind, Micros now, LeaseMessages& messages);
  void AbortRound(Micros next);
  // A random part of the term, between two percentages.
  Micros RandomTermPart(std::int64_t min_percent, std::int64_t max_percent);

  std::string self_;
  std::uint64_t start_;
  std::string resource_;
  std::vector<std::string> voters_;
  // Term by a voter's clock.
  Micros term_;
  // Term for which this process may rely on the lease.
  Micros holder_term_;
  std::minstd_rand random_;
  // Highest ballot counter seen.
  std::uint64_t counter_;
  bool wants_ = false;
  // A majority promised `ballot_`, so that it can be proposed again to renew.
  bool prepared_ = false;
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  // Number of the latest broadcast; answers to earlier ones are ignored.
  std::uint64_t round_ = 0;
  // Voters that agreed in this round.
  std::set<std::string> answered_;
  // Voters at which another holder's lease runs.
  std::set<std::string> blocked_;
  // Ballot of the lease held last.
  Ballot held_ballot_;
  Micros round_began_{0};
  Micros round_ends_{0};
  Micros next_round_at_{0};
  Micros until_{Micros::min()};
  std::uint64_t epoch_ = 0;
};

}  // namespace indigosaddle::fleet
