// Tracks whether this process is in contact with a majority of the voters, and when that was last confirmed.
// A member in the minority side of a network partition learns from it that it is isolated. Every voter is
// pinged at a fixed interval; an answer confirms the instant at which its ping was sent. A pure state
// machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/prober.h"

namespace indigosaddle::fleet {

// Pings all voters and remembers when each was last confirmed to be reachable.
class QuorumContact {
 public:
  // `self` is this member's name, `roster` all members.
  QuorumContact(const std::string& self, const std::vector<Peer>& roster, const Timing& timing, Micros now);

  // Appends the pings that are due to `messages`, numbered by `prober`.
  void Tick(Micros now, Prober& prober, Prober::ProbeMessages& messages);
  // When Tick has to be called next.
  Micros NextDue() const { return next_ping_at_; }
  // Handles an ack; one that does not answer the voter's latest ping is ignored.
  void OnAck(const std::string& from, std::uint64_t seq);

  // The latest instant at which a majority of the voters was confirmed reachable; nothing if never yet. The
  // only voter of a fleet is always in contact with itself.
  std::optional<Micros> LastConfirmed(Micros now) const;
  // Number of voters, this member included where it votes.
  std::size_t voters() const { return voters_.size() + (self_votes_ ? 1 : 0); }

 private:
  struct Voter {
    // Sequence number of the latest ping.
    std::uint64_t seq = 0;
    // When the latest ping was sent.
    Micros pinged_at{0};
    // When the latest ping that was answered was sent.
    std::optional<Micros> confirmed;
  };
  // The other voters, by name.
  std::map<std::string, Voter> voters_;
  bool self_votes_ = false;
  const Micros ping_every_;
  Micros next_ping_at_{0};
};

}  // namespace indigosaddle::fleet
