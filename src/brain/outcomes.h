// Outcomes of calls: what they tell of the message, its connection, its endpoint and the endpoint's lane.
#pragma once

#include "brain/sending.h"

namespace indigosaddle::brain {

constexpr double kLatencyMemory = 0.15, kLimitInUse = 0.8;  // weight of the newest; share left, less: in use
constexpr int kExplainedRun = 3, kNotSentRun = 3;  // in a row: need no outage, of most kinds; not begun

struct Outcomes : Sending {
  // Nobody answered: the receiver may be at it still.
  static bool MayRunOn(Result result) {
    return result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled;
  }
  static bool MayHaveRun(Result result) {
    return MayRunOn(result) || result == Result::kUnreadable || result == Result::kError;
  }

  // Rules 2 and 5: what the message may still do.
  void NoteAttempt(Held& held, const Call& call, const Route& route, Result result) {
    PriorAttempts& past = held.message.past;
    if (MayHaveRun(result) && !past.may_have_run)
      past = {past.attempts, true, call.sent, route.endpoint.zone};
    if (result == Result::kTimeout) ++held.timeouts;
    if (held.ordered && MayRunOn(result)) keys_[held.message.key].rest_until = now_ + set_.turn_gap;
  }

  // Rule 6: a told wait, whatever else its answer says or is believed to say.
  void Pause(Destination& home, Lane& lane, Micros wait) {
    lane.pause_until = std::max(lane.pause_until, now_ + wait);
    changed_.insert(&home);
  }

  void NoteEndpoint(Call& call, Route& route, const Outcome& outcome) {
    Lane& lane = LaneOf(route);
    const Result result = outcome.result;
    NoteNotSent(route, result);
    if (outcome.load.limit > 0) lane.limit = outcome.load.limit;
    if (result == Result::kRefused || outcome.wait > Micros(0)) Pause(*call.home, lane, outcome.wait);
    if (call.judged || result == Result::kNotSent || result == Result::kCancelled) return;
    call.judged = true;  // one call, one fate
    if (result == Result::kRefused) Cut(lane);
    JudgeConnection(call, route, outcome, lane.health.bad_run == 0);
    JudgeEndpoint(call, route, lane, outcome);
    if (result == Result::kOk) NoteServed(lane, outcome.latency);
  }

  // Once is a slot that was just taken; in a run this node is short of something, and attempts are to outlast
  // it.
  void NoteNotSent(Route& route, Result result) {
    route.not_sent = result == Result::kNotSent ? route.not_sent + 1 : 0;
    if (route.not_sent >= kNotSentRun)
      route.rest_until = std::max(route.rest_until, now_ + ToMicros((1 + Draw()) * Seconds(kMoment)));
  }

  // A call needs no outage, unless in a run: a told limit in use, no place, a spoilt answer, a worn
  // connection.
  void JudgeEndpoint(const Call& call, Route& route, Lane& lane, const Outcome& outcome) {
    const Result result = outcome.result;
    const bool in_use = outcome.load.limit > 0 && outcome.load.left >= 0 && outcome.load.left < kLimitInUse;
    const bool limit = result == Result::kRefused && in_use;
    const bool worn = call.idle_for > Micros(0) && result == Result::kReset;
    const bool no_place = result == Result::kNoConnection && outcome.latency < kMoment && Crowded(route);
    const bool explained = limit || result == Result::kUnreadable || worn || no_place;
    if (no_place) {
      route.rest_until =
          now_ + ToMicros((1 + Draw()) * Seconds(kMoment) * std::exp2(std::min(route.explained, 2)));
    }
    route.explained = explained ? route.explained + 1 : 0;
    const bool in_a_run = route.explained > (limit || no_place ? 1 : kExplainedRun);
    if (explained && !in_a_run && lane.health.recovery != Recovery::kProbing) {
      route.health.bad_share += kMemory * (1 - route.health.bad_share);  // others are tried first
      return;
    }
    const bool ok = result == Result::kOk;
    JudgeCall(route, ok, call.sent,
              ok                        ? RecoveryCause::kCallServed
              : result == Result::kRefused ? RecoveryCause::kCallRefused
                                        : RecoveryCause::kCallFailed);
  }

  void NoteServed(Lane& lane, Micros taken) {
    ++lane.answered;
    const double latency = Seconds(taken);
    if (lane.mean <= 0) lane.mean = latency, lane.deviation = latency / 2;
    lane.deviation += kLatencyMemory * (std::abs(latency - lane.mean) - lane.deviation);
    lane.mean += kLatencyMemory * (latency - lane.mean);
    lane.served_long.Add(now_);
    lane.peak = std::max(lane.peak, lane.served.Add(now_));
    Raise(lane);
  }

  void EndCall(std::uint64_t number, const Call& call, Route& route, Result result) {
    --LaneOf(route).out, --route.out;
    if (result == Result::kOk || result == Result::kRefused || result == Result::kError)
      route.idle.push_back(now_), freed_.emplace_back(call.home, call.endpoint);
    calls_.erase(number);
  }
};

}  // namespace indigosaddle::brain
