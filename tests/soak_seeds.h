// The seeds of a soak test: the default ones, or those that INDIGOSADDLE_SOAK=FIRST:COUNT names.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <vector>

namespace indigosaddle::testing {

// Returns seeds 1 to 5 unless the environment variable is set; without a colon, COUNT stays 5.
inline std::vector<std::uint64_t> SoakSeeds() {
  std::uint64_t first = 1, count = 5;
  if (const char* seed_range = std::getenv("INDIGOSADDLE_SOAK")) {
    first = std::strtoull(seed_range, nullptr, 10);
    if (const char* colon = std::strchr(seed_range, ':')) count = std::strtoull(colon + 1, nullptr, 10);
  }
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t i = 0; i < count; ++i) seeds.push_back(first + i);
  return seeds;
}

}  // namespace indigosaddle::testing
