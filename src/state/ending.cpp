#include "state/ending.h"

namespace indigosaddle::state {

Meaning MeaningOf(Ending ending) {
  switch (ending) {
    case Ending::kDelivered: return {Result::kOk, true};
    case Ending::kError: return {Result::kError, false};
    case Ending::kToldToWait:
    case Ending::kTurnedAway: return {Result::kRefused, false};
    case Ending::kNoSlot:
    case Ending::kNoAttemptsLeft:
    case Ending::kNotStarted: return {Result::kNotSent, false};
    case Ending::kOver: return {Result::kNotSent, true};
    case Ending::kRefused:
    case Ending::kNeverUp:
    case Ending::kBrokenBeforeSent: return {Result::kNoConnection, false};
    case Ending::kTimedOut: return {Result::kTimeout, false};
    case Ending::kGivenUp: return {Result::kCancelled, false};
    case Ending::kOtherStatus: return {Result::kError, false};
    case Ending::kUnreadable: return {Result::kUnreadable, false};
    case Ending::kBrokenAfterSent:
    case Ending::kBrokenMidAnswer: return {Result::kReset, false};
  }
  return {Result::kReset, false};
}

Ending EndingOf(int status, bool no_slot) {
  switch (status) {
    case 200: return Ending::kDelivered;
    case 500: return Ending::kError;
    case 429: return Ending::kToldToWait;
    case 503: return no_slot ? Ending::kNoSlot : Ending::kTurnedAway;
    case 504: return Ending::kNoAttemptsLeft;
    case 410: return Ending::kOver;
    default: return Ending::kOtherStatus;
  }
}

std::string_view NameOf(Ending ending) {
  switch (ending) {
    case Ending::kDelivered: return "delivered";
    case Ending::kError: return "error";
    case Ending::kToldToWait: return "told to wait";
    case Ending::kTurnedAway: return "turned away";
    case Ending::kNoSlot: return "no slot";
    case Ending::kNoAttemptsLeft: return "no attempts left";
    case Ending::kOver: return "over";
    case Ending::kOtherStatus: return "other status";
    case Ending::kUnreadable: return "unreadable answer";
    case Ending::kRefused: return "connection refused";
    case Ending::kNeverUp: return "connection never up";
    case Ending::kBrokenBeforeSent: return "broken before sent";
    case Ending::kBrokenAfterSent: return "broken after sent";
    case Ending::kBrokenMidAnswer: return "broken mid-answer";
    case Ending::kTimedOut: return "timed out";
    case Ending::kGivenUp: return "given up";
    case Ending::kNotStarted: return "not started";
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
