// How bad a virtual network is (world.h).
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
  Micros least{milliseconds(1)}, most{milliseconds(5)};
};

// What a world found broken, a line each.
inline std::string Words(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += line + "\n";
  return all;
}

}  // namespace indigosaddle::fleet::testing
