// Reading the node's configuration file, without sockets.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include "node/config.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

const std::string kConfig = R"({"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500",
  "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
  "known":{"seq":41,"whole":true,"hosts":[]},
  "settings":{"balancers":2,"tick":5.0,"discovery":"pushed","weightKind":"off","overShareWorth":0.2,
    "caps":{"attemptsCap":12,"dialTimeout":1500.0,"idleClose":15000.0,"maxOpen":165,"maxRetryAfter":2000.0,
            "retryAfter":true},
    "classes":[{"name":"zone notice","aim":2500.0,"deadline":20000.0,"effect":"idempotency_key","group":"all",
                "keyTtl":20000.0,"worth":1.0,"lateValue":0.4,"stream":false},
               {"name":"b","aim":2500.0,"deadline":20000.0,"effect":"non_idempotent","worth":1.0,
                "lateValue":0.4,"stream":false}],
    "orgs":[{"name":"sir-gar","quotaRps":15.0}],
    "familyInfo":{"callSlots":9,"perCall":[1,5],"separateRoutes":[false,true],"decay":"even",
                  "notes":"full: milliseconds, 0 if none","zoneFee":[0.0]},
    "guarantees":{"coldFrom":0.23,"cold":14000.0,"fall":2000.0,"overloadFactor":2.0,"mustAskIn":10000.0},
    "prices":{"crossZone":0.0,"handshake":0.06},
    "machineTypes":["ordering-platforms","single-shops"],"zones":["carmarthen-dc"],"zone":0}})";
const std::map<std::string, std::string> kEnvironment = {{"EDGE_STATE", "/state"}};

// The configuration text with one part replaced.
std::string ConfigWith(const std::string& old_text, const std::string& new_text) {
  std::string text = kConfig;
  const std::size_t position = text.find(old_text);
  EXPECT_NE(position, std::string::npos) << old_text;
  return text.replace(position, old_text.size(), new_text);
}

TEST(Config, ReadsTheSettingsAsTheSimulatorAdapterDoes) {
  const Config config = ReadConfig(kConfig, kEnvironment);
  EXPECT_EQ(config.name, "n3");
  EXPECT_EQ(config.settings.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.settings.senders, 2);
  EXPECT_EQ(config.settings.call_slots, 9);
  EXPECT_EQ(config.settings.max_open, 165);
  EXPECT_EQ(config.settings.tick, milliseconds(5));
  EXPECT_EQ(config.settings.idle_close, milliseconds(15000));
  EXPECT_EQ(config.connect_timeout, milliseconds(1500));
  ASSERT_EQ(config.settings.classes.size(), 2u);
  EXPECT_EQ(config.settings.classes[0].effect, Effect::kKeyed);
  EXPECT_EQ(config.settings.classes[0].group, Group::kAll);
  EXPECT_EQ(config.settings.classes[0].key_ttl, milliseconds(20000));
  EXPECT_EQ(config.settings.classes[1].effect, Effect::kUnsafe);
  ASSERT_EQ(config.settings.kinds.size(), 2u);
  EXPECT_TRUE(config.settings.kinds[1].separate_routes);
  // A call over a socket carries one message, whatever the file says.
  EXPECT_EQ(config.settings.kinds[1].per_call, 1);
  EXPECT_EQ(config.settings.cold_from, 0.23);
  EXPECT_EQ(config.classes.at("zone notice"), 0);
  EXPECT_EQ(config.classes.at("b"), 1);
  EXPECT_EQ(config.tenants.at("sir-gar"), 0);
  EXPECT_EQ(config.kinds.at("single-shops"), 1);
  EXPECT_EQ(config.zones.at("carmarthen-dc"), 0);
  EXPECT_EQ(config.disk_bytes, 3000000u);
  EXPECT_EQ(config.sockets, 1024u);
  EXPECT_NE(config.known_list, "");
}

// A class keeps its number, and its new effect applies to messages accepted from now on; pending messages
// keep the rules with which they were accepted
// (RepeatRulesKept.MessageKeepsItsRulesWhenItsClassChanges).
TEST(Config, ClassWhoseEffectChangesKeepsItsNumber) {
  const Config running = ReadConfig(kConfig, kEnvironment);
  const Config next =
      ReadConfig(ConfigWith(R"("effect":"non_idempotent")", R"("effect":"read_like")"), kEnvironment);
  const Config changed = WithRuntimeChanges(running, next);
  ASSERT_EQ(changed.settings.classes.size(), 2u);
  EXPECT_EQ(changed.classes, running.classes);
  EXPECT_EQ(running.settings.classes[1].effect, Effect::kUnsafe);
  EXPECT_EQ(changed.settings.classes[1].effect, Effect::kSafe);
  EXPECT_EQ(changed.settings.classes[0].effect, running.settings.classes[0].effect);
  EXPECT_TRUE(PathsNeedingRestart(running, next).empty());
}

// Guards against a fault seen in the operations benchmark: a file read at SIGHUP with attemptsCap 0 was
// accepted, and with it a discovery address without a listener.
TEST(Config, MissingAttemptsOrDeadlineIsRejected) {
  EXPECT_THROW(ReadConfig(ConfigWith(R"("attemptsCap":12)", R"("attemptsCap":0)"), kEnvironment),
               ConfigError);
  EXPECT_THROW(ReadConfig(ConfigWith(R"("deadline":20000.0)", R"("deadline":0)"), kEnvironment), ConfigError);
  EXPECT_THROW(ReadConfig(ConfigWith(R"("deadline":20000.0)", R"("deadline":-5)"), kEnvironment),
               ConfigError);
  EXPECT_NO_THROW(ReadConfig(kConfig, kEnvironment));
}

TEST(Config, EnvironmentOverridesTheFile) {
  auto environment = kEnvironment;
  environment["EDGE_NAME"] = "n9";
  environment["EDGE_LISTEN"] = "127.0.0.2:77";
  EXPECT_EQ(ReadConfig(kConfig, environment).name, "n9");
  EXPECT_EQ(ReadConfig(kConfig, environment).listen, "127.0.0.2:77");
  // The exception is discovery, since a reload reads the file again.
  environment["EDGE_DISCOVERY"] = "127.0.0.3:1";
  EXPECT_EQ(ReadConfig(kConfig, environment).discovery, "127.0.0.1:8500");
  EXPECT_EQ(ReadConfig(ConfigWith(R"("discovery":"127.0.0.1:8500",)", ""), environment).discovery,
            "127.0.0.3:1");
}

TEST(Config, ReportsAFaultInOneLine) {
  const std::map<std::string, std::string> faulty_texts = {
      {"", "JSON"},
      {"[]", "JSON"},
      {ConfigWith(R"("name":"n3",)", ""), "name"},
      {ConfigWith(R"("127.0.0.1:0")", R"("nowhere")"), "listen"},
      {ConfigWith(R"("127.0.0.1:8500")", "5"), "discovery"},
      {ConfigWith(R"("disk_mb":3)", R"("disk_mb":0)"), "disk_mb"},
      {ConfigWith(R"("sockets":1024,)", ""), "sockets"},
      {ConfigWith(R"("tick":5.0)", R"("tick":"soon")"), "tick"},
      {ConfigWith(R"("idempotency_key")", R"("sometimes")"), "effect"},
      {ConfigWith("8c1f30d27a5be964", "xyz"), "seed"},
  };
  for (const auto& [text, expected_word] : faulty_texts) {
    try {
      ReadConfig(text, kEnvironment);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(expected_word), std::string::npos) << error.what();
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
  EXPECT_THROW(ReadConfig(kConfig, {}), ConfigError);  // no state folder
  EXPECT_THROW(MakeConfig(ReadSources({}, "")), ConfigError);
  EXPECT_THROW(MakeConfig(ReadSources({{"EDGE_CONFIG", "/no/such/file"}}, "")), ConfigError);
}

// Whether the line names a fault, with its place or what was expected instead.
bool NamesAFault(const std::string& line) {
  for (const char* words : {"expected ", "is missing", "stands twice", "is named twice", "nested over"})
    if (line.find(words) != std::string::npos) return true;
  return false;
}

// A truncated or mutated text is either read or rejected with a ConfigError; no other failure occurs.
TEST(Config, TruncatedAndMutatedTextsAreReadOrRejected) {
  int rejected = 0, accepted = 0;
  const auto read_or_reject = [&](const std::string& text) {
    try {
      const Config config = ReadConfig(text, kEnvironment);
      EXPECT_FALSE(config.settings.classes.empty());
      EXPECT_GT(config.sockets, 0u);
      ++accepted;
    } catch (const ConfigError& error) {
      std::istringstream lines(error.what());
      for (std::string line; std::getline(lines, line);) EXPECT_TRUE(NamesAFault(line)) << line;
      ++rejected;
    }
  };
  for (std::size_t size = 0; size < kConfig.size(); ++size) read_or_reject(kConfig.substr(0, size));
  EXPECT_EQ(rejected, static_cast<int>(kConfig.size()));
  std::mt19937 random(11);
  for (int i = 0; i < 3000; ++i) {
    std::string text = kConfig;
    for (int change = 0; change < 1 + i % 4; ++change) {
      text[random() % text.size()] =
          i % 2 == 0 ? static_cast<char>(random()) : "0123456789-e.\"{}[],:"[random() % 21];
    }
    read_or_reject(text);
  }
  EXPECT_GT(accepted, 0);
}

}  // namespace
}  // namespace indigosaddle::node
