// Odd and damaged documents of the platform's: what they may bring into force, stop from starting, or cost.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "good_document.h"
#include "node/startup_config.h"
#include "platform_document.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// A state folder with a last good file, and a start with another file.
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

// A last good file that no node could serve by turned a whole file down, and the node did not start.
TEST_F(StartWithLastGood, OneThatCantBeUsedTurnsNoWholeFileDown) {
  const json good = PlatformDocument();
  json damaged = good;
  damaged["settings"]["cbps"] = damaged["settings"]["caps"];
  damaged["settings"].erase("caps");
  node::StartupConfig beginning;
  ASSERT_NO_THROW(beginning = Begin(damaged, good));
  EXPECT_NE(beginning.load_errors.find("settings.caps: is missing"), std::string::npos)
      << beginning.load_errors;
  EXPECT_EQ(json::parse(beginning.sources.platform.text), good);
}

// The operator's part is left out of the document, and must not be missed because the one in force has it
// too.
TEST(OddPlatformDocument, WithAnOperatorsPartMayFollowItself) {
  json with_part = PlatformDocument();
  with_part["operator"] = {{"log", {{"level", "debug"}}}};
  EXPECT_EQ(FaultsOf(with_part, with_part), "");
  EXPECT_EQ(FaultsOf(PlatformDocument(), with_part), "");
}

// A null took the place of what the operator's file says, and was then read as the default: no rest of an
// order key, no tenant's share.
TEST(OddPlatformDocument, ANullLeavesTheOperatorsValue) {
  std::string operators = kGood;
  operators += "[return]\nturn_gap = \"5s\"\n[[tenants]]\nname = \"t\"\nquota = 4\n";
  const auto with = [&](const char* platform) {
    return node::MakeConfig({{true, "f.toml", operators}, {true, "p.json", platform}, {}});
  };
  const node::Config plain = with("{}");
  ASSERT_GT(plain.settings.turn_gap, Micros(0));
  ASSERT_TRUE(plain.tenants.contains("t"));
  const node::Config nulls = with(R"({"settings":{"guarantees":{"turnGap":null},"orgs":null}})");
  EXPECT_EQ(nulls.settings.turn_gap, plain.settings.turn_gap);
  EXPECT_EQ(nulls.tenants, plain.tenants);
}

// A time over 0 that rounds to 0 came into force as 0.
TEST(OddPlatformDocument, WithATimeThatRoundsToZeroIsRefused) {
  for (const char* path : {"/settings/classes/0/deadline", "/settings/classes/0/keyTtl",
                           "/settings/guarantees/fall", "/limits/memory_mb", "/limits/disk_mb"}) {
    json odd = PlatformDocument();
    odd[json::json_pointer(path)] = 1e-9;
    EXPECT_NE(FaultsOf(odd, nullptr), "") << path;
  }
}

// A value cut within a character can't be written as JSON: `config check --json` ended by an exception.
TEST(OddPlatformDocument, AFaultShowsWholeCharacters) {
  for (int before = 70; before < 84; ++before) {
    json odd = PlatformDocument();
    odd["settings"]["classes"][0]["effect"] = std::string(before, 'a') + "\u20ac\u20ac\u20ac";
    EXPECT_NO_THROW(static_cast<void>(json(FaultsOf(odd, nullptr)).dump())) << before;
  }
}

// Each of many odd entries had its fault, which took more memory than the node has.
TEST(OddPlatformDocument, WithManyFaultsIsRefusedInFewWords) {
  constexpr std::size_t kManyEntries = 100000, kFewWords = 20000;
  json odd = PlatformDocument();
  odd["settings"]["zones"] = json(kManyEntries, 0);
  odd["settings"]["telemetry"]["columns"] = json(kManyEntries, 0);
  EXPECT_NE(FaultsOf(odd, nullptr), "");
  EXPECT_LT(FaultsOf(odd, nullptr).size(), kFewWords);
  odd["settings"]["zones"] = PlatformDocument()["settings"]["zones"];
  const std::string faults = FaultsOf(odd, PlatformDocument());
  EXPECT_NE(faults, "");
  EXPECT_LT(faults.size(), kFewWords);
}

// The parser takes a zero byte for the end of the text, so that whatever stood behind it was not read.
TEST(OddPlatformDocument, WithAZeroByteIsRefused) {
  const std::string text = PlatformDocument().dump();
  EXPECT_NE(FaultsOf(text + std::string(1, '\0'), nullptr), "");
  EXPECT_NE(FaultsOf(text + std::string(1, '\0') + "{\"settings\"", nullptr), "");
}

// The folder that the operator's file names was looked in for the file to hold a new one against, but not for
// the file to serve by: a start whose platform's file was turned down ended.
TEST_F(StartWithLastGood, InAFolderThatTheOperatorsFileNamesItServes) {
  std::string operators = kGood;
  const std::string usual = "\"/tmp\"";
  operators.replace(operators.find(usual), usual.size(), "\"" + folder_ + "\"");
  std::ofstream(folder_ + "/operators.toml") << operators;
  json last_good = PlatformDocument(), cut = last_good;
  last_good.erase("known");
  cut["settings"].erase("goal");
  std::ofstream(folder_ + "/platform.json") << last_good.dump();
  std::ofstream(folder_ + "/config.json") << cut.dump();
  node::StartupConfig beginning;
  ASSERT_NO_THROW(beginning = node::LoadStartupConfig({{"EDGE_CONFIG", folder_ + "/config.json"}},
                                                      folder_ + "/operators.toml"));
  EXPECT_NE(beginning.load_errors.find("settings.goal: is missing"), std::string::npos)
      << beginning.load_errors;
  EXPECT_EQ(json::parse(beginning.sources.platform.text), last_good);
}

// A list of plain values had no most, so that one of millions held the node up for seconds.
TEST(OddPlatformDocument, WithAVeryLongListIsRefused) {
  constexpr std::size_t kLong = 1001;
  json odd = PlatformDocument();
  odd["settings"]["familyInfo"]["zoneFee"] = json(kLong, 0.0);
  for (std::size_t i = odd["settings"]["zones"].size(); i < kLong; ++i)
    odd["settings"]["zones"].push_back(std::to_string(i));
  EXPECT_NE(FaultsOf(odd, nullptr).find("settings.zones: expected a list"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::config
