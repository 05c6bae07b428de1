// Which listed endpoints count as members of one zone.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "node/zone_numbers.h"

namespace indigosaddle::node {
namespace {

const std::map<std::string, int> kZones = {{"a", 0}, {"b", 1}};

// Guards against a single zone number for all sites that the settings do not contain: a keyed message whose
// duplicates only its own zone recognises would be repeated in another zone.
TEST(ZoneNumbers, SitesMissingInTheSettingsAreSeparateZones) {
  ZoneNumbers zones;
  EXPECT_EQ(zones.NumberFor(kZones, "a", "s-1"), 0);
  EXPECT_EQ(zones.NumberFor(kZones, "b", "s-2"), 1);
  const int c = zones.NumberFor(kZones, "c", "s-3"), d = zones.NumberFor(kZones, "d", "s-4");
  EXPECT_EQ((std::set<int>{0, 1, kUnknownZone, c, d}).size(), 5u);
  EXPECT_EQ(zones.NumberFor(kZones, "c", "s-5"), c);
}

// The same for endpoints without a site in the list.
TEST(ZoneNumbers, EndpointWithoutASiteIsASeparateZone) {
  ZoneNumbers zones;
  const int one = zones.NumberFor(kZones, "", "s-1"), other = zones.NumberFor(kZones, "", "s-2");
  const int named = zones.NumberFor(kZones, "s-1", "s-3");
  EXPECT_EQ((std::set<int>{0, 1, kUnknownZone, one, other, named}).size(), 6u);
  EXPECT_EQ(zones.NumberFor(kZones, "", "s-1"), one);
}

}  // namespace
}  // namespace indigosaddle::node
