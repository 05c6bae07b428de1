// The wire format of calls to endpoints: writes the request, and parses the numeric headers of the answer. No
// I/O.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::net {

// One call to an endpoint.
struct CallRequest {
  std::uint64_t serial = 0;  // of the message at this node
  // `address`: the address to connect to, as "ip:port". `endpoint`: the endpoint's id, sent as the Host
  // header. `id`: of the message. `idempotency_key`: empty if there is none.
  std::string address, endpoint, id, idempotency_key, body;
  Micros timeout{0};             // for the whole call, connecting included
  bool first_call_only = false;  // it may only be the first call of a connection
};

// Names of the headers of an answer that are read.
constexpr std::string_view kNoSlotHeader = "x-no-slot";
constexpr std::string_view kRetryAfterHeader = "x-retry-in-ms";
constexpr std::string_view kLoadReportHeader = "endpoint-load-metrics";
inline constexpr std::array kAnswerHeaders = {kNoSlotHeader, kRetryAfterHeader, kLoadReportHeader};

// The HTTP request of the call. `timeout` is sent as the time that this node still waits.
std::string FormatCall(const CallRequest& request);

// Parses the value of the header endpoint-load-metrics: `x0` is LoadReport::left, `x1` is LoadReport::limit,
// other names are ignored. If any part is unreadable or given twice, the whole report is ignored.
LoadReport ParseLoadReport(std::string_view text);

// Parses a Retry-After: the value of the header x-retry-in-ms, in milliseconds. Of several values returns the
// longest. An unreadable value counts as kUnreadableRetryAfter: it is certain that the endpoint asked for a
// pause, but a malformed answer must not stop a destination for long.
Micros ParseRetryAfter(std::string_view text);
constexpr Micros kUnreadableRetryAfter = std::chrono::seconds(1);

// Parses a finite number, ignoring spaces around it. Returns nothing if the text is not one.
std::optional<double> ParseNumber(std::string_view text);

}  // namespace indigosaddle::net
