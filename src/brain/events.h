// Values that pass between the decision engine and its adapter: endpoints, messages, outcomes of calls, and
// reports for logs. Part of the engine's interface, src/brain.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "brain/settings.h"

namespace indigosaddle {

using MessageId = std::uint64_t;
using EndpointId = std::string;  // opaque: only compared, and passed back unchanged

// What the list says of an endpoint. Only kReady ones get new calls (rule 3).
enum class EndpointState { kReady, kDraining, kGone };

// An entry of the endpoint list.
struct Endpoint {
  EndpointId id;
  int zone = 0;  // index into Settings::zone_fee
  int kind = 0;  // index into Settings::kinds
  std::uint64_t destination = 0;
  EndpointState state = EndpointState::kReady;
  // Calls a second that its destination takes, or this endpoint alone with KindSettings::separate_routes. How
  // exact that is, Settings::weights says.
  double weight = 0;
};

constexpr int kUnknownZone = -2;  // matches no endpoint's zone, known or not

// The attempts made at a message so far. For a resumed message: those before the restart.
struct PriorAttempts {
  int attempts = 0;
  bool may_have_run = false;  // at least one of them
  Micros first_run{0};        // send time of the first attempt that may have run
  int run_zone = 0;           // zone of that attempt; kUnknownZone: no endpoint's
};

// A message that the engine is to deliver.
struct Message {
  MessageId id = 0;
  int message_class = 0;  // index into Settings::classes
  int tenant = 0;         // index into Settings::tenants
  std::string key;        // order key; empty: none
  Micros deadline{0};     // instant by which it needs its final answer
  std::uint64_t destination = 0;
  std::uint64_t order_position = 0;  // rank among messages of its key; equal: in the order of OnMessage
  PriorAttempts past{};
  bool ended = false;   // before a restart; its answer is still on its way
  RepeatRules rules{};  // fixed when it was written, whatever its class says now
};

// How an attempt ended.
enum class Result {
  kOk,            // delivered
  kError,         // the endpoint answered with an error; it may have run
  kRefused,       // the endpoint refused the call for overload; it has not run
  kTimeout,       // no answer within the attempt timeout; it may have run
  kNoConnection,  // the connection never came up, or broke before the whole call was sent; it has not run
  kReset,         // the connection broke during the call; it may have run
  kCancelled,     // this node gave the call up; it may have run
  kNotSent,       // this node did not begin the call, or the answer says that it was not begun
  kUnreadable,    // it ran and was answered, but the answer can't be read
};

// What an endpoint says of its limit with an answer.
struct LoadReport {
  double left = -1;   // share of the limit left; negative: not told
  double limit = -1;  // calls a second; negative: not told
};

// The outcome of one attempt at one message.
struct Outcome {
  MessageId id = 0;
  int attempt = 0;  // its number, from 0, without attempts before a restart
  EndpointId endpoint;
  Result result = Result::kNotSent;
  Micros latency{0};  // from sending to the result
  bool last = false;  // the message has its final answer with it
  Micros wait{0};     // Retry-After of the answer; zero: none
  LoadReport load;
  bool answer_pending = false;  // with last: the message's key waits until OnAnswerDelivered
};

// State of the circuit breaker of a destination or an endpoint.
enum class Recovery : std::uint8_t {
  kHealthy,    // closed: it serves
  kProbing,    // open: a call failed and it may be down; only probe requests go there
  kSlowStart,  // it answered again and may be cold; its load is ramped up
};

// Why a Recovery changed.
enum class RecoveryCause : std::uint8_t {
  kCallFailed,
  kCallRefused,
  kCallServed,
  kColdTimeOver,
  kRestarted,  // this process restarted with undelivered messages for it
  kZoneLost
};

// A change of Recovery, for logs.
struct RecoveryChange {
  std::uint64_t destination = 0;
  EndpointId endpoint;  // empty: the destination as a whole
  Recovery from = Recovery::kHealthy;
  Recovery to = Recovery::kHealthy;
  RecoveryCause cause = RecoveryCause::kCallFailed;
  double allowance = 0;     // calls that this sender may make there at once
  double spent = 0;         // calls that this sender made since it was last healthy
  double limit = 0;         // calls a second from all senders that it is believed to take when healthy
  double served_share = 0;  // share of the messages for it that were served before it left kHealthy
};

// Totals of slow start, over all destinations.
struct SlowStartFigures {
  std::size_t recovering = 0;  // destinations, or endpoints with their own limit, that are not healthy
  double calls = 0;            // made from slow start allowances since the start of the process
};

// Why a message is given up, for logs.
enum class GiveUpCause : std::uint8_t {
  kOutOfTime,
  kNoAttemptsLeft,
  kMayHaveRun,         // and its rules allow no repeat
  kKeyExpired,         // it may have run, and receivers may no longer remember its key
  kRetryAfterTooLong,  // Retry-After of every endpoint reaches past its deadline
  kNotListed,          // no list has ever named its destination
  kLoadShed,           // the node is full, and it was worth least of what is held
};

}  // namespace indigosaddle
