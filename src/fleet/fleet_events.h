// Changes from one snapshot to the next that are worth a log line.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/snapshot.h"

namespace indigosaddle::fleet {

// One change.
struct FleetEvent {
  enum class Kind : std::uint8_t { kMember, kConnectivity, kLease, kSite, kProblem };
  Kind kind = Kind::kProblem;
  // The member's name, the connectivity, the lease, the site, or the text of the problem.
  std::string subject;
  // The new liveness of a member or state of a site; of a lease "held" or "not held".
  std::string state;
  // A member's start number, a lease's epoch, the number of members present, or a site's losses.
  std::uint64_t value = 0;
  bool operator==(const FleetEvent&) const = default;
};

// What changed between two snapshots of one process.
std::vector<FleetEvent> EventsBetween(const Snapshot& before, const Snapshot& after);

}  // namespace indigosaddle::fleet
