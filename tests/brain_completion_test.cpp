// What a message, its order key or its call must still wait for near the message's end (docs/design/005): a
// final answer that has not arrived yet, a call whose connection came up late, and a list of endpoints that
// may be outdated.
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

// Guards against a message that overtakes the final answer of the one before it: over sockets that answer is
// a notice still on its way, and the next message of the key, sent in the same turn, would be faster.
TEST(OrderedCompletion, KeyWaitsUntilThePreviousAnswerHasArrived) {
  TestNode node(OrderedSettings());
  node.answers_at_once = false;
  node.Turn(kStart, [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7, seconds(1), "k");
    node.Enqueue(2, 8, seconds(20), "k");
    node.Enqueue(3, 8, seconds(20), "other");
  });
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
  node.Turn(kStart + milliseconds(995));
  ASSERT_TRUE(node.Refused(1));
  node.Turn(kStart + seconds(2));
  EXPECT_EQ(node.CountSends(MessageId{2}), 0);  // the platform has not acknowledged the notice yet
  node.Turn(kStart + seconds(3), [&] { node.brain().OnAnswerDelivered(1); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kStart + seconds(4), [&] { node.brain().OnAnswerDelivered(1); });  // a repeat does no harm
  EXPECT_EQ(node.answers[1], 1);
}

// Guards against the same where a message was delivered at the last moment, perhaps too late: its outcome is
// reported to the client as well, and the key waits for that.
TEST(OrderedCompletion, KeyWaitsForTheNoticeOfADeliveryInDoubt) {
  for (const bool notice_pending : {true, false}) {
    TestNode node(OrderedSettings());
    node.Turn(kStart, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
      node.Enqueue(1, 7, seconds(1), "k");
      node.Enqueue(2, 8, seconds(20), "k");
    });
    node.Turn(kStart + milliseconds(990), [&] {
      Outcome outcome;
      outcome.id = 1;
      outcome.endpoint = "a";
      outcome.result = Result::kOk;
      outcome.last = true;
      outcome.answer_pending = notice_pending;
      node.brain().OnOutcome(outcome);
    });
    EXPECT_EQ(node.CountSends(MessageId{2}), notice_pending ? 0 : 1);
    node.Turn(kStart + seconds(2), [&] { node.brain().OnAnswerDelivered(1); });
    EXPECT_EQ(node.CountSends(MessageId{2}), 1);
    EXPECT_EQ(node.answers[1], 0);
  }
}

// Guards against a key that goes on after only one of the two: the final answer's arrival and the outcome of
// the attempt in flight, in either order.
TEST(OrderedCompletion, KeyWaitsForBothTheAnswerAndTheOutcome) {
  for (const bool answer_first : {true, false}) {
    TestNode node(OrderedSettings());
    node.answers_at_once = false;
    node.Turn(kStart, [&] {
      node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
      node.Enqueue(1, 7, seconds(1), "k");
      node.Enqueue(2, 8, seconds(20), "k");
    });
    node.Turn(kStart + seconds(1) + milliseconds(5));
    ASSERT_TRUE(node.Failed(1));
    const auto answer_arrives = [&] { node.brain().OnAnswerDelivered(1); };
    const auto outcome_arrives = [&] { node.ReportOutcome(1, Result::kNoConnection); };
    node.Turn(kStart + seconds(2), [&] { answer_first ? answer_arrives() : outcome_arrives(); });
    node.Turn(kStart + seconds(3));
    EXPECT_EQ(node.CountSends(MessageId{2}), 0) << answer_first;
    node.Turn(kStart + seconds(4), [&] { answer_first ? outcome_arrives() : answer_arrives(); });
    node.Turn(kStart + seconds(5));
    EXPECT_EQ(node.CountSends(MessageId{2}), 1) << answer_first;
  }
}

// The process is killed between writing a message's final answer to the write-ahead log and the
// acknowledgement of its notice. The next process sends the notice again, and later messages of the key must
// wait for it.
TEST(OrderedCompletion, AnswerPendingFromBeforeARestartHoldsItsKey) {
  TestNode node(OrderedSettings());
  node.answers_at_once = false;
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    Message ended{1, 0, 0, "k", kStart + seconds(9), 7, 1};
    ended.ended = true;
    node.EnqueueMessage(ended);
    node.EnqueueMessage({2, 0, 0, "k", kStart + seconds(9), 7, 2});
  });
  node.Turn(kStart + seconds(1));
  EXPECT_TRUE(node.sends.empty());
  node.Turn(kStart + seconds(2), [&] { node.brain().OnAnswerDelivered(1); });
  EXPECT_EQ(node.CountSends(MessageId{1}), 0);
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  EXPECT_EQ(node.answers[1], 0);  // it was answered before the restart
}

// Guards against a repeat after receivers may have forgotten its key. Repeats are allowed for 1 s and the
// connection takes 1.5 s to come up: the call is decided in time, but its first byte could only leave too
// late.
TEST(LateConnection, RepeatDoesNotStartAfterItsKeysLifetime) {
  Settings s = BaseSettings();
  s.classes[0].key_ttl = seconds(1);
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7);
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  node.Turn(kStart + milliseconds(300), [&] { node.ReportOutcome(1, Result::kReset); });
  for (Micros now = kStart + milliseconds(310); now < kStart + milliseconds(780); now += milliseconds(10))
    node.Turn(now);
  ASSERT_EQ(node.CountSends(MessageId{1}), 2);
  // Up to 0.15 s may pass between this question and the call's last byte.
  EXPECT_TRUE(node.brain().MayStillStart(1, kStart + milliseconds(790)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kStart + milliseconds(805)));
  EXPECT_EQ(node.brain().LastByteBy(1), kStart + milliseconds(800));
}

// The key's lifetime counts from the first attempt that may have run, also if that was before a restart.
TEST(LateConnection, KeysLifetimeCountsAcrossARestart) {
  Settings s = BaseSettings();
  s.classes[0].key_ttl = seconds(1);
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    Message resumed{1, 0, 0, "", kStart + seconds(20), 7};
    resumed.past = {1, true, kStart - milliseconds(750), 0};
    node.EnqueueMessage(resumed);
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kStart + milliseconds(40)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kStart + milliseconds(60)));
}

TEST(LateConnection, CallDoesNotStartAfterItsMessagesDeadline) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7, seconds(1));
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kStart + milliseconds(990)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kStart + seconds(1)));
}

// Guards against calls to endpoints that a lost list update may have removed (rule 3, nothing new to a
// draining or gone endpoint). While the list may be outdated no call is decided, nor may one that waits for
// its connection start. Messages are still accepted and answered in time.
TEST(OutdatedList, NothingNewIsSentUntilTheListIsConfirmed) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(1, 7);
    node.brain().OnListOutdated(kStart + seconds(2));
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_TRUE(node.brain().MayStillStart(1, kStart + milliseconds(1999)));
  EXPECT_FALSE(node.brain().MayStillStart(1, kStart + seconds(2)));
  node.Turn(kStart + milliseconds(1900), [&] { node.Enqueue(2, 8); });
  EXPECT_EQ(node.CountSends(MessageId{2}), 1);
  node.Turn(kStart + seconds(2), [&] {
    node.Enqueue(3, 8);
    node.Enqueue(4, 8, seconds(1));
  });
  node.Turn(kStart + milliseconds(2995));
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  EXPECT_TRUE(node.Refused(4));
  EXPECT_EQ(node.answers[3], 0);
  // Changes of the list come from an address that may not know all of them: they do not make it valid.
  node.Turn(kStart + seconds(3), [&] { node.UpdateList({}, false); });
  EXPECT_EQ(node.CountSends(MessageId{3}), 0);
  node.Turn(kStart + seconds(4), [&] { node.brain().OnListOutdated(Micros::max()); });
  EXPECT_EQ(node.CountSends(MessageId{3}), 1);
}

}  // namespace
}  // namespace indigosaddle::testing
