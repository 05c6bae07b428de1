#include "state/refusal.h"

namespace indigosaddle::state {

std::string_view NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone: return "taken";
    case Refusal::kSameId: return "same id";
    case Refusal::kNoRoom: return "no room";
    case Refusal::kNotWritten: return "not written";
    case Refusal::kPolicy: return "given up by the delivery policy";
    case Refusal::kStopping: return "stopping";
    case Refusal::kClientEnded: return "its client has ended";
  }
  return "unknown";
}

}  // namespace indigosaddle::state
