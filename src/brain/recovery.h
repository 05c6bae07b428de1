// How calls are judged: whether a destination or an endpoint may be down, serves, or may come back cold (rule
// 4).
#pragma once

#include "brain/slow_start.h"

namespace indigosaddle::brain {

constexpr double kFailureShareWeight = 0.1;  // weight of the newest call in the failing share
constexpr double kRetriesAtOnce =
    3;  // of all senders, beside what they earn: within what is put down to chance

struct RecoveryRules : SlowStart {
  // Out of service: what it earns from here on is shared by what it served until then.
  void EnterOutage(Health& health, const RateScope& scope) {
    const double asked = scope.demand_long.Events(now_), served = scope.served_long.Events(now_);
    health.served_share = std::min(1.0, (served + 1) / (asked + 1));
    health.allowance = {RandomShare() + std::min(1.0, kRetriesAtOnce / set_.senders), now_};
    health.calls_spent = 0;
  }

  // Any failure may be an outage. A served call tells: a blip or a limit, or cold and on its return.
  void UpdateHealth(Health& health, const RateScope& scope, bool ok, Micros sent) {
    health.failure_share += kFailureShareWeight * ((ok ? 0 : 1) - health.failure_share);
    if (!ok) {
      ++health.consecutive_failures;
      if (RecoveryOf(health) == Recovery::kHealthy) EnterOutage(health, scope);
      if (health.recovery != Recovery::kProbing)
        health.before = RecoveryOf(health), health.failing_since = health.last_ok;
      health.recovery = Recovery::kProbing, health.last_failed = std::max(health.last_failed, sent);
      return;
    }
    health.last_ok = std::max(health.last_ok, sent);
    if (sent < health.last_failed) return;
    if (health.recovery == Recovery::kProbing) {
      const bool blip = MaybeBlip(health);
      health.recovery = blip ? health.before : Recovery::kSlowStart;
      if (!blip) health.serving_since = now_, health.ramp_start = sent - (sent - health.last_failed) / 2;
    }
    health.consecutive_failures = 0;
  }

  // The same of a call's scope and endpoint, and word of what changed.
  void RecordCallResult(EndpointRecord& record, bool ok, Micros sent, RecoveryCause cause) {
    RateScope& scope = ScopeOf(record);
    const Recovery scope_before = RecoveryOf(scope.health), before = RecoveryOf(record.health);
    UpdateHealth(scope.health, scope, ok, sent), UpdateHealth(record.health, scope, ok, sent);
    ReportChange(record, scope, scope.health, scope_before, cause);
    if (HasOwnBudget(record)) ReportChange(record, scope, record.health, before, cause);
  }

  // Nothing was learned of it in this process, and what was tried before had not been delivered: it may be
  // down, or on its return. Unsure means cold.
  void AssumeCold(EndpointRecord& record) {
    const Health& health = ScopeOf(record).health;
    const bool unknown = health.last_ok == Micros::min() && health.last_failed == Micros::min();
    if (unknown) RecordCallResult(record, false, now_, RecoveryCause::kRestarted);
  }

  void AssumeAllCold(Destination& destination) {
    destination.maybe_cold = true;
    for (EndpointRecord& record : destination.endpoints) AssumeCold(record);
  }

  // A zone was lost, agreed by others: what stands there may come back cold, for all senders at once.
  void LoseZone(EndpointRecord& record) {
    RateScope& scope = ScopeOf(record);
    const bool own = record.kind.separate_routes || record.destination->endpoints.size() == 1;
    for (Health* health : {&record.health, own ? &scope.health : &record.health}) {
      const Recovery before = RecoveryOf(*health);
      UpdateHealth(*health, scope, false, now_);
      health->failing_since = Micros::min();  // no blip
      ReportChange(record, scope, *health, before, RecoveryCause::kZoneLost);
    }
  }
};

}  // namespace indigosaddle::brain
