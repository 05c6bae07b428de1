// Retry-After at the built node: until it has passed, no call goes to the destination, for any message,
// endpoint or settings.
#include <gtest/gtest.h>

#include <csignal>

#include "retry_after.h"

namespace indigosaddle::testing {
namespace {

// Guards against a call during a Retry-After, for another message or to the destination's other endpoint.
TEST_F(RetryAfterTest, NoCallToTheDestinationUntilItIsOver) {
  StartAndReceiveRetryAfter();
  EnqueueFor(kRetryAfter);
  EXPECT_TRUE(AllAnswered());
  ExpectNoCallsDuring(kRetryAfter);
  EXPECT_TRUE(platform.notices().empty());
}

// Guards against a Retry-After that is forgotten with new settings.
TEST_F(RetryAfterTest, NewSettingsDoNotEndIt) {
  StartAndReceiveRetryAfter();
  for (int i = 0; i < 3; ++i) {
    node.config["settings"]["caps"]["attemptsCap"] = 8 + i;
    node.config["settings"]["classes"][1]["keyTtl"] = 50000.0 + i;
    node.WriteConfig(node.config.dump());
    node.Signal(SIGHUP);
    EnqueueFor(milliseconds(400));
  }
  EXPECT_TRUE(AllAnswered());
  ExpectNoCallsDuring(kRetryAfter);
}

// Guards against a Retry-After that is forgotten with the endpoint that sent it.
TEST_F(RetryAfterTest, ChangesOfTheListDoNotEndIt) {
  StartAndReceiveRetryAfter();
  for (const char* health : {"Gone", "Ready"}) {
    for (auto* endpoint : {&first_endpoint, &second_endpoint})
      platform.Set(PlatformStandIn::Member(endpoint == &first_endpoint ? "s-1" : "s-2", endpoint->address(),
                                           7, health));
    EnqueueFor(milliseconds(400));
  }
  platform.Set(PlatformStandIn::Member("s-3", second_endpoint.address(), 7));
  EnqueueFor(milliseconds(400));
  EXPECT_TRUE(AllAnswered());
  ExpectNoCallsDuring(kRetryAfter);
}

}  // namespace
}  // namespace indigosaddle::testing
