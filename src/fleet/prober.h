// Failure detection by pings: round robin over a shuffled list of members, indirect probes through other
// members, a negative answer (nack) from a relay that is reachable itself, and a health penalty that slows
// down a process that cannot trust its own clock or network (SWIM; Lifeguard's local health). A pure state
// machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/members.h"

namespace indigosaddle::fleet {

// Decides who is pinged when, and reports failed probes to Members, which must outlive it.
class Prober {
 public:
  // A packet to send: ping, ping request, ack or nack.
  struct ProbeMessage {
    PacketKind kind = PacketKind::kPing;
    std::string to;
    std::uint64_t seq = 0;
    // Whom the ping is meant for; empty in answers.
    std::string target;
  };
  using ProbeMessages = std::vector<ProbeMessage>;

  Prober(Members& members, const Timing& timing, std::uint64_t seed, Micros now);

  // Does what is due; appends what is to be sent to `messages`.
  void Tick(Micros now, ProbeMessages& messages);
  // When Tick has to be called next.
  Micros NextDue() const;
  // An ack of this member's own probe, or of one relayed for another, which is then passed on.
  void OnAck(const std::string& from, std::uint64_t seq, ProbeMessages& messages);
  // A relay answered that the target did not answer it.
  void OnNack(std::uint64_t seq);
  // A request to ping `target` on behalf of `from`.
  void OnPingReq(const std::string& from, std::uint64_t seq, const std::string& target, Micros now,
                 ProbeMessages& messages);
  // Moves the deadlines of probes and relayed pings by `gap`, for which this process stood still, and raises
  // the health penalty.
  void ShiftDeadlines(Micros gap);
  // This process had to refute a suspicion of itself: it is slow, or was.
  void OnRefutation();

  // A sequence number for a ping, never used before by this process.
  std::uint64_t NextSeq() { return ++seq_; }
  // Lifeguard's local health: 0 is healthy, kMaxHealthPenalty the worst.
  int health_penalty() const { return health_penalty_; }
  static constexpr int kMaxHealthPenalty = 8;
  // Up to `count` random members other than `except` that are present, or not present.
  std::vector<std::string> RandomMembers(std::size_t count, const std::string& except, bool present = true);

 private:
  // This member's own running probe.
  struct Probe {
    std::string target;
    std::uint64_t seq = 0;
    // When indirect probes are requested.
    Micros indirect_at{0};
    // When the probe has failed.
    Micros deadline{0};
    bool indirect_sent = false;
    bool answered = false;
    int relays = 0;
    int nacks = 0;
  };
  // A ping sent on behalf of another member.
  struct RelayedPing {
    std::string requester;
    std::string target;
    // The requester's sequence number.
    std::uint64_t seq = 0;
    // When the requester is told that the target did not answer.
    Micros nack_at{0};
  };
  void AdjustHealthPenalty(int by);
  void Finish(Micros now);
  void Begin(Micros now, ProbeMessages& messages);

  Members& members_;
  const Timing timing_;
  std::mt19937_64 random_;
  // Latest sequence number used.
  std::uint64_t seq_;
  // Members still to be probed in this round; the last one is next.
  std::vector<std::string> round_targets_;
  std::optional<Probe> probe_;
  // By the sequence number of this member's ping.
  std::map<std::uint64_t, RelayedPing> relayed_pings_;
  Micros next_probe_at_{0};
  // When a member that is not present is pinged next.
  Micros reconnect_ping_at_{0};
  int health_penalty_ = 0;
};

}  // namespace indigosaddle::fleet
