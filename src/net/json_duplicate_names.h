// JSON parsing that detects names given twice within an object; nlohmann's parser alone silently keeps the
// last value. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace indigosaddle::net {

// Marks an object in which a name was given twice.
constexpr const char* kDuplicateNameMark = "\x01twice";

// Parses the text. Returns a discarded value if it is no JSON. An object in which a name is given twice is
// replaced by one that holds the mark only, and "host" if that name is given once.
nlohmann::json ParseMarkingDuplicateNames(std::string_view text);

}  // namespace indigosaddle::net
