// The module's state. A "lane" is what one bucket paces: a destination, or one record where endpoints are
// apart. Each file of this folder builds on the one that it includes; brain.cpp, where events come in, on
// all.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "brain.h"

namespace indigosaddle::brain {

using std::chrono::milliseconds, std::chrono::seconds;

constexpr Micros kServedRateSpan = seconds(2);    // over which the served rate is averaged: about a fall span
constexpr Micros kDemandSpan = seconds(10);       // the same for messages that come for one destination
constexpr Micros kServedShareSpan = seconds(30);  // over which the share of messages that is served is judged
constexpr Micros kAcceptedSpan = seconds(5);      // the same for a sender's own traffic
constexpr Micros kRetryGap = milliseconds(250);   // between trials in doubt; between calls for the list

inline double Seconds(Micros t) { return std::chrono::duration<double>(t).count(); }

inline Micros ToMicros(double s) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(s));
}

// Calls that slow start lets a sender make: earned up to an instant, less those made.
struct Allowance {
  double calls = 0;
  Micros at{0};
};

// What is believed of a lane's or an endpoint's life, and what slow start earned and spent there.
struct Health {
  Recovery recovery = Recovery::kHealthy,
           before = Recovery::kHealthy;  // before: what the probing interrupted
  Micros last_ok{Micros::min()},
      last_failed{Micros::min()};                         // send times of the latest served and other call
  Micros failing_since{Micros::min()}, serving_since{0};  // last_ok when the trouble began; first served
  Micros ramp_start{0};                                   // when it is taken to have come back
  Allowance allowance;                                    // unless warm
  double served_share = 1, spent = 0;  // calls for each message, until it left warm; calls since then
  double failure_share = 0;            // of recent calls
  int consecutive_failures = 0;        // calls in a row that failed or were refused
  std::vector<std::pair<Micros, double>> sent;  // (time, weight) of calls
};

// A rate in events a second, over a span that fades.
struct Rate {
  Micros span;
  double count = 0;
  Micros at{0};
  double Now(Micros t) const { return count / Seconds(span) * std::exp(-Seconds(t - at) / Seconds(span)); }
  double Add(Micros now, double events = 1) {
    return count = Now(now) * Seconds(span) + events, at = now, Now(now);
  }
  double Events(Micros t) const { return Now(t) * Seconds(span); }  // that have not faded yet
  // Events that faded in so many seconds up to then, with none added meanwhile: in the end each one, once.
  double faded(Micros t, double lately) const {
    return Events(t) * std::expm1(std::min(lately, Seconds(t - at)) / Seconds(span));
  }
};

struct TokenBucket {
  bool bound = false, waited = false;  // waited: a call, for tokens, since the last step
  double rate = 0, tokens = 0;         // calls a second; calls
  Micros filled{0}, refused{0}, stepped{0};
};

struct RateScope {
  explicit RateScope(double by_list = 0) : listed(by_list) {}
  TokenBucket bucket;
  Health health;
  Micros pause_until{Micros::min()}, used{Micros::min()};  // told wait; latest call
  double limit = 0;                                        // told calls a second, all senders; 0: none told
  double listed;                                           // the same by the list; 0: it says none
  Rate demand{kDemandSpan}, served{kServedRateSpan};       // messages that came for it, here; calls
  Rate demand_long{kServedShareSpan}, served_long{kServedShareSpan};  // the same over a longer span
  double peak = 0;                                                    // best served rate seen
  double mean = 0, deviation = 0;                                     // latency in seconds; 0: none seen
  int answered = 0, out = 0;                                          // calls
};

struct EndpointRecord {  // an endpoint; kept as gone while its scope may not be forgotten
  Endpoint endpoint;
  KindSettings kind;
  struct Destination* destination = nullptr;
  RateScope own;  // where endpoints are apart
  Health health;  // its own: bounds calls where the scope is shared, ranks the endpoint everywhere
  int out = 0, explained = 0, not_sent = 0;  // in a row: failures that need no outage; calls not begun
  std::uint64_t last_call = 0;
  Rate used{kAcceptedSpan};
  Micros blocked_until{Micros::min()};  // its connections were all taken
  std::vector<Micros> idle;             // connections believed idle, by the time they became so
};

struct Destination {
  std::vector<EndpointRecord> endpoints;
  std::map<std::pair<Micros, MessageId>, struct HeldMessage*>
      waiting;                   // not out nor ended, by when they give up
  RateScope shared;              // where endpoints share a limit
  int held = 0;                  // messages that refer to it
  bool unsure = false;           // tried before a restart and not delivered: it may be down, or cold
  Micros listed{Micros::min()};  // latest entry of the list for it, or the list's end without one
};

struct Call {
  Destination* destination = nullptr;
  EndpointId endpoint;
  Micros sent{0}, idle_for{0};    // how long its connection had been idle; zero: a new one
  int waiting = 0, messages = 0;  // without an outcome; in all
  bool judged = false;
};

struct HeldMessage {
  Message message;
  const ClassSettings* class_settings = nullptr;
  Destination* destination = nullptr;
  bool over_share = false, out = false, ended = false,
       untold = false;  // ended: answered; untold: not there yet
  int timeouts = 0;
  std::uint64_t call = 0;
  Micros due{0};           // its place in waiting_due_ or out_due_
  bool refusable = false;  // it stands in eviction_queues_
  bool ordered = false;    // it stands in its key's order
};

// What may be handed back of one class and side of its tenants' shares, by least worth and by number.
struct EvictionQueue {
  std::map<std::pair<Micros, MessageId>, HeldMessage*>
      by_deadline;  // the id inverted: of equals the newest first
  std::map<MessageId, HeldMessage*> by_id;
};

struct KeyOrder {
  std::vector<MessageId> order;  // as taken
  Micros blocked_until{Micros::min()};
};

struct EngineState {
  static EndpointRecord* Find(Destination& destination, const EndpointId& id) {
    const auto it = std::find_if(destination.endpoints.begin(), destination.endpoints.end(),
                                 [&](const EndpointRecord& r) { return r.endpoint.id == id; });
    return it == destination.endpoints.end() ? nullptr : &*it;
  }

  const ClassSettings* ClassOf(const Message& message) const {
    const auto index = static_cast<std::size_t>(message.message_class);
    return index < set_.classes.size() ? &set_.classes[index] : &unknown_class_;
  }

  // Whether it waits for its turn in its order key.
  static bool NeedsTurn(const HeldMessage& held) {
    return held.message.rules.sequential && !held.message.key.empty();
  }

  // Whether later messages of its order key wait for it: one that need not wait itself counts too, once its
  // class keeps the order.
  static bool CountsInKeyOrder(const HeldMessage& held) {
    return !held.message.key.empty() && (held.message.rules.sequential || held.class_settings->sequential);
  }

  // For messages of a class that the settings no longer have: as patient as any, and last.
  void ResetUnknownClass() {
    unknown_class_ = {};
    for (const ClassSettings& c : set_.classes) {
      unknown_class_.aim = std::max(unknown_class_.aim, c.aim),
      unknown_class_.deadline = std::max(unknown_class_.deadline, c.deadline);
    }
  }

  double RandomShare() {
    return static_cast<double>(random_()) / static_cast<double>(random_.max());
  }  // 0 to 1

  RateScope& ScopeOf(EndpointRecord& record) {
    RateScope& scope = record.kind.separate_routes ? record.own : record.destination->shared;
    if (scope.used == Micros::min()) scope.used = now_;
    return scope;
  }

  Settings set_;
  ClassSettings unknown_class_;  // worth nothing
  Host* host_ = nullptr;
  Micros now_{0}, stop_at_{Micros::max()}, timer_{Micros::max()}, watch_due_{Micros::max()},
      sweep_due_{Micros::min()}, outdated_from_{Micros::max()};  // the list, from then on
  bool list_received_ = false;
  int open_messages_ = 0, stale_losses_ = 0;
  std::uint64_t last_call_ = 0, turn_from_call_ = 0;  // calls after that one were opened in this turn
  std::map<MessageId, HeldMessage> held_;
  std::set<std::pair<Micros, MessageId>> waiting_due_, out_due_;  // when they must be looked at
  std::set<MessageId> to_check_;                                  // in this turn, for what is over
  std::set<Destination*> changed_destinations_;  // its list or a told wait, since the last turn
  std::map<std::uint64_t, Destination*> waiting_destinations_;  // where messages wait
  std::map<std::pair<int, bool>, EvictionQueue>
      eviction_queues_;  // by class and being past the tenant's share
  std::vector<MessageId> finished_;
  std::map<std::string, KeyOrder> keys_;
  std::map<int, Rate> tenant_rates_;
  Rate accepted_{kAcceptedSpan};
  std::mt19937_64 random_;
  double slow_start_calls_ = 0;  // made out of allowances, since the start
  std::map<std::uint64_t, Destination> destinations_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<std::pair<Destination*, EndpointId>>
      freed_endpoints_;                     // endpoints where a call ended in this turn
  std::map<int, double> table_full_share_;  // by kind: share of new connections that failed
  Micros stale_after_{Micros::max()}, avoid_idle_until_{Micros::min()};
};

}  // namespace indigosaddle::brain
