// What one member believes about all others: alive, suspected, dead or left. Suspicion with incarnation
// numbers after SWIM (Das, Gupta, Motivala 2002), with Lifeguard's suspicion timeout that shrinks as other
// members confirm the suspicion (Dadgar, Phillips, Currey 2018). A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/gossip.h"
#include "fleet/types.h"

namespace indigosaddle::fleet {

// One other member as this process sees it.
struct Member {
  Peer peer;
  // The latest update about it.
  MemberUpdate latest;
  // False until anything was heard about it.
  bool known = false;
  // When its liveness or its process last changed.
  Micros since{0};
  // True where it is alive or suspected.
  bool present() const { return known && latest.liveness <= Liveness::kSuspect; }
};

// The membership table. Adds every change to the gossip queue, which must outlive it.
class Members {
 public:
  Members(std::string self, std::uint64_t start, std::vector<Peer> roster, const Timing& timing,
          Gossip& gossip);

  // Takes in an update from any source. Returns true where it changed what is believed.
  bool Apply(const MemberUpdate& update, Micros now);
  // Suspects a member because this process's own probe failed.
  void Suspect(const std::string& name, Micros now);
  // Declares dead whoever did not refute a suspicion in time.
  void ExpireSuspicions(Micros now);
  // When the next suspicion expires; Micros::max() where nobody is suspected.
  Micros NextExpiry() const;
  // Extends all suspicions by `gap`: this process stood still so long, which is no evidence against others.
  void ShiftDeadlines(Micros gap);
  // Announces that this member leaves; from here on it refutes nothing.
  void Leave();

  // What this member says about itself.
  MemberUpdate Self() const;
  // The latest update about another member. The name must be in the roster.
  MemberUpdate LatestUpdate(const std::string& name) const { return members_.at(name).latest; }
  // All other members, by name.
  const std::map<std::string, Member>& all() const { return members_; }
  // True for the other members of the roster.
  bool Knows(const std::string& name) const { return members_.contains(name); }
  // Members alive or suspected, this one included.
  std::size_t present() const;
  // How often this member refuted a suspicion of itself since its start: a sign that this process is slow.
  std::uint64_t refuted() const { return refuted_; }
  // True where a later process has this name and is alive: this one may no longer hold leases.
  bool superseded() const { return superseded_; }
  // Start number of this process.
  std::uint64_t start() const { return start_; }

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Micros began{0};
    Micros min_timeout{0};
    Micros max_timeout{0};
    // Confirmations at which the timeout reaches `min_timeout`.
    int expected_confirmations = 0;
    Micros Deadline() const;
  };
  void ApplyAboutSelf(const MemberUpdate& update);
  void Set(Member& member, const MemberUpdate& update, Micros now);

  const std::string self_;
  std::uint64_t start_;
  std::uint32_t incarnation_ = 0;
  const Timing timing_;
  Gossip& gossip_;
  std::map<std::string, Member> members_;
  // By the suspected member's name.
  std::map<std::string, Suspicion> suspicions_;
  std::uint64_t refuted_ = 0;
  bool leaving_ = false;
  bool superseded_ = false;
};

}  // namespace indigosaddle::fleet
