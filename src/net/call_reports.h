// What a pool of calls tells: how a call ended, and what it saw on its connections.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "brain.h"
#include "brain/connection_trust.h"
#include "state/attempt_result.h"

namespace indigosaddle::net {

// A connection as a report names it.
struct ConnectionNote {
  std::uint64_t number = 0;  // since the start
  ConnectionState state = ConnectionState::kConnecting;
  std::uint64_t calls = 0;  // that it has carried
  Micros age{0};
  Micros in_state{0};  // since it came into its state
};

struct CallResult {
  std::uint64_t serial = 0;
  state::AttemptResult ending = state::AttemptResult::kNotStarted;
  Micros latency{0}, wait{0};
  LoadReport load;
  ConnectionNote connection{};
};

// Bytes that no call on their connection has asked for, or not these alone.
struct UnaskedBytes {
  std::string endpoint, last_id;  // last_id: of the latest call on the connection
  ConnectionNote connection;
  DenialReason why = DenialReason::kNone;
  std::size_t bytes = 0, suspects = 0;
  bool all_suspect = false;
  Micros wait{0};  // that they tell, if any
};

// An answer that ends its call as one that may have run, or that never left.
struct DisbelievedAnswer {
  std::string endpoint, id;
  ConnectionNote connection;
  state::AttemptResult said = state::AttemptResult::kMalformedResponse;
  DenialReason why = DenialReason::kNone;
};

struct ClosedConnection {
  std::string endpoint, last_id;
  ConnectionNote connection;
  DenialReason why = DenialReason::kNone;  // kNone: for another reason than what was seen on it
};

class CallObserver {
 public:
  virtual ~CallObserver() = default;
  virtual void OnUnasked(const UnaskedBytes& unasked) = 0;
  virtual void OnNotBelieved(const DisbelievedAnswer& answer) = 0;
  virtual void OnConnectionClosed(const ClosedConnection& closed) = 0;
  // Answers that ended these messages were believed, and are doubtful by now.
  virtual void OnDoubted(const std::vector<std::uint64_t>& serials) = 0;
  // A connection was used for what it may not be used for: a fault of the program.
  virtual void OnTrustBreak(const ClosedConnection& connection) = 0;
};

using DistrustCounts = std::array<std::uint64_t, kDenialReasons>;

struct CallCounts {
  std::uint64_t opened = 0, reused = 0, written = 0;
  std::uint64_t unasked = 0, not_believed = 0, doubted = 0, breaks = 0;
  DistrustCounts closed{};      // connections, by why
  DistrustCounts not_reused{};  // connections opened although one was idle, by why that one was not taken
};

}  // namespace indigosaddle::net
