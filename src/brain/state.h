// The module's state. A "lane" is what one bucket paces: a destination, or one route where routes are apart.
// Each file of this folder builds on the one that it includes; brain.cpp, where events come in, on all.
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

constexpr Micros kServedSpan = seconds(2);     // over which the served rate is averaged: about a fall span
constexpr Micros kAskedSpan = seconds(10);     // the same for messages that come for one destination
constexpr Micros kShareSpan = seconds(30);     // over which the share of messages that is served is judged
constexpr Micros kTakenSpan = seconds(5);      // the same for a sender's own traffic
constexpr Micros kMoment = milliseconds(250);  // between trials in doubt; between calls for the list

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
  Recovery recovery = Recovery::kHealthy, before = Recovery::kHealthy;  // before: what the probing interrupted
  Micros last_ok{Micros::min()}, last_bad{Micros::min()};  // send times of the latest served and other call
  Micros trouble_from{Micros::min()}, served_from{0};      // last_ok when the trouble began; first served
  Micros ramp_from{0};                                     // when it is taken to have come back
  Allowance allowance;                                     // unless warm
  double served_share = 1, spent = 0;  // calls for each message, until it left warm; calls since then
  double bad_share = 0;                // of recent calls
  int bad_run = 0;                     // calls in a row that failed or were refused
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
  double Faded(Micros t, double lately) const {
    return Events(t) * std::expm1(std::min(lately, Seconds(t - at)) / Seconds(span));
  }
};

struct Bucket {
  bool bound = false, waited = false;  // waited: a call, for tokens, since the last step
  double rate = 0, tokens = 0;         // calls a second; calls
  Micros filled{0}, refused{0}, stepped{0};
};

struct Lane {
  explicit Lane(double by_list = 0) : listed(by_list) {}
  Bucket bucket;
  Health health;
  Micros pause_until{Micros::min()}, used{Micros::min()};  // told wait; latest call
  double limit = 0;                                        // told calls a second, all senders; 0: none told
  double listed;                                           // the same by the list; 0: it says none
  Rate asked{kAskedSpan}, served{kServedSpan};             // messages that came for it, here; calls
  Rate asked_long{kShareSpan}, served_long{kShareSpan};    // the same over a longer span
  double peak = 0;                                         // best served rate seen
  double mean = 0, deviation = 0;                          // latency in seconds; 0: none seen
  int answered = 0, out = 0;                               // calls
};

struct Route {  // an endpoint; kept as gone while its lane may not be forgotten
  Endpoint endpoint;
  KindSettings kind;
  struct Destination* home = nullptr;
  Lane own;       // where routes are apart
  Health health;  // its own: bounds calls where the lane is shared, ranks the endpoint everywhere
  int out = 0, explained = 0, not_sent = 0;  // in a row: failures that need no outage; calls not begun
  std::uint64_t last_call = 0;
  Rate used{kTakenSpan};
  Micros rest_until{Micros::min()};  // its connections were all taken
  std::vector<Micros> idle;          // connections believed idle, by the time they became so
};

struct Destination {
  std::vector<Route> routes;
  std::map<std::pair<Micros, MessageId>, struct Held*> waiting;  // not out nor ended, by when they give up
  Lane shared;                                                   // where endpoints share a limit
  int held = 0;                                                  // messages that refer to it
  bool unsure = false;           // tried before a restart and not delivered: it may be down, or cold
  Micros listed{Micros::min()};  // latest entry of the list for it, or the list's end without one
};

struct Call {
  Destination* home = nullptr;
  EndpointId endpoint;
  Micros sent{0}, idle_for{0};    // how long its connection had been idle; zero: a new one
  int waiting = 0, messages = 0;  // without an outcome; in all
  bool judged = false;
};

struct Held {
  Message message;
  const ClassSettings* c = nullptr;
  Destination* home = nullptr;
  bool over_share = false, out = false, ended = false,
       untold = false;  // ended: answered; untold: not there yet
  int timeouts = 0;
  std::uint64_t call = 0;
  Micros due{0};           // its place in waiting_due_ or out_due_
  bool refusable = false;  // it stands in room_
  bool ordered = false;    // it stands in its key's order
};

// What may be handed back of one class and side of its tenants' shares, by least worth and by number.
struct Room {
  std::map<std::pair<Micros, MessageId>, Held*> by_time;  // the id inverted: of equals the newest first
  std::map<MessageId, Held*> by_id;
};

struct KeyTurn {
  std::vector<MessageId> order;  // as taken
  Micros rest_until{Micros::min()};
};

struct Core {
  static Route* Find(Destination& home, const EndpointId& id) {
    const auto it = std::find_if(home.routes.begin(), home.routes.end(),
                                 [&](const Route& r) { return r.endpoint.id == id; });
    return it == home.routes.end() ? nullptr : &*it;
  }

  const ClassSettings* ClassOf(const Message& message) const {
    const auto index = static_cast<std::size_t>(message.message_class);
    return index < set_.classes.size() ? &set_.classes[index] : &unknown_;
  }

  // Whether it waits for its turn in its order key.
  static bool InTurn(const Held& held) { return held.message.rules.sequential && !held.message.key.empty(); }

  // Whether later messages of its order key wait for it: one that need not wait itself counts too, once its
  // class keeps the order.
  static bool HasPlaceInOrder(const Held& held) {
    return !held.message.key.empty() && (held.message.rules.sequential || held.c->sequential);
  }

  // For messages of a class that the settings no longer have: as patient as any, and last.
  void SetUnknownClass() {
    unknown_ = {};
    for (const ClassSettings& c : set_.classes) {
      unknown_.aim = std::max(unknown_.aim, c.aim),
      unknown_.deadline = std::max(unknown_.deadline, c.deadline);
    }
  }

  double Draw() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }  // 0 to 1

  Lane& LaneOf(Route& route) {
    Lane& lane = route.kind.separate_routes ? route.own : route.home->shared;
    if (lane.used == Micros::min()) lane.used = now_;
    return lane;
  }

  Settings set_;
  ClassSettings unknown_;  // worth nothing
  Host* host_ = nullptr;
  Micros now_{0}, stop_at_{Micros::max()}, timer_{Micros::max()}, watch_due_{Micros::max()},
      sweep_due_{Micros::min()}, outdated_from_{Micros::max()};  // the list, from then on
  bool list_told_ = false;
  int open_ = 0, stale_signs_ = 0;
  std::uint64_t last_call_ = 0, turn_from_call_ = 0;  // calls after that one were opened in this turn
  std::map<MessageId, Held> held_;
  std::set<std::pair<Micros, MessageId>> waiting_due_, out_due_;  // when they must be looked at
  std::set<MessageId> look_;                                      // in this turn, for what is over
  std::set<Destination*> changed_;              // its list or a told wait, since the last turn
  std::map<std::uint64_t, Destination*> busy_;  // where messages wait
  std::map<std::pair<int, bool>, Room> room_;   // by class and being past the tenant's share
  std::vector<MessageId> done_;
  std::map<std::string, KeyTurn> keys_;
  std::map<int, Rate> tenants_;
  Rate taken_{kTakenSpan};
  std::mt19937_64 random_;
  double slow_start_calls_ = 0;  // made out of allowances, since the start
  std::map<std::uint64_t, Destination> destinations_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<std::pair<Destination*, EndpointId>> freed_;  // endpoints where a call ended in this turn
  std::map<int, double> crowded_;                           // by kind: share of new connections that failed
  Micros stale_after_{Micros::max()}, fresh_until_{Micros::min()};
};

}  // namespace indigosaddle::brain
