// Fault rates and delays of the virtual network (world.h).
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Network {
  double loss = 0, doubled = 0;
  Micros min_delay{milliseconds(1)}, max_delay{milliseconds(5)};
};

// Joins the violations that a world found, one per line.
inline std::string JoinLines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += line + "\n";
  return all;
}

}  // namespace indigosaddle::fleet::testing
