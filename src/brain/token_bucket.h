// The token bucket (docs/design.md): a split AIMD rate for each scope.
#pragma once

#include "brain/state.h"

namespace indigosaddle::brain {

constexpr double kDecreaseFactor = 0.7;  // share of the rate kept at a refusal: the source's default
constexpr double kMinShare = 0.5, kStepShare = 0.1;  // least rate, step / believed limit, before division
constexpr Micros kIncreaseInterval = seconds(1), kBurst = seconds(1);  // of a step; in a full bucket
constexpr Micros kReopenAfter = seconds(20);  // unrefused so long: the limit is no longer there
constexpr double kSteadyDemand = 2.5;         // messages for a scope in kDemandSpan: no stray one
constexpr double kLeastRate = 2;              // calls a second that any destination is believed to take

struct TokenBuckets : EngineState {
  double Listed(const RateScope& scope) const { return set_.weights == Weights::kNone ? 0 : scope.listed; }

  // Believed of all senders together, and the greatest rate of one.
  double Limit(const RateScope& scope) const {
    if (scope.limit > 0) return scope.limit;
    return Listed(scope) > 0 ? scope.listed : std::max(kLeastRate, scope.peak * set_.senders);
  }

  void Fill(TokenBucket& bucket) {
    if (!bucket.bound) return;
    const double most = std::max(1.0, bucket.rate * Seconds(kBurst));
    bucket.tokens = std::min(most, bucket.tokens + bucket.rate * Seconds(now_ - bucket.filled));
    bucket.filled = now_;
    if (now_ - bucket.refused > kReopenAfter) bucket.bound = false;
  }

  void Decrease(RateScope& scope) {
    TokenBucket& bucket = scope.bucket;
    Fill(bucket);
    const double even = Limit(scope) / set_.senders;
    // An even part under a call a second, and traffic: a second's count is mostly the refused call itself.
    const bool low_share = even < 1 && scope.demand.Now(now_) * Seconds(kDemandSpan) >= kSteadyDemand;
    if (low_share && bucket.bound && scope.health.last_ok < bucket.refused) bucket.rate = 0;
    if (!bucket.bound) {
      bucket.bound = true, bucket.rate = low_share ? -1 : 0;
      for (const auto& [at, weight] : scope.health.sent)
        bucket.rate += now_ - at <= kBurst && weight >= 1 ? 1 : 0;
      bucket.filled = bucket.stepped = now_;
    }
    bucket.refused = now_,
    bucket.tokens = 0.5 - RandomShare();  // spent; not in step with others refused together
    const double part = std::max(even, scope.served.Now(now_));  // or as served of late
    const double least = kMinShare * (1 + 1.0 / set_.senders) * part;
    bucket.rate = std::clamp(bucket.rate * kDecreaseFactor, least, std::max(part, Limit(scope)));
  }

  void Increase(RateScope& scope) {
    TokenBucket& bucket = scope.bucket;
    const double times = std::floor(Seconds(now_ - bucket.stepped) / Seconds(kIncreaseInterval));
    if (!bucket.bound || !bucket.waited || times < 1) return;
    Fill(bucket);
    const double step = times * kStepShare * (1 + 1.0 / set_.senders) * Limit(scope) / set_.senders;
    bucket.rate = std::min(std::max(Limit(scope), bucket.rate), bucket.rate + step);
    bucket.stepped = now_, bucket.waited = false;
  }

  double Tokens(RateScope& scope) {
    Fill(scope.bucket);
    return scope.bucket.bound ? scope.bucket.tokens : std::numeric_limits<double>::max();
  }
};

}  // namespace indigosaddle::brain
