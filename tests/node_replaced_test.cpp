// A process that replaces another while that one still serves: what the old one was told, or holds, binds
// both.
#include <gtest/gtest.h>

#include "told_wait.h"

namespace indigosaddle::testing {
namespace {

// Both processes are one node to the rules, for as long as the old one serves.
class Replaced : public ToldWait {
 protected:
  Replaced() : successor(platform.address()) {}
  // On an address of its own, so that a test says whom it asks.
  void StartSuccessor() {
    successor.config = node.config;
    successor.shared_state = node.folder + "/state";
    ASSERT_TRUE(successor.Start());
  }
  std::string AtSuccessor(const std::string& command) { return ClientStandIn(successor.port).Ask(command); }
  NodeProcess successor;
};

// Guards against a call by the new process during a wait that the old one was told.
TEST_F(Replaced, AWaitThatTheOldOneWasToldBindsTheNewOne) {
  wait_ = milliseconds(4000);
  StartAndBeToldToWait();
  StartSuccessor();
  ASSERT_EQ(AtSuccessor(ClientStandIn::Enqueue("new", "c=safe,d=60000,dest=7")), "+OK");
  std::this_thread::sleep_for(wait_ - milliseconds(500));
  ExpectNoneDuring(wait_);
  EXPECT_TRUE(Eventually([&] { return CallsSince().size() >= 2; }));
}

// Guards against a key's later message beside its first, which the old process has out.
TEST_F(Replaced, AKeysFirstMessageAtTheOldOneHoldsItsLaterOneAtTheNew) {
  EndpointStandIn slow([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  EndpointStandIn quick;
  platform.Set(PlatformStandIn::Member("s-8", slow.address(), 8));
  platform.Set(PlatformStandIn::Member("s-9", quick.address(), 9));
  for (auto& ordered_class : node.config["settings"]["classes"]) {
    ordered_class["sequential"] = true;
    ordered_class["aim"] = 10000.0;  // its call stays out meanwhile
  }
  ASSERT_TRUE(node.Start());
  const auto ordered = [](const std::string& id, const std::string& destination) {
    return ClientStandIn::Command(
        {"ENQUEUE", "00aa", id, "c=keyed,k=" + id + ",d=60000,dest=" + destination, "body"});
  };
  ASSERT_TRUE(Eventually([&] { return ClientStandIn(node.port).Ask(ordered("first", "8")) == "+OK"; }));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("first") == 1; }));
  StartSuccessor();
  ASSERT_EQ(AtSuccessor(ordered("second", "9")), "+OK");
  std::this_thread::sleep_for(milliseconds(2500));
  EXPECT_EQ(slow.CallsFor("first"), 1);
  EXPECT_EQ(quick.CallsFor("second"), 0) << "beside the one before it, which is out";
}

}  // namespace
}  // namespace indigosaddle::testing
