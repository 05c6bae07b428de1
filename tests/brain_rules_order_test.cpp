// Rules 5 and 6 at the module alone: order, and waits that were told.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

// ---- Rule 1: one final answer, in time, and nothing sent after
// ----------------------------------------------

Settings Ordered() {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  return s;
}

TEST(Order, OneAtATimeAsTakenOtherKeysFree) {
  TestNode node(Ordered());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a"), TestNode::At(8, "b")});
    node.Take(1, 7, seconds(20), "k");
    node.Take(2, 8, seconds(20), "k");  // the key binds across destinations
    node.Take(3, 8, seconds(20), "other");
    node.Take(4, 8, seconds(20), "");
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  EXPECT_EQ(node.CountSends(MessageId{4}), 1);
  node.Turn(kStart + milliseconds(100), [&] { node.Settle(1, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

class RestTest : public ::testing::TestWithParam<Result> {};

TEST_P(RestTest, KeyRestsAfterAnAttemptThatMayStillRun) {
  Settings s = Ordered();
  s.classes[0].effect = Effect::kUnsafe;  // ends at once after the outcome
  TestNode node(s);
  const Micros over = kStart + milliseconds(200);
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a"), TestNode::At(8, "b")});
    node.Take(1, 7, seconds(20), "k");
    node.Take(2, 8, seconds(20), "k");
  });
  node.Turn(over, [&] { node.Settle(1, GetParam()); });
  node.Turn(over + milliseconds(10));
  ASSERT_TRUE(node.Failed(1));
  node.Turn(over + milliseconds(99));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  node.Turn(over + milliseconds(130));
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

INSTANTIATE_TEST_SUITE_P(MayStillRun, RestTest,
                         ::testing::Values(Result::kTimeout, Result::kReset, Result::kCancelled));

TEST(Order, AttemptOfAnEndedMessageHoldsTheKeyUntilItsOutcome) {
  TestNode node(Ordered());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a"), TestNode::At(8, "b")});
    node.Take(1, 7, seconds(1), "k");
    node.Take(2, 8, seconds(20), "k");
  });
  node.Turn(kStart + seconds(1) + milliseconds(5));
  ASSERT_TRUE(node.Failed(1));
  node.Turn(kStart + seconds(3));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);  // the attempt has no outcome yet
  node.Turn(kStart + seconds(4), [&] { node.Settle(1, Result::kTimeout); });
  node.Turn(kStart + seconds(4) + milliseconds(90));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  node.Turn(kStart + seconds(4) + milliseconds(120));
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

TEST(Order, RefusalOutOfTurnLetsTheRestProceed) {
  TestNode node(Ordered());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a", 0, 0, EndpointState::kDraining), TestNode::At(8, "b")});
    node.Take(1, 7, seconds(1), "k");  // no endpoint that is ready: waits
    node.Take(2, 8, milliseconds(500), "k");
    node.Take(3, 8, seconds(20), "k");
  });
  node.Turn(kStart + milliseconds(495));
  EXPECT_TRUE(node.Refused(2));  // out of turn
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  node.Turn(kStart + milliseconds(995));
  EXPECT_TRUE(node.Refused(1));
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
}

// ---- Rule 6: told waits
// -------------------------------------------------------------------------------------

TEST(Wait, BindsTheWholeDestinationWhereEndpointsShare) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a"), TestNode::At(7, "b"), TestNode::At(8, "c")});
    node.Take(1, 7);
  });
  const Micros told = kStart + milliseconds(50);
  node.Turn(told, [&] { node.Settle(1, Reply{Result::kRefused, Micros(0), milliseconds(1500)}, false); });
  node.Run(
      told + milliseconds(10), told + milliseconds(1500), [](const Sent&) { return Reply{}; },
      [&](Micros now) {
        if (now == told + milliseconds(110)) node.Take(2, 7);
        if (now == told + milliseconds(210)) node.Take(3, 8);
      });
  EXPECT_EQ(node.CountSends(told, told + milliseconds(1500), "a"), 0);
  EXPECT_EQ(node.CountSends(told, told + milliseconds(1500), "b"), 0);
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  node.Run(told + milliseconds(1500), told + seconds(8), [](const Sent&) { return Reply{}; });
  EXPECT_EQ(node.CountSends(MessageId{1}), 2);
}

TEST(Wait, BindsOneRouteWhereRoutesAreApart) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a", 0, 1), TestNode::At(7, "b", 0, 1)});
    node.Take(1, 7);
  });
  const EndpointId first = node.sends.at(0).endpoint;
  const Micros told = kStart + milliseconds(50);
  node.Turn(told, [&] { node.Settle(1, Reply{Result::kRefused, Micros(0), seconds(3)}, false); });
  ASSERT_EQ(node.sends.size(), 2U);  // at once by the other route
  EXPECT_NE(node.sends[1].endpoint, first);
  node.Run(
      told + milliseconds(10), told + seconds(3), [](const Sent&) { return Reply{}; },
      [&](Micros now) {
        if ((now - told) % milliseconds(300) == Micros(0)) {
          node.Take(static_cast<MessageId>(now.count()), 7);
        }
      });
  EXPECT_EQ(node.CountSends(told, told + seconds(3), first), 0);
}

TEST(Wait, OutlastingTheMessageIsAnsweredAtOnce) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.List({TestNode::At(7, "a")});
    node.Take(1, 7, seconds(5));
  });
  node.Turn(kStart + milliseconds(50), [&] {
    node.Settle(1, Reply{Result::kRefused, Micros(0), seconds(6)}, false);
  });
  EXPECT_TRUE(node.Refused(1));
}

// ---- Resumed after a restart, and a coming stop ---------------------------------------------------------

}  // namespace
}  // namespace indigosaddle::testing
