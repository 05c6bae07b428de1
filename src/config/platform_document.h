// The platform's document held against its schema, and against the one in force. An absent value is never
// taken for a default: a document is whole, or the list of its faults says why it is not.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

// Whether the operator's file stands below the platform's document and gives what that leaves out.
enum class Below : std::uint8_t { kNothing, kOperatorsFile };

// Every fault of `document` by itself.
std::vector<Fault> CheckPlatformDocument(const nlohmann::json& document, const std::string& file,
                                         Below below);

// What `in_force` says and `next` does not, or says as a value of another kind. Tables of a list are held
// against their namesakes; one without a namesake must have all that those in force have in common. Where a
// class is no longer keyed, its group and its key's life may go.
std::vector<Fault> MissingSince(const nlohmann::json& in_force, const nlohmann::json& next,
                                const std::string& file);

}  // namespace indigosaddle::config
