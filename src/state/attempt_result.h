// Every way in which a call's connection can end, as one value, and the one place where that becomes the
// module's outcome.
#pragma once

#include <cstdint>
#include <string_view>

#include "brain.h"

namespace indigosaddle::state {

enum class AttemptResult : std::uint8_t {
  kDelivered,          // a first line with 200
  kError,              // 500
  kTooManyRequests,    // 429
  kUnavailable,        // 503
  kNoSlot,             // 503 with the no-slot mark
  kNoAttemptsLeft,     // 504: the end is still pending
  kGone,               // 410: nothing more is pending
  kOtherStatus,        // a status that the protocol does not name
  kMalformedResponse,  // no HTTP, or beyond the limits on headers and bodies
  kConnectionRefused,  // the connection was refused
  kConnectFailed,      // it did not come up, the time-out's end included
  kBrokenBeforeSent,   // it broke, or time was up, before the call's last byte was handed over
  kBrokenAfterSent,    // it broke or ended after that, with no answer
  kBrokenMidAnswer,    // within the head of an answer that is no 200
  kTimedOut,           // no answer in time
  kCancelled,          // closed by this node for another reason, after the last byte
  kNotStarted,         // this node could not start it: no descriptor, or the journal could not hold it
};
constexpr AttemptResult kLastAttemptResult = AttemptResult::kNotStarted;

struct AttemptMeaning {
  Result result;
  bool message_done;  // nothing more is pending for the message
};

AttemptMeaning MeaningOf(AttemptResult attempt_result);
// Whether the endpoint has said so itself.
constexpr bool IsAnswer(AttemptResult attempt_result) {
  return attempt_result <= AttemptResult::kOtherStatus;
}
AttemptResult AttemptResultOfStatus(int status, bool no_slot);
std::string_view NameOf(AttemptResult attempt_result);

// Whether a call that ended so may have taken effect, or may yet. MessagesInDoubt means yes.
bool MayHaveRun(Result result);

}  // namespace indigosaddle::state
