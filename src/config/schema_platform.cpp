// The schema of the platform's document: the settings that the operator's file has too, and those that only
// the platform gives.
#include <algorithm>
#include <string_view>

#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum ValueType;
constexpr double kMillion = 1e6;
constexpr PlatformRule kRequired{Presence::kRequired, false}, kRequiredPositive{Presence::kRequired, true};

// A row here replaces the row of the operator's file with the same path in the platform's document.
const std::vector<Setting>& PlatformRows() {
  static const std::vector<Setting> rows = {
      {"", "limits.cores", kNumber, 0, kMillion, "", TakesEffect::kAtRestart, "",
       "Cores that the node's processes share.", "", kRequiredPositive},
      {"", "settings.zone", kInteger, 0, kMillion, "", TakesEffect::kAtRestart, "",
       "The node's zone, as an index into zones.", "", kRequired},
      {"", "settings.familyInfo.perCall[]", kInteger, 0, kMillion, "", TakesEffect::kAtRestart, "",
       "Messages that one call may carry, for each kind.", "", kRequired},
  };
  return rows;
}

bool IsGivenByPlatform(const Setting& setting) {
  const std::string_view path = setting.platform_path;
  return !path.starts_with("operator.") && !path.starts_with("watch.");
}

}  // namespace

const std::vector<Setting>& PlatformSchema() {
  static const std::vector<Setting> settings = [] {
    std::vector<Setting> all = PlatformRows();
    for (const Setting& setting : Schema()) {
      const bool replaced = std::any_of(
          PlatformRows().begin(), PlatformRows().end(),
          [&](const Setting& row) { return std::string_view(row.platform_path) == setting.platform_path; });
      if (IsGivenByPlatform(setting) && !replaced) all.push_back(setting);
    }
    return all;
  }();
  return settings;
}

}  // namespace indigosaddle::config
