// Durations and sizes as they are written in the operator's file, and the choices of a setting: helpers that
// the schema's files share.
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
  double factor;  // to the base unit
};
// The base unit is the millisecond.
inline constexpr std::array<Unit, 5> kDurationUnits = {
    {{"us", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3600e3}}};
// The base unit is the byte.
inline constexpr std::array<Unit, 7> kSizeUnits = {{{"B", 1},
                                                    {"kB", 1e3},
                                                    {"MB", 1e6},
                                                    {"GB", 1e9},
                                                    {"KiB", 1024},
                                                    {"MiB", 1048576.0},
                                                    {"GiB", 1073741824.0}}};

// Parses a number with one of `units`, such as "250ms" or "250 ms", and returns it in the base unit. Nothing
// where the text is malformed or the number negative or not finite.
template <typename Units>
std::optional<double> ParseWithUnit(std::string_view text, const Units& units) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [number_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  std::string_view unit(number_end, static_cast<std::size_t>(end - number_end));
  if (unit.starts_with(' ')) unit.remove_prefix(1);
  for (const Unit& known : units) {
    if (unit == known.name) return value * known.factor;
  }
  return std::nullopt;
}

// Writes a value given in the base unit with the largest unit in which it is a whole number, else with the
// first unit of the list.
template <typename Units>
std::string FormatWithUnit(double value, const Units& units) {
  if (value == 0) return units.size() == kDurationUnits.size() ? "0ms" : "0B";
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    const double count = value / unit.factor;
    if (value > 0 && count >= 1 && std::abs(count - std::round(count)) < 1e-9 && unit.factor > best->factor) {
      best = &unit;
    }
  }
  return fmt::format("{}{}", std::round(value / best->factor * 1e6) / 1e6, best->name);
}

// Calls `visit` with each choice of a setting: its word in the operator's file and its word in the platform's
// JSON. `choices` is "file_word=platform_word|..."; a choice without "=" has the same word in both.
template <typename Visit>
void ForEachChoice(const char* choices, Visit&& visit) {
  std::string_view rest = choices;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('|'));
    const std::size_t equals = pair.find('=');
    visit(pair.substr(0, equals), equals == std::string_view::npos ? pair : pair.substr(equals + 1));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
}

// The words of the operator's file for all choices: "\"safe\" or \"keyed\"".
inline std::string ListChoices(const char* choices) {
  std::string list;
  ForEachChoice(choices, [&](std::string_view file_word, std::string_view) {
    list += fmt::format("{}\"{}\"", list.empty() ? "" : " or ", file_word);
  });
  return list;
}

}  // namespace indigosaddle::config
