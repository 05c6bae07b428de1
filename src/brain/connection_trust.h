// What may be done with a connection to an endpoint, and whether an answer that comes on it is believed.
//
// HTTP/1.1 numbers no answer: it belongs to a call by its place alone. What a peer says may come twice, late,
// early or to nothing. So an answer counts for a call only where nothing else can still come on that
// connection: on its first call, or behind a time of silence, at an endpoint that has said nothing unasked.
// Deterministic: the caller brings the time and what it has seen.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "brain.h"

namespace indigosaddle {

enum class ConnectionState : std::uint8_t {
  kConnecting,
  kFresh,        // up, and has carried nothing
  kInFirstCall,  // nothing but this call's answer can come
  kInLaterCall,
  kReadingRest,  // the call is over, its answer's body is still coming
  kSettling,     // answered, and not silent for long enough yet
  kReusable,
  kClosed,
};
std::string_view NameOf(ConnectionState state);

enum class ConnectionUse : std::uint8_t {
  kSendCall,      // write a call on it
  kAcceptAnswer,  // end its call by what has come
  kKeepOpen,      // keep it behind an answer
};

// Why a connection may not be used so.
enum class DenialReason : std::uint8_t {
  kNone,
  kWrongState,       // not in a state for it
  kSettling,         // not silent for long enough
  kSuspectEndpoint,  // its endpoint has said something unasked
  kUnreadInput,      // bytes, or its end, lie there
  kIdleTooLong,      // the other side may close it at any moment
  kFirstCallOnly,    // the message may not be repeated: its call is the first of a connection
  kEarlyAnswer,      // before the call's last byte had left
  kTrailingBytes,    // more came with the answer
  kMalformedAnswer,  // it can't be read to its end, or is cut: on a used connection it may be two halves
  kWriteDelayed,     // bytes came between the look for them and the writing of the call
  kNotDelivered,     // no delivery, on a used connection: the call's own answer may still be owed
  kAddressChanged,   // the endpoint has another address by now
  kEndedByPeer,      // it closes, or says that it will
};
constexpr std::size_t kDenialReasons = static_cast<std::size_t>(DenialReason::kEndedByPeer) + 1;
std::string_view NameOf(DenialReason why);

// What is known of a connection as it is to be used.
struct ConnectionFacts {
  ConnectionState state = ConnectionState::kClosed;
  bool suspect_endpoint = false;
  bool unread_input = false;     // something lies there
  bool address_changed = false;  // its endpoint has another address by now
  bool idle_too_long = false;    // idle for about as long as the other side allows
  bool first_call_only = false;  // asked of by the call
  // Of an answer.
  bool request_sent = false;    // the call's last byte has left
  bool answered_early = false;  // it began before that
  bool refusal = false;         // it says that the call has not run
  bool delivered = false;       // it says that the message is delivered
  bool trailing_bytes = false;  // bytes behind it
  bool malformed = false;       // its first line alone can be read
  bool write_delayed = false;   // something lay there as the call was written
  bool keep_alive = true;       // whole, readable, and the other side goes on
};

// The one place where this is decided.
DenialReason CheckConnectionUse(const ConnectionFacts& facts, ConnectionUse use);

// Whether a call goes out as the first of a connection only: what may not be repeated has no second way.
bool RequiresFreshConnection(const RepeatRules& rules);

// The state of one connection.
class ConnectionLifecycle {
 public:
  // How long a connection has to be silent behind an answer before it carries another call. A copy that
  // comes within it is met.
  static constexpr Micros kQuietPeriod = std::chrono::milliseconds(300);
  // From the look for unread bytes to the end of the writing: longer, and the look is taken again.
  static constexpr Micros kUnreadCheckValidFor = std::chrono::milliseconds(1);

  explicit ConnectionLifecycle(Micros now) : since_(now), made_(now) {}

  void MarkConnected(Micros now) { Enter(ConnectionState::kFresh, now); }
  void MarkCallStarted(Micros now);
  void MarkReadingRest(Micros now) { Enter(ConnectionState::kReadingRest, now); }
  void MarkAnswered(Micros now) { Enter(ConnectionState::kSettling, now); }
  void MarkUnused(Micros now) {
    Enter(calls_ == 0 ? ConnectionState::kFresh : ConnectionState::kSettling, now);
  }
  void MarkClosed(Micros now) { Enter(ConnectionState::kClosed, now); }

  ConnectionState At(Micros now) const;
  Micros since() const { return since_; }
  Micros Age(Micros now) const { return now - made_; }
  std::uint64_t calls() const { return calls_; }

 private:
  void Enter(ConnectionState state, Micros now) { state_ = state, since_ = now; }

  ConnectionState state_ = ConnectionState::kConnecting;
  Micros since_, made_;
  std::uint64_t calls_ = 0;
};

// Whether it speaks of the endpoint that an answer is not believed, or that bytes came, for this reason. A
// spoilt answer is the endpoint's own fault and no other call's answer.
bool IndicatesUnsolicitedData(DenialReason why);

// Endpoints that have said something unasked. Each of their calls has a connection of its own.
class SuspectEndpoints {
 public:
  // Behind the latest sign. A peer that says things twice does so until it is mended.
  static constexpr Micros kSuspectDuration = std::chrono::minutes(10);
  // So many, with signs within so long, speak for something in front of all of them.
  static constexpr std::size_t kSuspectsImplyingAll = 2;
  static constexpr Micros kCommonCauseWindow = std::chrono::seconds(30);
  // Answers that were believed on a used connection so long before a sign are doubtful with it.
  static constexpr Micros kDoubtfulAnswerWindow = std::chrono::seconds(10);

  // True where all endpoints are suspect from now on, and were not.
  bool ReportUnsolicitedData(const EndpointId& endpoint, Micros now);
  bool IsSuspect(const EndpointId& endpoint, Micros now) const;
  bool AllSuspect(Micros now) const { return now < all_until_; }
  std::size_t Count(Micros now) const;

 private:
  std::map<EndpointId, Micros> until_;
  Micros all_until_{Micros::min()};
};

}  // namespace indigosaddle
