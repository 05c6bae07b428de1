// The interface of the decision module: settings, events, actions. No wire format and no choice lives here.
// All decisions stand in src/brain/; an adapter turns its own protocol into these calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace indigosaddle {

using Micros = std::chrono::microseconds;  // instants count from an origin of the adapter's choice
using MessageId = std::uint64_t;
using EndpointId = std::string;  // opaque: only compared, and handed back untouched

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };  // which endpoints of a destination drop a repeat
enum class Decay { kEven, kByHalf };      // how worth falls after the aim
enum class Discovery { kPushed, kOnRequest };
enum class Weights { kNone, kNominal, kRough };  // what lists say of a destination's limit; rough: half off

// Whether and how attempts at one message may be repeated, and whether messages with its order key go one by
// one. The default is the strictest but for the order.
struct RepeatRules {
  Effect effect = Effect::kUnsafe;
  Group group = Group::kCell;  // of a keyed message
  Micros key_ttl{0};           // how long receivers remember its key
  bool sequential = false;
  friend bool operator==(const RepeatRules&, const RepeatRules&) = default;
};

struct ClassSettings : RepeatRules {
  double worth = 0;
  double late_value = 0;  // share of the worth left at the deadline
  Micros aim{0};
  Micros deadline{0};
};

struct TenantSettings {
  double quota_per_second = 0;  // over all senders
};

struct KindSettings {  // one for each kind of destination
  bool separate_routes = false;
  int per_call = 1;
};

struct Settings {
  std::uint64_t seed = 0;
  int senders = 1;
  int own_zone = 0;
  int call_slots = 0;  // 0: not limited
  int max_open = 0;    // 0: not limited
  int max_attempts = 0;
  Discovery discovery = Discovery::kPushed;
  Weights weights = Weights::kNone;
  bool retry_advice = true;  // a refusal can say when to come back
  Decay decay = Decay::kEven;
  double over_share_worth = 1;
  double price_cross_zone = 0;
  double price_handshake = 0;
  double cold_from = 0;
  double overload_factor = 0;
  Micros cold{0};
  Micros fall{0};
  Micros must_ask_in{0};
  Micros turn_gap{0};
  Micros tick{0};
  Micros idle_close{0};
  Micros max_retry_after{0};
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  std::vector<double> zone_fee;
};

enum class EndpointState { kReady, kDraining, kGone };

struct Endpoint {
  EndpointId id;
  int zone = 0;
  int kind = 0;
  std::uint64_t destination = 0;
  EndpointState state = EndpointState::kReady;
  double weight = 0;  // calls a second that its destination takes, as Settings::weights says
};

constexpr int kUnknownZone = -2;  // matches no endpoint's zone, known or not

// What was tried before a restart for a message that is resumed after it.
struct PriorAttempts {
  int attempts = 0;
  bool may_have_run = false;
  Micros first_run{0};  // send time, as run_zone is the zone, of the first attempt that may have run
  int run_zone = 0;     // kUnknownZone: no endpoint's
};

struct Message {
  MessageId id = 0;
  int message_class = 0;
  int tenant = 0;
  std::string key;  // order key; empty: none
  Micros deadline{0};
  std::uint64_t destination = 0;
  std::uint64_t order_position = 0;  // in the order taken, of its key; equal: as told
  PriorAttempts past{};
  bool ended = false;   // before a restart; its answer is still on its way
  RepeatRules rules{};  // from its birth, whatever its class says by now
};

// Unreadable: it ran and was answered, but with what can't be read.
enum class Result {
  kOk,
  kError,
  kRefused,
  kTimeout,
  kNoConnection,
  kReset,
  kCancelled,
  kNotSent,
  kUnreadable
};

struct LoadReport {
  double left = -1;   // share of the limit left; negative: not told
  double limit = -1;  // calls a second; negative: not told
};

struct Outcome {
  MessageId id = 0;
  int attempt = 0;
  EndpointId endpoint;
  Result result = Result::kNotSent;
  Micros latency{0};
  bool last = false;  // the message has concluded
  Micros wait{0};     // told with kRefused; zero: none told
  LoadReport load;
  bool answer_pending = false;  // with last: OnAnswerDelivered follows, and its key waits for that
};

// What is believed of a destination or endpoint. Warm: it serves. Probing: a call failed, it may be down.
// Slow start: it answered again and may be cold.
enum class Recovery : std::uint8_t { kHealthy, kProbing, kSlowStart };
enum class RecoveryCause : std::uint8_t {
  kCallFailed,
  kCallRefused,
  kCallServed,
  kColdTimeOver,
  kRestarted,
  kZoneLost
};

// A change of it, for logs: what this sender may spend there from now on, and what it spent before.
struct RecoveryChange {
  std::uint64_t destination = 0;
  EndpointId endpoint;  // empty: the destination as a whole
  Recovery from = Recovery::kHealthy, to = Recovery::kHealthy;
  RecoveryCause cause = RecoveryCause::kCallFailed;
  double allowance = 0;     // calls that may be made at once
  double spent = 0;         // calls since it was last warm
  double limit = 0;         // calls a second that it is taken to bear from all senders, when warm
  double served_share = 0;  // of the messages that came here for it before
};

// What slow start holds back and let pass, over all destinations.
struct SlowStartFigures {
  std::size_t recovering = 0;  // destinations, or endpoints apart, that are not warm
  double calls = 0;            // made out of allowances since the start
};

// Why a message is given up, for logs.
enum class GiveUpCause : std::uint8_t {
  kOutOfTime,
  kNoAttemptsLeft,
  kMayHaveRun,         // and its rules allow no repeat
  kKeyExpired,         // it may have run, and receivers may no longer remember its key
  kRetryAfterTooLong,  // past its time, at every endpoint
  kNotListed,          // no list has ever named its destination
  kLoadShed,           // it promised least of what is held
};

// What the module does to the world. Every call takes effect at the present turn.
class Host {
 public:
  virtual ~Host() = default;
  virtual void Send(MessageId id, const EndpointId& endpoint, Micros timeout) = 0;
  // Final answers. True: told at once. False: on its way, and the module hears OnAnswerDelivered once it is
  // there.
  virtual bool Refuse(MessageId id, Micros not_before, GiveUpCause cause) = 0;  // harmless to hand in again
  virtual bool Fail(MessageId id, GiveUpCause cause) = 0;                       // no promise about the effect
  virtual void SetTimer(Micros at) = 0;  // asks for a turn at that time, with or without other events
  virtual void Watch() = 0;              // subscribe to list changes
  virtual void CloseIdle(const EndpointId& endpoint) = 0;       // this node's idle connections there
  virtual void OnRecovery(const RecoveryChange& /*change*/) {}  // nothing to do: for logs
};

// Sizes of the state that an instance holds, for tests and monitoring.
struct Footprint {
  std::size_t messages = 0, keys = 0, rate_scopes = 0, endpoints = 0, calls = 0;
};

// One sender's decisions. Instances share nothing. Events of one turn are fed in order, between OnTurnStart
// and OnTurnEnd; only in OnTurnEnd does the module act through its host.
class Brain {
 public:
  virtual ~Brain() = default;
  virtual void OnTurnStart(Micros now) = 0;
  virtual void OnList(const std::vector<Endpoint>& entries, bool whole) = 0;  // whole: the rest is gone
  virtual void OnListFailed() = 0;
  // From then on what was listed may be outdated: nothing new is sent until list news.
  virtual void OnListOutdated(Micros from) = 0;
  virtual void OnMessage(const Message& message) = 0;
  virtual void OnOutcome(const Outcome& outcome) = 0;
  // Told by an endpoint, though not by an answer that ended a call.
  virtual void OnRetryAfter(const EndpointId& endpoint, Micros wait) = 0;
  virtual void OnWithdrawn(MessageId id) = 0;
  virtual void OnAnswerDelivered(MessageId id) = 0;  // a final answer that was on its way has arrived
  virtual void OnStop(Micros at) = 0;  // the process ends then; what is held is resumed after it
  virtual void OnZoneLost(
      int zone) = 0;  // agreed with other senders: endpoints there may have gone down unseen
  // In force from this turn on, for what is held as well; messages keep the rules that they carry. Classes
  // and tenants keep their numbers, new ones follow; seed, tick, zones and how lists come stay as they were.
  // What was learned of lanes is kept.
  virtual void OnSettings(Settings settings) = 0;
  virtual void OnTurnEnd() = 0;
  // Between turns: whether a call that was sent, but waits for its connection, may still begin.
  virtual bool MayStillStart(MessageId id, Micros now) = 0;
  // By when the last byte of its call must have left, if it may start: receivers act on a call once they have
  // it whole. Max: nothing binds it but its time-out.
  virtual Micros LastByteBy(MessageId id) const = 0;
  virtual Footprint footprint() const = 0;
  virtual SlowStartFigures slow_start() const = 0;
};

std::unique_ptr<Brain> MakeBrain(Settings settings, Host& host);

}  // namespace indigosaddle
