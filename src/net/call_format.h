// A call to an endpoint as it is written, and the parts of its answer's head that are numbers. No I/O.
#pragma once

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
};

std::string FormatCall(const CallRequest& request);
LoadReport ParseLoad(std::string_view text);  // with a part that can't be read: not believed in any
std::optional<double> ParseNumber(std::string_view text);  // finite, spaces round it passed over

}  // namespace indigosaddle::net
