// Parses JSON from other systems strictly: input that two parsers could understand differently is a fault.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

struct ParsedObject {
  nlohmann::json value = nlohmann::json::object();
  std::vector<ConfigFault> faults;  // where there is one, `value` is an empty object
};

// Parses a text that must be one JSON object with nothing after it. No object in it may have a name twice,
// and it may be nested at most kMaxDepth levels deep. `file` is where the text came from, for the faults.
ParsedObject ParseObject(std::string_view text, const std::string& file);

constexpr int kMaxDepth = 32;

}  // namespace indigosaddle::config
