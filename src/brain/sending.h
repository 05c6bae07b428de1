// Sending: who goes first, to which endpoint, on which connection, with which time-out.
#pragma once

#include "brain/answers.h"

namespace indigosaddle::brain {

constexpr double kExtraItemWeight = 0.2, kTimeoutDeviations = 8;  // a further message's; cuts few live calls
constexpr double kPatience = 4, kOldPatience = 0.5;   // aims a call may take: times unknown; idled connection
constexpr int kKnownAnswers = 5, kMostDoublings = 4;  // calls: times are known; of a message's time-out
constexpr int kStaleSigns = 3;             // calls lost on old connections, less those answered, that tell
constexpr Micros kFreshFor = seconds(10);  // then no old connection is used for so long
constexpr double kKeepForPrice = 100, kTablePlaces = 4;  // seconds kept unused for a price of 1; of any table
constexpr double kCrowdedShare = 0.05, kCrowdedRise = 0.1, kCrowdedFall = 0.005;  // tells; failed; made

struct Sending : Answers {
  void Close(Route& route) { route.idle.clear(), host_->CloseIdle(route.endpoint.id); }

  bool UsedSoon(const Route& route) const {
    const double keep = kKeepForPrice * set_.price_handshake;  // 0: no reason to give one back
    return keep <= 0 || std::max(route.used.Now(now_), kTablePlaces / set_.senders) * keep >= 1;
  }

  // Against tables that idle connections of all senders fill: those of that kind are given back after use.
  bool Crowded(const Route& route) { return crowded_[route.endpoint.kind] > kCrowdedShare; }

  // Against idle connections dropped unseen: calls on old ones are lost while few as old are answered.
  void JudgeConnection(const Call& call, const Route& route, const Outcome& outcome, bool was_well) {
    const Result result = outcome.result;
    const bool lost = result == Result::kTimeout || result == Result::kReset;
    if (call.idle_for <= Micros(0)) {
      double& share = crowded_[route.endpoint.kind];
      const bool full = was_well && result == Result::kNoConnection && outcome.latency < kMoment;
      if (full && share <= kCrowdedShare) sweep_due_ = now_;           // what idles there goes at once
      share += (full ? kCrowdedRise : kCrowdedFall) * (full - share);  // giving back hides what it cures
    } else if (lost && call.idle_for >= kMoment) {
      stale_after_ = std::min(stale_after_, call.idle_for);
      stale_signs_ = std::min(stale_signs_ + 1, kStaleSigns);
      if (stale_signs_ == kStaleSigns) fresh_until_ = now_ + kFreshFor;
    } else if (!lost && call.idle_for >= stale_after_ && --stale_signs_ <= 0) {
      stale_signs_ = 0, stale_after_ = Micros::max();
    }
  }

  Micros Timeout(const Held& held, const Lane& lane, bool old_connection) const {
    const bool old = old_connection && held.message.rules.effect != Effect::kUnsafe;
    const double aims = old ? kOldPatience : lane.answered < kKnownAnswers ? kPatience : 1;
    const Micros base =
        ToMicros(std::max(aims * Seconds(held.c->aim), lane.mean + kTimeoutDeviations * lane.deviation));
    // A message that timed out may just be slow: it gets more time, within limits while its lane is in trial.
    const int most = lane.health.recovery == Recovery::kProbing ? 1 : kMostDoublings;
    return std::min<Micros>(base * (1 << std::min(held.timeouts, most)), held.message.deadline - now_);
  }

  // Rank of an endpoint for a call: routes apart by tokens, then fee; else by zone, connections and load.
  std::tuple<double, double, double> Rank(Route& route, Lane& lane) {
    const auto zone = static_cast<std::size_t>(route.endpoint.zone);
    const double fee = zone < set_.zone_fee.size() ? set_.zone_fee[zone] : 0;
    std::erase_if(route.idle, [&](Micros since) { return now_ - since >= set_.idle_close; });
    double load = route.out;
    if (route.idle.empty()) load += 1;  // a new connection takes time, and one of a few places
    if (route.endpoint.zone != set_.own_zone && set_.price_cross_zone > 0) load += 1;
    load += 4 * route.health.bad_share;
    return route.kind.separate_routes ? std::tuple{-Tokens(lane), fee, load} : std::tuple{0.0, 0.0, load};
  }

  // A call opened in this turn that has room for one more message: that costs no slot and no token.
  Call* OpenCall(const Route& route) {
    auto it = route.last_call > turn_from_call_ ? calls_.find(route.last_call) : calls_.end();
    return it != calls_.end() && it->second.messages < route.kind.per_call ? &it->second : nullptr;
  }

  // Before a stop: only what should end by then. What the stop cuts off may have run.
  bool EndsInTime(const Held& held, const Lane& lane) const {
    const bool sure = lane.mean > 0 && held.message.rules.effect != Effect::kUnsafe;
    return stop_at_ - now_ >= (sure ? ToMicros(lane.mean + 2 * lane.deviation) : Timeout(held, lane, false));
  }

  bool HasPlace(const Route& route, const Lane& lane) const {
    const bool trial = lane.health.recovery == Recovery::kProbing;
    const int half = set_.call_slots > 0 ? std::max(2, (set_.call_slots + 1) / 2) : lane.out + 1;
    if (lane.out >= (!trial ? half : InDoubt(lane.health) ? 2 : 1)) return false;  // no lane takes all slots
    if (set_.call_slots > 0 && lane.out > 0 && static_cast<int>(calls_.size()) * 4 >= set_.call_slots * 3)
      return false;  // the last quarter is for lanes that hold none: those that hold some may be hung
    return now_ >= route.rest_until && (route.health.recovery != Recovery::kProbing || route.out == 0);
  }

  bool HasRoom(const Held& held, const Route& route, Lane& lane) {
    if (set_.call_slots > 0 && static_cast<int>(calls_.size()) >= set_.call_slots) return false;
    if (!MaySend(held, route, lane) || !EndsInTime(held, lane) || !HasPlace(route, lane)) return false;
    if (Tokens(lane) >= 1) return true;
    if (!std::exchange(lane.bucket.waited, true))  // intervals count while calls wait
      lane.bucket.stepped = std::max(lane.bucket.stepped, now_ - kIncreaseInterval);
    return false;
  }

  Route* Choose(const Held& held) {
    Route* best = nullptr;
    std::tuple<double, double, double> best_rank;
    std::vector<Route>& routes = held.home->routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
      Route& route = routes[(i + set_.seed) % routes.size()];  // ties fall differently at each sender
      Lane& lane = LaneOf(route);
      if (OpenCall(route) != nullptr && MaySend(held, route, lane, true)) return &route;
      if (!HasRoom(held, route, lane)) continue;
      const auto rank = Rank(route, lane);
      if (best == nullptr || rank < best_rank) best = &route, best_rank = rank;
    }
    return best;
  }

  void SendTo(Held& held, Route& route) {
    Lane& lane = LaneOf(route);
    Call* call = OpenCall(route);
    const bool joins = call != nullptr;
    if (!MaySend(held, route, lane, joins)) return;  // the guard
    if (!joins) {
      call = &calls_[route.last_call = ++last_call_];
      *call = {route.home, route.endpoint.id, now_};
      if (lane.bucket.bound) lane.bucket.tokens -= 1;
      ++lane.out, ++route.out, route.used.Add(now_);
      if (now_ < fresh_until_ && !route.idle.empty() && now_ - route.idle.back() >= stale_after_ / 2)
        Close(route);
      if (!route.idle.empty())
        call->idle_for = std::max(Micros(1), now_ - route.idle.back()), route.idle.pop_back();
    }
    held.call = route.last_call;
    ++call->waiting, ++call->messages;
    Log(route, lane, joins ? kExtraItemWeight : 1);
    held.out = true, ++held.message.past.attempts;
    Place(held);
    host_->Send(held.message.id, route.endpoint.id, Timeout(held, lane, call->idle_for > Micros(0)));
  }

  // Whether no message of it can be sent now, whichever it is, and none need be noted as waiting for tokens.
  bool Blocked(Destination& home) {
    return std::all_of(home.routes.begin(), home.routes.end(), [&](Route& route) {
      Lane& lane = LaneOf(route);
      if (!MayCall(route, lane) || !HasPlace(route, lane)) return true;
      return lane.bucket.waited && Tokens(lane) < 1;
    });
  }

  void Pump() {
    if (set_.call_slots > 0 && static_cast<int>(calls_.size()) >= set_.call_slots) return;
    std::vector<std::tuple<double, Micros, MessageId, Held*>> waiting;
    for (const auto& [destination, home] : busy_) {
      EarnAt(*home);
      if (Blocked(*home)) continue;
      for (const auto& [key, held] : home->waiting)
        if (MayAttempt(*held)) waiting.emplace_back(-Claim(*held), key.first, key.second, held);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [claim, give_up_at, id, held] : waiting)
      if (Route* route = Choose(*held)) SendTo(*held, *route);
  }
};

}  // namespace indigosaddle::brain
