// The state folder's file `rules`: where it is incomplete or malformed, the strictest rules apply.
#include "node/message_rules.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace indigosaddle::node {
namespace {

using std::chrono::seconds;

constexpr Micros kStart = seconds(1000);
constexpr Micros kDeadline = seconds(8);

class RulesFileTest : public ::testing::Test {
 protected:
  RulesFileTest() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder = mkdtemp(name.data());
  }
  ~RulesFileTest() override { std::filesystem::remove_all(folder); }

  // A configuration of one class, whose messages may be repeated without limit.
  static Config Safe() {
    Config config;
    config.classes = {{"notice", 0}};
    config.settings.classes.resize(1);
    config.settings.classes[0].effect = Effect::kSafe;
    config.settings.classes[0].deadline = kDeadline;
    return config;
  }
  void WriteRules(const std::string& text) const {
    std::ofstream(folder + "/rules", std::ios::binary) << text;
  }
  // The rules that apply to a message enqueued one second after a start with this file.
  RepeatRules RulesAfterStart(const std::string& text) const {
    WriteRules(text);
    MessageRules rules(folder);
    rules.Start(Safe(), kStart, true);
    return RulesOfMessageAt(rules, kStart + seconds(1));
  }
  static RepeatRules RulesOfMessageAt(const MessageRules& rules, Micros accepted_at) {
    return rules.RulesFor("notice", {accepted_at, kDeadline, false, true}).rules;
  }

  static constexpr const char* kSafeLine = "0 2 0 0 8000000 9223372036854775807 notice\n";
  std::string folder;
};

std::string RulesFileText(const std::string& lines) { return "rules 1\n" + lines + "end\n"; }

TEST_F(RulesFileTest, SavedRulesAreReadBack) {
  MessageRules first(folder);
  first.Start(Safe(), kStart, false);
  ASSERT_TRUE(first.Save());
  MessageRules next(folder);
  next.Start(Safe(), kStart, true);
  EXPECT_TRUE(next.prior_rules_known());
  EXPECT_EQ(RulesOfMessageAt(next, kStart).effect, Effect::kSafe);
  EXPECT_EQ(RulesAfterStart(RulesFileText(kSafeLine)).effect, Effect::kSafe);
}

// Guards against a malformed line, or one of another class, that is taken for a complete one: a message would
// be repeated although the rules in force when it was accepted forbid it.
TEST_F(RulesFileTest, MalformedLineMeansTheStrictestRules) {
  for (const char* line : {
           "\n",
           "0 2 0 0 8000000 9223372036854775807\n",          // no name
           "0 2 0 0 8000000 9223372036854775807x notice\n",  // no separator between the number and the name
           "0 2 0 0 8000000 9223372036854775807 \n",
           "0  2 0 0 8000000 9223372036854775807 notice\n",
           "0 2 0 0 8000000 +9223372036854775807 notice\n",
           "0 2 0 0 9223372036854775807 notice\n",  // a field is missing
           "2 2 0 0 8000000 -1 notice\n",
           "2 2 0 0 -1 999000000 notice\n",
           "0 2 -1 0 8000000 9223372036854775807 notice\n",
           "0 2 0 2 8000000 9223372036854775807 notice\n",
           "3 2 0 0 8000000 9223372036854775807 notice\n",
           "-1 2 0 0 8000000 9223372036854775807 notice\n",
           "0 3 0 0 8000000 9223372036854775807 notice\n",
           "0 2 0 0 8000000 99999999999999999999 notice\n",
       }) {
    EXPECT_EQ(RulesAfterStart(RulesFileText(line)), kStrictestRules) << line;
    EXPECT_EQ(RulesAfterStart(RulesFileText(std::string(kSafeLine) + line)), kStrictestRules) << line;
  }
}

// Each file that a process writes names the rules in force of each class: a file that names no class, or
// names a class in force twice, is incomplete.
TEST_F(RulesFileTest, EmptyOrContradictoryFileMeansTheStrictestRules) {
  EXPECT_EQ(RulesAfterStart(RulesFileText("")), kStrictestRules);
  EXPECT_EQ(RulesAfterStart(RulesFileText("0 2 0 0 8000000 999000000 notice\n")), kStrictestRules)
      << "nothing in force";
  EXPECT_EQ(RulesAfterStart(RulesFileText(std::string(kSafeLine) + kSafeLine)), kStrictestRules);
  EXPECT_EQ(RulesAfterStart(RulesFileText(kSafeLine) + "2 2 0 0 8000000 999500000 notice\nend\n"),
            kStrictestRules);
  EXPECT_EQ(RulesAfterStart("rules 2\n" + std::string(kSafeLine) + "end\n"), kStrictestRules);
}

TEST_F(RulesFileTest, FileTruncatedAtAnyByteMeansTheStrictestRules) {
  const std::string whole = RulesFileText(kSafeLine);
  for (std::size_t size = 0; size + 1 < whole.size(); ++size)
    EXPECT_EQ(RulesAfterStart(whole.substr(0, size)), kStrictestRules) << size;
}

// The predecessor may have changed its rules until its end: where its file cannot be read by then, any rules
// may apply to the messages that it accepted meanwhile.
TEST_F(RulesFileTest, SuccessorWithoutHistoryAppliesTheStrictestRulesForAWhile) {
  for (const bool damaged : {false, true}) {
    WriteRules(RulesFileText(kSafeLine));
    MessageRules successor(folder);
    successor.Start(Safe(), kStart, true);
    ASSERT_EQ(RulesOfMessageAt(successor, kStart + seconds(1)).effect, Effect::kSafe);
    std::filesystem::remove(folder + "/rules");
    if (damaged) WriteRules("rules 1\n2 2 0 0 80");
    successor.TakeOver(kStart + seconds(2));
    EXPECT_FALSE(successor.prior_rules_known());
    EXPECT_EQ(RulesOfMessageAt(successor, kStart + seconds(3)), kStrictestRules) << damaged;
    EXPECT_EQ(RulesOfMessageAt(successor, kStart + seconds(6)).effect, Effect::kSafe) << damaged;
  }
}

}  // namespace
}  // namespace indigosaddle::node
