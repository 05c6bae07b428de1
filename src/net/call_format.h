// A call to an endpoint as it is written, and the parts of its answer's head that are numbers. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::net {

struct CallRequest {
  std::uint64_t serial = 0;
  std::string dial, host, id, idempotency_key, body;
  Micros timeout{0};
  bool first_call_only = false;  // it goes out as the first of a connection
};

std::string FormatCall(const CallRequest& request);
LoadReport ParseLoad(
    std::string_view text);  // with a part that can't be read, or one given twice: not believed in any
// The longest of the waits that a header tells. Where one of them can't be read, kUnreadableWait at the
// least: that one was told to wait is sure, and an odd answer stops no destination for long.
Micros ParseWait(std::string_view text);
constexpr Micros kUnreadableWait = std::chrono::seconds(1);
std::optional<double> ParseNumber(std::string_view text);  // finite, spaces round it passed over

}  // namespace indigosaddle::net
