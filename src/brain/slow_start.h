// Health of rate-limited scopes and endpoints, and the slow start of a recovering destination (rule 4).
//
// A destination that may come back cold bears a budget from all senders together, and no sender knows what
// the others send. So each earns an allowance whose sum over the fleet is the budget by construction,
// whatever the fleet's size: a part for each message that comes for the destination (what comes at all
// senders sums to the demand, times the share that was served, to what it can take), and an even part while
// messages wait. Both are linear in what a sender sees: chance in one sender's figure is made up for by the
// others. No call passes beside it; what is not used is kept up to one call.
#pragma once

#include "brain/token_bucket.h"

namespace indigosaddle::brain {

constexpr double kProbesPerFall = 2;           // of all senders in a fall span, where that is more
constexpr double kByDemand = 0.2;              // part of the budget that is shared by demand; the rest evenly
constexpr double kByDemandUnknownLimit = 0.9;  // the same where the limit is not told: little is sure
constexpr double kDeviations = 4;         // of the sum of independent senders that stay within the budget
constexpr double kSteadyVariance = 0.25;  // of a count that varies by one
constexpr double kSmallBudget = 30;       // calls in a fall span: rules allow more for chance below it
constexpr Micros kSavedPaceSpan = milliseconds(100);  // of a pace above one call in it: so much may be saved
constexpr Micros kLeastOutage = seconds(4);           // a shorter gap in service leaves nothing cold
constexpr double kOutageShare = 0.5;                  // of recent calls that fail: no blip
constexpr double kRoughSafe = 1 / 1.5;  // part of a rough listed limit that is there at the least

struct SlowStart : TokenBuckets {
  // Calls a second that the destination takes at the least, from all senders.
  double AssuredLimit(const RateScope& scope) const {
    if (scope.reported_limit > 0) return scope.reported_limit;
    if (Listed(scope) > 0) return scope.listed_limit * (set_.weights == Weights::kRough ? kRoughSafe : 1);
    return kLeastRate;
  }

  // In trouble for so short a time that no outage can have come and gone: nothing is cold yet.
  bool MaybeBlip(const Health& health) const {
    return health.recovery == Recovery::kProbing && health.failing_since > Micros::min() &&
           now_ - health.failing_since < kLeastOutage && health.failure_share < kOutageShare;
  }

  Recovery RecoveryOf(const Health& health) const {
    return health.recovery == Recovery::kSlowStart && now_ - health.serving_since >= set_.cold
               ? Recovery::kHealthy
               : health.recovery;
  }

  // Share of its capacity that a recovering destination surely has by now.
  double Warmth(const Health& health) const {
    const bool doubt = MaybeBlip(health);
    if (RecoveryOf(health) == Recovery::kHealthy || (doubt && health.before == Recovery::kHealthy)) return 1;
    if ((health.recovery != Recovery::kSlowStart && !doubt) || set_.cold <= Micros(0)) return set_.cold_from;
    const double passed = Seconds(now_ - health.ramp_start) / Seconds(set_.cold);
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
  void Earn(Health& health, const RateScope& scope, double part, bool waiting) {
    Allowance& allowance = health.allowance;
    const double since = Seconds(now_ - std::exchange(allowance.at, now_));
    if (RecoveryOf(health) == Recovery::kHealthy || since <= 0) return;
    const double sure = AssuredLimit(scope);
    const bool told = scope.reported_limit > 0 || Listed(scope) > 0;
    const double by_demand = told ? kByDemand : kByDemandUnknownLimit;
    const double demanded = by_demand * health.served_share * scope.demand.Faded(now_, since);
    const double even = waiting ? (1 - by_demand) * sure / set_.senders * since : 0;
    const double multiple = set_.overload_factor * Warmth(health);
    const double budget = told ? multiple * sure * Seconds(set_.fall) : kSmallBudget;
    double earned = BudgetShare(budget) * multiple * part * (demanded + even);
    if (health.recovery == Recovery::kProbing && waiting)
      earned = std::max(earned, part * kProbesPerFall / set_.senders / Seconds(set_.fall) * since);
    const double most = std::max(1.0, earned / since * Seconds(kSavedPaceSpan));
    allowance.calls = std::max(allowance.calls, std::min(most, allowance.calls + earned));
  }

  // Where several endpoints share a limit, each has a budget of its own beside that of all.
  static bool HasOwnBudget(const EndpointRecord& record) {
    return !record.kind.separate_routes && record.destination->endpoints.size() > 1;
  }

  // The cold time that a slow start may take is over.
  void EndColdTime(EndpointRecord& record) {
    RateScope& scope = record.kind.separate_routes ? record.own : record.destination->shared;
    for (Health* health : {&scope.health, &record.health}) {
      const Recovery before = health->recovery;
      health->recovery = RecoveryOf(*health);
      if (health == &scope.health || HasOwnBudget(record))
        ReportChange(record, scope, *health, before, RecoveryCause::kColdTimeOver);
    }
  }

  // Word of a change, for logs.
  void ReportChange(const EndpointRecord& record, const RateScope& scope, const Health& health,
                    Recovery before, RecoveryCause cause) {
    if (health.recovery == before) return;
    const bool whole = &health == &scope.health && !record.kind.separate_routes;
    host_->OnRecovery({record.endpoint.destination, whole ? EndpointId() : record.endpoint.id, before,
                       health.recovery, cause, health.allowance.calls, health.calls_spent, AssuredLimit(scope),
                       health.served_share});
  }

  // Before a message comes and before calls are chosen.
  void EarnAll(Destination& destination) {
    const bool waiting = !destination.waiting.empty();
    for (EndpointRecord& record : destination.endpoints) EndColdTime(record);
    bool shared = false;
    for (EndpointRecord& record : destination.endpoints) {
      const double part =
          record.kind.separate_routes ? 1 : 1 / static_cast<double>(destination.endpoints.size());
      if (record.kind.separate_routes) {
        Earn(record.own.health, record.own, 1, waiting);
      } else {
        Earn(record.health, destination.shared, part, waiting), shared = true;
      }
    }
    if (shared || destination.endpoints.empty())
      Earn(destination.shared.health, destination.shared, 1, waiting);
  }

  bool HasAllowance(const Health& health) const {
    if (RecoveryOf(health) == Recovery::kHealthy) return true;
    const bool doubt = MaybeBlip(health) && health.before == Recovery::kHealthy && !health.recent_calls.empty();
    return health.allowance.calls >= 1 && (!doubt || now_ - health.recent_calls.back().first >= kRetryGap);
  }

  static void Spend(Health& health, double weight) {
    if (health.recovery == Recovery::kHealthy) return;
    health.allowance.calls -= weight, health.calls_spent += weight;
  }

  void CountCall(EndpointRecord& record, RateScope& scope, double weight) {
    slow_start_calls_ += scope.health.recovery == Recovery::kHealthy ? 0 : weight;
    for (Health* health : {&scope.health, &record.health}) {
      Spend(*health, weight);
      health->recent_calls.emplace_back(now_, weight);
      std::erase_if(health->recent_calls, [&](const auto& call) { return now_ - call.first > kBurst; });
    }
    scope.last_used = now_;
  }
};

}  // namespace indigosaddle::brain
