// Removal of state that is no longer needed, so that what an engine holds is bounded by the messages that it
// holds and by what the list names: clients may name any number of destinations and order keys.
#pragma once

#include "brain/outcomes.h"

namespace indigosaddle::brain {

constexpr Micros kForgetAfter = seconds(60);  // unused state is removed after so long
constexpr Micros kSweepEvery = seconds(5);    // between removals of unused state

// Removes state of finished messages at once, and unused state of listed destinations periodically.
struct StateCleanup : OutcomeHandler {
  // Removes the messages that were released since the last turn.
  void RemoveFinished() {
    for (const MessageId id : std::exchange(finished_, {})) {
      const auto held = held_.find(id);
      const std::string key = held->second.message.key;
      const std::uint64_t destination = held->second.message.destination;
      --held->second.destination->held;
      held_.erase(held);
      RemoveKeyIfUnused(key);
      RemoveDestinationIfUnlisted(destination);
    }
  }

  // Removes state that is no longer used, and closes idle connections where connection tables are full.
  void RemoveUnusedState() {
    sweep_due_ = now_ + kSweepEvery;
    std::erase_if(keys_, [this](const auto& entry) { return KeyIsUnused(entry.second); });
    for (auto& [id, destination] : destinations_) {
      if (!destination.waiting.empty()) changed_destinations_.insert(&destination);
      std::erase_if(destination.endpoints, [this](EndpointRecord& record) {
        const bool gone = record.endpoint.state == EndpointState::kGone;
        Forget(record.own, !gone);
        if (!record.idle.empty() && ConnectionTableFull(record)) Close(record);
        return gone && record.in_flight == 0 && record.own.last_used == Micros::min();
      });
      Forget(destination.shared, !destination.endpoints.empty());
    }
    std::erase_if(destinations_, [this](const auto& entry) {
      const Destination& destination = entry.second;
      return IsUnused(destination) && destination.last_listed < now_ - kForgetAfter;
    });
  }

 private:
  bool KeyIsUnused(const KeyOrder& key) const { return key.order.empty() && key.blocked_until <= now_; }

  static bool IsUnused(const Destination& destination) {
    return destination.endpoints.empty() && destination.held == 0 &&
           destination.shared.last_used == Micros::min();
  }

  // A key that is still blocked goes with the next periodic removal.
  void RemoveKeyIfUnused(const std::string& key) {
    const auto it = keys_.find(key);
    if (it != keys_.end() && KeyIsUnused(it->second)) keys_.erase(it);
  }

  // A destination that the list may name later and that must be assumed cold then stays.
  void RemoveDestinationIfUnlisted(std::uint64_t number) {
    const auto it = destinations_.find(number);
    if (it == destinations_.end() || !IsUnused(it->second)) return;
    if (it->second.last_listed != Micros::min() || it->second.maybe_cold) return;
    changed_destinations_.erase(&it->second);
    destinations_.erase(it);
  }

  // Resets a scope unused for kForgetAfter, unless a Retry-After or the recovery of a listed one must be
  // kept.
  void Forget(RateScope& scope, bool listed) const {
    if (scope.last_used == Micros::min() || scope.in_flight > 0 || now_ - scope.last_used <= kForgetAfter)
      return;
    if (now_ >= scope.pause_until && (!listed || RecoveryOf(scope.health) == Recovery::kHealthy))
      scope = RateScope(scope.listed_limit);
  }
};

}  // namespace indigosaddle::brain
