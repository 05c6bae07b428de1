// Counts by the number of their kind, as text.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <string>

namespace indigosaddle::node {

// Such as "12 delivered, 3 error": without zeros.
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
