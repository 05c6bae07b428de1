#include "wire/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "wire/codec.h"

namespace indigosaddle::wire {
namespace {

constexpr double kMicrosPerMilli = 1000;
constexpr double kLargestMillis = 1e14;  // fits 64 bits of microseconds with room for sums

// Converts the whole text, or returns nullopt.
template <typename T>
std::optional<T> Parse(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    pieces.push_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return pieces;
}

Fields::Fields(std::string_view rest, int line) : line_(line) {
  for (std::string_view part : Split(rest, ' ')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) Reject(part, "name=value");
    parts_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  }
  std::stable_sort(parts_.begin(), parts_.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
}

void Fields::Reject(std::string_view name, std::string_view expected) const {
  throw WireError(line_, name, expected);
}

std::optional<std::string_view> Fields::Find(std::string_view name) const {
  auto it = std::lower_bound(parts_.begin(), parts_.end(), name,
                             [](const auto& part, std::string_view wanted) { return part.first < wanted; });
  if (it == parts_.end() || it->first != name) return std::nullopt;
  return it->second;
}

std::string_view Fields::Text(std::string_view name) const {
  const auto text = Find(name);
  if (!text || text->empty()) Reject(name, "a value");
  return *text;
}

std::int64_t Fields::Integer(std::string_view name) const {
  const auto value = Parse<std::int64_t>(Text(name));
  if (!value) Reject(name, "an integer");
  return *value;
}

std::int64_t Fields::Integer(std::string_view name, std::int64_t absent) const {
  return Find(name) ? Integer(name) : absent;
}

std::uint64_t Fields::Unsigned(std::string_view name) const {
  const auto value = Parse<std::uint64_t>(Text(name));
  if (!value) Reject(name, "a whole number from 0 up");
  return *value;
}

std::uint64_t Fields::Unsigned(std::string_view name, std::uint64_t absent) const {
  return Find(name) ? Unsigned(name) : absent;
}

double Fields::ToNumber(std::string_view name, std::string_view text) const {
  const auto value = Parse<double>(text);
  if (!value || !std::isfinite(*value)) Reject(name, "a finite number");
  return *value;
}

double Fields::Number(std::string_view name, double absent) const {
  return Find(name) ? ToNumber(name, Text(name)) : absent;
}

bool Fields::ToFlag(std::string_view name, std::string_view text) const {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  Reject(name, "true, false, 1 or 0");
}

bool Fields::Flag(std::string_view name, bool absent) const {
  return Find(name) ? ToFlag(name, Text(name)) : absent;
}

Micros Fields::Time(std::string_view name) const {
  const double millis = ToNumber(name, Text(name));
  if (std::abs(millis) > kLargestMillis) Reject(name, "milliseconds within 1e14");
  return Micros(std::llround(millis * kMicrosPerMilli));
}

Micros Fields::Time(std::string_view name, Micros absent) const { return Find(name) ? Time(name) : absent; }

std::vector<double> Fields::Numbers(std::string_view name) const {
  std::vector<double> values;
  for (std::string_view piece : Split(Find(name).value_or(""), ',')) values.push_back(ToNumber(name, piece));
  return values;
}

std::vector<bool> Fields::Flags(std::string_view name) const {
  std::vector<bool> values;
  for (std::string_view piece : Split(Find(name).value_or(""), ',')) values.push_back(ToFlag(name, piece));
  return values;
}

}  // namespace indigosaddle::wire
