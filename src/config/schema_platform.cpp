// The schema of the platform's document: what the operator's file has too, and what the platform alone tells.
#include <algorithm>
#include <string_view>

#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum Type;
constexpr double kMany = 1e6;
constexpr PlatformRule kMust{Presence::kRequired, false}, kMustOverZero{Presence::kRequired, true};

// These go before an item of the operator's file with the same place in the platform's document.
const std::vector<Item>& PlatformRows() {
  static const std::vector<Item> rows = {
      {"", "limits.cores", kNumber, 0, kMany, "", Change::kRestart, "",
       "Cores that the node's processes share.", "", kMustOverZero},
      {"", "settings.zone", kInteger, 0, kMany, "", Change::kRestart, "",
       "The node's zone, by its place in zones.", "", kMust},
      {"", "settings.familyInfo.perCall[]", kInteger, 0, kMany, "", Change::kRestart, "",
       "Messages that one call may carry, by kind.", "", kMust},
  };
  return rows;
}

bool OfThePlatform(const Item& item) {
  const std::string_view told = item.told;
  return !told.starts_with("operator.") && !told.starts_with("watch.");
}

}  // namespace

const std::vector<Item>& PlatformSchema() {
  static const std::vector<Item> items = [] {
    std::vector<Item> all = PlatformRows();
    for (const Item& item : Schema()) {
      const bool replaced = std::any_of(PlatformRows().begin(), PlatformRows().end(), [&](const Item& row) {
        return std::string_view(row.told) == item.told;
      });
      if (OfThePlatform(item) && !replaced) all.push_back(item);
    }
    return all;
  }();
  return items;
}

}  // namespace indigosaddle::config
