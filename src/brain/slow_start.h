// Health of rate scopes and endpoints, and the slow start of a recovering destination (rule 4: no overload of
// a recovering endpoint, unsure means cold).
//
// A destination that may come back cold has a budget for all senders together, and no sender knows what the
// others send. So each sender earns an allowance. The allowances of all senders sum to the budget, whatever
// their number. An allowance has two parts: one for each message that comes for the destination (over all
// senders these messages are its demand, and the demand times the share that was served is what it can take),
// and an even part while messages wait. Both are linear in what a sender sees, so that chance in the figures
// of single senders evens out. No call to a recovering destination is made outside the allowance. Unused
// allowance is kept, up to one call or what is earned in kSavedPaceSpan, whichever is more.
#pragma once

#include "brain/token_bucket.h"

namespace indigosaddle::brain {

// Probe requests of all senders together in Settings::fall, where the budget gives fewer.
constexpr double kProbesPerFall = 2;
constexpr double kByDemand = 0.2;  // part of the budget that is shared by demand; the rest is shared evenly
constexpr double kByDemandUnknownLimit = 0.9;  // the same where no limit is told and little is certain
// The mean of the senders' sum, and so many standard deviations of it, stay within Allowed.
constexpr double kBudgetDeviations = 4;
constexpr double kSteadyVariance = 0.25;  // variance of a count that varies by one
// Calls in Settings::fall; below it rule 4 allows more for chance. Assumed as the budget where no limit is
// told.
constexpr double kSmallBudget = 30;
constexpr Micros kSavedPaceSpan = milliseconds(100);  // what is earned in it may be saved, if above one call
constexpr Micros kLeastOutage = seconds(4);           // after a shorter gap in service nothing is cold
constexpr double kOutageShare = 0.5;                  // of recent calls that fail: more than a blip
constexpr double kRoughSafe = 1 / 1.5;                // part of a rough listed limit that surely exists

// Decides how many calls a destination that is not healthy gets.
struct SlowStart : TokenBuckets {
  // Calls a second from all senders that the destination surely takes when healthy.
  double AssuredLimit(const RateScope& scope) const {
    if (scope.reported_limit > 0) return scope.reported_limit;
    if (Listed(scope) > 0) return scope.listed_limit * (set_.weights == Weights::kRough ? kRoughSafe : 1);
    return kLeastRate;
  }

  // Whether calls have failed for so short a time that no outage can have come and gone: nothing is cold yet.
  bool MaybeBlip(const Health& health) const {
    return health.recovery == Recovery::kProbing && health.failing_since > Micros::min() &&
           now_ - health.failing_since < kLeastOutage && health.failure_share < kOutageShare;
  }

  // Its state now: slow start ends by time alone.
  Recovery RecoveryOf(const Health& health) const {
    return health.recovery == Recovery::kSlowStart && now_ - health.serving_since >= set_.cold
               ? Recovery::kHealthy
               : health.recovery;
  }

  // Share of its full capacity that it surely has now.
  double Warmth(const Health& health) const {
    const bool doubt = MaybeBlip(health);
    if (RecoveryOf(health) == Recovery::kHealthy || (doubt && health.before == Recovery::kHealthy)) return 1;
    if ((health.recovery != Recovery::kSlowStart && !doubt) || set_.cold <= Micros(0)) return set_.cold_from;
    const double passed = Seconds(now_ - health.ramp_start) / Seconds(set_.cold);
    return set_.cold_from + (1 - set_.cold_from) * std::min(1.0, passed);
  }

  // Calls that rule 4 allows in Settings::fall: the budget, and a margin for chance.
  static double Allowed(double budget) {
    const double chance = budget < kSmallBudget ? 3 : 2;
    return budget + chance * std::sqrt(budget) + chance;
  }

  // Part of the budget that all senders may earn together, so that their sum stays within Allowed despite
  // chance. A sender that earns a call or more in Settings::fall makes them evenly, so its count varies by
  // one at most.
  double BudgetShare(double budget) const {
    const double allowed = Allowed(budget);
    const double steady = set_.senders * kSteadyVariance;
    const double root =
        std::sqrt(allowed + kBudgetDeviations * kBudgetDeviations / 4) - kBudgetDeviations / 2;
    const double mean = root * root <= steady ? root * root : allowed - kBudgetDeviations * std::sqrt(steady);
    return std::min(1.0, mean / budget);
  }

  // Adds what was earned since the last call of this function. `part`: share of the scope's budget that this
  // health may have. `waiting`: messages wait for the destination.
  void Earn(Health& health, const RateScope& scope, double part, bool waiting) {
    Allowance& allowance = health.allowance;
    const double since = Seconds(now_ - std::exchange(allowance.at, now_));
    if (RecoveryOf(health) == Recovery::kHealthy || since <= 0) return;
    const double sure = AssuredLimit(scope);
    const bool limit_known = scope.reported_limit > 0 || Listed(scope) > 0;
    const double by_demand = limit_known ? kByDemand : kByDemandUnknownLimit;
    const double demanded = by_demand * health.served_share * scope.demand.Faded(now_, since);
    const double even = waiting ? (1 - by_demand) * sure / set_.senders * since : 0;
    const double multiple = set_.overload_factor * Warmth(health);
    const double budget = limit_known ? multiple * sure * Seconds(set_.fall) : kSmallBudget;
    double earned = BudgetShare(budget) * multiple * part * (demanded + even);
    if (health.recovery == Recovery::kProbing && waiting)
      earned = std::max(earned, part * kProbesPerFall / set_.senders / Seconds(set_.fall) * since);
    const double most = std::max(1.0, earned / since * Seconds(kSavedPaceSpan));
    allowance.calls = std::max(allowance.calls, std::min(most, allowance.calls + earned));
  }

  // Whether the endpoint has a budget beside that of its scope: so where several endpoints share a limit.
  static bool HasOwnBudget(const EndpointRecord& record) {
    return !record.kind.separate_routes && record.destination->endpoints.size() > 1;
  }

  // Ends the slow starts whose time (Settings::cold) is over.
  void EndColdTime(EndpointRecord& record) {
    RateScope& scope = record.kind.separate_routes ? record.own : record.destination->shared;
    for (Health* health : {&scope.health, &record.health}) {
      const Recovery before = health->recovery;
      health->recovery = RecoveryOf(*health);
      if (health == &scope.health || HasOwnBudget(record))
        ReportChange(record, scope, *health, before, RecoveryCause::kColdTimeOver);
    }
  }

  // Reports a change of `health`, if there is one, for logs.
  void ReportChange(const EndpointRecord& record, const RateScope& scope, const Health& health,
                    Recovery before, RecoveryCause cause) {
    if (health.recovery == before) return;
    const bool whole = &health == &scope.health && !record.kind.separate_routes;
    host_->OnRecovery({record.endpoint.destination, whole ? EndpointId() : record.endpoint.id, before,
                       health.recovery, cause, health.allowance.calls, health.calls_spent,
                       AssuredLimit(scope), health.served_share});
  }

  // Adds what the destination's scopes and endpoints earned. To be called before a message is added and
  // before calls are chosen.
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
        Earn(record.health, destination.shared, part, waiting);
        shared = true;
      }
    }
    if (shared || destination.endpoints.empty())
      Earn(destination.shared.health, destination.shared, 1, waiting);
  }

  // Whether a call may be made now. A possible blip gets a probe request each kRetryGap.
  bool HasAllowance(const Health& health) const {
    if (RecoveryOf(health) == Recovery::kHealthy) return true;
    const bool doubt =
        MaybeBlip(health) && health.before == Recovery::kHealthy && !health.recent_calls.empty();
    return health.allowance.calls >= 1 && (!doubt || now_ - health.recent_calls.back().first >= kRetryGap);
  }

  // Takes a call of this weight from the allowance.
  static void Spend(Health& health, double weight) {
    if (health.recovery == Recovery::kHealthy) return;
    health.allowance.calls -= weight;
    health.calls_spent += weight;
  }

  // Counts a call, or a further message in one, against its scope and endpoint.
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
