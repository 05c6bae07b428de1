// Told waits at the built node: while one lasts, no call goes to its destination, whatever the message, the
// endpoint and the settings.
#include <gtest/gtest.h>

#include <csignal>

#include "told_wait.h"

namespace indigosaddle::testing {
namespace {

// Guards against a call during a wait, by another message or at the destination's other endpoint.
TEST_F(ToldWait, NoCallToTheDestinationUntilItIsOver) {
  StartAndBeToldToWait();
  FeedFor(kWait);
  EXPECT_TRUE(AllServed());
  ExpectNoneDuring(kWait);
  EXPECT_TRUE(platform.notices().empty());
}

// Guards against a wait that is forgotten with new settings.
TEST_F(ToldWait, NewSettingsDoNotEndIt) {
  StartAndBeToldToWait();
  for (int i = 0; i < 3; ++i) {
    node.config["settings"]["caps"]["attemptsCap"] = 8 + i;
    node.config["settings"]["classes"][1]["keyTtl"] = 50000.0 + i;
    node.WriteConfig(node.config.dump());
    node.Signal(SIGHUP);
    FeedFor(milliseconds(400));
  }
  EXPECT_TRUE(AllServed());
  ExpectNoneDuring(kWait);
}

// Guards against a wait that is forgotten with the endpoint that told it.
TEST_F(ToldWait, ChangesOfTheListDoNotEndIt) {
  StartAndBeToldToWait();
  for (const char* health : {"Gone", "Ready"}) {
    for (auto* endpoint : {&one, &two})
      platform.Set(PlatformStandIn::Member(endpoint == &one ? "s-1" : "s-2", endpoint->address(), 7, health));
    FeedFor(milliseconds(400));
  }
  platform.Set(PlatformStandIn::Member("s-3", two.address(), 7));
  FeedFor(milliseconds(400));
  EXPECT_TRUE(AllServed());
  ExpectNoneDuring(kWait);
}

}  // namespace
}  // namespace indigosaddle::testing
