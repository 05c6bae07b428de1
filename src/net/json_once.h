// JSON in which a name that an object gives twice is told: the parser alone keeps the last. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace indigosaddle::net {

constexpr const char* kTwice = "\x01twice";  // in an object that gave a name twice

// Discarded where the text is no JSON. An object that gives a name twice says neither: of it only its mark is
// left, and its "host" where that is given once.
nlohmann::json ParseOnce(std::string_view text);

}  // namespace indigosaddle::net
