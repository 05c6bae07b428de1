// What a message, its key and its call are still owed in the instant in which they end (docs/design/005):
// told answers, a call whose connection took its time, and a list that may be outdated.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kBegin = seconds(100);

Settings InOrder() {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  return s;
}

// On sockets the end of a message that was taken on is a notice on its way. The next of its key, sent in the
// same turn, would overtake it.
TEST(OrderedEnding, TheKeyWaitsUntilTheAnswerBeforeItIsTold) {
  TestNode node(InOrder());
  node.answers_at_once = false;
  node.Turn(kBegin, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(1), "k");
    node.Enqueue(2, 8, seconds(20), "k");
    node.Enqueue(3, 8, seconds(20), "other");
  });
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  node.Turn(kBegin + milliseconds(995));
  ASSERT_TRUE(node.Refused(1));
  node.Turn(kBegin + seconds(2));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);  // the platform has not taken the notice yet
  node.Turn(kBegin + seconds(3), [&] { node.brain().OnAnswerTold(1); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kBegin + seconds(4), [&] { node.brain().OnAnswerTold(1); });  // once more does no harm
  EXPECT_EQ(node.answers[1], 1);
}

// Delivered in the last moment, perhaps too late: the end is told as well, and the key waits for that.
TEST(OrderedEnding, TheKeyWaitsForWhatIsToldOfADeliveryInDoubt) {
  for (const bool untold : {true, false}) {
    TestNode node(InOrder());
    node.Turn(kBegin, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
      node.Enqueue(1, 7, seconds(1), "k");
      node.Enqueue(2, 8, seconds(20), "k");
    });
    node.Turn(kBegin + milliseconds(990), [&] {
      Outcome outcome;
      outcome.id = 1, outcome.endpoint = "a", outcome.result = Result::kOk;
      outcome.last = true, outcome.untold = untold;
      node.brain().OnOutcome(outcome);
    });
    EXPECT_EQ(node.CountSends(MessageId{2}), untold ? 0 : 1);
    node.Turn(kBegin + seconds(2), [&] { node.brain().OnAnswerTold(1); });
    EXPECT_EQ(node.CountSends(MessageId{2}), 1);
    EXPECT_EQ(node.answers[1], 0);
  }
}

// Both are waited for: the answer and the outcome of an attempt that was out, in either order.
TEST(OrderedEnding, TheKeyWaitsForTheAnswerAndForTheOutcome) {
  for (const bool answer_first : {true, false}) {
    TestNode node(InOrder());
    node.answers_at_once = false;
    node.Turn(kBegin, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
      node.Enqueue(1, 7, seconds(1), "k");
      node.Enqueue(2, 8, seconds(20), "k");
    });
    node.Turn(kBegin + seconds(1) + milliseconds(5));
    ASSERT_TRUE(node.Failed(1));
    const auto told = [&] { node.brain().OnAnswerTold(1); };
    const auto settled = [&] { node.ReportOutcome(1, Result::kNoConnection); };
    node.Turn(kBegin + seconds(2), [&] { answer_first ? told() : settled(); });
    node.Turn(kBegin + seconds(3));
    EXPECT_EQ(node.CountSends(MessageId{2}), 0) << answer_first;
    node.Turn(kBegin + seconds(4), [&] { answer_first ? settled() : told(); });
    node.Turn(kBegin + seconds(5));
    EXPECT_EQ(node.CountSends(MessageId{2}), 1) << answer_first;
  }
}

// Killed between the record of an end and the answer to its notice: the next process tells the notice again,
// and what is behind it in the key waits for that.
TEST(OrderedEnding, WhatEndedBeforeARestartHoldsItsKeyUntilTold) {
  TestNode node(InOrder());
  node.answers_at_once = false;
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    Message over{1, 0, 0, "k", kBegin + seconds(9), 7, 1};
    over.ended = true;
    node.EnqueueMessage(over);
    node.EnqueueMessage({2, 0, 0, "k", kBegin + seconds(9), 7, 2});
  });
  node.Turn(kBegin + seconds(1));
  EXPECT_TRUE(node.sends.empty());
  node.Turn(kBegin + seconds(2), [&] { node.brain().OnAnswerTold(1); });
  EXPECT_EQ(node.CountSends(MessageId{1}), 0);
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  EXPECT_EQ(node.answers[1], 0);  // it has its end
}

// A window for repeats of 1 s, a connection that takes 1.5 s to come up: decided inside the window, the call
// is over it when its first byte could leave.
TEST(LateConnection, ARepeatDoesNotBeginAfterItsWindow) {
  Settings s = BaseSettings();
  s.classes[0].key_ttl = seconds(1);
  TestNode node(s);
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7);
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  node.Turn(kBegin + milliseconds(300), [&] { node.ReportOutcome(1, Result::kReset); });
  for (Micros now = kBegin + milliseconds(310); now < kBegin + milliseconds(780); now += milliseconds(10))
    node.Turn(now);
  ASSERT_EQ(node.CountSends(MessageId{1}), 2);
  // Up to 0.15 s may pass between this question and the call's last byte.
  EXPECT_TRUE(node.brain().MayStillStart(1, kBegin + milliseconds(790)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kBegin + milliseconds(805)));
  EXPECT_EQ(node.brain().LastByteBy(1), kBegin + milliseconds(800));
}

// The window runs from the first attempt that may have run, whenever that was decided, across a restart too.
TEST(LateConnection, TheWindowRunsOnAcrossARestart) {
  Settings s = BaseSettings();
  s.classes[0].key_ttl = seconds(1);
  TestNode node(s);
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    Message resumed{1, 0, 0, "", kBegin + seconds(20), 7};
    resumed.past = {1, true, kBegin - milliseconds(750), 0};
    node.EnqueueMessage(resumed);
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kBegin + milliseconds(40)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kBegin + milliseconds(60)));
}

TEST(LateConnection, ACallDoesNotBeginAfterItsMessagesTime) {
  TestNode node(BaseSettings());
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7, seconds(1));
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kBegin + milliseconds(990)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kBegin + seconds(1)));
}

// A list that may be outdated: nothing new leaves, neither decided nor waiting for its connection, until a
// list has come. What comes is still taken on, and ends in time.
TEST(OutdatedList, NothingNewIsSentUntilAListHasCome) {
  TestNode node(BaseSettings());
  node.Turn(kBegin, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7);
    node.brain().OnListOutdated(kBegin + seconds(2));
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kBegin + milliseconds(1999)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kBegin + seconds(2)));
  node.Turn(kBegin + milliseconds(1900), [&] { node.Enqueue(2, 8); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kBegin + seconds(2), [&] { node.Enqueue(3, 8), node.Enqueue(4, 8, seconds(1)); });
  node.Turn(kBegin + milliseconds(2995));
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  EXPECT_TRUE(node.Refused(4));
  EXPECT_EQ(node.answers[3], 0);
  node.Turn(kBegin + seconds(4), [&] { node.UpdateList({}, false); });  // nothing has changed
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
}

}  // namespace
}  // namespace indigosaddle::testing
