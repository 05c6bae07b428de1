#include "net/call_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace indigosaddle::net {
namespace {

constexpr double kMaxReported = 1e9;  // a larger figure in a load report is not plausible
constexpr double kMaxRetryAfterMillis = 1e9;

Micros ToRetryAfter(double millis) {
  return std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(std::min(millis, kMaxRetryAfterMillis)));
}

}  // namespace

std::optional<double> ParseNumber(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string FormatCall(const CallRequest& request) {
  std::string text =
      fmt::format("POST /hook HTTP/1.1\r\nHost: {}\r\nX-Trace-Id: {}\r\n", request.endpoint, request.id);
  if (!request.idempotency_key.empty())
    text += fmt::format("Idempotency-Key: {}\r\n", request.idempotency_key);
  const auto millis =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count());
  text += fmt::format("X-Expires-In: {}m\r\nContent-Length: {}\r\n\r\n", millis, request.body.size());
  return text += request.body;
}

Micros ParseRetryAfter(std::string_view text) {
  Micros longest(0);
  for (bool more_values = true; more_values;) {
    const std::size_t comma = text.find(',');
    const auto millis = ParseNumber(text.substr(0, comma));
    longest = std::max(longest, millis && *millis >= 0 ? ToRetryAfter(*millis) : kUnreadableRetryAfter);
    more_values = comma != std::string_view::npos;
    if (more_values) text.remove_prefix(comma + 1);
  }
  return longest;
}

LoadReport ParseLoadReport(std::string_view text) {
  std::optional<double> left, limit;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const auto value = ParseNumber(pair.substr(equals + 1));
    if (!value || *value < 0 || *value > kMaxReported) return {};
    const std::string_view name = pair.substr(0, equals);
    std::optional<double>* const field = name == "x0" ? &left : name == "x1" ? &limit : nullptr;
    if (field == nullptr) continue;
    if (field->has_value()) return {};
    *field = value;
  }
  LoadReport report;
  report.left = left.value_or(report.left);
  report.limit = limit.value_or(report.limit);
  return report;
}

}  // namespace indigosaddle::net
