#include "state/attempt_result.h"

namespace indigosaddle::state {

AttemptMeaning MeaningOf(AttemptResult attempt_result) {
  switch (attempt_result) {
    case AttemptResult::kDelivered: return {Result::kOk, true};
    case AttemptResult::kError: return {Result::kError, false};
    case AttemptResult::kTooManyRequests:
    case AttemptResult::kUnavailable: return {Result::kRefused, false};
    case AttemptResult::kNoSlot:
    case AttemptResult::kNoAttemptsLeft:
    case AttemptResult::kNotStarted: return {Result::kNotSent, false};
    case AttemptResult::kGone: return {Result::kNotSent, true};
    case AttemptResult::kConnectionRefused:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kBrokenBeforeSent: return {Result::kNoConnection, false};
    case AttemptResult::kTimedOut: return {Result::kTimeout, false};
    case AttemptResult::kCancelled: return {Result::kCancelled, false};
    case AttemptResult::kOtherStatus: return {Result::kError, false};
    case AttemptResult::kMalformedResponse: return {Result::kUnreadable, false};
    case AttemptResult::kBrokenAfterSent:
    case AttemptResult::kBrokenMidAnswer: return {Result::kReset, false};
  }
  return {Result::kReset, false};
}

AttemptResult AttemptResultOfStatus(int status, bool no_slot) {
  switch (status) {
    case 200: return AttemptResult::kDelivered;
    case 500: return AttemptResult::kError;
    case 429: return AttemptResult::kTooManyRequests;
    case 503: return no_slot ? AttemptResult::kNoSlot : AttemptResult::kUnavailable;
    case 504: return AttemptResult::kNoAttemptsLeft;
    case 410: return AttemptResult::kGone;
    default: return AttemptResult::kOtherStatus;
  }
}

std::string_view NameOf(AttemptResult attempt_result) {
  switch (attempt_result) {
    case AttemptResult::kDelivered: return "delivered";
    case AttemptResult::kError: return "error";
    case AttemptResult::kTooManyRequests: return "told to wait";
    case AttemptResult::kUnavailable: return "turned away";
    case AttemptResult::kNoSlot: return "no slot";
    case AttemptResult::kNoAttemptsLeft: return "no attempts left";
    case AttemptResult::kGone: return "over";
    case AttemptResult::kOtherStatus: return "other status";
    case AttemptResult::kMalformedResponse: return "unreadable answer";
    case AttemptResult::kConnectionRefused: return "connection refused";
    case AttemptResult::kConnectFailed: return "connection never up";
    case AttemptResult::kBrokenBeforeSent: return "broken before sent";
    case AttemptResult::kBrokenAfterSent: return "broken after sent";
    case AttemptResult::kBrokenMidAnswer: return "broken mid-answer";
    case AttemptResult::kTimedOut: return "timed out";
    case AttemptResult::kCancelled: return "given up";
    case AttemptResult::kNotStarted: return "not started";
  }
  return "unknown";
}

bool MayHaveRun(Result result) {
  switch (result) {
    case Result::kRefused:
    case Result::kNoConnection:
    case Result::kNotSent: return false;
    default: return true;
  }
}

}  // namespace indigosaddle::state
