// Every way in which a call can end, as one value, and the one place that maps it to the decision engine's
// result (src/brain.h).
#pragma once

#include <cstdint>
#include <string_view>

#include "brain.h"

namespace indigosaddle::state {

// How a call ended.
enum class AttemptResult : std::uint8_t {
  // Status 200, once its status line is read.
  kDelivered,
  // Status 500.
  kError,
  // Status 429.
  kTooManyRequests,
  // Status 503.
  kUnavailable,
  // Status 503 with the no-slot header.
  kNoSlot,
  // Status 504: the client must still get a final answer.
  kNoAttemptsLeft,
  // Status 410: the message has ended and needs no final answer.
  kGone,
  // A status that the protocol does not name.
  kOtherStatus,
  // The response is no HTTP, or exceeds the limits on headers and bodies.
  kMalformedResponse,
  // The connection was refused.
  kConnectionRefused,
  // The connection did not come up, by a connect timeout too.
  kConnectFailed,
  // The connection broke, or time was up, before the last byte of the request was handed to the kernel.
  kBrokenBeforeSent,
  // The connection broke or ended after that, without a response.
  kBrokenAfterSent,
  // The connection broke within the head of a response other than 200.
  kBrokenMidAnswer,
  // No response within the attempt timeout.
  kTimedOut,
  // Closed by this node for another reason, after the last byte of the request.
  kCancelled,
  // This node did not start the call: it had no file descriptor, the journal could not be written, or the
  // call was not allowed any more, as in a shutdown.
  kNotStarted,
};
constexpr AttemptResult kLastAttemptResult = AttemptResult::kNotStarted;

// What an AttemptResult means for the message.
struct AttemptMeaning {
  Result result;
  // The message has ended and needs no final answer.
  bool message_done;
};

AttemptMeaning MeaningOf(AttemptResult attempt_result);
// Whether a response of the endpoint with a valid status line ended the call.
constexpr bool IsAnswer(AttemptResult attempt_result) {
  return attempt_result <= AttemptResult::kOtherStatus;
}
// The result of a response. `no_slot`: it carries the no-slot header.
AttemptResult AttemptResultOfStatus(int status, bool no_slot);
// The name in logs and counters.
std::string_view NameOf(AttemptResult attempt_result);

// Whether a call with this result may have taken effect, or may do so later. True where that is not known.
bool MayHaveRun(Result result);

}  // namespace indigosaddle::state
