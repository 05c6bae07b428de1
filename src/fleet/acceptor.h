// The acceptor (voter) side of leases, after PaxosLease (Trencseni, Gazso, Reinhardt 2009): a lease is a
// value accepted by a majority that expires by itself, on each voter's own steady clock. The lease itself is
// never written to disk: a voter that starts stays silent until every lease that it may have accepted before
// has expired. The highest promised ballot is on disk, so that epochs only rise; a voter that lost it asks
// the other voters first. A pure state machine without I/O; lease_explorer.h in tests/fleet explores its
// states.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// The state that a voter must keep across restarts (memory_file.h stores it).
struct VoterMemory {
  // Highest ballot promised, by resource.
  std::map<std::string, Ballot> promised;
  // Start number of the latest process of this name.
  std::uint64_t start = 0;
  // True where no promise of this voter is missing from `promised`. Stored as "sure".
  bool complete = false;
  bool operator==(const VoterMemory&) const = default;
};

// Answers proposers on behalf of one voter.
class Acceptor {
 public:
  // `others` names all voters except this one; `now` is the local steady clock.
  Acceptor(std::vector<std::string> others, const Timing& timing, VoterMemory memory, Micros now);

  // Returns the answer to a proposer's message, or nothing where this voter must stay silent or the message
  // needs no answer. Sets `persist` where memory() must be on disk before the answer is sent.
  std::optional<LeaseMessage> Answer(const LeaseMessage& message, Micros now, bool& persist);

  // True while this voter's promises are incomplete and it must ask the other voters.
  bool NeedsRecovery() const { return !memory_.complete; }
  // The request to send to every other voter while NeedsRecovery().
  LeaseMessage RecoveryRequest() const { return {LeaseKind::kRecoveryRequest, "", {}, 0, {}, false}; }
  // This voter's answer to another voter's recovery request: all its promises.
  std::vector<LeaseMessage> RecoveryReplies() const;
  // Merges the promises that voter `from` reported. Sets `persist` where the memory became complete.
  void OnRecoveryReply(const std::string& from, const std::vector<LeaseMessage>& messages, bool& persist);

  // Text of the whole state, as Proposer::StateKey.
  std::string StateKey() const;
  // True where this voter may answer no proposer.
  bool Silent(Micros now) const { return now < silent_until_ || !memory_.complete; }
  // Keeps this voter silent at least until `until`.
  void SilenceUntil(Micros until) { silent_until_ = std::max(silent_until_, until); }
  // What has to be persisted.
  const VoterMemory& memory() const { return memory_; }

 private:
  // A lease that this voter accepted; it runs until `until` by the local clock.
  struct Lease {
    Ballot ballot;
    Micros until{0};
    auto operator<=>(const Lease&) const = default;
  };
  std::vector<std::string> others_;
  Micros term_;
  VoterMemory memory_;
  Micros silent_until_;
  // Latest accepted lease, by resource.
  std::map<std::string, Lease> accepted_;
  // Voters that answered a recovery request, and whether their own memory is complete.
  std::map<std::string, bool> recovery_replies_;
};

}  // namespace indigosaddle::fleet
