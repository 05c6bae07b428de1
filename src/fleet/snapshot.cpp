#include "fleet/snapshot.h"

#include <algorithm>

namespace indigosaddle::fleet {

const char* NameOf(Standing standing) {
  switch (standing) {
    case Standing::kJoining: return "joining";
    case Standing::kConnected: return "connected";
    case Standing::kCutOff: return "cut off";
  }
  return "?";
}

std::size_t SendersToUse(const Snapshot& snapshot, std::size_t by_file) {
  if (!snapshot.senders) return by_file;
  return snapshot.standing == Standing::kConnected ? *snapshot.senders : std::max(by_file, *snapshot.senders);
}

}  // namespace indigosaddle::fleet
