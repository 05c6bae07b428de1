#include "fleet/types.h"

namespace indigosaddle::fleet {

const char* NameOf(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive: return "alive";
    case Liveness::kSuspect: return "suspect";
    case Liveness::kDead: return "dead";
    case Liveness::kLeft: return "left";
  }
  return "?";
}

bool Supersedes(const MemberUpdate& a, const MemberUpdate& b) {
  if (a.start != b.start) return a.start > b.start;
  // A process that has left makes no further statements, whatever incarnation an old update names.
  if ((a.liveness == Liveness::kLeft) != (b.liveness == Liveness::kLeft))
    return a.liveness == Liveness::kLeft;
  return std::tie(a.incarnation, a.liveness) > std::tie(b.incarnation, b.liveness);
}

}  // namespace indigosaddle::fleet
