// Checks the platform's document against its schema and against the document in force. An absent value is
// never replaced by a default: a document is either complete or refused with the list of its faults.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

// The source that gives the values that a platform's document leaves out.
enum class BaseLayer : std::uint8_t { kNone, kOperatorsFile };

// Finds every fault of `document` by itself. `file` is the document's name for the faults.
std::vector<ConfigFault> CheckPlatformDocument(const nlohmann::json& document, const std::string& file,
                                               BaseLayer base);

// Finds the values of `in_force` that `next` lacks or has as another type. A table of a list is compared with
// the table of the same name; one whose name is new must have the values that all tables in force have in
// common, but for those that the platform may leave out. Where a class is no longer keyed, its group and the
// lifetime of its key may be left out; where no class is sequential any more, the gap between turns may.
// `file` is the name of `next` for the faults.
std::vector<ConfigFault> FindMissingValues(const nlohmann::json& in_force, const nlohmann::json& next,
                                           const std::string& file);

}  // namespace indigosaddle::config
