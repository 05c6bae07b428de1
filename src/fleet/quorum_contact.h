// Whether this process is in touch with a majority of the voters, and since when that is sure: what a member
// must know that sits in the smaller part of a cut. Each voter is asked in turn of a fixed interval; an
// answer is worth the instant at which its question left. A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/prober.h"

namespace indigosaddle::fleet {

class Contact {
 public:
  Contact(const std::string& self, const std::vector<Peer>& roster, const Timing& pace, Micros now);

  void Tick(Micros now, Prober& prober, Prober::Asks& asks);
  Micros NextDue() const { return next_; }
  void OnAck(const std::string& from, std::uint64_t seq);

  // The latest instant at which a majority of the voters was there for sure; nothing: never yet. A voter
  // alone of one is always in touch with itself.
  std::optional<Micros> Sure(Micros now) const;
  std::size_t voters() const { return voters_.size() + (self_votes_ ? 1 : 0); }

 private:
  struct Voter {
    std::uint64_t seq = 0;
    Micros asked{0};
    std::optional<Micros> sure;
  };
  std::map<std::string, Voter> voters_;  // others
  bool self_votes_ = false;
  const Micros every_;
  Micros next_{0};
};

}  // namespace indigosaddle::fleet
