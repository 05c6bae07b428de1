// A hand-over that does not go as planned: a successor that ends before it has taken over, and others behind
// it.
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
  // The successor takes a message on, calls nobody, and ends by the signal.
  void TakeAndEnd(const std::string& id) {
    StartBeside(successor);
    ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue(id, "c=unsafe,d=60000,dest=7")),
              "+OK");
    successor.Kill(GetParam());
    EXPECT_EQ(endpoint.CallsFor(id), 0);
  }

  EndpointStandIn endpoint;
  NodeProcess successor, third;
};

// Guards against messages that a successor took on and that the next successor's journal is written over.
TEST_P(HandOver, WhatASuccessorTookOnBeforeItsEndIsItsOwnSuccessors) {
  ASSERT_TRUE(node.Start());
  TakeAndEnd("left");
  StartBeside(third);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
  ASSERT_EQ(ClientStandIn(third.port).Ask(ClientStandIn::Enqueue("new", "c=unsafe,d=60000,dest=7")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("new") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("left"), 1);
  EXPECT_TRUE(platform.notices().empty());
}

// The same where no other comes: the old process's next start has it.
TEST_P(HandOver, WhatASuccessorTookOnBeforeItsEndIsTheNextStarts) {
  ASSERT_TRUE(node.Start());
  TakeAndEnd("left");
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
}

INSTANTIATE_TEST_SUITE_P(By, HandOver, ::testing::Values(SIGTERM, SIGKILL),
                         [](const auto& given) { return given.param == SIGTERM ? "SIGTERM" : "SIGKILL"; });

}  // namespace
}  // namespace indigosaddle::testing
