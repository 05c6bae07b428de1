// What a message is worth at a time, its priority, and whether its tenant is over its share.
#pragma once

#include "brain/recovery.h"

namespace indigosaddle::brain {

constexpr double kOverShareFactor = 1.25;  // a tenant is over its share above this multiple of it
constexpr double kKeyLifeUsed = 0.95;      // part of RepeatRules::key_ttl in which a repeat may still be sent
// Least part of key_ttl left at a repeat: the process may be delayed for 0.15 s between reading its clock and
// writing the call.
constexpr Micros kLeastKeyLifeLeft = milliseconds(200);
constexpr int kUnpenalizedAttempts =
    3;  // attempts that don't lower the priority of a message that may have run already or is safe to repeat

// Ranks messages.
struct Priority : RecoveryRules {
  // Counts a message of the tenant. Returns whether the tenant is over its share at this sender: an even part
  // of its quota, or more if this sender has a larger part of all traffic.
  bool CountTenant(int tenant) {
    const auto index = static_cast<std::size_t>(tenant);
    if (index >= set_.tenants.size() || set_.tenants[index].quota_per_second <= 0) return false;
    double quotas = 0;
    for (const TenantSettings& t : set_.tenants) quotas += t.quota_per_second;
    const double part = std::max(1.0 / set_.senders, accepted_.Add(now_) / quotas);
    const double share = part * set_.tenants[index].quota_per_second;
    Rate& use = tenant_rates_.try_emplace(tenant, Rate{kAcceptedSpan}).first->second;
    return use.Add(now_) > kOverShareFactor * share + 1 / Seconds(kAcceptedSpan);
  }

  // Instant from which receivers may no longer remember the key of a message that may have run. Max: no
  // limit. In the past if the first run lies in the future: then its true time is not known.
  Micros RepeatUntil(const HeldMessage& held) const {
    if (!held.message.past.may_have_run || held.message.rules.effect != Effect::kKeyed) return Micros::max();
    if (held.message.past.first_run > now_) return Micros::min() / 2;
    const Micros life = held.message.rules.key_ttl;
    return held.message.past.first_run +
           std::min(ToMicros(Seconds(life) * kKeyLifeUsed), life - kLeastKeyLifeLeft);
  }

  // Worth of a delivery `ahead` from now.
  double Worth(const HeldMessage& held, Micros ahead) const {
    const Micros left = held.message.deadline - now_ - ahead;
    if (left <= Micros(0) || now_ + ahead > RepeatUntil(held)) return 0;
    const double full = held.class_settings->worth * (held.over_share ? set_.over_share_worth : 1);
    const Micros fade = held.class_settings->deadline - held.class_settings->aim;
    const Micros late = fade - left;
    if (late <= Micros(0) || held.class_settings->aim <= Micros(0) || fade <= Micros(0)) return full;
    const double even = 1 - (1 - held.class_settings->late_value) * Seconds(late) / Seconds(fade);
    const double by_half = std::max(held.class_settings->late_value,
                                    std::exp2(-Seconds(late) / Seconds(held.class_settings->aim)));
    return full * (set_.decay == Decay::kByHalf ? by_half : even);
  }

  // Priority for call slots and tokens: the worth lost by waiting for one aim, halved for each attempt beyond
  // the unpenalized ones.
  double PriorityOf(const HeldMessage& held) const {
    const double loss = Worth(held, Micros(0)) - Worth(held, held.class_settings->aim);
    const bool risked = held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe;
    return std::ldexp(loss, -std::max(0, held.message.past.attempts - (risked ? kUnpenalizedAttempts : 0)));
  }
};

}  // namespace indigosaddle::brain
