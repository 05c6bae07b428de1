// What one member believes of all others: alive, suspected, dead, left. Suspicion with incarnation numbers
// after SWIM (Das, Gupta, Motivala 2002), with Lifeguard's deadline that shrinks as others confirm (Dadgar,
// Phillips, Currey 2018). A pure state machine.
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

struct Member {
  Peer peer;
  MemberWord word;
  bool known = false;  // anything was ever heard of it
  Micros since{0};     // in this liveness
  bool present() const { return known && word.liveness <= Liveness::kSuspect; }
};

class Members {
 public:
  Members(std::string self, std::uint64_t start, std::vector<Peer> roster, const Timing& pace,
          Gossip& gossip);

  // A word from anybody. True where it changed what is believed.
  bool Hear(const MemberWord& word, Micros now);
  void Suspect(const std::string& name, Micros now);  // by our own probe
  void Expire(Micros now);                            // suspicions that nobody refuted in time
  Micros NextExpiry() const;                          // far off where nobody is suspected
  void Thaw(Micros gap);  // this process stood still so long: that is no sign against others
  void Leave();           // our last word; from here on nothing is refuted

  MemberWord Self() const;
  MemberWord WordOf(const std::string& name) const { return members_.at(name).word; }
  const std::map<std::string, Member>& all() const { return members_; }  // others, by name
  bool Knows(const std::string& name) const { return members_.contains(name); }
  std::size_t present() const;  // with this one
  // Our own suspicion was refuted so many times since the start: a sign that this process is slow.
  std::uint64_t refuted() const { return refuted_; }
  // A later process has our name and lives: this one may hold and claim nothing more.
  bool superseded() const { return superseded_; }
  std::uint64_t start() const { return start_; }

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Micros from{0}, least{0}, most{0};
    int needed = 0;  // confirmations that make it shortest
    Micros due() const;
  };
  void HearOfSelf(const MemberWord& word);
  void Set(Member& member, const MemberWord& word, Micros now);

  const std::string self_;
  std::uint64_t start_;
  std::uint32_t incarnation_ = 0;
  const Timing pace_;
  Gossip& gossip_;
  std::map<std::string, Member> members_;
  std::map<std::string, Suspicion> suspicions_;
  std::uint64_t refuted_ = 0;
  bool leaving_ = false, superseded_ = false;
};

}  // namespace indigosaddle::fleet
