// Durations and sizes as people write them, and the words of a choice: shared by the schema's files.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

namespace indigosaddle::config {

struct Unit {
  const char* name;
  double factor;
};
inline constexpr std::array<Unit, 5> kTimes = {
    {{"us", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3600e3}}};
inline constexpr std::array<Unit, 7> kSizes = {{{"B", 1},
                                                {"kB", 1e3},
                                                {"MB", 1e6},
                                                {"GB", 1e9},
                                                {"KiB", 1024},
                                                {"MiB", 1048576.0},
                                                {"GiB", 1073741824.0}}};

// "250ms" with one of `units`, as a number of base units.
template <typename Units>
std::optional<double> WithUnit(std::string_view text, const Units& units) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  std::string_view unit(stop, static_cast<std::size_t>(end - stop));
  if (unit.starts_with(' ')) unit.remove_prefix(1);
  for (const Unit& known : units) {
    if (unit == known.name) return value * known.factor;
  }
  return std::nullopt;
}

// The largest unit in which the value is a whole number, else the smallest.
template <typename Units>
std::string InUnit(double value, const Units& units) {
  if (value == 0) return units.size() == kTimes.size() ? "0ms" : "0B";
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    const double count = value / unit.factor;
    if (value > 0 && count >= 1 && std::abs(count - std::round(count)) < 1e-9 && unit.factor > best->factor) {
      best = &unit;
    }
  }
  return fmt::format("{}{}", std::round(value / best->factor * 1e6) / 1e6, best->name);
}

template <typename Visit>
void EachWord(const char* words, Visit&& visit) {
  std::string_view rest = words;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('|'));
    const std::size_t middle = pair.find('=');
    visit(pair.substr(0, middle), middle == std::string_view::npos ? pair : pair.substr(middle + 1));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
}

inline std::string WordList(const char* words) {
  std::string list;
  EachWord(words, [&](std::string_view ours, std::string_view) {
    list += fmt::format("{}\"{}\"", list.empty() ? "" : " or ", ours);
  });
  return list;
}

}  // namespace indigosaddle::config
