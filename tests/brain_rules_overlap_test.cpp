// Rules where two things that bind overlap: waits of different length, a key that two classes share.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kBegin = seconds(100);

Settings TwoOrderedClasses() {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  s.classes.push_back(s.classes[0]);
  s.classes[1].effect = Effect::kSafe;
  return s;
}

// Guards against a call during a wait, since a shorter one was told behind it.
TEST(OverlappingWaits, AShorterOneToldLaterDoesNotEndALongerOne) {
  for (const bool longer_first : {true, false}) {
    TestNode node(BaseSettings());
    node.Turn(kBegin, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(7, "b")});
      for (MessageId id = 1; id <= 2; ++id) node.Enqueue(id, 7);
    });
    ASSERT_EQ(node.sends.size(), 2U);
    const Micros told = kBegin + milliseconds(50);
    const milliseconds first(longer_first ? 3000 : 200), second(longer_first ? 200 : 3000);
    node.Turn(told, [&] { node.ReportOutcome(1, Reply{Result::kFull, Micros(0), first}, false); });
    node.Turn(told + milliseconds(10), [&] {
      node.ReportOutcome(2, Reply{Result::kFull, Micros(0), second}, false);
    });
    node.Run(
        told + milliseconds(20), told + seconds(3), [](const SendRecord&) { return Reply{}; },
        [&](Micros now) {
          if ((now - told) % milliseconds(200) == Micros(0))
            node.Enqueue(static_cast<MessageId>(now.count()), 7);
        });
    EXPECT_EQ(node.CountSends(told, told + seconds(3)), 0) << longer_first;
    node.Run(told + seconds(3), told + seconds(12), [](const SendRecord&) { return Reply{}; });
    EXPECT_GT(node.CountSends(told + seconds(3), told + seconds(12)), 2) << longer_first;
  }
}

// Guards against two messages of one key side by side, since their classes differ.
TEST(SharedKeys, AllOrderedClassesShareTheirKeys) {
  TestNode node(TwoOrderedClasses());
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(20), "k", 0);
    node.Enqueue(2, 8, seconds(20), "k", 1);
    node.Enqueue(3, 8, seconds(20), "k", 0);
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_EQ(node.CountSends(MessageId{2}) + node.CountSends(MessageId{3}), 0);
  node.Turn(kBegin + milliseconds(100), [&] { node.ReportOutcome(1, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  node.Turn(kBegin + milliseconds(200), [&] { node.ReportOutcome(2, Result::kTimeout); });  // may still run
  node.Turn(kBegin + milliseconds(250));
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
}

// Guards against a message that overtakes others of its key, since it was taken before and handed back.
TEST(SharedKeys, AMessageHandedInAgainTakesTheLastPlace) {
  TestNode node(TwoOrderedClasses());
  node.Turn(kBegin, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, milliseconds(300), "k");  // nowhere to go: handed back at its time
    node.Enqueue(2, 7, seconds(20), "k");
    node.Enqueue(3, 8, seconds(20), "k");
  });
  node.Turn(kBegin + milliseconds(295));
  ASSERT_TRUE(node.Refused(1));
  node.Turn(kBegin + milliseconds(310), [&] { node.Enqueue(4, 8, seconds(20), "k"); });  // the same once more
  node.Turn(kBegin + milliseconds(400));
  EXPECT_TRUE(node.sends.empty());
  node.Turn(kBegin + milliseconds(500), [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}, false); });
  ASSERT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kBegin + milliseconds(600), [&] { node.ReportOutcome(2, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  EXPECT_EQ(node.CountSends(MessageId{4}), 0);
  node.Turn(kBegin + milliseconds(700), [&] { node.ReportOutcome(3, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{4}), 1);
}

}  // namespace
}  // namespace indigosaddle::testing
