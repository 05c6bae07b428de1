// The schema table, the operator's file and the layers: what is taken, what is refused and where.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "config/layers.h"
#include "good_document.h"
#include "node/config.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

TEST(Schema, NamesAreUniqueAndEveryDefaultIsAValueInItsRange) {
  std::set<std::string> paths, told;
  for (const Item& item : Schema()) {
    EXPECT_TRUE(paths.insert(item.path).second) << item.path;
    EXPECT_TRUE(told.insert(item.told).second) << item.told;
    EXPECT_GT(std::string(item.about).size(), 5u) << item.path;
    EXPECT_GT(std::string(item.touch).size(), 5u) << item.path;
    if (item.absent[0] == '\0') continue;
    const json plain = json::parse(item.absent, nullptr, false);
    const json written = plain.is_discarded() ? json(item.absent) : plain;
    const auto value = ToTold(item, written);
    ASSERT_TRUE(value) << item.path << " " << item.absent;
    // What is shown can be written again and means the same.
    const std::string shown = Show(item, *value);
    const json again = item.type == Type::kFlag || item.type == Type::kInteger || item.type == Type::kNumber
                           ? json::parse(shown)
                           : json(shown);
    EXPECT_EQ(ToTold(item, again), value) << item.path;
  }
}

RC_GTEST_PROP(Schema, AShownDurationOrSizeReadsBackAsItself, ()) {
  const Item& time = *Find("classes[].deadline");
  const Item& size = *Find("limits.disk");
  const double millis = *rc::gen::inRange<int>(0, 86400000);
  RC_ASSERT(ToTold(time, Show(time, millis))->get<double>() == millis);
  const double megabytes = *rc::gen::inRange<int>(1, 1000000);
  RC_ASSERT(std::abs(ToTold(size, Show(size, megabytes))->get<double>() - megabytes) < 1e-6);
}

TEST(Schema, TheJsonSchemaNamesEverySetting) {
  const json schema = json::parse(JsonSchema());
  std::size_t count = 0;
  for (const auto& [name, section] : schema.at("properties").items()) {
    count += (section.at("type") == "array" ? section.at("items") : section).at("properties").size();
  }
  EXPECT_EQ(count, Schema().size());
}

TEST(Document, AWholeFileAloneIsEnoughAndMeansWhatItSays) {
  ASSERT_EQ(FaultsOf(kGood), "");
  const node::Config config = node::MakeConfig({{true, "f.toml", kGood}, {}, {}});
  EXPECT_EQ(config.settings.call_slots, 8);
  EXPECT_EQ(config.settings.own_zone, 1);
  EXPECT_EQ(config.settings.classes.at(0).effect, Effect::kKeyed);
  EXPECT_EQ(config.settings.classes.at(0).aim, std::chrono::milliseconds(2500));
  EXPECT_FALSE(config.settings.kinds.at(0).separate_routes);
  EXPECT_TRUE(config.settings.kinds.at(1).separate_routes);
  EXPECT_EQ(config.settings.zone_fee, (std::vector<double>{0, 0.5}));
  EXPECT_EQ(config.settings.cold, std::chrono::seconds(10));  // by default
  EXPECT_EQ(config.disk_bytes, 64000000u);
}

struct Bad {
  const char* from;
  const char* to;
  std::vector<std::string> says;  // each in the faults
};

TEST(Document, EachFaultNamesItsPlaceAndWhatWasExpected) {
  const std::vector<Bad> table = {
      {"call_slots",
       "call_slot",
       {"f.toml:8:1: delivery.call_slot: unknown name; did you mean \"call_slots\"?"}},
      {"[delivery]", "[delivry]", {"f.toml:7:2: delivry: unknown name; did you mean \"delivery\"?"}},
      {"[delivery]", "[zzzzzzzzzz]", {"expected one of"}},
      {"call_slots = 8",
       "call_slots = \"8\"",
       {"f.toml:8:14: delivery.call_slots: \"8\"; expected a whole number"}},
      {"call_slots = 8", "call_slots = -1", {"expected a whole number from 0"}},
      {"call_slots = 8", "call_slots = 8.5", {"expected a whole number"}},
      {"\"2500ms\"", "2500", {"2500; expected a duration in quotes"}},
      {"\"2500ms\"", "\"2500\"", {"expected a duration"}},
      {"\"2500ms\"", "\"30s\"", {"f.toml:16:7: classes[0].aim: is after the deadline"}},
      {"\"2500ms\"", "nan", {"expected a duration"}},
      {"\"keyed\"", "\"keyd\"", {"expected \"safe\" or \"keyed\" or \"unsafe\""}},
      {"key_ttl = \"20s\"", "", {"classes[0].effect: is \"keyed\" with no key_ttl"}},
      {"holding_room = 100",
       "holding_room = 5",
       {"f.toml:9:16: delivery.holding_room: 5 is less than the call_slots, 8"}},
      {"zone = \"b\"", "zone = \"c\"", {"delivery.zone: \"c\"; expected the name of one of [[zones]]"}},
      {"name = \"mall\"", "name = \"shop\"", {"kinds[1].name: \"shop\" is named twice"}},
      {"name = \"notice\"\n", "", {"classes[0]: has no \"name\""}},
      {"listen = \"127.0.0.1:0\"",
       "listen = \"nowhere\"",
       {"node.listen: \"nowhere\"; expected \"ip:port\""}},
      {"state = \"/tmp\"\n", "", {"node.state: is missing"}},
      {"[[classes]]", "[classes]", {"classes: is a table; expected tables: [[classes]]"}},
      {"name = \"n1\"", "name = \"n1", {"f.toml:2:"}},
      {"name = \"n1\"", "name = 1979-05-27", {"node.name: a date or time; expected a text"}},
  };
  for (const Bad& bad : table) {
    const std::string faults = FaultsOf(Edited(bad.from, bad.to));
    for (const std::string& says : bad.says) {
      EXPECT_NE(faults.find(says), std::string::npos)
          << bad.to << "\n  said: " << faults << "\n  not: " << says;
    }
  }
}

TEST(Document, AllFaultsAreSaidAtOnceInTheOrderOfTheFile) {
  std::string text = Edited("call_slots = 8", "call_slots = -8");
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"keyed\"", "\"maybe\""}, {"fee = 0.5", "fee = -1"}, {"\"127.0.0.1:8500\"", "\"x\""}}) {
    text.replace(text.find(from), from.size(), to);
  }
  const std::string faults = FaultsOf(text);
  std::size_t last = 0;
  for (const char* path : {"node.discovery", "delivery.call_slots", "classes[0].effect", "zones[1].fee"}) {
    const std::size_t at = faults.find(path);
    ASSERT_NE(at, std::string::npos) << path << " in " << faults;
    EXPECT_GE(at, last);
    last = at;
  }
}

// Any bytes: read or refused with a fault, never anything else, and not without bound.
RC_GTEST_PROP(Document, MutatedFilesAreReadOrRefused, ()) {
  std::string text = kGood;
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::element('"', '[', ']', '=', '\n', '.', '-', '9', 'x', '\0', '\xff', '{');
  }
  const Document document = ReadDocument(text, "f");
  RC_ASSERT(document.faults.size() <= 60u);
  for (const Fault& fault : document.faults) RC_ASSERT(!ToText(fault).empty());
}

}  // namespace
}  // namespace indigosaddle::config
