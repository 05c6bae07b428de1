// A platform file that can't be used changes nothing, wherever it is read: at a start, by a successor, at
// SIGHUP beside the operator's file, on the command line. Logs and status tell operators about it.
#include <gtest/gtest.h>

#include <string>

#include "changes.h"
#include "rule_changes.h"

namespace indigosaddle::testing {
namespace {

// A class whose messages may not be repeated, and files that loosen it and lack a value.
class RefusedFiles : public RuleChanges {
 protected:
  Json LooserFileWithoutAKey() {
    Json file = node.config;
    for (Json& message_class : file["settings"]["classes"]) message_class["effect"] = "read_like";
    file["settings"]["caps"].erase("maxRetryAfter");
    return file;
  }
  void ReloadRefused(const Json& file) {
    node.WriteConfig(file.dump());
    node.Signal(SIGHUP);
    ASSERT_TRUE(Eventually([&] { return CountLines("config.read taken=0 refused=1") == 1; }));
  }
};

// Guards against a restart that accepts a file that lacks a value, with the looser rules in it.
TEST_F(RefusedFiles, ARestartServesByTheLastKnownGoodFile) {
  StartNode();
  node.Kill(SIGKILL);
  node.raw_config = LooserFileWithoutAKey().dump();
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(CountLines("settings.caps.maxRetryAfter: is missing"), 1u);
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

// A missing key is a sign of a truncated file, even if the program never reads that key.
TEST_F(RefusedFiles, ARestartRefusesAFileWithoutAKeyThatItNeverReads) {
  node.config["settings"]["goal"] = {{"whole", 0.65}};
  StartNode();
  node.Kill(SIGKILL);
  node.config["settings"].erase("goal");
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(CountLines("settings.goal: is missing; the settings in force have it"), 1u);
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

TEST_F(RefusedFiles, ASuccessorServesByTheLastKnownGoodFile) {
  StartNode();
  NodeProcess successor(platform.address());
  Json file = LooserFileWithoutAKey();
  file["listen"] = "127.0.0.1:" + std::to_string(node.port);
  successor.raw_config = file.dump();
  successor.shared_state = node.folder + "/state";
  successor.extra_variables = {"EDGE_LISTEN=127.0.0.1:" + std::to_string(node.port)};
  ASSERT_TRUE(successor.Start());
  EXPECT_NE(successor.log().find("settings.caps.maxRetryAfter: is missing"), std::string::npos);
  node.Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node.Ended(); }));
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

// Limits, the address of discovery and all else in the file are as unreliable as the missing part.
TEST_F(RefusedFiles, NoPartOfItTakesEffectAtSighup) {
  StartNode();
  PlatformStandIn elsewhere;
  Json file = LooserFileWithoutAKey();
  file["discovery"] = elsewhere.address();
  file["limits"]["sockets"] = 512;
  ReloadRefused(file);
  ASSERT_EQ(EnqueueInClass("after"), "+OK");
  ExpectOneCallAndFailure("after");
  EXPECT_EQ(elsewhere.whole_lists(), 0);
  for (const char* event : {"config.needs_restart", "class.rules_changed", "list.moved", "config.same"})
    EXPECT_EQ(CountLines(event), 0u) << event;
}

TEST_F(RefusedFiles, EveryFaultIsLoggedOnce) {
  StartNode();
  Json file = LooserFileWithoutAKey();
  file["settings"]["classes"][0]["deadline"] = -5;
  ReloadRefused(file);
  EXPECT_EQ(CountLines("config.unusable"), 1u);
  EXPECT_EQ(CountLines("settings.caps.maxRetryAfter: is missing"), 1u);
  EXPECT_EQ(CountLines("settings.classes[0].deadline: -5; expected a number over 0"), 1u);
}

// The command line validates a file as the node that serves from the folder does.
TEST_F(RefusedFiles, ConfigCheckComparesAFileWithTheOneInForce) {
  node.config["settings"]["goal"] = {{"whole", 0.65}};
  StartNode();
  const std::string path = node.folder + "/next.json";
  node.config["settings"].erase("goal");
  std::ofstream(path) << node.config.dump();
  const auto [status, output] = node.Command("config check " + path);
  EXPECT_EQ(status, 2);
  EXPECT_NE(output.find("settings.goal: is missing"), std::string::npos) << output;
}

// A node with both files: values of the platform's file override those of the operator's file.
class RefusedFilesBesideOperators : public ChangesTest {
 protected:
  RefusedFilesBesideOperators() {
    node.extra_variables = {"EDGE_CONFIG=" + node.folder + "/config.json"};
    node.toml = Toml({{"trial", "\"100ms\""}});
  }
  void Reload(const Json& file, const std::string& toml) {
    node.WriteConfig(file.dump());
    node.WriteToml(toml);
    node.Signal(SIGHUP);
    ASSERT_TRUE(Logged(" config.read "));
  }
};

// Guards against a change of the operator's file that comes into force beside a refused platform file.
TEST_F(RefusedFilesBesideOperators, TheOperatorsFileWaitsToo) {
  ASSERT_TRUE(node.Start());
  Json file = node.config;
  file["settings"]["classes"][0].erase("effect");
  Reload(file, Toml({{"level", "\"debug\""}}));
  EXPECT_TRUE(Logged("config.read taken=0 refused=1"));
  EXPECT_EQ(Value("log.level"), "info");
  EXPECT_EQ(node.log().find("config.on_trial"), std::string::npos);
}

// Guards against a request without a document that counts as one with an empty document, and a malformed
// generation that counts as none.
TEST_F(RefusedFilesBesideOperators, ARequestWithAMissingOrMalformedPartIsRefused) {
  ASSERT_TRUE(node.Start());
  for (const Json& request :
       {Json{{"op", "apply"}}, Json{{"op", "apply"}, {"document", 5}},
        Json{{"op", "rollback"}, {"generation", "3"}}, Json{{"op", "rollback"}, {"generation", -1}}}) {
    const Json reply = ControlStandIn(node).Ask(request);
    EXPECT_EQ(reply.at("ok"), false) << request;
    EXPECT_NE(reply.at("text").get<std::string>().find(" takes "), std::string::npos) << reply;
  }
}

// A value of the operator's file does not replace the platform's value that overrode it until now.
TEST_F(RefusedFilesBesideOperators, TheOperatorsValueDoesNotReplaceOneThatThePlatformLeavesOut) {
  ASSERT_TRUE(node.Start());
  Json file = node.config;
  file["settings"]["caps"].erase("attemptsCap");
  Reload(file, node.toml);
  EXPECT_TRUE(Logged("settings.caps.attemptsCap: is missing"));
  EXPECT_EQ(Value("delivery.max_attempts"), "12");
}

TEST_F(RefusedFilesBesideOperators, StatusTellsWhatIsInForceAndWhyAFileWasRefused) {
  ASSERT_TRUE(node.Start());
  const Json before = ControlStandIn(node).Ask({{"op", "status"}}).at("configuration");
  EXPECT_EQ(before.at("last_refusal"), "");
  Json file = node.config;
  file["settings"].erase("zones");
  Reload(file, node.toml);
  const Json after = ControlStandIn(node).Ask({{"op", "status"}}).at("configuration");
  EXPECT_EQ(after.at("refused"), 1);
  EXPECT_EQ(after.at("taken"), 0);
  EXPECT_EQ(after.at("platform_document"), before.at("platform_document"));
  EXPECT_NE(after.at("last_refusal").get<std::string>().find("settings.zones: is missing"),
            std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing
