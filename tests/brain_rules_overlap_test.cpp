// Overlapping restrictions: two Retry-After of different length, and an order key that two classes share.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

Settings TwoOrderedClasses() {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  s.classes.push_back(s.classes[0]);
  s.classes[1].effect = Effect::kSafe;
  return s;
}

// Guards against a call during a Retry-After that a later, shorter one has overwritten.
TEST(OverlappingRetryAfter, ShorterOneReceivedLaterDoesNotEndALongerOne) {
  for (const bool longer_first : {true, false}) {
    TestNode node(BaseSettings());
    node.Turn(kStart, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(7, "b")});
      for (MessageId id = 1; id <= 2; ++id) node.Enqueue(id, 7);
    });
    ASSERT_EQ(node.sends.size(), 2U);
    const Micros refused_at = kStart + milliseconds(50);
    const milliseconds first(longer_first ? 3000 : 200);
    const milliseconds second(longer_first ? 200 : 3000);
    node.Turn(refused_at, [&] { node.ReportOutcome(1, Reply{Result::kRefused, Micros(0), first}, false); });
    node.Turn(refused_at + milliseconds(10), [&] {
      node.ReportOutcome(2, Reply{Result::kRefused, Micros(0), second}, false);
    });
    node.Run(
        refused_at + milliseconds(20), refused_at + seconds(3), [](const SendRecord&) { return Reply{}; },
        [&](Micros now) {
          if ((now - refused_at) % milliseconds(200) == Micros(0))
            node.Enqueue(static_cast<MessageId>(now.count()), 7);
        });
    EXPECT_EQ(node.CountSends(refused_at, refused_at + seconds(3)), 0) << longer_first;
    node.Run(refused_at + seconds(3), refused_at + seconds(12), [](const SendRecord&) { return Reply{}; });
    EXPECT_GT(node.CountSends(refused_at + seconds(3), refused_at + seconds(12)), 2) << longer_first;
  }
}

// Guards against two messages of one order key in flight at once because their classes differ.
TEST(SharedKeys, AllOrderedClassesShareTheirKeys) {
  TestNode node(TwoOrderedClasses());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(20), "k", 0);
    node.Enqueue(2, 8, seconds(20), "k", 1);
    node.Enqueue(3, 8, seconds(20), "k", 0);
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_EQ(node.CountSends(MessageId{2}) + node.CountSends(MessageId{3}), 0);
  node.Turn(kStart + milliseconds(100), [&] { node.ReportOutcome(1, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  node.Turn(kStart + milliseconds(200), [&] { node.ReportOutcome(2, Result::kTimeout); });  // may still run
  node.Turn(kStart + milliseconds(250));
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
}

// Guards against a message that overtakes others of its key because it keeps the place that it had before it
// was rejected.
TEST(SharedKeys, MessageHandedInAgainTakesTheLastPlace) {
  TestNode node(TwoOrderedClasses());
  node.Turn(kStart, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, milliseconds(300), "k");  // its endpoint is draining: rejected at its deadline
    node.Enqueue(2, 7, seconds(20), "k");
    node.Enqueue(3, 8, seconds(20), "k");
  });
  node.Turn(kStart + milliseconds(295));
  ASSERT_TRUE(node.Refused(1));
  node.Turn(kStart + milliseconds(310),
            [&] { node.Enqueue(4, 8, seconds(20), "k"); });  // the same message, handed in again
  node.Turn(kStart + milliseconds(400));
  EXPECT_TRUE(node.sends.empty());
  node.Turn(kStart + milliseconds(500), [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}, false); });
  ASSERT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kStart + milliseconds(600), [&] { node.ReportOutcome(2, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  EXPECT_EQ(node.CountSends(MessageId{4}), 0);
  node.Turn(kStart + milliseconds(700), [&] { node.ReportOutcome(3, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{4}), 1);
}

}  // namespace
}  // namespace indigosaddle::testing
