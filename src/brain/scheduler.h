// The scheduler: which message goes next, to which endpoint, on which connection, with which attempt timeout.
#pragma once

#include "brain/final_answers.h"

namespace indigosaddle::brain {

constexpr double kExtraItemWeight = 0.2;  // weight of a further message in a call; the first weighs 1
// The attempt timeout is at least the mean latency and so many mean deviations: few calls that still run are
// cut off.
constexpr double kTimeoutDeviations = 8;
constexpr double kFirstTimeoutAims = 4;             // attempt timeout in aims, while the latency is not known
constexpr double kIdleConnectionTimeoutAims = 0.5;  // the same on a connection that was idle
constexpr int kKnownLatencyCalls = 5;               // served calls from which on the latency is known
constexpr int kMostDoublings = 4;                   // of a message's attempt timeout
// Calls lost on idle connections, less those answered, that show that idle connections are dropped unseen.
constexpr int kStaleConnectionLosses = 3;
constexpr Micros kAvoidIdleFor = seconds(10);  // time after that in which no long idle connection is used
constexpr double kKeepIdlePerPrice = 100;      // seconds that an idle one is kept per unit of price_handshake
// Least rate in calls a second, of all senders, that WorthKeepingIdle assumes for an endpoint.
constexpr double kMinAssumedCallRate = 4;
// Share of new connections that fail at once: above the first the endpoints' connection tables count as full.
// The share is a moving average, in which the newest connection has the second as its weight if it failed at
// once, and the third if not.
constexpr double kTableFullShare = 0.05;
constexpr double kTableFullFailureWeight = 0.1;
constexpr double kTableFullOtherWeight = 0.005;

// Sends waiting messages.
struct Scheduler : FinalAnswers {
  // Closes this node's idle connections to the endpoint.
  void Close(EndpointRecord& record) {
    record.idle.clear();
    host_->CloseIdle(record.endpoint.id);
  }

  // Whether an idle connection is likely to be used before it costs more than a new one.
  bool WorthKeepingIdle(const EndpointRecord& record) const {
    const double keep = kKeepIdlePerPrice * set_.price_handshake;  // 0: no reason to close one
    return keep <= 0 || std::max(record.call_rate.Now(now_), kMinAssumedCallRate / set_.senders) * keep >= 1;
  }

  // Whether idle connections of all senders seem to fill the connection tables of the endpoint's kind. If so,
  // connections to that kind are closed after use.
  bool ConnectionTableFull(const EndpointRecord& record) {
    return table_full_share_[record.endpoint.kind] > kTableFullShare;
  }

  // Learns from a call whether connection tables are full, and whether idle connections are dropped unseen:
  // then calls on long idle ones are lost, and few on ones idle as long are answered.
  void NoteConnection(const Call& call, const EndpointRecord& record, const Outcome& outcome,
                      bool was_healthy) {
    const Result result = outcome.result;
    const bool lost = result == Result::kTimeout || result == Result::kReset;
    if (call.idle_for <= Micros(0)) {
      double& share = table_full_share_[record.endpoint.kind];
      const bool full = was_healthy && result == Result::kNoConnection && outcome.latency < kRetryGap;
      if (full && share <= kTableFullShare) sweep_due_ = now_;  // closes the idle ones there at once
      share += (full ? kTableFullFailureWeight : kTableFullOtherWeight) * (full - share);
      // The share falls slowly: connections closed after use make the tables look free, though they fill
      // again once connections are kept.
    } else if (lost && call.idle_for >= kRetryGap) {
      stale_after_ = std::min(stale_after_, call.idle_for);
      stale_losses_ = std::min(stale_losses_ + 1, kStaleConnectionLosses);
      if (stale_losses_ == kStaleConnectionLosses) avoid_idle_until_ = now_ + kAvoidIdleFor;
    } else if (!lost && call.idle_for >= stale_after_ && --stale_losses_ <= 0) {
      stale_losses_ = 0;
      stale_after_ = Micros::max();
    }
  }

  // The attempt timeout. Short on a connection that was idle, unless a repeat would have a second effect.
  Micros Timeout(const HeldMessage& held, const RateScope& scope, bool old_connection) const {
    const bool old = old_connection && held.message.rules.effect != Effect::kUnsafe;
    const double aims = old                                   ? kIdleConnectionTimeoutAims
                        : scope.answered < kKnownLatencyCalls ? kFirstTimeoutAims
                                                              : 1;
    const Micros base = ToMicros(std::max(aims * Seconds(held.class_settings->aim),
                                          scope.mean_latency + kTimeoutDeviations * scope.latency_deviation));
    // A message that timed out may just be slow: each time its timeout doubles. While the scope is probing
    // only once.
    const int most = scope.health.recovery == Recovery::kProbing ? 1 : kMostDoublings;
    return std::min<Micros>(base * (1 << std::min(held.timeouts, most)), held.message.deadline - now_);
  }

  // Rank of an endpoint for a call; the least goes first. Endpoints with a limit of their own by tokens, then
  // by fee; others by zone, connections and load.
  std::tuple<double, double, double> Rank(EndpointRecord& record, RateScope& scope) {
    const auto zone = static_cast<std::size_t>(record.endpoint.zone);
    const double fee = zone < set_.zone_fee.size() ? set_.zone_fee[zone] : 0;
    std::erase_if(record.idle, [&](Micros since) { return now_ - since >= set_.idle_close; });
    double load = record.in_flight;
    if (record.idle.empty()) load += 1;  // a new connection takes time and a place in the connection table
    if (record.endpoint.zone != set_.own_zone && set_.price_cross_zone > 0) load += 1;
    load += 4 * record.health.failure_share;
    return record.kind.separate_routes ? std::tuple{-Tokens(scope), fee, load} : std::tuple{0.0, 0.0, load};
  }

  // A call opened in this turn that can carry one more message, which takes no slot and no token. Null: none.
  Call* OpenCall(const EndpointRecord& record) {
    auto it = record.last_call > last_call_before_turn_ ? calls_.find(record.last_call) : calls_.end();
    return it != calls_.end() && it->second.messages < record.kind.per_call ? &it->second : nullptr;
  }

  // Whether a call should end before the process stops. A call that the stop cuts off may have run.
  bool EndsInTime(const HeldMessage& held, const RateScope& scope) const {
    const bool sure = scope.mean_latency > 0 && held.message.rules.effect != Effect::kUnsafe;
    return stop_at_ - now_ >=
           (sure ? ToMicros(scope.mean_latency + 2 * scope.latency_deviation) : Timeout(held, scope, false));
  }

  // Whether the scope and the endpoint may have one more call in flight.
  bool HasCallSlot(const EndpointRecord& record, const RateScope& scope) const {
    const bool trial = scope.health.recovery == Recovery::kProbing;
    const int half = set_.call_slots > 0 ? std::max(2, (set_.call_slots + 1) / 2) : scope.in_flight + 1;
    if (scope.in_flight >= (!trial ? half : MaybeBlip(scope.health) ? 2 : 1))
      return false;  // no scope may take all slots
    if (set_.call_slots > 0 && scope.in_flight > 0 &&
        static_cast<int>(calls_.size()) * 4 >= set_.call_slots * 3)
      return false;  // the last quarter is for scopes with none in flight: calls of others may hang
    return now_ >= record.blocked_until &&
           (record.health.recovery != Recovery::kProbing || record.in_flight == 0);
  }

  // Whether a new call for the message may go to the endpoint now. Notes it if only a token is missing.
  bool CanTakeCall(const HeldMessage& held, const EndpointRecord& record, RateScope& scope) {
    if (set_.call_slots > 0 && static_cast<int>(calls_.size()) >= set_.call_slots) return false;
    if (!MaySend(held, record, scope) || !EndsInTime(held, scope) || !HasCallSlot(record, scope))
      return false;
    if (Tokens(scope) >= 1) return true;
    if (!std::exchange(scope.bucket.starved, true))  // of the time before calls waited, one interval counts
      scope.bucket.increased_at = std::max(scope.bucket.increased_at, now_ - kIncreaseInterval);
    return false;
  }

  // The endpoint that the message goes to now. Null: none.
  EndpointRecord* Choose(const HeldMessage& held) {
    EndpointRecord* best = nullptr;
    std::tuple<double, double, double> best_rank;
    std::vector<EndpointRecord>& endpoints = held.destination->endpoints;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      EndpointRecord& record =
          endpoints[(i + set_.seed) % endpoints.size()];  // ties go to other endpoints at each sender
      RateScope& scope = ScopeOf(record);
      if (OpenCall(record) != nullptr && MaySend(held, record, scope, true)) return &record;
      if (!CanTakeCall(held, record, scope)) continue;
      const auto rank = Rank(record, scope);
      if (best == nullptr || rank < best_rank) {
        best = &record;
        best_rank = rank;
      }
    }
    return best;
  }

  // Sends the message to the endpoint, in a new call or in one opened in this turn.
  void SendTo(HeldMessage& held, EndpointRecord& record) {
    RateScope& scope = ScopeOf(record);
    Call* call = OpenCall(record);
    const bool joins = call != nullptr;
    if (!MaySend(held, record, scope, joins)) return;
    if (!joins) {
      call = &calls_[record.last_call = ++last_call_];
      *call = {record.destination, record.endpoint.id, now_};
      if (scope.bucket.active) scope.bucket.tokens -= 1;
      ++scope.in_flight;
      ++record.in_flight;
      record.call_rate.Add(now_);
      if (now_ < avoid_idle_until_ && !record.idle.empty() && now_ - record.idle.back() >= stale_after_ / 2)
        Close(record);
      if (!record.idle.empty()) {
        call->idle_for = std::max(Micros(1), now_ - record.idle.back());
        record.idle.pop_back();
      }
    }
    held.call_number = record.last_call;
    ++call->pending_outcomes;
    ++call->messages;
    CountCall(record, scope, joins ? kExtraItemWeight : 1);
    held.in_flight = true;
    ++held.message.past.attempts;
    UpdateQueues(held);
    host_->Send(held.message.id, record.endpoint.id, Timeout(held, scope, call->idle_for > Micros(0)));
  }

  // Whether no waiting message of the destination can be sent now, and none needs to be noted as waiting for
  // tokens.
  bool Blocked(Destination& destination) {
    return std::all_of(destination.endpoints.begin(), destination.endpoints.end(),
                       [&](EndpointRecord& record) {
                         RateScope& scope = ScopeOf(record);
                         if (!MayCall(record, scope) || !HasCallSlot(record, scope)) return true;
                         return scope.bucket.starved && Tokens(scope) < 1;
                       });
  }

  // Sends what may be sent now, by priority, then by deadline.
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
    for (const auto& [priority, deadline, id, held] : waiting)
      if (EndpointRecord* record = Choose(*held)) SendTo(*held, *record);
  }
};

}  // namespace indigosaddle::brain
