// A hand-over that does not go as planned: a successor ends before it has taken over, and another process
// follows it.
#include <gtest/gtest.h>

#include <csignal>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class HandOver : public NodeTest, public ::testing::WithParamInterface<int> {
 protected:
  HandOver() : successor(platform.address()), third(platform.address()) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  }
  void StartBeside(NodeProcess& process) {
    process.config = node.config;
    process.shared_state = node.folder + "/state";
    ASSERT_TRUE(process.Start());
    ASSERT_NE(process.log().find("journal.shared"), std::string::npos);
  }
  // The successor accepts a message, makes no call, and ends by the signal.
  void AcceptAndEndSuccessor(const std::string& id) {
    StartBeside(successor);
    ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue(id, "c=unsafe,d=60000,dest=7")),
              "+OK");
    successor.Kill(GetParam());
    EXPECT_EQ(endpoint.CallsFor(id), 0);
  }

  EndpointStandIn endpoint;
  NodeProcess successor, third;
};

// Guards against the loss of messages that a successor accepted, where the next successor overwrites its
// journal.
TEST_P(HandOver, MessagesOfAnEndedSuccessorPassToTheNextSuccessor) {
  ASSERT_TRUE(node.Start());
  AcceptAndEndSuccessor("left");
  StartBeside(third);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
  ASSERT_EQ(ClientStandIn(third.port).Ask(ClientStandIn::Enqueue("new", "c=unsafe,d=60000,dest=7")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("new") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("left"), 1);
  EXPECT_TRUE(platform.notices().empty());
}

// The same without another successor: the next start of the old process resumes the message.
TEST_P(HandOver, MessagesOfAnEndedSuccessorPassToTheNextStart) {
  ASSERT_TRUE(node.Start());
  AcceptAndEndSuccessor("left");
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
}

INSTANTIATE_TEST_SUITE_P(By, HandOver, ::testing::Values(SIGTERM, SIGKILL), [](const auto& parameter) {
  return parameter.param == SIGTERM ? "SIGTERM" : "SIGKILL";
});

}  // namespace
}  // namespace indigosaddle::testing
