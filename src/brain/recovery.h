// How calls are judged: whether a destination or an endpoint may be down, serves, or may come back cold (rule
// 4).
#pragma once

#include "brain/slow_start.h"

namespace indigosaddle::brain {

constexpr double kMemory = 0.1;  // weight of the newest call in the failing share
constexpr double kRetriesAtOnce =
    3;  // of all senders, beside what they earn: within what is put down to chance

struct RecoveryRules : SlowStart {
  // Out of service: what it earns from here on is shared by what it served until then.
  void Leave(Health& health, const Lane& lane) {
    const double asked = lane.asked_long.Events(now_), served = lane.served_long.Events(now_);
    health.served_share = std::min(1.0, (served + 1) / (asked + 1));
    health.allowance = {Draw() + std::min(1.0, kRetriesAtOnce / set_.senders), now_};
    health.spent = 0;
  }

  // Any failure may be an outage. A served call tells: a blip or a limit, or cold and on its return.
  void Judge(Health& health, const Lane& lane, bool ok, Micros sent) {
    health.bad_share += kMemory * ((ok ? 0 : 1) - health.bad_share);
    if (!ok) {
      ++health.bad_run;
      if (RecoveryOf(health) == Recovery::kHealthy) Leave(health, lane);
      if (health.recovery != Recovery::kProbing)
        health.before = RecoveryOf(health), health.trouble_from = health.last_ok;
      health.recovery = Recovery::kProbing, health.last_bad = std::max(health.last_bad, sent);
      return;
    }
    health.last_ok = std::max(health.last_ok, sent);
    if (sent < health.last_bad) return;
    if (health.recovery == Recovery::kProbing) {
      const bool blip = InDoubt(health);
      health.recovery = blip ? health.before : Recovery::kSlowStart;
      if (!blip) health.served_from = now_, health.ramp_from = sent - (sent - health.last_bad) / 2;
    }
    health.bad_run = 0;
  }

  // The same of a call's lane and endpoint, and word of what changed.
  void JudgeCall(Route& route, bool ok, Micros sent, RecoveryCause cause) {
    Lane& lane = LaneOf(route);
    const Recovery lane_before = RecoveryOf(lane.health), before = RecoveryOf(route.health);
    Judge(lane.health, lane, ok, sent), Judge(route.health, lane, ok, sent);
    Tell(route, lane, lane.health, lane_before, cause);
    if (HasOwnBudget(route)) Tell(route, lane, route.health, before, cause);
  }

  // Nothing was learned of it in this process, and what was tried before had not been delivered: it may be
  // down, or on its return. Unsure means cold.
  void Distrust(Route& route) {
    const Health& health = LaneOf(route).health;
    const bool unknown = health.last_ok == Micros::min() && health.last_bad == Micros::min();
    if (unknown) JudgeCall(route, false, now_, RecoveryCause::kRestarted);
  }

  void DistrustAll(Destination& home) {
    home.unsure = true;
    for (Route& route : home.routes) Distrust(route);
  }

  // A zone was lost, agreed by others: what stands there may come back cold, for all senders at once.
  void LoseZone(Route& route) {
    Lane& lane = LaneOf(route);
    const bool own = route.kind.separate_routes || route.home->routes.size() == 1;
    for (Health* health : {&route.health, own ? &lane.health : &route.health}) {
      const Recovery before = RecoveryOf(*health);
      Judge(*health, lane, false, now_);
      health->trouble_from = Micros::min();  // no blip
      Tell(route, lane, *health, before, RecoveryCause::kZoneLost);
    }
  }
};

}  // namespace indigosaddle::brain
