// A class is loosened while its messages are enqueued. Guards against the repetition of messages that may not
// be repeated by the rules under which their clients wrote them.
//
// In pre-production, with a new file and SIGHUP three times a minute, requests that may have run were sent
// again, and some were returned to their clients. A class changed from "may not be repeated" to "may", and
// calls ended with an unknown result. Clients learn of the change about a second after the node, so messages
// enqueued meanwhile, enqueued again later, or enqueued before a kill were written under the old rules. The
// node looked the rules up by the name of the class in the settings in force when the message came or was
// read from the journal. With an endpoint that breaks each call after its last byte, a message enqueued
// before the change had one call and failed; one enqueued 0.4 s after the change had eight calls and was
// returned.
#include <gtest/gtest.h>

#include <thread>

#include "rule_changes.h"

namespace indigosaddle::testing {
namespace {

TEST_F(RuleChanges, AMessageAcceptedBeforeKeepsItsRules) {
  StartNode();
  break_after_ms_ = 500;
  ASSERT_EQ(EnqueueInClass("before"), "+OK");
  SetEffect("read_like");
  Reload();
  EXPECT_FALSE(platform.notices().contains("before"));  // its call is in flight
  ExpectOneCallAndFailure("before");
}

TEST_F(RuleChanges, AMessageEnqueuedShortlyAfterALooseningMayBeOfTheOldRules) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(400));
  ASSERT_EQ(EnqueueInClass("soon"), "+OK");
  ExpectOneCallAndFailure("soon");
}

TEST_F(RuleChanges, AMessageEnqueuedAgainMayHaveBeenCreatedBefore) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(EnqueueInClass("again", 2000, ",r=1"), "+OK");
  ASSERT_EQ(EnqueueInClass("old", 2000), "+OK");  // its remaining time shows that too
  ExpectOneCallAndFailure("again");
  ExpectOneCallAndFailure("old");
}

// The same for a message that its client had sent to a node that died or did not answer.
TEST_F(RuleChanges, AMessageFromANodeThatDiedMayHaveBeenCreatedBefore) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(EnqueueInClass("again", 7900, ",again=1"), "+OK");
  ExpectOneCallAndFailure("again");
}

TEST_F(RuleChanges, AKillAndAStartWithTheNewFileChangeNothingForAcceptedMessages) {
  StartNode();
  EndpointStandIn slow([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-2", slow.address(), 8));
  ASSERT_TRUE(EnqueueOnceListed("out", std::string("c=") + kClass + ",d=8000,dest=8"));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("out") == 1; }));
  node.Kill(SIGKILL);
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return platform.notices().contains("out"); }));
  EXPECT_TRUE(HasNotice("out", "failed"));
  EXPECT_EQ(slow.CallsFor("out"), 1);
}

// The file was replaced while the node was down, so messages right after the start may be of the old rules
// too.
TEST_F(RuleChanges, AMessageEnqueuedAfterAStartWithANewFileMayBeOfTheOldRules) {
  StartNode();
  node.Kill(SIGKILL);
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return EnqueueInClass("soon") == "+OK"; }));
  ExpectOneCallAndFailure("soon");
}

// No class stays strict for ever.
TEST_F(RuleChanges, AMessageSurelyCreatedAfterTheChangeFollowsTheNewRules) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(EnqueueInClass("new"), "+OK");
  ExpectRepeated("new");
}

TEST_F(RuleChanges, ATighteningAppliesAtOnce) {
  SetEffect("read_like");
  StartNode();
  SetEffect("non_idempotent");
  Reload();
  ASSERT_EQ(EnqueueInClass("strict"), "+OK");
  ExpectOneCallAndFailure("strict");
}

}  // namespace
}  // namespace indigosaddle::testing
