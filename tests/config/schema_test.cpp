// The table of settings and the operator's file: which values are accepted, and which are refused with what
// fault.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "config/layers.h"
#include "node/config.h"
#include "operators_file.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

TEST(Schema, NamesAreUniqueAndEveryDefaultIsAValueInItsRange) {
  std::set<std::string> paths, platform_paths;
  for (const Setting& setting : Schema()) {
    EXPECT_TRUE(paths.insert(setting.path).second) << setting.path;
    EXPECT_TRUE(platform_paths.insert(setting.platform_path).second) << setting.platform_path;
    EXPECT_GT(std::string(setting.description).size(), 5u) << setting.path;
    EXPECT_GT(std::string(setting.when_to_change).size(), 5u) << setting.path;
    if (setting.default_text[0] == '\0') continue;
    const json parsed = json::parse(setting.default_text, nullptr, false);
    const json file_value = parsed.is_discarded() ? json(setting.default_text) : parsed;
    const auto value = ToPlatformForm(setting, file_value);
    ASSERT_TRUE(value) << setting.path << " " << setting.default_text;
    // The shown form can be written in a file and means the same value.
    const std::string shown = ToFileForm(setting, *value);
    const json shown_value = setting.type == ValueType::kFlag || setting.type == ValueType::kInteger ||
                                     setting.type == ValueType::kNumber
                                 ? json::parse(shown)
                                 : json(shown);
    EXPECT_EQ(ToPlatformForm(setting, shown_value), value) << setting.path;
  }
}

RC_GTEST_PROP(Schema, ADurationOrSizeInFileFormParsesToTheSameValue, ()) {
  const Setting& duration = *FindSetting("classes[].deadline");
  const Setting& size = *FindSetting("limits.disk");
  const double millis = *rc::gen::inRange<int>(0, 86400000);
  RC_ASSERT(ToPlatformForm(duration, ToFileForm(duration, millis))->get<double>() == millis);
  const double megabytes = *rc::gen::inRange<int>(1, 1000000);
  RC_ASSERT(std::abs(ToPlatformForm(size, ToFileForm(size, megabytes))->get<double>() - megabytes) < 1e-6);
}

TEST(Schema, TheJsonSchemaHasEverySetting) {
  const json schema = json::parse(JsonSchema());
  std::size_t count = 0;
  for (const auto& [name, section] : schema.at("properties").items()) {
    count += (section.at("type") == "array" ? section.at("items") : section).at("properties").size();
  }
  EXPECT_EQ(count, Schema().size());
}

TEST(OperatorsFile, ACompleteFileNeedsNoOtherSource) {
  ASSERT_EQ(FaultsOf(kOperatorsToml), "");
  const node::Config config = node::MakeConfig({{true, "f.toml", kOperatorsToml}, {}, {}});
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

// An invalid edit of kOperatorsToml, and texts that must be in its faults.
struct InvalidEdit {
  const char* from;
  const char* to;
  std::vector<std::string> expected;
};

TEST(OperatorsFile, EachFaultNamesItsLocationAndWhatWasExpected) {
  const std::vector<InvalidEdit> table = {
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
  for (const InvalidEdit& edit : table) {
    const std::string faults = FaultsOf(Edited(edit.from, edit.to));
    for (const std::string& expected : edit.expected) {
      EXPECT_NE(faults.find(expected), std::string::npos)
          << edit.to << "\n  faults: " << faults << "\n  missing: " << expected;
    }
  }
}

TEST(OperatorsFile, AllFaultsAreReportedAtOnceInTheOrderOfTheFile) {
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

// A file with any bytes changed is read or refused with a bounded number of faults; nothing else may happen.
RC_GTEST_PROP(OperatorsFile, MutatedFilesAreReadOrRefused, ()) {
  std::string text = kOperatorsToml;
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::element('"', '[', ']', '=', '\n', '.', '-', '9', 'x', '\0', '\xff', '{');
  }
  const ParsedOperatorsFile parsed = ParseOperatorsFile(text, "f");
  RC_ASSERT(parsed.faults.size() <= 60u);
  for (const ConfigFault& fault : parsed.faults) RC_ASSERT(!ToText(fault).empty());
}

}  // namespace
}  // namespace indigosaddle::config
