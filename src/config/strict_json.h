// JSON from outside, read without leniency: what two readers could understand differently is a fault.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

struct ParsedObject {
  nlohmann::json value = nlohmann::json::object();
  std::vector<Fault> faults;  // where there is one, `value` is an empty object
};

// One JSON object and nothing behind it, no name twice in any of its objects, nested at most kDeepest times.
// `file` is where the text came from, for the faults.
ParsedObject ParseObject(std::string_view text, const std::string& file);

constexpr int kDeepest = 32;

}  // namespace indigosaddle::config
