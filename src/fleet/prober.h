// Who is pinged when. Round robin over a shuffled ring, indirect pings through others, a negative answer from
// a mediator that is there itself, and a strain that slows a process down which cannot trust its own clock or
// network (SWIM; Lifeguard's local health). A pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/members.h"

namespace indigosaddle::fleet {

class Prober {
 public:
  struct Ask {
    PacketKind kind = PacketKind::kPing;
    std::string to;
    std::uint64_t seq = 0;
    std::string target;
  };
  using Asks = std::vector<Ask>;

  Prober(Members& members, const Timing& pace, std::uint64_t seed, Micros now);

  void Tick(Micros now, Asks& asks);
  Micros NextDue() const;
  void OnAck(const std::string& from, std::uint64_t seq, Asks& asks);
  void OnNack(std::uint64_t seq);
  void OnPingReq(const std::string& from, std::uint64_t seq, const std::string& target, Micros now,
                 Asks& asks);
  void Thaw(Micros gap);
  void Refuted();  // somebody suspected this process: it is slow, or was

  std::uint64_t NextSeq() { return ++seq_; }
  int health_penalty() const { return strain_; }  // 0: well; up to kMostStrain
  static constexpr int kMostStrain = 8;
  // `count` present members by chance, but for the named ones.
  std::vector<std::string> Some(std::size_t count, const std::string& but, bool present = true);

 private:
  struct Probe {
    std::string target;
    std::uint64_t seq = 0;
    Micros indirect_at{0}, ends{0};
    bool asked = false, answered = false;
    int mediators = 0, nacks = 0;
  };
  struct Mediation {
    std::string asker, target;
    std::uint64_t seq = 0;  // the asker's
    Micros nack_at{0};
  };
  void Strain(int by);
  void Finish(Micros now);
  void Begin(Micros now, Asks& asks);

  Members& members_;
  const Timing pace_;
  std::mt19937_64 random_;
  std::uint64_t seq_;
  std::vector<std::string> ring_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Mediation> mediations_;
  Micros next_{0}, heal_at_{0};
  int strain_ = 0;
};

}  // namespace indigosaddle::fleet
