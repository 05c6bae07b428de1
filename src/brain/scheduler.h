// Sending: who goes first, to which endpoint, on which connection, with which time-out.
#pragma once

#include "brain/final_answers.h"

namespace indigosaddle::brain {

constexpr double kExtraItemWeight = 0.2, kTimeoutDeviations = 8;  // a further message's; cuts few live calls
constexpr double kFirstTimeoutAims = 4,
                 kIdleConnectionTimeoutAims = 0.5;  // aims a call may take: times unknown; idled connection
constexpr int kKnownLatencyCalls = 5, kMostDoublings = 4;  // calls: times are known; of a message's time-out
constexpr int kStaleConnectionLosses = 3;  // calls lost on old connections, less those answered, that tell
constexpr Micros kAvoidIdleFor = seconds(10);  // then no old connection is used for so long
constexpr double kKeepIdlePerPrice = 100,
                 kSharedTableRate = 4;  // seconds kept unused for a price of 1; of any table
constexpr double kTableFullShare = 0.05, kTableFullRise = 0.1, kTableFullFall = 0.005;  // tells; failed; made

struct Scheduler : FinalAnswers {
  void Close(EndpointRecord& record) { record.idle.clear(), host_->CloseIdle(record.endpoint.id); }

  bool WorthKeepingIdle(const EndpointRecord& record) const {
    const double keep = kKeepIdlePerPrice * set_.price_handshake;  // 0: no reason to give one back
    return keep <= 0 || std::max(record.call_rate.Now(now_), kSharedTableRate / set_.senders) * keep >= 1;
  }

  // Against tables that idle connections of all senders fill: those of that kind are given back after use.
  bool ConnectionTableFull(const EndpointRecord& record) {
    return table_full_share_[record.endpoint.kind] > kTableFullShare;
  }

  // Against idle connections dropped unseen: calls on old ones are lost while few as old are answered.
  void NoteConnection(const Call& call, const EndpointRecord& record, const Outcome& outcome,
                      bool was_healthy) {
    const Result result = outcome.result;
    const bool lost = result == Result::kTimeout || result == Result::kReset;
    if (call.idle_for <= Micros(0)) {
      double& share = table_full_share_[record.endpoint.kind];
      const bool full = was_healthy && result == Result::kNoConnection && outcome.latency < kRetryGap;
      if (full && share <= kTableFullShare) sweep_due_ = now_;             // what idles there goes at once
      share += (full ? kTableFullRise : kTableFullFall) * (full - share);  // giving back hides what it cures
    } else if (lost && call.idle_for >= kRetryGap) {
      stale_after_ = std::min(stale_after_, call.idle_for);
      stale_losses_ = std::min(stale_losses_ + 1, kStaleConnectionLosses);
      if (stale_losses_ == kStaleConnectionLosses) avoid_idle_until_ = now_ + kAvoidIdleFor;
    } else if (!lost && call.idle_for >= stale_after_ && --stale_losses_ <= 0) {
      stale_losses_ = 0, stale_after_ = Micros::max();
    }
  }

  Micros Timeout(const HeldMessage& held, const RateScope& scope, bool old_connection) const {
    const bool old = old_connection && held.message.rules.effect != Effect::kUnsafe;
    const double aims = old                                   ? kIdleConnectionTimeoutAims
                        : scope.answered < kKnownLatencyCalls ? kFirstTimeoutAims
                                                              : 1;
    const Micros base = ToMicros(std::max(aims * Seconds(held.class_settings->aim),
                                          scope.mean_latency + kTimeoutDeviations * scope.latency_deviation));
    // A message that timed out may just be slow: it gets more time, within limits while its scope is in
    // trial.
    const int most = scope.health.recovery == Recovery::kProbing ? 1 : kMostDoublings;
    return std::min<Micros>(base * (1 << std::min(held.timeouts, most)), held.message.deadline - now_);
  }

  // Rank of an endpoint for a call: endpoints apart by tokens, then fee; else by zone, connections and load.
  std::tuple<double, double, double> Rank(EndpointRecord& record, RateScope& scope) {
    const auto zone = static_cast<std::size_t>(record.endpoint.zone);
    const double fee = zone < set_.zone_fee.size() ? set_.zone_fee[zone] : 0;
    std::erase_if(record.idle, [&](Micros since) { return now_ - since >= set_.idle_close; });
    double load = record.in_flight;
    if (record.idle.empty()) load += 1;  // a new connection takes time, and one of a few places
    if (record.endpoint.zone != set_.own_zone && set_.price_cross_zone > 0) load += 1;
    load += 4 * record.health.failure_share;
    return record.kind.separate_routes ? std::tuple{-Tokens(scope), fee, load} : std::tuple{0.0, 0.0, load};
  }

  // A call opened in this turn that has room for one more message: that costs no slot and no token.
  Call* OpenCall(const EndpointRecord& record) {
    auto it = record.last_call > turn_from_call_ ? calls_.find(record.last_call) : calls_.end();
    return it != calls_.end() && it->second.messages < record.kind.per_call ? &it->second : nullptr;
  }

  // Before a stop: only what should end by then. What the stop cuts off may have run.
  bool EndsInTime(const HeldMessage& held, const RateScope& scope) const {
    const bool sure = scope.mean_latency > 0 && held.message.rules.effect != Effect::kUnsafe;
    return stop_at_ - now_ >=
           (sure ? ToMicros(scope.mean_latency + 2 * scope.latency_deviation) : Timeout(held, scope, false));
  }

  bool HasCallSlot(const EndpointRecord& record, const RateScope& scope) const {
    const bool trial = scope.health.recovery == Recovery::kProbing;
    const int half = set_.call_slots > 0 ? std::max(2, (set_.call_slots + 1) / 2) : scope.in_flight + 1;
    if (scope.in_flight >= (!trial ? half : MaybeBlip(scope.health) ? 2 : 1))
      return false;  // no scope takes all slots
    if (set_.call_slots > 0 && scope.in_flight > 0 && static_cast<int>(calls_.size()) * 4 >= set_.call_slots * 3)
      return false;  // the last quarter is for lanes that hold none: those that hold some may be hung
    return now_ >= record.blocked_until && (record.health.recovery != Recovery::kProbing || record.in_flight == 0);
  }

  bool CanTakeCall(const HeldMessage& held, const EndpointRecord& record, RateScope& scope) {
    if (set_.call_slots > 0 && static_cast<int>(calls_.size()) >= set_.call_slots) return false;
    if (!MaySend(held, record, scope) || !EndsInTime(held, scope) || !HasCallSlot(record, scope))
      return false;
    if (Tokens(scope) >= 1) return true;
    if (!std::exchange(scope.bucket.starved, true))  // intervals count while calls wait
      scope.bucket.stepped_at = std::max(scope.bucket.stepped_at, now_ - kIncreaseInterval);
    return false;
  }

  EndpointRecord* Choose(const HeldMessage& held) {
    EndpointRecord* best = nullptr;
    std::tuple<double, double, double> best_rank;
    std::vector<EndpointRecord>& endpoints = held.destination->endpoints;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      EndpointRecord& record =
          endpoints[(i + set_.seed) % endpoints.size()];  // ties fall differently at each sender
      RateScope& scope = ScopeOf(record);
      if (OpenCall(record) != nullptr && MaySend(held, record, scope, true)) return &record;
      if (!CanTakeCall(held, record, scope)) continue;
      const auto rank = Rank(record, scope);
      if (best == nullptr || rank < best_rank) best = &record, best_rank = rank;
    }
    return best;
  }

  void SendTo(HeldMessage& held, EndpointRecord& record) {
    RateScope& scope = ScopeOf(record);
    Call* call = OpenCall(record);
    const bool joins = call != nullptr;
    if (!MaySend(held, record, scope, joins)) return;  // the guard
    if (!joins) {
      call = &calls_[record.last_call = ++last_call_];
      *call = {record.destination, record.endpoint.id, now_};
      if (scope.bucket.active) scope.bucket.tokens -= 1;
      ++scope.in_flight, ++record.in_flight, record.call_rate.Add(now_);
      if (now_ < avoid_idle_until_ && !record.idle.empty() && now_ - record.idle.back() >= stale_after_ / 2)
        Close(record);
      if (!record.idle.empty())
        call->idle_for = std::max(Micros(1), now_ - record.idle.back()), record.idle.pop_back();
    }
    held.call_number = record.last_call;
    ++call->pending_outcomes, ++call->messages;
    CountCall(record, scope, joins ? kExtraItemWeight : 1);
    held.in_flight = true, ++held.message.past.attempts;
    UpdateQueues(held);
    host_->Send(held.message.id, record.endpoint.id, Timeout(held, scope, call->idle_for > Micros(0)));
  }

  // Whether no message of it can be sent now, whichever it is, and none need be noted as waiting for tokens.
  bool Blocked(Destination& destination) {
    return std::all_of(destination.endpoints.begin(), destination.endpoints.end(),
                       [&](EndpointRecord& record) {
                         RateScope& scope = ScopeOf(record);
                         if (!MayCall(record, scope) || !HasCallSlot(record, scope)) return true;
                         return scope.bucket.starved && Tokens(scope) < 1;
                       });
  }

  void SendWaiting() {
    if (set_.call_slots > 0 && static_cast<int>(calls_.size()) >= set_.call_slots) return;
    std::vector<std::tuple<double, Micros, MessageId, HeldMessage*>> waiting;
    for (const auto& [number, destination] : waiting_destinations_) {
      EarnAll(*destination);
      if (Blocked(*destination)) continue;
      for (const auto& [key, held] : destination->waiting)
        if (MayAttempt(*held)) waiting.emplace_back(-PriorityOf(*held), key.first, key.second, held);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [claim, give_up_at, id, held] : waiting)
      if (EndpointRecord* record = Choose(*held)) SendTo(*held, *record);
  }
};

}  // namespace indigosaddle::brain
