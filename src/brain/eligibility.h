// The guard: rules 1 and 2 for answers, 1 to 6 for sends (docs/rules.md).
#pragma once

#include "brain/priority.h"

namespace indigosaddle::brain {

struct Eligibility : Priority {
  // Rule 2: a refusal promises that handing in again is harmless.
  bool MayRefuse(const HeldMessage& held) const {
    const bool drops_repeats =
        held.message.rules.effect == Effect::kKeyed && held.message.rules.group == Group::kAll;
    return !held.in_flight &&
           (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe || drops_repeats);
  }

  // Rules 1 and 2: whether another attempt may be made at all.
  bool MayAttempt(const HeldMessage& held) const {
    if (held.ended || held.in_flight || now_ >= held.message.deadline) return false;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts) return false;
    if (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe) return true;
    return held.message.rules.effect == Effect::kKeyed && held.message.rules.group != Group::kCell &&
           now_ <= RepeatUntil(held);
  }

  // Why MayAttempt says no, or the message can't arrive in time.
  GiveUpCause GiveUpCauseOf(const HeldMessage& held) const {
    if (now_ >= held.message.deadline - 2 * set_.tick) return GiveUpCause::kOutOfTime;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts)
      return GiveUpCause::kNoAttemptsLeft;
    if (MayAttempt(held)) return GiveUpCause::kRetryAfterTooLong;
    return now_ > RepeatUntil(held) ? GiveUpCause::kKeyExpired : GiveUpCause::kMayHaveRun;
  }

  // Rule 5: the earliest message of its key that is unfinished, and no rest on the key.
  bool HasTurn(const HeldMessage& held) const {
    if (!NeedsTurn(held)) return true;
    const KeyOrder& key = keys_.at(held.message.key);  // kept while a message of the key is held
    return key.order.front() == held.message.id &&
           (held.message.past.attempts > 0 || now_ >= key.blocked_until);
  }

  // Rules 3, 4 and 6 for a call to this endpoint.
  bool MayCall(const EndpointRecord& record, const RateScope& scope, bool joins = false) const {
    if (record.endpoint.state != EndpointState::kReady || now_ >= outdated_from_) return false;  // rule 3
    if (now_ < scope.pause_until) return false;                                                  // rule 6
    // What joins rides on a call that passed here in this turn, its weight counted; a trial carries one.
    if (joins)
      return scope.health.recovery != Recovery::kProbing && record.health.recovery != Recovery::kProbing;
    if (!HasAllowance(scope.health)) return false;
    return !HasOwnBudget(record) || HasAllowance(record.health);
  }

  // Every send passes here.
  bool MaySend(const HeldMessage& held, const EndpointRecord& record, const RateScope& scope,
               bool joins = false) const {
    if (!MayAttempt(held) || !HasTurn(held)) return false;
    const bool bound = held.message.past.may_have_run && held.message.rules.effect == Effect::kKeyed &&
                       held.message.rules.group == Group::kZone;
    if (bound && record.endpoint.zone != held.message.past.run_zone) return false;
    return record.destination == held.destination && MayCall(record, scope, joins);
  }
};

}  // namespace indigosaddle::brain
