// Other ways by which a message could get rules other than those it was created under: classes that are
// dropped and added again, several changes at once, files that can't be used, a successor, a notice that is
// pending.
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "rule_changes.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;

class RulePaths : public RuleChanges {
 protected:
  std::string ConfigPath() const { return node.folder + "/config.json"; }
  // Starts a process that finds this text instead of the file that NodeProcess would write.
  bool StartWith(const std::string& text) {
    node.raw_config = text;
    return node.Start();
  }
};

TEST_F(RulePaths, ThreeChangesWithinASecondLeaveTheStrictestOfAll) {
  SetEffect("read_like");
  StartNode();
  for (const char* effect : {"idempotency_key", "non_idempotent", "read_like"}) {
    SetEffect(effect);
    Reload();
  }
  ASSERT_EQ(EnqueueInClass("soon", 8000, ",k=a"), "+OK");
  ExpectOneCallAndFailure("soon");
}

TEST_F(RulePaths, AClassDroppedAndAddedAgainWithAnotherEffectIsNoNewClass) {
  StartNode();
  const Json dropped = Class();
  node.config["settings"]["classes"].erase(node.config["settings"]["classes"].size() - 1);
  Reload();
  EXPECT_TRUE(EnqueueInClass("unknown").starts_with("-ERR"));
  node.config["settings"]["classes"].push_back(dropped);
  SetEffect("read_like");
  Reload();
  ASSERT_EQ(EnqueueInClass("soon"), "+OK");
  ExpectOneCallAndFailure("soon");
}

TEST_F(RulePaths, AMessageWhoseClassIsDroppedIsDeliveredAfterARestart) {
  EndpointStandIn later;
  platform.Set(PlatformStandIn::Member("s-2", later.address(), 8, "Terminating"));
  StartNode();
  ASSERT_EQ(Enqueue("held", std::string("c=") + kClass + ",d=60000,dest=8"), "+OK");
  node.config["settings"]["classes"].erase(node.config["settings"]["classes"].size() - 1);
  Reload();
  node.Kill(SIGKILL);
  ASSERT_TRUE(node.Start());
  EXPECT_NE(node.log().find("message.resumed id=held"), std::string::npos);
  platform.Set(PlatformStandIn::Member("s-2", later.address(), 8));
  EXPECT_TRUE(Eventually([&] { return later.CallsFor("held") == 1; }));
  EXPECT_FALSE(platform.notices().contains("held"));
}

TEST_F(RulePaths, ACommandWhoseFirstBytesPrecedeATighteningFollowsTheNewRules) {
  SetEffect("read_like");
  StartNode();
  const std::string command =
      ClientStandIn::Enqueue("crossing", std::string("c=") + kClass + ",d=8000,dest=7");
  ClientStandIn client(node.port);
  ASSERT_TRUE(client.Write(command.substr(0, 30)));
  std::this_thread::sleep_for(milliseconds(100));
  SetEffect("non_idempotent");
  Reload();
  ASSERT_EQ(client.Ask(command.substr(30)), "+OK");
  ExpectOneCallAndFailure("crossing");
}

TEST_F(RulePaths, AResultWhoseNoticeIsPendingStaysAsItWasDecided) {
  StartNode();
  platform.SetNoticeStatus(503);
  ASSERT_EQ(EnqueueInClass("ended"), "+OK");
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() >= 1; }));
  SetEffect("read_like");
  Reload();
  node.Kill(SIGKILL);
  ASSERT_TRUE(node.Start());
  platform.SetNoticeStatus(204);
  ExpectOneCallAndFailure("ended");
}

// The record of prior rules in the folder is unreadable: messages that may be older get the strictest rules.
TEST_F(RulePaths, DamagedPriorRulesMeanTheStrictestForAWhile) {
  SetEffect("read_like");
  StartNode();
  node.Kill(SIGKILL);
  std::ofstream(node.folder + "/state/rules") << "rules 1\n0 2 ";
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(CountLines("class.rules_unknown"), 1U);
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("soon") == "+OK"; }));
  ExpectOneCallAndFailure("soon");
  std::this_thread::sleep_for(milliseconds(3200));
  ASSERT_EQ(EnqueueInClass("new"), "+OK");
  ExpectRepeated("new");
}

// The rules treat both processes as one node. The successor has another file and takes over the messages of
// its predecessor.
TEST_F(RulePaths, ASuccessorWithOtherSettingsKeepsTheRulesOfInheritedAndNewMessages) {
  EndpointStandIn slow([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-2", slow.address(), 8));
  StartNode();
  ASSERT_TRUE(EnqueueOnceListed("out", std::string("c=") + kClass + ",d=8000,dest=8"));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("out") == 1; }));
  NodeProcess successor(platform.address());
  ConfigureAsSuccessor(successor, node);
  successor.config["settings"]["classes"].back()["effect"] = "read_like";
  ASSERT_TRUE(successor.Start());
  const auto enqueue = [&](const std::string& id) {
    return ClientStandIn(successor.port)
        .Ask(ClientStandIn::Enqueue(id, std::string("c=") + kClass + ",d=8000,dest=7"));
  };
  node.Kill(SIGKILL);
  ASSERT_TRUE(Eventually([&] { return enqueue("soon") == "+OK"; }));
  ExpectOneCallAndFailure("soon");
  EXPECT_TRUE(Eventually([&] { return platform.notices().contains("out"); }));
  EXPECT_TRUE(HasNotice("out", "failed"));
  EXPECT_EQ(slow.CallsFor("out"), 1);
  successor.Kill(SIGKILL);
}

class UnusableFile : public RulePaths, public ::testing::WithParamInterface<std::string> {};

// A start that finds an unusable file serves by the last known good one, as a running process does.
TEST_P(UnusableFile, AStartUsesTheLastKnownGoodOne) {
  StartNode();
  ASSERT_EQ(EnqueueInClass("before"), "+OK");
  ExpectOneCallAndFailure("before");
  std::string text = node.config.dump();
  if (GetParam() == "Empty") text = "";
  if (GetParam() == "HalfWritten") text = text.substr(0, text.size() / 2);
  if (GetParam() == "NoAttempts") text.replace(text.find("\"attemptsCap\":12"), 16, "\"attemptsCap\":0");
  node.Kill(SIGKILL);
  ASSERT_TRUE(StartWith(text));
  EXPECT_EQ(CountLines("config.unusable"), 1U);
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("after") == "+OK"; }));
  ExpectOneCallAndFailure("after");
}
INSTANTIATE_TEST_SUITE_P(Files, UnusableFile, ::testing::Values("Empty", "HalfWritten", "NoAttempts"),
                         [](const auto& param_info) { return param_info.param; });

}  // namespace
}  // namespace indigosaddle::testing
