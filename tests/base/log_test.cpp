// The structured log: both formats, the rate limit of events, and readers that stop reading.
#include "base/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "base/log_events.h"

namespace indigosaddle::base {
namespace {

// A log that writes to one end of a pipe (false) or of a socket pair (true), and its reader at the other end.
class LogTest : public ::testing::TestWithParam<bool> {
 protected:
  LogTest() {
    if (GetParam()) {
      EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    } else {
      EXPECT_EQ(pipe(ends), 0);
    }
  }
  ~LogTest() override {
    close(ends[0]);
    close(ends[1]);
  }

  // Returns what has arrived, without waiting for more.
  std::string Read() {
    std::string text, block(65536, '\0');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (ssize_t count = 0; (count = read(ends[0], block.data(), block.size())) > 0;) {
      text.append(block, 0, static_cast<std::size_t>(count));
    }
    return text;
  }
  static std::vector<std::string> Lines(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
  }

  int ends[2] = {-1, -1};
  std::int64_t wall_clock = 1000;  // milliseconds
};

INSTANTIATE_TEST_SUITE_P(PipeAndSocket, LogTest, ::testing::Bool());

TEST_P(LogTest, JsonLinesAreValidForAnyValues) {
  Log log("n\"1", {Level::kDebug, Format::kJson, 100}, ends[1], 1 << 20, [&] { return wall_clock; });
  const std::string awkward = "a \"quoted\"\n\\ \xff\x01 =" + std::string(9000, 'x');
  log.Write(kConfiguredListUnreadable, awkward);
  log.Write(kServing, "a:1", "0", 1, 2, 3);
  log.Write(kConfigOnTrial, 7, "me", "", std::chrono::microseconds(1500));
  const auto lines = Lines(Read());
  ASSERT_EQ(lines.size(), 3u);
  for (const std::string& line : lines) {
    const auto object = nlohmann::json::parse(line);
    EXPECT_EQ(object.at("node"), "n\"1");
    EXPECT_LT(line.size(), 40000u);
  }
  EXPECT_EQ(nlohmann::json::parse(lines[0]).at("where").get<std::string>().substr(0, 12), "a \"quoted\"\n\\");
  EXPECT_EQ(nlohmann::json::parse(lines[2]).at("trial"), 1.5);
  EXPECT_EQ(nlohmann::json::parse(lines[2]).at("event"), "config.on_trial");
}

TEST_P(LogTest, TextLinesStayOnOneLineAndQuoteValuesWhereNeeded) {
  Log log("n1", {}, ends[1], 1 << 20, [&] { return wall_clock; });
  log.Write(kListEntrySkipped, 5, "two words\nand \"more\"");
  log.Write(kClientEnded, 1, "left", 2, std::chrono::microseconds(1));  // a debug event, below the level
  const std::string text = Read();
  EXPECT_NE(text.find(" warning n1 list.skipped version=5 entry=\"two words\\nand \\\"more\\\"\"\n"),
            std::string::npos)
      << text;
  EXPECT_EQ(Lines(text).size(), 1u);
}

TEST_P(LogTest, EachEventHasItsOwnRateLimitAndSuppressedLinesAreCounted) {
  Log log("n1", {Level::kInfo, Format::kText, 5}, ends[1], 1 << 20, [&] { return wall_clock; });
  for (int i = 0; i < 50; ++i) log.Write(kListWatchLost, "reason");
  log.Write(kNoticeUnreadable, "other");
  EXPECT_EQ(Lines(Read()).size(), 6u);
  log.Tick();
  EXPECT_EQ(Read(), "");  // the second is not over yet
  wall_clock += 1000;
  log.Tick();
  EXPECT_NE(Read().find("log.held_back of=list.watch_lost lines=45"), std::string::npos);
}

TEST_P(LogTest, AReaderThatStopsNeverBlocksTheCallerAndDroppedLinesAreReported) {
  Log log("n1", {Level::kInfo, Format::kText, 1 << 30}, ends[1], 64 * 1024, [&] { return wall_clock; });
  // Far more than the pipe and the queue hold; a blocking write would hang here.
  constexpr int kLines = 20000;
  for (int i = 0; i < kLines; ++i) log.Write(kNoticeUnreadable, std::string(100, 'x'));
  EXPECT_GT(log.dropped(), 0u);
  EXPECT_LE(log.waiting_bytes(), 64u * 1024);
  std::string text;
  for (int i = 0; i < 1000 && text.find("log.dropped") == std::string::npos; ++i) {
    text += Read();
    wall_clock += 1000;
    log.Tick();
  }
  text += Read();
  const auto lines = Lines(text);
  std::uint64_t reported = 0, complete = 0;
  for (const std::string& line : lines) {
    const std::size_t at = line.find("log.dropped lines=");
    if (at != std::string::npos) reported += std::stoull(line.substr(at + 18));
    complete += line.find(" notice.unreadable line=") != std::string::npos;
  }
  EXPECT_EQ(reported, log.dropped());
  // Every line either arrived or was counted.
  EXPECT_EQ(complete + reported, static_cast<std::uint64_t>(kLines));
}

TEST(LogEvents, NamesAndFieldsAreUniqueAndDescribed) {
  std::set<std::string> names;
  ForEachEvent([&]<FieldType... Types>(const Event<Types...>& event) {
    EXPECT_TRUE(names.insert(event.name).second) << event.name;
    std::set<std::string> fields = {"time", "level", "node", "event"};
    for (const Field& field : event.fields) {
      EXPECT_TRUE(fields.insert(field.name).second) << event.name << "." << field.name;
      EXPECT_FALSE(std::string(field.description).empty());
    }
  });
  EXPECT_GE(names.size(), 30u);
}

}  // namespace
}  // namespace indigosaddle::base
