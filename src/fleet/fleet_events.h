// What a change from one snapshot to the next is worth saying, for the log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/snapshot.h"

namespace indigosaddle::fleet {

struct FleetEvent {
  enum class Kind : std::uint8_t { kMember, kConnectivity, kLease, kSite, kTrouble };
  Kind kind = Kind::kTrouble;
  std::string subject;      // the member, the lease, the standing, the site, or the trouble
  std::string state;        // its liveness, its state; "held" or "not held"
  std::uint64_t value = 0;  // of a lease its epoch, of a standing the members present, of a site its losses
  bool operator==(const FleetEvent&) const = default;
};

std::vector<FleetEvent> Notes(const Snapshot& before, const Snapshot& after);

}  // namespace indigosaddle::fleet
