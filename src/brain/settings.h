// Settings of the decision engine. Part of its interface, src/brain.h.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace indigosaddle {

// Instants count from an origin that the adapter chooses.
using Micros = std::chrono::microseconds;

// What a second execution of a message at its receiver may do.
enum class Effect {
  kSafe,    // repeating does no harm
  kKeyed,   // receivers drop a repeat that they know by its idempotency key
  kUnsafe,  // a repeat has a second effect: none is made once an attempt may have run
};

// Which endpoints of a destination recognise the repeat of a keyed message.
enum class Group {
  kAll,   // every endpoint
  kZone,  // those in the zone of the first attempt that may have run
  kCell,  // none that the engine can tell: no repeat is made
};

// How the worth of a message falls once it is older than its aim.
enum class Decay {
  kEven,    // linearly, down to late_value at the deadline
  kByHalf,  // by half for each further aim, not below late_value
};

// How endpoint lists reach the engine.
enum class Discovery {
  kPushed,     // without being asked for
  kOnRequest,  // after a call of Host::Watch
};

// What lists say of a destination's limit.
enum class Weights {
  kNone,     // nothing
  kNominal,  // the limit
  kRough,    // the limit, off by up to a half
};

// Whether and how attempts at one message may be repeated, and whether messages with its order key go one by
// one. The default is the strictest, except that it asks for no order.
struct RepeatRules {
  Effect effect = Effect::kUnsafe;
  Group group = Group::kCell;  // for a keyed message
  Micros key_ttl{0};           // how long receivers remember its key
  bool sequential = false;     // rule 5 holds: messages with one order key in turn
  friend bool operator==(const RepeatRules&, const RepeatRules&) = default;
};

// A class of messages: how they may be repeated, and what they are worth when.
struct ClassSettings : RepeatRules {
  double worth = 0;       // of a delivery by the aim
  double late_value = 0;  // share of the worth left at the deadline
  Micros aim{0};          // age up to which a delivery has its full worth
  Micros deadline{0};     // age at which a message is over
};

// A tenant's quota.
struct TenantSettings {
  double quota_per_second = 0;  // messages, over all senders; 0: no quota
};

// One kind of destination.
struct KindSettings {
  bool separate_routes = false;  // each endpoint has a rate limit of its own; else they share one
  int per_call = 1;              // most messages in one call
};

// All settings of one engine. Prices and worths share one unit, that of ClassSettings::worth.
struct Settings {
  std::uint64_t seed = 0;  // of the random numbers
  int senders = 1;         // nodes that send to the same destinations
  int own_zone = 0;        // zone of this node
  int call_slots = 0;      // most calls in flight; 0: not limited
  int max_open = 0;        // most messages held without a final answer; 0: not limited
  int max_attempts = 0;    // for one message; 0: not limited
  Discovery discovery = Discovery::kPushed;
  Weights weights = Weights::kNone;
  bool retry_advice = true;  // an answer that returns a message can say when to hand it in again
  Decay decay = Decay::kEven;
  double over_share_worth = 1;  // factor on the worth of messages of a tenant over its share
  double price_cross_zone = 0;  // of a call to another zone
  double price_handshake = 0;   // of a new connection
  double cold_from = 0;         // share of its capacity that a recovering destination has at first
  double overload_factor = 0;   // most load on a recovering destination, as a multiple of its capacity
  Micros cold{0};               // time that a recovering destination takes to reach its full capacity
  Micros fall{0};               // time window over which an overload is counted
  Micros must_ask_in{0};        // time without asking after which the current list counts as known (rule 3)
  Micros turn_gap{0};           // pause of an order key after an attempt that may still be running
  // Slack at deadlines: a waiting message is given up two ticks before its deadline, one in flight one tick
  // after it.
  Micros tick{0};
  Micros idle_close{0};                 // idle timeout of connections
  Micros max_retry_after{0};            // Retry-After given with a returned message
  std::vector<ClassSettings> classes;   // by Message::message_class
  std::vector<TenantSettings> tenants;  // by Message::tenant
  std::vector<KindSettings> kinds;      // by Endpoint::kind
  std::vector<double> zone_fee;         // of a call, by Endpoint::zone
};

}  // namespace indigosaddle
