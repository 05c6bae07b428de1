// Worth: what a message is worth when, what waiting costs, and whether its tenant is past its share.
#pragma once

#include "brain/recovery.h"

namespace indigosaddle::brain {

constexpr double kOverShare = 1.25;    // of its share: a tenant is past it
constexpr double kKeyLifeUsed = 0.95;  // part of a key's life in which a repeat may still be sent
// The least that is left of it then: this process may be held up for 0.15 s between its clock and its write.
constexpr Micros kLeastKeyLifeLeft = milliseconds(200);
constexpr int kRiskedCredit = 3;  // attempts that do not lessen the claim of what risks no more

struct Claims : RecoveryRules {
  // Whether the tenant is past its share here: an even part of its quota, or this sender's part of all.
  bool TakeShare(int tenant) {
    const auto index = static_cast<std::size_t>(tenant);
    if (index >= set_.tenants.size() || set_.tenants[index].quota_per_second <= 0) return false;
    double quotas = 0;
    for (const TenantSettings& t : set_.tenants) quotas += t.quota_per_second;
    const double part = std::max(1.0 / set_.senders, taken_.Add(now_) / quotas);
    const double share = part * set_.tenants[index].quota_per_second;
    Rate& use = tenants_.try_emplace(tenant, Rate{kTakenSpan}).first->second;
    return use.Add(now_) > kOverShare * share + 1 / Seconds(kTakenSpan);
  }

  // When the key of a message that may have run is no longer sure to be remembered: past already where its
  // first run is still to come, for then nobody knows when that was.
  Micros RepeatUntil(const Held& held) const {
    if (!held.message.past.may_have_run || held.message.rules.effect != Effect::kKeyed) return Micros::max();
    if (held.message.past.first_run > now_) return Micros::min() / 2;
    const Micros life = held.message.rules.key_ttl;
    return held.message.past.first_run +
           std::min(ToMicros(Seconds(life) * kKeyLifeUsed), life - kLeastKeyLifeLeft);
  }

  // Worth of an answer that comes `ahead` from now.
  double Worth(const Held& held, Micros ahead) const {
    const Micros left = held.message.deadline - now_ - ahead;
    if (left <= Micros(0) || now_ + ahead > RepeatUntil(held)) return 0;
    const double full = held.c->worth * (held.over_share ? set_.over_share_worth : 1);
    const Micros fade = held.c->deadline - held.c->aim, late = fade - left;
    if (late <= Micros(0) || held.c->aim <= Micros(0) || fade <= Micros(0)) return full;
    const double even = 1 - (1 - held.c->late_value) * Seconds(late) / Seconds(fade);
    const double by_half = std::max(held.c->late_value, std::exp2(-Seconds(late) / Seconds(held.c->aim)));
    return full * (set_.decay == Decay::kByHalf ? by_half : even);
  }

  // What waiting costs: the claim to slots and tokens, halved by each attempt past the free ones.
  double Claim(const Held& held) const {
    const double loss = Worth(held, Micros(0)) - Worth(held, held.c->aim);
    const bool risked = held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe;
    return std::ldexp(loss, -std::max(0, held.message.past.attempts - (risked ? kRiskedCredit : 0)));
  }
};

}  // namespace indigosaddle::brain
