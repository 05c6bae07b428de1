// What a file of the platform's that can't be used leaves alone, wherever it is read, and how operators learn
// of it: starts, successors, the operator's file beside it, the command line, logs, status.
#include <gtest/gtest.h>

#include <string>

#include "changes.h"
#include "rule_changes.h"

namespace indigosaddle::testing {
namespace {

// A class that may not be repeated, and files that loosen it and lack a value.
class RefusedFiles : public RuleChanges {
 protected:
  Json Short() {
    Json file = node.config;
    for (Json& one : file["settings"]["classes"]) one["effect"] = "read_like";
    file["settings"]["caps"].erase("maxRetryAfter");
    return file;
  }
  void SendShort(const Json& file) {
    node.WriteConfig(file.dump());
    node.Signal(SIGHUP);
    ASSERT_TRUE(Eventually([&] { return CountLines("config.read taken=0 refused=1") == 1; }));
  }
};

// A restart took a file that lacked a value, with the looser rules in it.
TEST_F(RefusedFiles, ARestartServesByTheLastGoodOne) {
  StartNode();
  node.Kill(SIGKILL);
  node.raw_config = Short().dump();
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(CountLines("settings.caps.maxRetryAfter: is missing"), 1u);
  ASSERT_TRUE(Eventually([&] { return HandIn("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

// A key that the program never reads is as good as any to tell a file that was cut short.
TEST_F(RefusedFiles, ARestartMissesAKeyThatItNeverReads) {
  node.config["settings"]["goal"] = {{"whole", 0.65}};
  StartNode();
  node.Kill(SIGKILL);
  node.config["settings"].erase("goal");
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(CountLines("settings.goal: is missing; the settings in force have it"), 1u);
  ASSERT_TRUE(Eventually([&] { return HandIn("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

TEST_F(RefusedFiles, ASuccessorServesByTheLastGoodOne) {
  StartNode();
  NodeProcess successor(platform.address());
  Json file = Short();
  file["listen"] = "127.0.0.1:" + std::to_string(node.port);
  successor.raw_config = file.dump();
  successor.shared_state = node.folder + "/state";
  successor.extra_variables = {"EDGE_LISTEN=127.0.0.1:" + std::to_string(node.port)};
  ASSERT_TRUE(successor.Start());
  EXPECT_NE(successor.log().find("settings.caps.maxRetryAfter: is missing"), std::string::npos);
  node.Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node.Ended(); }));
  ASSERT_TRUE(Eventually([&] { return HandIn("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}

// Limits, discovery's address and the rest of it are as unsure as what is missing.
TEST_F(RefusedFiles, NothingOfItActsAtSighup) {
  StartNode();
  PlatformStandIn elsewhere;
  Json file = Short();
  file["discovery"] = elsewhere.address();
  file["limits"]["sockets"] = 512;
  SendShort(file);
  ASSERT_EQ(HandIn("after"), "+OK");
  ExpectOneCallAndFailure("after");
  EXPECT_EQ(elsewhere.whole_lists(), 0);
  for (const char* event : {"config.needs_restart", "class.rules_changed", "list.moved", "config.same"})
    EXPECT_EQ(CountLines(event), 0u) << event;
}

TEST_F(RefusedFiles, EveryFaultIsLoggedOnce) {
  StartNode();
  Json file = Short();
  file["settings"]["classes"][0]["deadline"] = -5;
  SendShort(file);
  EXPECT_EQ(CountLines("config.unusable"), 1u);
  EXPECT_EQ(CountLines("settings.caps.maxRetryAfter: is missing"), 1u);
  EXPECT_EQ(CountLines("settings.classes[0].deadline: -5; expected a number over 0"), 1u);
}

// The command line judges as the node does that serves from the folder.
TEST_F(RefusedFiles, ConfigCheckHoldsAFileAgainstTheOneInForce) {
  node.config["settings"]["goal"] = {{"whole", 0.65}};
  StartNode();
  const std::string path = node.folder + "/next.json";
  node.config["settings"].erase("goal");
  std::ofstream(path) << node.config.dump();
  const auto [status, said] = node.Command("config check " + path);
  EXPECT_EQ(status, 2);
  EXPECT_NE(said.find("settings.goal: is missing"), std::string::npos) << said;
}

// Both sorts of files: the platform's over the operator's.
class RefusedFilesBesideOperators : public ChangesTest {
 protected:
  RefusedFilesBesideOperators() {
    node.extra_variables = {"EDGE_CONFIG=" + node.folder + "/config.json"};
    node.toml = Toml({{"trial", "\"100ms\""}});
  }
  void Send(const Json& file, const std::string& toml) {
    node.WriteConfig(file.dump());
    node.WriteToml(toml);
    node.Signal(SIGHUP);
    ASSERT_TRUE(Logged(" config.read "));
  }
};

// A change of the operator's file came into force beside a platform's file that was refused.
TEST_F(RefusedFilesBesideOperators, TheOperatorsFileWaitsToo) {
  ASSERT_TRUE(node.Start());
  Json file = node.config;
  file["settings"]["classes"][0].erase("effect");
  Send(file, Toml({{"level", "\"debug\""}}));
  EXPECT_TRUE(Logged("config.read taken=0 refused=1"));
  EXPECT_EQ(Value("log.level"), "info");
  EXPECT_EQ(node.log().find("config.on_trial"), std::string::npos);
}

// A request without a document was judged as an empty one, and an odd number of a generation as none.
TEST_F(RefusedFilesBesideOperators, ARequestThatLacksAPartIsNoOtherRequest) {
  ASSERT_TRUE(node.Start());
  for (const Json& request :
       {Json{{"op", "apply"}}, Json{{"op", "apply"}, {"document", 5}},
        Json{{"op", "rollback"}, {"generation", "3"}}, Json{{"op", "rollback"}, {"generation", -1}}}) {
    const Json reply = ControlStandIn(node).Ask(request);
    EXPECT_EQ(reply.at("ok"), false) << request;
    EXPECT_NE(reply.at("text").get<std::string>().find(" takes "), std::string::npos) << reply;
  }
}

// What the operator's file says of a value is no stand-in for the platform's word that it replaced.
TEST_F(RefusedFilesBesideOperators, TheOperatorsValueIsNoneForOneThatThePlatformLeavesOut) {
  ASSERT_TRUE(node.Start());
  Json file = node.config;
  file["settings"]["caps"].erase("attemptsCap");
  Send(file, node.toml);
  EXPECT_TRUE(Logged("settings.caps.attemptsCap: is missing"));
  EXPECT_EQ(Value("delivery.max_attempts"), "12");
}

TEST_F(RefusedFilesBesideOperators, StatusTellsWhatIsInForceAndWhyAFileWasTurnedDown) {
  ASSERT_TRUE(node.Start());
  const Json before = ControlStandIn(node).Ask({{"op", "status"}}).at("configuration");
  EXPECT_EQ(before.at("last_refusal"), "");
  Json file = node.config;
  file["settings"].erase("zones");
  Send(file, node.toml);
  const Json after = ControlStandIn(node).Ask({{"op", "status"}}).at("configuration");
  EXPECT_EQ(after.at("refused"), 1);
  EXPECT_EQ(after.at("taken"), 0);
  EXPECT_EQ(after.at("platform_document"), before.at("platform_document"));
  EXPECT_NE(after.at("last_refusal").get<std::string>().find("settings.zones: is missing"),
            std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing
