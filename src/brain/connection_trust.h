// Decides what a connection to an endpoint may be used for, and whether an answer received on it is accepted.
//
// HTTP/1.1 does not number answers: only its position assigns an answer to a call. A peer may send an answer
// twice, late, early or without a call. So an answer counts for a call only where no other answer can still
// arrive on that connection: on the connection's first call, or after a quiet period, and only if the
// endpoint has sent no unsolicited data. Deterministic: the caller passes the time and its observations.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "brain.h"

namespace indigosaddle {

// Where a connection stands.
enum class ConnectionState : std::uint8_t {
  kConnecting,   // not established yet
  kFresh,        // established, and has carried no call
  kInFirstCall,  // in its first call: only this call's answer can arrive
  kInLaterCall,  // in a call after its first
  kReadingRest,  // the call is over, the rest of its answer's body is still arriving
  kSettling,     // answered, but the quiet period is not over yet
  kReusable,     // quiet for long enough to carry another call
  kClosed,
};

// The state's text in the log and the status.
std::string_view NameOf(ConnectionState state);

// What a connection is about to be used for.
enum class ConnectionUse : std::uint8_t {
  kSendCall,      // write a call to it
  kAcceptAnswer,  // end its call with the answer received
  kKeepOpen,      // keep it for later calls after an answer
};

// Why a connection may not be used for a purpose.
enum class DenialReason : std::uint8_t {
  kNone,             // the use is allowed
  kWrongState,       // its state does not permit the use
  kSettling,         // the quiet period after its last answer is not over
  kSuspectEndpoint,  // its endpoint has sent unsolicited data
  kUnreadInput,      // unread bytes, or the end of the stream, wait in the receive buffer
  kIdleTooLong,      // the peer may close it at any moment
  kFirstCallOnly,    // the message may not be repeated, so its call must be a connection's first
  kEarlyAnswer,      // the answer began before the call's last byte had been sent
  kTrailingBytes,    // more bytes followed the answer
  kMalformedAnswer,  // unparsable or cut off: on a reused connection it may be parts of two answers
  kWriteDelayed,     // bytes arrived between the check for unread input and the writing of the call
  kNotDelivered,     // not a delivery, on a reused connection: the call's own answer may still come
  kAddressChanged,   // the endpoint has another address by now
  kEndedByPeer,      // the peer closes it, or announced that it will
};
constexpr std::size_t kDenialReasons = static_cast<std::size_t>(DenialReason::kEndedByPeer) + 1;

// The reason's text in the log, the status and the metrics.
std::string_view NameOf(DenialReason why);

// What is known of a connection at the moment when it is to be used.
struct ConnectionFacts {
  ConnectionState state = ConnectionState::kClosed;
  bool suspect_endpoint = false;  // see SuspectEndpoints
  bool unread_input = false;      // unread bytes, or the end of the stream, wait in the receive buffer
  bool address_changed = false;   // its endpoint has another address by now
  bool idle_too_long = false;     // idle for about as long as the peer allows
  bool first_call_only = false;   // the call may go out only as the first of a connection
  // Known of an answer only.
  bool request_sent = false;    // the call's last byte has been sent
  bool answered_early = false;  // the answer began before that
  bool refusal = false;         // the answer says that the call has not run
  bool delivered = false;       // the answer says that the message is delivered
  bool trailing_bytes = false;  // more bytes follow the answer
  bool malformed = false;       // only its status line could be parsed
  bool write_delayed = false;   // unread bytes waited when the call was written
  bool keep_alive = true;       // the answer is complete and valid, and the peer keeps the connection open
};

// Returns why the connection may not be used so, or kNone if it may. All such decisions are made here.
DenialReason CheckConnectionUse(const ConnectionFacts& facts, ConnectionUse use);

// Whether a call of a message under these rules must be the first of a connection. True for a message that
// may not be repeated: after a failure on a reused connection it could not be sent again.
bool RequiresFreshConnection(const RepeatRules& rules);

// Tracks the state of one connection. Owned by that connection.
class ConnectionLifecycle {
 public:
  // How long a connection has to be quiet after an answer before it carries another call. A duplicate of the
  // answer that arrives within it is detected.
  static constexpr Micros kQuietPeriod = std::chrono::milliseconds(300);
  // How long the check for unread bytes holds good until the call is written. If writing ends later, the
  // check is repeated.
  static constexpr Micros kUnreadCheckValidFor = std::chrono::milliseconds(1);

  explicit ConnectionLifecycle(Micros now) : since_(now), made_(now) {}

  // Each records a transition at `now`.
  void MarkConnected(Micros now) { Enter(ConnectionState::kFresh, now); }
  void MarkCallStarted(Micros now);
  void MarkReadingRest(Micros now) { Enter(ConnectionState::kReadingRest, now); }
  void MarkAnswered(Micros now) { Enter(ConnectionState::kSettling, now); }
  // The call was not sent after all.
  void MarkUnused(Micros now) {
    Enter(calls_ == 0 ? ConnectionState::kFresh : ConnectionState::kSettling, now);
  }
  void MarkClosed(Micros now) { Enter(ConnectionState::kClosed, now); }

  // The state at `now`: kSettling becomes kReusable by time.
  ConnectionState At(Micros now) const;
  // When the last recorded transition happened.
  Micros since() const { return since_; }
  // Since the connection was created.
  Micros Age(Micros now) const { return now - made_; }
  // Number of calls started on it.
  std::uint64_t calls() const { return calls_; }

 private:
  void Enter(ConnectionState state, Micros now) {
    state_ = state;
    since_ = now;
  }

  ConnectionState state_ = ConnectionState::kConnecting;
  Micros since_;
  Micros made_;  // when the connection was created
  std::uint64_t calls_ = 0;
};

// Whether this reason shows that the endpoint has sent unsolicited data. A malformed answer does not: it is
// the endpoint's own fault and not the answer to another call.
bool IndicatesUnsolicitedData(DenialReason why);

// Endpoints that have sent unsolicited data. Each call to such an endpoint gets a connection of its own.
class SuspectEndpoints {
 public:
  // Counted from the latest report. A peer that sends duplicates does so until it is repaired.
  static constexpr Micros kSuspectDuration = std::chrono::minutes(10);
  // This many endpoints, reported within this window, point to a common cause in front of all endpoints.
  static constexpr std::size_t kSuspectsImplyingAll = 2;
  static constexpr Micros kCommonCauseWindow = std::chrono::seconds(30);
  // Answers accepted on a reused connection within this time before a report become doubtful.
  static constexpr Micros kDoubtfulAnswerWindow = std::chrono::seconds(10);

  // Records that the endpoint has sent unsolicited data. Returns true if all endpoints become suspect by it.
  bool ReportUnsolicitedData(const EndpointId& endpoint, Micros now);
  // Whether the endpoint, or every endpoint, is suspect at `now`.
  bool IsSuspect(const EndpointId& endpoint, Micros now) const;
  // Whether all endpoints are suspect because of a common cause.
  bool AllSuspect(Micros now) const { return now < all_until_; }
  // Number of endpoints that are suspect by reports of their own.
  std::size_t Count(Micros now) const;

 private:
  std::map<EndpointId, Micros> until_;  // when each endpoint stops being suspect
  Micros all_until_{Micros::min()};     // when the suspicion of all endpoints ends
};

}  // namespace indigosaddle
