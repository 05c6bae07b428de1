// Malformed and damaged documents from the platform: they must not come into force as something else, keep a
// node from starting, or use much memory or time.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "node/startup_config.h"
#include "operators_file.h"
#include "platform_document.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// Starts a node with a state folder that has a last good file, and with another file from the platform.
class StartWithLastGood : public ::testing::Test {
 protected:
  StartWithLastGood() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-start-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~StartWithLastGood() override { std::filesystem::remove_all(folder_); }

  node::StartupConfig Begin(const json& last_good, const json& file) {
    std::ofstream(folder_ + "/platform.json") << last_good.dump();
    std::ofstream(folder_ + "/config.json") << file.dump();
    return node::LoadStartupConfig({{"EDGE_STATE", folder_}, {"EDGE_CONFIG", folder_ + "/config.json"}}, "");
  }

  std::string folder_;
};

// A damaged last good file made the check against it refuse a complete file, and the node did not start.
TEST_F(StartWithLastGood, ADamagedLastGoodFileDoesNotRefuseACompleteFile) {
  const json good = PlatformDocument();
  json damaged = good;
  damaged["settings"]["cbps"] = damaged["settings"]["caps"];
  damaged["settings"].erase("caps");
  node::StartupConfig startup;
  ASSERT_NO_THROW(startup = Begin(damaged, good));
  EXPECT_NE(startup.load_errors.find("settings.caps: is missing"), std::string::npos) << startup.load_errors;
  EXPECT_EQ(json::parse(startup.sources.platform.text), good);
}

// The "operator" part is dropped from a document. It must not be reported as missing because the document in
// force has one.
TEST(MalformedPlatformDocument, WithAnOperatorPartMayReplaceItself) {
  json with_part = PlatformDocument();
  with_part["operator"] = {{"log", {{"level", "debug"}}}};
  EXPECT_EQ(FaultsOf(with_part, with_part), "");
  EXPECT_EQ(FaultsOf(PlatformDocument(), with_part), "");
}

// A null replaced the value of the operator's file and was then read as the default: no pause of an order
// key, no tenant's quota.
TEST(MalformedPlatformDocument, ANullKeepsTheValueOfTheOperatorsFile) {
  std::string operators_toml = kOperatorsToml;
  operators_toml += "[return]\nturn_gap = \"5s\"\n[[tenants]]\nname = \"t\"\nquota = 4\n";
  const auto config_with = [&](const char* platform) {
    return node::MakeConfig({{true, "f.toml", operators_toml}, {true, "p.json", platform}, {}});
  };
  const node::Config without_nulls = config_with("{}");
  ASSERT_GT(without_nulls.settings.turn_gap, Micros(0));
  ASSERT_TRUE(without_nulls.tenants.contains("t"));
  const node::Config with_nulls = config_with(R"({"settings":{"guarantees":{"turnGap":null},"orgs":null}})");
  EXPECT_EQ(with_nulls.settings.turn_gap, without_nulls.settings.turn_gap);
  EXPECT_EQ(with_nulls.tenants, without_nulls.tenants);
}

// A positive duration that rounds to 0 microseconds came into force as 0.
TEST(MalformedPlatformDocument, WithAValueThatRoundsToZeroIsRefused) {
  for (const char* path : {"/settings/classes/0/deadline", "/settings/classes/0/keyTtl",
                           "/settings/guarantees/fall", "/limits/memory_mb", "/limits/disk_mb"}) {
    json malformed = PlatformDocument();
    malformed[json::json_pointer(path)] = 1e-9;
    EXPECT_NE(FaultsOf(malformed, nullptr), "") << path;
  }
}

// A fault with a value cut within a UTF-8 character can't be written as JSON: `config check --json` ended
// with an exception.
TEST(MalformedPlatformDocument, AFaultShowsWholeCharacters) {
  for (int before = 70; before < 84; ++before) {
    json malformed = PlatformDocument();
    malformed["settings"]["classes"][0]["effect"] = std::string(before, 'a') + "\u20ac\u20ac\u20ac";
    EXPECT_NO_THROW(static_cast<void>(json(FaultsOf(malformed, nullptr)).dump())) << before;
  }
}

// Each of many malformed entries had a fault of its own, which took more memory than the node has.
TEST(MalformedPlatformDocument, WithManyFaultsIsRefusedWithAShortText) {
  constexpr std::size_t kManyEntries = 100000, kMaxTextBytes = 20000;
  json malformed = PlatformDocument();
  malformed["settings"]["zones"] = json(kManyEntries, 0);
  malformed["settings"]["telemetry"]["columns"] = json(kManyEntries, 0);
  EXPECT_NE(FaultsOf(malformed, nullptr), "");
  EXPECT_LT(FaultsOf(malformed, nullptr).size(), kMaxTextBytes);
  malformed["settings"]["zones"] = PlatformDocument()["settings"]["zones"];
  const std::string faults = FaultsOf(malformed, PlatformDocument());
  EXPECT_NE(faults, "");
  EXPECT_LT(faults.size(), kMaxTextBytes);
}

// The parser takes a zero byte for the end of the text, so that text after it was ignored.
TEST(MalformedPlatformDocument, WithAZeroByteIsRefused) {
  const std::string text = PlatformDocument().dump();
  EXPECT_NE(FaultsOf(text + std::string(1, '\0'), nullptr), "");
  EXPECT_NE(FaultsOf(text + std::string(1, '\0') + "{\"settings\"", nullptr), "");
}

// Where the operator's file names the state folder, its last good file was used to check the new file, but
// not to start from: a start with a refused platform's file failed.
TEST_F(StartWithLastGood, IsUsedFromTheFolderThatTheOperatorsFileNames) {
  std::string operators_toml = kOperatorsToml;
  const std::string default_state = "\"/tmp\"";
  operators_toml.replace(operators_toml.find(default_state), default_state.size(), "\"" + folder_ + "\"");
  std::ofstream(folder_ + "/operators.toml") << operators_toml;
  json last_good = PlatformDocument(), incomplete = last_good;
  last_good.erase("known");
  incomplete["settings"].erase("goal");
  std::ofstream(folder_ + "/platform.json") << last_good.dump();
  std::ofstream(folder_ + "/config.json") << incomplete.dump();
  node::StartupConfig startup;
  ASSERT_NO_THROW(startup = node::LoadStartupConfig({{"EDGE_CONFIG", folder_ + "/config.json"}},
                                                    folder_ + "/operators.toml"));
  EXPECT_NE(startup.load_errors.find("settings.goal: is missing"), std::string::npos) << startup.load_errors;
  EXPECT_EQ(json::parse(startup.sources.platform.text), last_good);
}

// The length of a list of plain values was not limited, so that one with millions of entries stalled the node
// for seconds.
TEST(MalformedPlatformDocument, WithAVeryLongListIsRefused) {
  constexpr std::size_t kLong = 1001;
  json malformed = PlatformDocument();
  malformed["settings"]["familyInfo"]["zoneFee"] = json(kLong, 0.0);
  for (std::size_t i = malformed["settings"]["zones"].size(); i < kLong; ++i)
    malformed["settings"]["zones"].push_back(std::to_string(i));
  EXPECT_NE(FaultsOf(malformed, nullptr).find("settings.zones: expected a list"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::config
