// A hand-over that does not go as planned: a successor ends before it has taken over, another process follows
// it, or the predecessor is stopped late.
#include <gtest/gtest.h>

#include <csignal>

#include "stand_ins.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

class HandOver : public NodeTest, public ::testing::WithParamInterface<int> {
 protected:
  HandOver() : successor(platform.address()), third(platform.address()) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  }
  // The process listens on the node's address, as the platform starts it.
  void StartBeside(NodeProcess& process) {
    ConfigureAsSuccessor(process, node);
    ASSERT_TRUE(process.Start());
    ASSERT_NE(process.log().find("journal.shared"), std::string::npos);
  }
  // A successor of an earlier version accepted the message into its own journal and ended. Another one
  // starts, waits beside the node and ends by the signal.
  void LeaveMessageOfAnEndedSuccessor(const std::string& id) {
    NodeProcess earlier(platform.address());
    PlatformStandIn without_endpoints;
    earlier.config["discovery"] = without_endpoints.address();
    ASSERT_TRUE(earlier.Start());
    ASSERT_EQ(ClientStandIn(earlier.port).Ask(ClientStandIn::Enqueue(id, "c=unsafe,d=60000,dest=7")), "+OK");
    earlier.Kill(SIGKILL);
    std::filesystem::copy(earlier.folder + "/state/journal", node.folder + "/state/journal.next");
    StartBeside(successor);
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
  LeaveMessageOfAnEndedSuccessor("left");
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
  LeaveMessageOfAnEndedSuccessor("left");
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
}

// Issue 62, review/2: messages that came while a successor waited had no end where the successor was killed.
TEST_P(HandOver, MessagesThatComeBesideASuccessorThatEndsAreDelivered) {
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=unsafe,d=60000,dest=7"));
  StartBeside(successor);
  constexpr int kMessages = 20;
  const auto id = [](int i) { return "beside" + std::to_string(i); };
  for (int i = 0; i < kMessages; ++i) ASSERT_EQ(Enqueue(id(i), "c=unsafe,d=60000,dest=7"), "+OK");
  successor.Kill(GetParam());
  for (int i = 0; i < kMessages; ++i)
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id(i)) == 1; })) << i;
  EXPECT_TRUE(platform.notices().empty());
}

class LateStop : public HandOver {};

// Issue 62, picture (c): a successor whose predecessor was not stopped in time began to deliver, and with
// that repeated messages that the predecessor had delivered.
TEST_P(LateStop, ASuccessorBeginsNoCallWhileItsPredecessorServes) {
  ASSERT_TRUE(node.Start());
  StartBeside(successor);
  const std::string command = ClientStandIn::Enqueue("both", "c=unsafe,d=60000,dest=7");
  ASSERT_EQ(ClientStandIn(node.port).Ask(command), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("both") == 1; }));
  ASSERT_EQ(ClientStandIn(node.port).Ask(command), "+OK");
  std::this_thread::sleep_for(std::chrono::milliseconds(10500));
  EXPECT_EQ(endpoint.CallsFor("both"), 1);
  EXPECT_NE(successor.log().find("journal.standby"), std::string::npos);
  for (int i = 0; i < 20; ++i)  // the predecessor accepts and delivers them all
    EXPECT_EQ(Enqueue("late" + std::to_string(i), "c=unsafe,d=60000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("late19") == 1; }));
  EXPECT_EQ(successor.log().find("call."), std::string::npos);
  node.Kill(GetParam());
  ASSERT_EQ(ClientStandIn(successor.port).Ask(command), "+OK");  // it knows that the message is over
  EXPECT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue("after", "c=unsafe,d=60000,dest=7")),
            "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("after") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("both"), 1);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(endpoint.CallsFor("late" + std::to_string(i)), 1) << i;
}

using SecondReplacement = HandOver;

// Issue 62, review/3: the successor of a successor that had accepted nothing numbered its messages like that
// one. At the take-over the two mixed up their messages, which got no end, and no call was made any more.
TEST_P(SecondReplacement, InAQuietHourMixesUpNoMessages) {
  // Sends calls back with a Retry-After, so that the third's messages wait until the successor has ended.
  std::atomic<bool> serves{false};
  std::mutex mutex;
  std::map<std::string, int> served;
  EndpointStandIn other([&](Socket& socket, const HttpRequest& request, int) {
    if (!serves) return socket.Write(Answer(429, "X-Retry-In-Ms: 2000\r\n"));
    const std::lock_guard lock(mutex);
    ++served[request.headers.at("x-trace-id")];
    return socket.Write(Answer(200));
  });
  const auto times_served = [&](const std::string& id) {
    const std::lock_guard lock(mutex);
    return served[id];
  };
  platform.Set(PlatformStandIn::Member("s-8", other.address(), 8));
  ASSERT_TRUE(node.Start());
  StartBeside(successor);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(Eventually([&] { return successor.log().find("journal.taken_over") != std::string::npos; }));
  StartBeside(third);
  constexpr int kMessages = 12;  // more than the call slots
  const auto id = [](const char* process, int i) { return process + std::to_string(i); };
  for (int i = 0; i < kMessages; ++i) {
    ASSERT_EQ(
        ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue(id("second", i), "c=safe,d=60000,dest=7")),
        "+OK");
    ASSERT_EQ(
        ClientStandIn(third.port).Ask(ClientStandIn::Enqueue(id("third", i), "c=unsafe,d=60000,dest=8")),
        "+OK");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // the Retry-After has been read
  successor.Kill(GetParam());
  serves = true;
  for (int i = 0; i < kMessages; ++i) {
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id("second", i)) >= 1; })) << i;
    EXPECT_TRUE(Eventually([&] { return times_served(id("third", i)) == 1; })) << i;
    EXPECT_EQ(other.CallsFor(id("second", i)) + endpoint.CallsFor(id("third", i)), 0) << i;
  }
  EXPECT_TRUE(platform.notices().empty());
}

std::string SignalName(const ::testing::TestParamInfo<int>& parameter) {
  return parameter.param == SIGTERM ? "SIGTERM" : "SIGKILL";
}
INSTANTIATE_TEST_SUITE_P(By, SecondReplacement, ::testing::Values(SIGTERM, SIGKILL), SignalName);
INSTANTIATE_TEST_SUITE_P(By, LateStop, ::testing::Values(SIGTERM, SIGKILL), SignalName);
INSTANTIATE_TEST_SUITE_P(By, HandOver, ::testing::Values(SIGTERM, SIGKILL), SignalName);

}  // namespace
}  // namespace indigosaddle::testing
