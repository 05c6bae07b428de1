// The token bucket of each rate scope. Its rate adapts by AIMD (additive increase, multiplicative decrease),
// divided among the senders (docs/design.md).
#pragma once

#include "brain/state.h"

namespace indigosaddle::brain {

// Share of the rate kept at a refusal: the default in Nikiforov's Nall.RateLimiting.Adaptive, from which the
// AIMD rate comes.
constexpr double kDecreaseFactor = 0.7;
// Minimum and step of the rate, as shares of the believed limit, before the division among senders.
constexpr double kMinShare = 0.5;
constexpr double kStepShare = 0.1;
constexpr Micros kIncreaseInterval = seconds(1);  // time for one step up
constexpr Micros kBurst = seconds(1);             // time in which the tokens of a full bucket accrue
constexpr Micros kReopenAfter = seconds(20);      // without a refusal for so long, the limit no longer exists
constexpr double kSteadyDemand = 2.5;  // messages for a scope in kDemandSpan from which on demand is steady
constexpr double kLeastRate = 2;       // calls a second that any destination is believed to take

// Paces calls per rate scope.
struct TokenBuckets : EngineState {
  // The limit that the list gives, as far as the settings let it be used; 0: none.
  double Listed(const RateScope& scope) const {
    return set_.weights == Weights::kNone ? 0 : scope.listed_limit;
  }

  // Believed limit of all senders together in calls a second. Also the highest rate of one sender.
  double Limit(const RateScope& scope) const {
    if (scope.reported_limit > 0) return scope.reported_limit;
    return Listed(scope) > 0 ? scope.listed_limit : std::max(kLeastRate, scope.peak * set_.senders);
  }

  // Adds the tokens that accrued, and stops limiting once no refusal has come for kReopenAfter.
  void Fill(TokenBucket& bucket) {
    if (!bucket.active) return;
    const double most = std::max(1.0, bucket.rate * Seconds(kBurst));
    bucket.tokens = std::min(most, bucket.tokens + bucket.rate * Seconds(now_ - bucket.filled_at));
    bucket.filled_at = now_;
    if (now_ - bucket.refused_at > kReopenAfter) bucket.active = false;
  }

  // Lowers the rate after a refused call.
  void Decrease(RateScope& scope) {
    TokenBucket& bucket = scope.bucket;
    Fill(bucket);
    const double even = Limit(scope) / set_.senders;
    // With an even part below one call a second and steady demand, the calls of the last second are mostly
    // the refused call itself, so they don't show the rate that is possible.
    const bool low_share = even < 1 && scope.demand.Now(now_) * Seconds(kDemandSpan) >= kSteadyDemand;
    if (low_share && bucket.active && scope.health.last_ok < bucket.refused_at) bucket.rate = 0;
    if (!bucket.active) {
      bucket.active = true;
      bucket.rate = low_share ? -1 : 0;
      for (const auto& [at, weight] : scope.health.recent_calls)
        bucket.rate += now_ - at <= kBurst && weight >= 1 ? 1 : 0;
      bucket.filled_at = bucket.increased_at = now_;
    }
    bucket.refused_at = now_;
    // The tokens are spent. The random part keeps senders that were refused together out of step.
    bucket.tokens = 0.5 - RandomShare();
    const double part = std::max(even, scope.served.Now(now_));  // an even part, or what was served recently
    const double least = kMinShare * (1 + 1.0 / set_.senders) * part;
    bucket.rate = std::clamp(bucket.rate * kDecreaseFactor, least, std::max(part, Limit(scope)));
  }

  // Raises the rate after a served call, by one step for each interval in which calls waited for tokens.
  void Increase(RateScope& scope) {
    TokenBucket& bucket = scope.bucket;
    const double times = std::floor(Seconds(now_ - bucket.increased_at) / Seconds(kIncreaseInterval));
    if (!bucket.active || !bucket.starved || times < 1) return;
    Fill(bucket);
    const double step = times * kStepShare * (1 + 1.0 / set_.senders) * Limit(scope) / set_.senders;
    bucket.rate = std::min(std::max(Limit(scope), bucket.rate), bucket.rate + step);
    bucket.increased_at = now_;
    bucket.starved = false;
  }

  // Calls that may be made now.
  double Tokens(RateScope& scope) {
    Fill(scope.bucket);
    return scope.bucket.active ? scope.bucket.tokens : std::numeric_limits<double>::max();
  }
};

}  // namespace indigosaddle::brain
