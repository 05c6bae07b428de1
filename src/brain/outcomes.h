// Outcomes of calls: what they show about the message, its connection, its endpoint and the endpoint's scope.
#pragma once

#include "brain/scheduler.h"

namespace indigosaddle::brain {

constexpr double kLatencyWeight = 0.15;   // weight of the newest call in the latency figures
constexpr double kLimitInUseBelow = 0.8;  // a limit is in use when less than this share of it is left
// Most explained failures in a row that are no outage. For a limit or a full connection table it is 1.
constexpr int kMaxExplainedRun = 3;
constexpr int kNotSentRun = 3;  // calls in a row that this node did not begin: it is short of something

// Applies outcomes of calls.
struct OutcomeHandler : Scheduler {
  // No answer came: the receiver may still be working on it.
  static bool MayStillRun(Result result) {
    return result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled;
  }

  static bool MayHaveRun(Result result) {
    return MayStillRun(result) || result == Result::kUnreadable || result == Result::kError;
  }

  // Notes what the message may no longer do after this attempt (rules 2 and 5).
  void NoteAttempt(HeldMessage& held, const Call& call, const EndpointRecord& record, Result result) {
    PriorAttempts& past = held.message.past;
    if (MayHaveRun(result) && !past.may_have_run)
      past = {past.attempts, true, call.sent, record.endpoint.zone};
    if (result == Result::kTimeout) ++held.timeouts;
    if (held.ordered && MayStillRun(result)) keys_[held.message.key].blocked_until = now_ + set_.turn_gap;
  }

  // Applies a Retry-After (rule 6), whatever else its answer says or is believed to say.
  void Pause(Destination& destination, RateScope& scope, Micros wait) {
    scope.pause_until = std::max(scope.pause_until, now_ + wait);
    changed_destinations_.insert(&destination);
  }

  // Applies an outcome to its connection, endpoint and scope. Of a call with several messages only the first
  // outcome counts, except that load reports and Retry-After are taken from all.
  void NoteEndpoint(Call& call, EndpointRecord& record, const Outcome& outcome) {
    RateScope& scope = ScopeOf(record);
    const Result result = outcome.result;
    NoteNotSent(record, result);
    if (outcome.load.limit > 0) scope.reported_limit = outcome.load.limit;
    if (result == Result::kRefused || outcome.wait > Micros(0)) Pause(*call.destination, scope, outcome.wait);
    if (call.result_applied || result == Result::kNotSent || result == Result::kCancelled) return;
    call.result_applied = true;  // all messages of a call have one result
    if (result == Result::kRefused) Decrease(scope);
    NoteConnection(call, record, outcome, scope.health.consecutive_failures == 0);
    UpdateEndpointHealth(call, record, scope, outcome);
    if (result == Result::kOk) NoteServed(scope, outcome.latency);
  }

  // Counts calls that this node did not begin. A single one only met a slot that had just been taken. After
  // several in a row the node is short of something, and calls to the endpoint pause, so that messages don't
  // use up their attempts before that is over.
  void NoteNotSent(EndpointRecord& record, Result result) {
    record.not_sent = result == Result::kNotSent ? record.not_sent + 1 : 0;
    if (record.not_sent >= kNotSentRun) {
      record.blocked_until =
          std::max(record.blocked_until, now_ + ToMicros((1 + RandomShare()) * Seconds(kRetryGap)));
    }
  }

  // Applies a result to the health of endpoint and scope. Some failures can be explained without an outage,
  // unless many come in a row: a reported limit in use, a full connection table, an unreadable answer, an
  // idle connection that was closed by the other side.
  void UpdateEndpointHealth(const Call& call, EndpointRecord& record, RateScope& scope,
                            const Outcome& outcome) {
    const Result result = outcome.result;
    const bool in_use =
        outcome.load.limit > 0 && outcome.load.left >= 0 && outcome.load.left < kLimitInUseBelow;
    const bool limit = result == Result::kRefused && in_use;
    const bool idle_closed = call.idle_for > Micros(0) && result == Result::kReset;
    const bool table_full =
        result == Result::kNoConnection && outcome.latency < kRetryGap && ConnectionTableFull(record);
    const bool explained = limit || result == Result::kUnreadable || idle_closed || table_full;
    if (table_full) {
      record.blocked_until = now_ + ToMicros((1 + RandomShare()) * Seconds(kRetryGap) *
                                             std::exp2(std::min(record.explained_failures, 2)));
    }
    record.explained_failures = explained ? record.explained_failures + 1 : 0;
    const bool in_a_run = record.explained_failures > (limit || table_full ? 1 : kMaxExplainedRun);
    if (explained && !in_a_run && scope.health.recovery != Recovery::kProbing) {
      record.health.failure_share +=
          kFailureShareWeight * (1 - record.health.failure_share);  // ranks it behind others
      return;
    }
    const bool ok = result == Result::kOk;
    RecordCallResult(record, ok, call.sent,
                     ok                           ? RecoveryCause::kCallServed
                     : result == Result::kRefused ? RecoveryCause::kCallRefused
                                                  : RecoveryCause::kCallFailed);
  }

  // Adds a served call to the latency and rate figures.
  void NoteServed(RateScope& scope, Micros elapsed) {
    ++scope.answered;
    const double latency = Seconds(elapsed);
    if (scope.mean_latency <= 0) {
      scope.mean_latency = latency;
      scope.latency_deviation = latency / 2;
    }
    scope.latency_deviation +=
        kLatencyWeight * (std::abs(latency - scope.mean_latency) - scope.latency_deviation);
    scope.mean_latency += kLatencyWeight * (latency - scope.mean_latency);
    scope.served_long.Add(now_);
    scope.peak = std::max(scope.peak, scope.served.Add(now_));
    Increase(scope);
  }

  // Removes a call whose outcomes are all known. Its connection may be idle now.
  void EndCall(std::uint64_t number, const Call& call, EndpointRecord& record, Result result) {
    --ScopeOf(record).in_flight;
    --record.in_flight;
    if (result == Result::kOk || result == Result::kRefused || result == Result::kError) {
      record.idle.push_back(now_);
      freed_endpoints_.emplace_back(call.destination, call.endpoint);
    }
    calls_.erase(number);
  }
};

}  // namespace indigosaddle::brain
