// Counts of messages by how they ended, for the figures and the status.
#pragma once

#include <cstdint>

namespace indigosaddle::node {

// Messages of one class since the start of the process.
struct ClassCounts {
  std::uint64_t completed = 0;  // delivered
  std::uint64_t rejected = 0;   // refused or returned
  std::uint64_t failed = 0;
};

}  // namespace indigosaddle::node
