// Health of rate-limited scopes and endpoints, and the slow start of a recovering destination (rule 4).
//
// A destination that may come back cold bears a budget from all senders together, and no sender knows what
// the others send. So each earns an allowance whose sum over the fleet is the budget by construction,
// whatever the fleet's size: a part for each message that comes for the destination (what comes at all
// senders sums to the demand, times the share that was served, to what it can take), and an even part while
// messages wait. Both are linear in what a sender sees: chance in one sender's figure is made up for by the
// others. No call passes beside it; what is not used is kept up to one call.
#pragma once

#include "brain/bucket.h"

namespace indigosaddle::brain {

constexpr double kProbesPerFall = 2;      // of all senders in a fall span, where that is more
constexpr double kByDemand = 0.2;         // part of the budget that is shared by demand; the rest evenly
constexpr double kByDemandUntold = 0.9;   // the same where the limit is not told: little is sure
constexpr double kDeviations = 4;         // of the sum of independent senders that stay within the budget
constexpr double kSteadyVariance = 0.25;  // of a count that varies by one
constexpr double kSmallBudget = 30;       // calls in a fall span: rules allow more for chance below it
constexpr Micros kSavedSpan = milliseconds(100);  // of a pace above one call in it: so much may be saved
constexpr Micros kLeastOutage = seconds(4);       // a shorter gap in service leaves nothing cold
constexpr double kOutageShare = 0.5;              // of recent calls that fail: no blip
constexpr double kRoughSafe = 1 / 1.5;            // part of a rough listed limit that is there at the least

struct SlowStart : Buckets {
  // Calls a second that the destination takes at the least, from all senders.
  double SureLimit(const Lane& lane) const {
    if (lane.limit > 0) return lane.limit;
    if (Listed(lane) > 0) return lane.listed * (set_.weights == Weights::kRough ? kRoughSafe : 1);
    return kLeastRate;
  }

  // In trouble for so short a time that no outage can have come and gone: nothing is cold yet.
  bool InDoubt(const Health& health) const {
    return health.recovery == Recovery::kProbing && health.trouble_from > Micros::min() &&
           now_ - health.trouble_from < kLeastOutage && health.bad_share < kOutageShare;
  }

  Recovery RecoveryOf(const Health& health) const {
    return health.recovery == Recovery::kSlowStart && now_ - health.served_from >= set_.cold
               ? Recovery::kHealthy
               : health.recovery;
  }

  // Share of its capacity that a recovering destination surely has by now.
  double Warmth(const Health& health) const {
    const bool doubt = InDoubt(health);
    if (RecoveryOf(health) == Recovery::kHealthy || (doubt && health.before == Recovery::kHealthy)) return 1;
    if ((health.recovery != Recovery::kSlowStart && !doubt) || set_.cold <= Micros(0)) return set_.cold_from;
    const double passed = Seconds(now_ - health.ramp_from) / Seconds(set_.cold);
    return set_.cold_from + (1 - set_.cold_from) * std::min(1.0, passed);
  }

  // Calls that the rule lets pass in a fall span, with what it puts down to chance.
  static double Allowed(double budget) {
    const double chance = budget < kSmallBudget ? 3 : 2;
    return budget + chance * std::sqrt(budget) + chance;
  }

  // Part of the budget that all senders may earn together: its sum's chance stays within what is allowed. A
  // sender that earns a call or more a span makes them evenly, so that its count varies by one at the most.
  double BudgetShare(double budget) const {
    const double allowed = Allowed(budget), steady = set_.senders * kSteadyVariance;
    const double root = std::sqrt(allowed + kDeviations * kDeviations / 4) - kDeviations / 2;
    const double mean = root * root <= steady ? root * root : allowed - kDeviations * std::sqrt(steady);
    return std::min(1.0, mean / budget);
  }

  // Adds what was earned since the last look. `part`: of the lane's that this endpoint may have.
  void Earn(Health& health, const Lane& lane, double part, bool waiting) {
    Allowance& allowance = health.allowance;
    const double since = Seconds(now_ - std::exchange(allowance.at, now_));
    if (RecoveryOf(health) == Recovery::kHealthy || since <= 0) return;
    const double sure = SureLimit(lane);
    const bool told = lane.limit > 0 || Listed(lane) > 0;
    const double by_demand = told ? kByDemand : kByDemandUntold;
    const double demanded = by_demand * health.served_share * lane.asked.Faded(now_, since);
    const double even = waiting ? (1 - by_demand) * sure / set_.senders * since : 0;
    const double multiple = set_.overload_factor * Warmth(health);
    const double budget = told ? multiple * sure * Seconds(set_.fall) : kSmallBudget;
    double earned = BudgetShare(budget) * multiple * part * (demanded + even);
    if (health.recovery == Recovery::kProbing && waiting)
      earned = std::max(earned, part * kProbesPerFall / set_.senders / Seconds(set_.fall) * since);
    const double most = std::max(1.0, earned / since * Seconds(kSavedSpan));
    allowance.calls = std::max(allowance.calls, std::min(most, allowance.calls + earned));
  }

  // Where several endpoints share a limit, each has a budget of its own beside that of all.
  static bool HasOwnBudget(const Route& route) {
    return !route.kind.separate_routes && route.home->routes.size() > 1;
  }

  // The cold time that a slow start may take is over.
  void EndColdTime(Route& route) {
    Lane& lane = route.kind.separate_routes ? route.own : route.home->shared;
    for (Health* health : {&lane.health, &route.health}) {
      const Recovery before = health->recovery;
      health->recovery = RecoveryOf(*health);
      if (health == &lane.health || HasOwnBudget(route))
        Tell(route, lane, *health, before, RecoveryCause::kColdTimeOver);
    }
  }

  // Word of a change, for logs.
  void Tell(const Route& route, const Lane& lane, const Health& health, Recovery before,
            RecoveryCause cause) {
    if (health.recovery == before) return;
    const bool whole = &health == &lane.health && !route.kind.separate_routes;
    host_->OnRecovery({route.endpoint.destination, whole ? EndpointId() : route.endpoint.id, before,
                       health.recovery, cause, health.allowance.calls, health.spent, SureLimit(lane),
                       health.served_share});
  }

  // Before a message comes and before calls are chosen.
  void EarnAt(Destination& home) {
    const bool waiting = !home.waiting.empty();
    for (Route& route : home.routes) EndColdTime(route);
    bool shared = false;
    for (Route& route : home.routes) {
      const double part = route.kind.separate_routes ? 1 : 1 / static_cast<double>(home.routes.size());
      if (route.kind.separate_routes) {
        Earn(route.own.health, route.own, 1, waiting);
      } else {
        Earn(route.health, home.shared, part, waiting), shared = true;
      }
    }
    if (shared || home.routes.empty()) Earn(home.shared.health, home.shared, 1, waiting);
  }

  bool HasAllowance(const Health& health) const {
    if (RecoveryOf(health) == Recovery::kHealthy) return true;
    const bool doubt = InDoubt(health) && health.before == Recovery::kHealthy && !health.sent.empty();
    return health.allowance.calls >= 1 && (!doubt || now_ - health.sent.back().first >= kMoment);
  }

  static void Spend(Health& health, double weight) {
    if (health.recovery == Recovery::kHealthy) return;
    health.allowance.calls -= weight, health.spent += weight;
  }

  void Log(Route& route, Lane& lane, double weight) {
    slow_start_calls_ += lane.health.recovery == Recovery::kHealthy ? 0 : weight;
    for (Health* health : {&lane.health, &route.health}) {
      Spend(*health, weight);
      health->sent.emplace_back(now_, weight);
      std::erase_if(health->sent, [&](const auto& call) { return now_ - call.first > kBurst; });
    }
    lane.used = now_;
  }
};

}  // namespace indigosaddle::brain
