// The folder's file `rules`: what it does not say whole binds by the strictest rules.
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

class RulesFile : public ::testing::Test {
 protected:
  RulesFile() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder = mkdtemp(name.data());
  }
  ~RulesFile() override { std::filesystem::remove_all(folder); }

  // One class, whose messages may be repeated at will.
  static Config Safe() {
    Config config;
    config.classes = {{"notice", 0}};
    config.settings.classes.resize(1);
    config.settings.classes[0].effect = Effect::kSafe;
    config.settings.classes[0].deadline = kDeadline;
    return config;
  }
  void Put(const std::string& text) const { std::ofstream(folder + "/rules", std::ios::binary) << text; }
  // What binds a message that was handed in a second after a start on this file.
  RepeatRules Bound(const std::string& text) const {
    Put(text);
    MessageRules rules(folder);
    rules.Start(Safe(), kStart, true);
    return Born(rules, kStart + seconds(1));
  }
  static RepeatRules Born(const MessageRules& rules, Micros at) {
    return rules.RulesFor("notice", {at, kDeadline, false, true}).rules;
  }

  static constexpr const char* kSafeLine = "0 2 0 0 8000000 9223372036854775807 notice\n";
  std::string folder;
};

std::string File(const std::string& lines) { return "rules 1\n" + lines + "end\n"; }

TEST_F(RulesFile, WhatWasSavedIsReadBack) {
  MessageRules first(folder);
  first.Start(Safe(), kStart, false);
  ASSERT_TRUE(first.Save());
  MessageRules next(folder);
  next.Start(Safe(), kStart, true);
  EXPECT_TRUE(next.known());
  EXPECT_EQ(Born(next, kStart).effect, Effect::kSafe);
  EXPECT_EQ(Bound(File(kSafeLine)).effect, Effect::kSafe);
}

// A line that is read in part, or of another class, says nothing of the rules before: taken for a whole one
// it lets a message be repeated that was born under rules that forbid it.
TEST_F(RulesFile, AnOddLineMeansTheStrictest) {
  for (const char* line : {
           "\n",
           "0 2 0 0 8000000 9223372036854775807\n",          // no name
           "0 2 0 0 8000000 9223372036854775807x notice\n",  // the name is cut off from its number
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
    EXPECT_EQ(Bound(File(line)), kStrictestRules) << line;
    EXPECT_EQ(Bound(File(std::string(kSafeLine) + line)), kStrictestRules) << line;
  }
}

// Every file that a process writes says what is in force: one that names no class, or a class in force twice,
// is not whole.
TEST_F(RulesFile, AFileThatSaysNothingOrTooMuchMeansTheStrictest) {
  EXPECT_EQ(Bound(File("")), kStrictestRules);
  EXPECT_EQ(Bound(File("0 2 0 0 8000000 999000000 notice\n")), kStrictestRules) << "nothing in force";
  EXPECT_EQ(Bound(File(std::string(kSafeLine) + kSafeLine)), kStrictestRules);
  EXPECT_EQ(Bound(File(kSafeLine) + "2 2 0 0 8000000 999500000 notice\nend\n"), kStrictestRules);
  EXPECT_EQ(Bound("rules 2\n" + std::string(kSafeLine) + "end\n"), kStrictestRules);
}

TEST_F(RulesFile, CutAtAnyByteItMeansTheStrictest) {
  const std::string whole = File(kSafeLine);
  for (std::size_t size = 0; size + 1 < whole.size(); ++size)
    EXPECT_EQ(Bound(whole.substr(0, size)), kStrictestRules) << size;
}

// The process before this one may have changed its rules until its end: where its file can't be read by then,
// what was born meanwhile may be bound by any.
TEST_F(RulesFile, ASuccessorThatFindsNoHistoryTakesTheStrictestForAWhile) {
  for (const bool damaged : {false, true}) {
    Put(File(kSafeLine));
    MessageRules successor(folder);
    successor.Start(Safe(), kStart, true);
    ASSERT_EQ(Born(successor, kStart + seconds(1)).effect, Effect::kSafe);
    std::filesystem::remove(folder + "/rules");
    if (damaged) Put("rules 1\n2 2 0 0 80");
    successor.TakeOver(kStart + seconds(2));
    EXPECT_FALSE(successor.known());
    EXPECT_EQ(Born(successor, kStart + seconds(3)), kStrictestRules) << damaged;
    EXPECT_EQ(Born(successor, kStart + seconds(6)).effect, Effect::kSafe) << damaged;
  }
}

}  // namespace
}  // namespace indigosaddle::node
