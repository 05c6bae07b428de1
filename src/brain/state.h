// State of the decision engine and look-ups in it.
//
// The engine is a chain of classes, each derived from the one before. Their files, each of which includes the
// one before: records.h (plain types only), state.h, token_bucket.h, slow_start.h, recovery.h, priority.h,
// eligibility.h, final_answers.h, scheduler.h, outcomes.h, cleanup.h. The last class is in brain.cpp and
// handles events.
#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "brain/records.h"

namespace indigosaddle::brain {

// The state of one engine, and look-ups in it.
struct EngineState {
  // Null: the destination has no such endpoint.
  static EndpointRecord* Find(Destination& destination, const EndpointId& id) {
    const auto it = std::find_if(destination.endpoints.begin(), destination.endpoints.end(),
                                 [&](const EndpointRecord& r) { return r.endpoint.id == id; });
    return it == destination.endpoints.end() ? nullptr : &*it;
  }

  const ClassSettings* ClassOf(const Message& message) const {
    const auto index = static_cast<std::size_t>(message.message_class);
    return index < set_.classes.size() ? &set_.classes[index] : &unknown_class_;
  }

  // Whether it must wait until it is the first of its order key.
  static bool NeedsTurn(const HeldMessage& held) {
    return held.message.rules.sequential && !held.message.key.empty();
  }

  // Whether later messages of its order key wait for it. A message whose own rules ask for no order counts
  // too, once its class does.
  static bool CountsInKeyOrder(const HeldMessage& held) {
    return !held.message.key.empty() && (held.message.rules.sequential || held.class_settings->sequential);
  }

  // Settings of messages whose class the settings no longer have: the longest aim and deadline, no worth.
  void ResetUnknownClass() {
    unknown_class_ = {};
    for (const ClassSettings& c : set_.classes) {
      unknown_class_.aim = std::max(unknown_class_.aim, c.aim);
      unknown_class_.deadline = std::max(unknown_class_.deadline, c.deadline);
    }
  }

  // A random number from 0 to 1.
  double RandomShare() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  // The scope that paces calls to this endpoint. Marks it as in use.
  RateScope& ScopeOf(EndpointRecord& record) {
    RateScope& scope = record.kind.separate_routes ? record.own : record.destination->shared;
    if (scope.last_used == Micros::min()) scope.last_used = now_;
    return scope;
  }

  Settings set_;
  ClassSettings unknown_class_;  // for messages whose class has no settings; worth nothing
  Host* host_ = nullptr;
  Micros now_{0};
  Micros stop_at_{Micros::max()};            // the process ends then
  Micros timer_{Micros::max()};              // latest timer asked of the host
  Micros watch_due_{Micros::max()};          // next subscription to the list
  Micros sweep_due_{Micros::min()};          // next removal of unused state
  Micros outdated_from_{Micros::max()};      // from then on the list may be outdated
  bool list_received_ = false;               // with at least one entry
  int open_messages_ = 0;                    // without a final answer
  int stale_losses_ = 0;                     // calls lost on idle connections, less those answered
  std::uint64_t last_call_ = 0;              // number of the latest call
  std::uint64_t last_call_before_turn_ = 0;  // calls with higher numbers were opened in this turn
  std::map<MessageId, HeldMessage> held_;
  std::set<std::pair<Micros, MessageId>> waiting_due_;    // when waiting messages must be checked
  std::set<std::pair<Micros, MessageId>> in_flight_due_;  // when messages in flight must be checked
  std::set<MessageId> to_check_;                          // in this turn: whether they are over
  std::set<Destination*> changed_destinations_;           // by a list or Retry-After since the last turn
  std::map<std::uint64_t, Destination*> waiting_destinations_;     // those with waiting messages
  std::map<std::pair<int, bool>, EvictionQueue> eviction_queues_;  // by class and HeldMessage::over_share
  std::vector<MessageId> finished_;                                // to be removed in this turn
  std::map<std::string, KeyOrder> keys_;
  std::map<int, Rate> tenant_rates_;  // messages accepted, by tenant
  Rate accepted_{kAcceptedSpan};      // messages accepted
  std::mt19937_64 random_;
  double slow_start_calls_ = 0;  // made from allowances since the start
  std::map<std::uint64_t, Destination> destinations_;
  std::map<std::uint64_t, Call> calls_;                               // in flight, by number
  std::vector<std::pair<Destination*, EndpointId>> freed_endpoints_;  // a call there ended in this turn
  std::map<int, double> table_full_share_;  // by kind: share of new connections that failed at once
  Micros stale_after_{Micros::max()};       // idle time after which connections were found lost
  Micros avoid_idle_until_{Micros::min()};  // until then no such connection is used
};

}  // namespace indigosaddle::brain
