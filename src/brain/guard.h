// The guard: rules 1 and 2 for answers, 1 to 6 for sends (docs/rules.md).
#pragma once

#include "brain/claims.h"

namespace indigosaddle::brain {

struct Guard : Claims {
  // Rule 2: a refusal promises that handing in again is harmless.
  bool MayRefuse(const Held& held) const {
    const bool drops_repeats =
        held.message.rules.effect == Effect::kKeyed && held.message.rules.group == Group::kAll;
    return !held.out &&
           (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe || drops_repeats);
  }

  // Rules 1 and 2: whether another attempt may be made at all.
  bool MayAttempt(const Held& held) const {
    if (held.ended || held.out || now_ >= held.message.deadline) return false;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts) return false;
    if (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe) return true;
    return held.message.rules.effect == Effect::kKeyed && held.message.rules.group != Group::kCell &&
           now_ <= RepeatUntil(held);
  }

  // Why MayAttempt says no, or the message can't arrive in time.
  GiveUpCause CauseOf(const Held& held) const {
    if (now_ >= held.message.deadline - 2 * set_.tick) return GiveUpCause::kOutOfTime;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts)
      return GiveUpCause::kNoAttemptsLeft;
    if (MayAttempt(held)) return GiveUpCause::kRetryAfterTooLong;
    return now_ > RepeatUntil(held) ? GiveUpCause::kKeyExpired : GiveUpCause::kMayHaveRun;
  }

  // Rule 5: the earliest message of its key that is unfinished, and no rest on the key.
  bool HasTurn(const Held& held) const {
    if (!InTurn(held)) return true;
    const KeyTurn& key = keys_.at(held.message.key);  // kept while a message of the key is held
    return key.order.front() == held.message.id && (held.message.past.attempts > 0 || now_ >= key.rest_until);
  }

  // Rules 3, 4 and 6 for a call to this endpoint.
  bool MayCall(const Route& route, const Lane& lane, bool joins = false) const {
    if (route.endpoint.state != EndpointState::kReady || now_ >= outdated_from_) return false;  // rule 3
    if (now_ < lane.pause_until) return false;                                                  // rule 6
    // What joins rides on a call that passed here in this turn, its weight counted; a trial carries one.
    if (joins)
      return lane.health.recovery != Recovery::kProbing && route.health.recovery != Recovery::kProbing;
    if (!HasAllowance(lane.health)) return false;
    return !HasOwnBudget(route) || HasAllowance(route.health);
  }

  // Every send passes here.
  bool MaySend(const Held& held, const Route& route, const Lane& lane, bool joins = false) const {
    if (!MayAttempt(held) || !HasTurn(held)) return false;
    const bool bound = held.message.past.may_have_run && held.message.rules.effect == Effect::kKeyed &&
                       held.message.rules.group == Group::kZone;
    if (bound && route.endpoint.zone != held.message.past.run_zone) return false;
    return route.home == held.home && MayCall(route, lane, joins);
  }
};

}  // namespace indigosaddle::brain
