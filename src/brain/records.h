// What the decision engine holds of messages, destinations, endpoints and calls.
//
// A rate scope is what one token bucket paces: a destination, or one endpoint where each endpoint has a limit
// of its own.
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

constexpr Micros kServedRateSpan = seconds(2);    // averages the rate of served calls: about Settings::fall
constexpr Micros kDemandSpan = seconds(10);       // averages the rate of messages for one destination
constexpr Micros kServedShareSpan = seconds(30);  // over which the share of messages served is determined
constexpr Micros kAcceptedSpan = seconds(5);      // averages the rate of messages accepted by this sender
// Least time between probe requests in a possible blip (SlowStart::MaybeBlip), and before a failed
// subscription to the list is repeated. Also the base of an endpoint's pauses
// (EndpointRecord::blocked_until), the time within which a new connection counts as failed at once, and the
// least idle time after which a lost call is put down to a connection that was dropped while idle.
constexpr Micros kRetryGap = milliseconds(250);

inline double Seconds(Micros t) { return std::chrono::duration<double>(t).count(); }

inline Micros ToMicros(double s) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(s));
}

// Calls that slow start lets this sender make now.
struct Allowance {
  double calls = 0;  // earned up to `at`, less those made
  Micros at{0};
};

// Health of a rate scope or an endpoint: its circuit breaker, and what slow start earned and spent there.
struct Health {
  Recovery recovery = Recovery::kHealthy;
  Recovery before = Recovery::kHealthy;  // state that kProbing interrupted
  Micros last_ok{Micros::min()};         // send time of the latest served call
  Micros last_failed{Micros::min()};     // send time of the latest call that failed or was refused
  Micros failing_since{Micros::min()};   // last_ok as the failures began
  Micros serving_since{0};               // first served call after an outage
  Micros ramp_start{0};                  // instant at which it is assumed to have come back
  Allowance allowance;                   // unused while healthy
  double served_share = 1;               // of the messages for it, until it left kHealthy
  double calls_spent = 0;                // calls, weighted, since it left kHealthy
  double failure_share = 0;              // of recent calls, exponentially weighted
  int consecutive_failures = 0;          // calls in a row that failed or were refused
  // (send time, weight) within kBurst. A call weighs 1, a further message in it kExtraItemWeight.
  std::vector<std::pair<Micros, double>> recent_calls;
};

// An exponentially fading count of events, read as events a second.
struct Rate {
  Micros span;       // time constant of the fading
  double count = 0;  // at instant `at`
  Micros at{0};

  double Now(Micros t) const { return count / Seconds(span) * std::exp(-Seconds(t - at) / Seconds(span)); }

  // Returns the new rate.
  double Add(Micros now, double events = 1) {
    count = Now(now) * Seconds(span) + events;
    at = now;
    return Now(now);
  }

  // Number of events that have not faded yet.
  double Events(Micros t) const { return Now(t) * Seconds(span); }

  // Number of events that faded in the last `lately` seconds, if none was added meanwhile. Over all time each
  // event counts once.
  double Faded(Micros t, double lately) const {
    return Events(t) * std::expm1(std::min(lately, Seconds(t - at)) / Seconds(span));
  }
};

// A token bucket that limits calls only after a refusal.
struct TokenBucket {
  bool active = false;   // it limits calls
  bool starved = false;  // a call waited for tokens since the last increase
  double rate = 0;       // calls a second
  double tokens = 0;     // calls
  Micros filled_at{0};
  Micros refused_at{0};    // latest refusal
  Micros increased_at{0};  // latest increase of the rate
};

// What one token bucket paces, with its limit, demand and latency.
struct RateScope {
  explicit RateScope(double by_list = 0) : listed_limit(by_list) {}
  TokenBucket bucket;
  Health health;
  Micros pause_until{Micros::min()};   // Retry-After (rule 6)
  Micros last_used{Micros::min()};     // latest call; min: not in use
  double reported_limit = 0;           // calls a second, all senders, as endpoints report; 0: none
  double listed_limit;                 // the same as the list says; 0: none
  Rate demand{kDemandSpan};            // messages for it that came to this sender
  Rate served{kServedRateSpan};        // calls served
  Rate demand_long{kServedShareSpan};  // demand over a longer span
  Rate served_long{kServedShareSpan};  // served over a longer span
  double peak = 0;                     // highest rate of `served` seen
  double mean_latency = 0;             // seconds; 0: none seen
  double latency_deviation = 0;        // mean deviation, seconds
  int answered = 0;                    // calls served, in all
  int in_flight = 0;                   // calls
};

// An endpoint and what is known of it. Kept as kGone while its rate scope must be remembered.
struct EndpointRecord {
  Endpoint endpoint;
  KindSettings kind;
  struct Destination* destination = nullptr;  // the owner of this record
  RateScope own;                              // used where each endpoint has its own limit
  Health health;                  // limits calls where the scope is shared; ranks the endpoint in all cases
  int in_flight = 0;              // calls
  int explained_failures = 0;     // in a row: failures that can be explained without an outage
  int not_sent = 0;               // in a row: calls that this node did not begin
  std::uint64_t last_call = 0;    // number of the latest call to it
  Rate call_rate{kAcceptedSpan};  // calls to it
  // No new calls until then: its connection table was full, or calls to it could not be begun.
  Micros blocked_until{Micros::min()};
  std::vector<Micros> idle;  // idle connections, each by the instant it became idle
};

// A destination, its endpoints and its waiting messages.
struct Destination {
  std::vector<EndpointRecord> endpoints;
  // Messages neither in flight nor ended, by deadline.
  std::map<std::pair<Micros, MessageId>, struct HeldMessage*> waiting;
  RateScope shared;                   // used where its endpoints share a limit
  int held = 0;                       // messages that refer to it
  bool maybe_cold = false;            // tried before a restart without a delivery: it may be down, or cold
  Micros last_listed{Micros::min()};  // latest list entry for it, or latest whole list without one
};

// A call in flight, which may carry several messages.
struct Call {
  Destination* destination = nullptr;
  EndpointId endpoint;
  Micros sent{0};
  Micros idle_for{0};           // how long its connection had been idle; zero: a new connection
  int pending_outcomes = 0;     // messages whose outcome is not known yet
  int messages = 0;             // in all
  bool result_applied = false;  // to the endpoint; once for all its messages
};

// A message that the engine holds.
struct HeldMessage {
  Message message;
  const ClassSettings* class_settings = nullptr;
  Destination* destination = nullptr;
  bool over_share = false;      // its tenant was over its share as it came
  bool in_flight = false;       // an attempt at it is in flight
  bool ended = false;           // it has its final answer
  bool answer_pending = false;  // that answer has not arrived yet
  int timeouts = 0;             // attempts that timed out
  std::uint64_t call_number = 0;
  Micros due{0};  // its key in waiting_due_ or in_flight_due_
  bool in_eviction_queue = false;
  bool ordered = false;  // it is in its key's order
};

// The messages that may be returned to their clients, of one class and on one side of the tenants' shares.
struct EvictionQueue {
  // Least worth first. The id is inverted: the newest first among those with equal deadlines.
  std::map<std::pair<Micros, MessageId>, HeldMessage*> by_deadline;
  std::map<MessageId, HeldMessage*> by_id;
};

// The messages with one order key.
struct KeyOrder {
  std::vector<MessageId> order;         // in which they take their turns: as they were accepted
  Micros blocked_until{Micros::min()};  // until then an attempt at one of them may still be running
};

}  // namespace indigosaddle::brain
