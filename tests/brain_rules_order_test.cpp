// Rule 5 (messages with one order key in turn) and rule 6 (Retry-After is heeded).
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

Settings OrderedSettings() {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  return s;
}

TEST(Order, OneMessageOfAKeyAtATimeInOrderOthersUnaffected) {
  TestNode node(OrderedSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(20), "k");
    node.Enqueue(2, 8, seconds(20), "k");  // its key also waits across destinations
    node.Enqueue(3, 8, seconds(20), "other");
    node.Enqueue(4, 8, seconds(20), "");
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  EXPECT_EQ(node.CountSends(MessageId{4}), 1);
  node.Turn(kStart + milliseconds(100), [&] { node.ReportOutcome(1, Result::kOk); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

// Parameter: a result after which the attempt may still run at the endpoint.
class OrderGap : public ::testing::TestWithParam<Result> {};

TEST_P(OrderGap, KeyWaitsAfterAnAttemptThatMayStillRun) {
  Settings s = OrderedSettings();
  s.classes[0].effect = Effect::kUnsafe;  // not repeated: failed right after the outcome
  TestNode node(s);
  const Micros outcome_at = kStart + milliseconds(200);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(20), "k");
    node.Enqueue(2, 8, seconds(20), "k");
  });
  node.Turn(outcome_at, [&] { node.ReportOutcome(1, GetParam()); });
  node.Turn(outcome_at + milliseconds(10));
  ASSERT_TRUE(node.Failed(1));
  node.Turn(outcome_at + milliseconds(99));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  node.Turn(outcome_at + milliseconds(130));
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

INSTANTIATE_TEST_SUITE_P(MayStillRun, OrderGap,
                         ::testing::Values(Result::kTimeout, Result::kReset, Result::kCancelled));

TEST(Order, AttemptInFlightOfAnEndedMessageHoldsTheKey) {
  TestNode node(OrderedSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(1), "k");
    node.Enqueue(2, 8, seconds(20), "k");
  });
  node.Turn(kStart + seconds(1) + milliseconds(5));
  ASSERT_TRUE(node.Failed(1));
  node.Turn(kStart + seconds(3));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);  // the attempt has no outcome yet
  node.Turn(kStart + seconds(4), [&] { node.ReportOutcome(1, Result::kTimeout); });
  node.Turn(kStart + seconds(4) + milliseconds(90));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);
  node.Turn(kStart + seconds(4) + milliseconds(120));
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
}

TEST(Order, MessageRejectedBeforeItsTurnDoesNotBlockTheKey) {
  TestNode node(OrderedSettings());
  node.Turn(kStart, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(1), "k");  // its only endpoint is draining: it waits
    node.Enqueue(2, 8, milliseconds(500), "k");
    node.Enqueue(3, 8, seconds(20), "k");
  });
  node.Turn(kStart + milliseconds(495));
  EXPECT_TRUE(node.Refused(2));  // before its turn
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  node.Turn(kStart + milliseconds(995));
  EXPECT_TRUE(node.Refused(1));
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
}

// ---- Rule 6: Retry-After is heeded ----

TEST(RetryAfter, AppliesToTheWholeDestinationWhereEndpointsShareALimiter) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(7, "b"), TestNode::MakeEndpoint(8, "c")});
    node.Enqueue(1, 7);
  });
  const Micros refused_at = kStart + milliseconds(50);
  node.Turn(refused_at, [&] {
    node.ReportOutcome(1, Reply{Result::kRefused, Micros(0), milliseconds(1500)}, false);
  });
  node.Run(
      refused_at + milliseconds(10), refused_at + milliseconds(1500),
      [](const SendRecord&) { return Reply{}; },
      [&](Micros now) {
        if (now == refused_at + milliseconds(110)) node.Enqueue(2, 7);
        if (now == refused_at + milliseconds(210)) node.Enqueue(3, 8);
      });
  EXPECT_EQ(node.CountSends(refused_at, refused_at + milliseconds(1500), "a"), 0);
  EXPECT_EQ(node.CountSends(refused_at, refused_at + milliseconds(1500), "b"), 0);
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  node.Run(refused_at + milliseconds(1500), refused_at + seconds(8),
           [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(node.CountSends(MessageId{1}), 2);
}

TEST(RetryAfter, AppliesToOneEndpointWhereEachHasItsOwnLimiter) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1), TestNode::MakeEndpoint(7, "b", 0, 1)});
    node.Enqueue(1, 7);
  });
  const EndpointId first = node.sends.at(0).endpoint;
  const Micros refused_at = kStart + milliseconds(50);
  node.Turn(refused_at, [&] {
    node.ReportOutcome(1, Reply{Result::kRefused, Micros(0), seconds(3)}, false);
  });
  ASSERT_EQ(node.sends.size(), 2U);  // sent to the other endpoint in the same turn
  EXPECT_NE(node.sends[1].endpoint, first);
  node.Run(
      refused_at + milliseconds(10), refused_at + seconds(3), [](const SendRecord&) { return Reply{}; },
      [&](Micros now) {
        if ((now - refused_at) % milliseconds(300) == Micros(0)) {
          node.Enqueue(static_cast<MessageId>(now.count()), 7);
        }
      });
  EXPECT_EQ(node.CountSends(refused_at, refused_at + seconds(3), first), 0);
}

TEST(RetryAfter, MessageThatItOutlastsIsRejectedAtOnce) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7, seconds(5));
  });
  node.Turn(kStart + milliseconds(50), [&] {
    node.ReportOutcome(1, Reply{Result::kRefused, Micros(0), seconds(6)}, false);
  });
  EXPECT_TRUE(node.Refused(1));
}

}  // namespace
}  // namespace indigosaddle::testing
