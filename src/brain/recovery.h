// The circuit breaker of rate scopes and endpoints: decides from the results of calls whether one may be
// down, serves, or may come back cold (rule 4).
#pragma once

#include "brain/slow_start.h"

namespace indigosaddle::brain {

constexpr double kFailureShareWeight = 0.1;  // weight of the newest call in Health::failure_share
// Calls of all senders together that may be repeated at once in an outage, beside what they earn. Rule 4's
// margin for chance covers them.
constexpr double kRetriesAtOnce = 3;

// Updates health from results of calls and from word about zones.
struct RecoveryRules : SlowStart {
  // Starts an allowance for what stops being healthy. What it earns from here on depends on the share of its
  // messages that was served until now.
  void EnterOutage(Health& health, const RateScope& scope) {
    const double asked = scope.demand_long.Events(now_);
    const double served = scope.served_long.Events(now_);
    health.served_share = std::min(1.0, (served + 1) / (asked + 1));
    health.allowance = {RandomShare() + std::min(1.0, kRetriesAtOnce / set_.senders), now_};
    health.calls_spent = 0;
  }

  // Applies one result. Any failure may be an outage. A served call ends the probing: where calls failed or
  // were refused only briefly (MaybeBlip), the former state returns, otherwise slow start begins.
  void UpdateHealth(Health& health, const RateScope& scope, bool ok, Micros sent) {
    health.failure_share += kFailureShareWeight * ((ok ? 0 : 1) - health.failure_share);
    if (!ok) {
      ++health.consecutive_failures;
      if (RecoveryOf(health) == Recovery::kHealthy) EnterOutage(health, scope);
      if (health.recovery != Recovery::kProbing) {
        health.before = RecoveryOf(health);
        health.failing_since = health.last_ok;
      }
      health.recovery = Recovery::kProbing;
      health.last_failed = std::max(health.last_failed, sent);
      return;
    }
    health.last_ok = std::max(health.last_ok, sent);
    if (sent < health.last_failed) return;
    if (health.recovery == Recovery::kProbing) {
      const bool blip = MaybeBlip(health);
      health.recovery = blip ? health.before : Recovery::kSlowStart;
      if (!blip) {
        health.serving_since = now_;
        health.ramp_start = sent - (sent - health.last_failed) / 2;
      }
    }
    health.consecutive_failures = 0;
  }

  // Applies a call's result to its scope and its endpoint, and reports what changed.
  void RecordCallResult(EndpointRecord& record, bool ok, Micros sent, RecoveryCause cause) {
    RateScope& scope = ScopeOf(record);
    const Recovery scope_before = RecoveryOf(scope.health);
    const Recovery before = RecoveryOf(record.health);
    UpdateHealth(scope.health, scope, ok, sent);
    UpdateHealth(record.health, scope, ok, sent);
    ReportChange(record, scope, scope.health, scope_before, cause);
    if (HasOwnBudget(record)) ReportChange(record, scope, record.health, before, cause);
  }

  // Handles a message for it that was tried before a restart without a delivery. If this process has made no
  // call there yet, the endpoint may be down or recovering: unsure means cold (rule 4).
  void AssumeCold(EndpointRecord& record) {
    const Health& health = ScopeOf(record).health;
    const bool unknown = health.last_ok == Micros::min() && health.last_failed == Micros::min();
    if (unknown) RecordCallResult(record, false, now_, RecoveryCause::kRestarted);
  }

  // The same for all endpoints of the destination, also those listed later.
  void AssumeAllCold(Destination& destination) {
    destination.maybe_cold = true;
    for (EndpointRecord& record : destination.endpoints) AssumeCold(record);
  }

  // Handles the loss of the endpoint's zone, on which the senders agreed: it may come back cold, for all
  // senders at once.
  void LoseZone(EndpointRecord& record) {
    RateScope& scope = ScopeOf(record);
    const bool own = record.kind.separate_routes || record.destination->endpoints.size() == 1;
    for (Health* health : {&record.health, own ? &scope.health : &record.health}) {
      const Recovery before = RecoveryOf(*health);
      UpdateHealth(*health, scope, false, now_);
      health->failing_since = Micros::min();  // so that it does not count as a blip
      ReportChange(record, scope, *health, before, RecoveryCause::kZoneLost);
    }
  }
};

}  // namespace indigosaddle::brain
