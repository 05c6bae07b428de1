// Formats counters that are indexed by an enum as text for the log and the status.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <string>

namespace indigosaddle::node {

// Returns for example "12 delivered, 3 error". `counts` is indexed by the values of `Kind`, which has a
// NameOf function; zeros are left out.
template <typename Kind, std::size_t size>
std::string CountsByName(const std::array<std::uint64_t, size>& counts) {
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    if (counts[i] == 0) continue;
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts[i], NameOf(static_cast<Kind>(i)));
  }
  return text;
}

}  // namespace indigosaddle::node
