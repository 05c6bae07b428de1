// What a CallPool reports: the result of each call, and events on its connections to endpoints.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "brain.h"
#include "brain/connection_trust.h"
#include "state/attempt_result.h"

namespace indigosaddle::net {

// Describes a connection in a report.
struct ConnectionInfo {
  std::uint64_t number = 0;  // counted since the start of the process
  ConnectionState state = ConnectionState::kConnecting;
  std::uint64_t calls = 0;  // calls that it has carried
  Micros age{0};            // since it was created
  Micros in_state{0};       // since it entered its state
};

// The result of one call.
struct CallResult {
  std::uint64_t serial = 0;
  state::AttemptResult attempt_result = state::AttemptResult::kNotStarted;
  // `latency`: from the call's start, connecting included. `retry_after`: Retry-After of the answer; zero:
  // none.
  Micros latency{0}, retry_after{0};
  LoadReport load;
  ConnectionInfo connection{};
};

// Bytes that arrived on a connection and are not, or not only, the answer to its call.
struct UnsolicitedData {
  std::string endpoint, last_id;  // `last_id`: message of the latest call on the connection
  ConnectionInfo connection;
  DenialReason why = DenialReason::kNone;
  std::size_t bytes = 0, suspects = 0;  // `suspects`: endpoints that are suspect now
  bool all_suspect = false;             // all endpoints are suspect now
  Micros retry_after{0};                // Retry-After in these bytes; zero: none
};

// An answer that was not accepted. Its call ends as one that may have run, or as one that was never sent.
struct RejectedAnswer {
  std::string endpoint, id;
  ConnectionInfo connection;
  // What the answer would have meant.
  state::AttemptResult attempt_result = state::AttemptResult::kMalformedResponse;
  DenialReason why = DenialReason::kNone;
};

// A connection that was closed, or that was used although that was denied.
struct ClosedConnection {
  std::string endpoint, last_id;  // `last_id`: message of the latest call on the connection
  ConnectionInfo connection;
  // kNone: closed for none of these reasons, but for example after a failed call or to make room.
  DenialReason why = DenialReason::kNone;
};

// Receives the events of a CallPool.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  virtual void OnUnsolicitedData(const UnsolicitedData& data) = 0;
  virtual void OnAnswerRejected(const RejectedAnswer& answer) = 0;
  virtual void OnConnectionClosed(const ClosedConnection& closed) = 0;
  // These messages were ended by answers that were accepted, but are doubtful since unsolicited data came.
  virtual void OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) = 0;
  // A connection was used in a way that CheckConnectionUse denies: a fault of the program.
  virtual void OnTrustViolation(const ClosedConnection& connection) = 0;
};

// A number for each DenialReason, indexed by its value.
using DenialCounts = std::array<std::uint64_t, kDenialReasons>;

// Counts since the start of the process.
struct CallCounts {
  // Connections opened, calls on a kept connection, and calls whose last byte was written.
  std::uint64_t opened = 0, reused = 0, written = 0;
  // Reports of unsolicited data, answers rejected, messages with a doubtful answer, and trust violations.
  std::uint64_t unsolicited = 0, rejected_answers = 0, doubtful_answers = 0, trust_violations = 0;
  DenialCounts closed{};      // closed connections, by reason
  DenialCounts not_reused{};  // connections opened while one was idle, by the reason for not using that one
};

}  // namespace indigosaddle::net
