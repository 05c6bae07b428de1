// An endpoint whose destination in the endpoint list changes, at the built node.
#include <gtest/gtest.h>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;

class DestinationChange : public NodeTest {};

// Guards against a message that reaches an endpoint which is listed for another destination by then, which
// makes a whole run invalid.
TEST_F(DestinationChange, EndpointListedForAnotherDestinationGetsNoMessageOfTheOldOne) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("before") == 1; }));
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 8));
  ASSERT_TRUE(EnqueueOnceListed("moved", "c=safe,d=60000,dest=8"));
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("moved") == 1; }));
  Enqueue("after", "c=unsafe,d=400,dest=7");
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(endpoint.CallsFor("after"), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
