// What the rules allow (docs/rules.md): rules 1 and 2 for final answers, rules 1 to 6 for calls.
//
// 1: one final answer per message, in time. 2: no double effect, one live attempt. 3: nothing new to a
// draining or gone endpoint. 4: no overload of a recovering endpoint, unsure means cold. 5: messages with one
// order key in turn. 6: Retry-After is heeded.
#pragma once

#include "brain/priority.h"

namespace indigosaddle::brain {

// Checks each answer and each call against the rules.
struct Eligibility : Priority {
  // Whether the message may be returned to its client. That promises that handing it in again is harmless
  // (rule 2).
  bool MayRefuse(const HeldMessage& held) const {
    const bool drops_repeats =
        held.message.rules.effect == Effect::kKeyed && held.message.rules.group == Group::kAll;
    return !held.in_flight &&
           (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe || drops_repeats);
  }

  // Whether another attempt may be made at all (rules 1 and 2).
  bool MayAttempt(const HeldMessage& held) const {
    if (held.ended || held.in_flight || now_ >= held.message.deadline) return false;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts) return false;
    if (!held.message.past.may_have_run || held.message.rules.effect == Effect::kSafe) return true;
    return held.message.rules.effect == Effect::kKeyed && held.message.rules.group != Group::kCell &&
           now_ <= RepeatUntil(held);
  }

  // Why MayAttempt returns false, or why the message can't be delivered in time.
  GiveUpCause GiveUpCauseOf(const HeldMessage& held) const {
    if (now_ >= held.message.deadline - 2 * set_.tick) return GiveUpCause::kOutOfTime;
    if (set_.max_attempts > 0 && held.message.past.attempts >= set_.max_attempts)
      return GiveUpCause::kNoAttemptsLeft;
    if (MayAttempt(held)) return GiveUpCause::kRetryAfterTooLong;
    return now_ > RepeatUntil(held) ? GiveUpCause::kKeyExpired : GiveUpCause::kMayHaveRun;
  }

  // Whether its order key lets it go (rule 5): it is the earliest unfinished message of its key, and it has
  // had an attempt already or the key is not blocked.
  bool HasTurn(const HeldMessage& held) const {
    if (!NeedsTurn(held)) return true;
    const KeyOrder& key = keys_.at(held.message.key);  // kept while a message of the key is held
    return key.order.front() == held.message.id &&
           (held.message.past.attempts > 0 || now_ >= key.blocked_until);
  }

  // Whether the endpoint may get a call (rules 3, 4 and 6). `joins`: as a further message in a call already
  // opened in this turn.
  bool MayCall(const EndpointRecord& record, const RateScope& scope, bool joins = false) const {
    if (record.endpoint.state != EndpointState::kReady || now_ >= outdated_from_) return false;  // rule 3
    if (now_ < scope.pause_until) return false;                                                  // rule 6
    // The call itself passed these checks in this turn, and its weight was counted. A probe request carries
    // one message only.
    if (joins)
      return scope.health.recovery != Recovery::kProbing && record.health.recovery != Recovery::kProbing;
    if (!HasAllowance(scope.health)) return false;
    return !HasOwnBudget(record) || HasAllowance(record.health);
  }

  // Whether this message may be sent to this endpoint now. Every send is checked here.
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
