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

bool Newer(const MemberWord& a, const MemberWord& b) {
  if (a.start != b.start) return a.start > b.start;
  // A process that has left says nothing more, whatever incarnation an old word names.
  if ((a.liveness == Liveness::kLeft) != (b.liveness == Liveness::kLeft))
    return a.liveness == Liveness::kLeft;
  return std::tie(a.incarnation, a.liveness) > std::tie(b.incarnation, b.liveness);
}

}  // namespace indigosaddle::fleet
