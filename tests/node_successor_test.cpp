// A successor that starts while its predecessor still serves: to rules and limits both are one node.
#include <gtest/gtest.h>

#include <csignal>

#include "retry_after.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

// The rules treat both processes as one node for as long as the predecessor serves.
class SuccessorBesidePredecessor : public RetryAfterTest {
 protected:
  SuccessorBesidePredecessor() : successor(platform.address()) {}
  void StartSuccessor() {
    ConfigureAsSuccessor(successor, node);
    ASSERT_TRUE(successor.Start());
  }
  NodeProcess successor;
};

// Guards against a call by the successor before the Retry-After that its predecessor received has passed.
TEST_F(SuccessorBesidePredecessor, ARetryAfterOfThePredecessorAppliesToTheSuccessor) {
  retry_after_ = milliseconds(4000);
  StartAndReceiveRetryAfter();
  StartSuccessor();
  ASSERT_EQ(Enqueue("new", "c=safe,d=60000,dest=7"), "+OK");
  std::this_thread::sleep_for(retry_after_ - milliseconds(500));
  ExpectNoCallsDuring(retry_after_);
  node.Signal(SIGTERM);  // only then the successor may call
  EXPECT_TRUE(Eventually([&] { return CallsSinceRetryAfter().size() >= 2; }));
}

// Issue 68: what the predecessor was told does not reach its successor, which calls as soon as it has taken
// over.
TEST_F(SuccessorBesidePredecessor, ARetryAfterOfThePredecessorHoldsOverTheTakeOver) {
  retry_after_ = milliseconds(4000);
  StartAndReceiveRetryAfter();
  StartSuccessor();
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_EQ(Enqueue("new", "c=safe,d=60000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return CallsSinceRetryAfter().size() >= 2; }));
  ExpectNoCallsDuring(retry_after_);
}

// Guards against the call of an order key's later message while the first is in flight at the predecessor.
TEST_F(SuccessorBesidePredecessor, AKeysFirstMessageHoldsItsLaterOneThatComesBesideASuccessor) {
  EndpointStandIn slow([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  EndpointStandIn quick;
  platform.Set(PlatformStandIn::Member("s-8", slow.address(), 8));
  platform.Set(PlatformStandIn::Member("s-9", quick.address(), 9));
  for (auto& ordered_class : node.config["settings"]["classes"]) {
    ordered_class["sequential"] = true;
    ordered_class["aim"] = 10000.0;  // its call stays in flight meanwhile
  }
  ASSERT_TRUE(node.Start());
  const auto ordered = [](const std::string& id, const std::string& destination) {
    return ClientStandIn::Command(
        {"ENQUEUE", "00aa", id, "c=keyed,k=" + id + ",d=60000,dest=" + destination, "body"});
  };
  ASSERT_TRUE(Eventually([&] { return ClientStandIn(node.port).Ask(ordered("first", "8")) == "+OK"; }));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("first") == 1; }));
  StartSuccessor();
  ASSERT_EQ(ClientStandIn(node.port).Ask(ordered("second", "9")), "+OK");
  std::this_thread::sleep_for(milliseconds(2500));
  EXPECT_EQ(slow.CallsFor("first"), 1);
  EXPECT_EQ(quick.CallsFor("second"), 0) << "called while the message before it is in flight";
}

}  // namespace
}  // namespace indigosaddle::testing
