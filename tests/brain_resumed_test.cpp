// Messages that a restart resumes, messages that a planned stop holds back, and calls that are decided but
// have not started yet.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

// A message that is resumed after a restart, with what was tried before it.
Message ResumedMessage(MessageId id, PriorAttempts past, const std::string& key = "") {
  Message message;
  message.id = id;
  message.destination = 1;
  message.key = key;
  message.deadline = seconds(100);
  message.past = past;
  return message;
}

TEST(Resumed, UnsafeMessageIsFailedIfItMayHaveRunAndSentIfNot) {
  Settings settings = BaseSettings();
  settings.classes[0].effect = Effect::kUnsafe;
  settings.classes[0].deadline = seconds(100);
  TestNode node(settings);
  node.Turn(seconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    node.EnqueueMessage(ResumedMessage(1, {1, true, seconds(9), 0}));
    node.EnqueueMessage(ResumedMessage(2, {3, false, Micros(0), 0}));
  });
  EXPECT_TRUE(node.Failed(1));
  EXPECT_FALSE(node.Refused(1));
  EXPECT_EQ(node.CountSends(1), 0);
  EXPECT_EQ(node.CountSends(2), 1);
}

TEST(Resumed, KeyedMessageIsRepeatedOnlyWithinItsKeysLifetime) {
  TestNode node(BaseSettings());
  node.Turn(seconds(30), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    node.EnqueueMessage(ResumedMessage(1, {1, true, seconds(29), 0}));
    node.EnqueueMessage(ResumedMessage(2, {1, true, seconds(5), 0}));  // 25 s ago, remembered for 20 s
  });
  EXPECT_EQ(node.CountSends(1), 1);
  EXPECT_EQ(node.CountSends(2), 0);
  EXPECT_EQ(node.answers[2], 1);
}

// Guards against a repeat where the first attempt seems to lie in the future: the state folder's file `clock`
// was lost and the wall clock had been stepped back. When the key's lifetime ends is then unknown, and it may
// be over.
TEST(Resumed, KeyedMessageWithAFirstAttemptInTheFutureIsNotRepeated) {
  TestNode node(BaseSettings());
  node.Turn(seconds(30), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    node.EnqueueMessage(ResumedMessage(1, {1, true, seconds(30) + Micros(1), 0}));
    node.EnqueueMessage(ResumedMessage(2, {1, true, seconds(30), 0}));
  });
  EXPECT_EQ(node.CountSends(1), 0);
  EXPECT_EQ(node.answers[1], 1);
  EXPECT_EQ(node.CountSends(2), 1);
}

TEST(Resumed, AttemptsBeforeTheRestartCount) {
  Settings settings = BaseSettings();
  settings.max_attempts = 4;
  TestNode node(settings);
  node.Turn(seconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    node.EnqueueMessage(ResumedMessage(1, {4, false, Micros(0), 0}));
  });
  EXPECT_EQ(node.CountSends(1), 0);
  EXPECT_TRUE(node.Refused(1));
}

TEST(Resumed, LaterMessagesOfAKeyWaitAfterOneThatMayStillRun) {
  Settings settings = BaseSettings();
  settings.classes[0].sequential = true;
  settings.turn_gap = milliseconds(300);
  TestNode node(settings);
  node.Turn(seconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    node.EnqueueMessage(ResumedMessage(1, {1, true, seconds(9), 0}, "k"));
    node.EnqueueMessage(ResumedMessage(2, {}, "k"));
  });
  EXPECT_EQ(node.CountSends(1), 1);  // it is first in its key and may be repeated
  node.Turn(seconds(10) + milliseconds(100), [&] { node.ReportOutcome(1, Result::kOk); });
  EXPECT_EQ(node.CountSends(2), 0);
  // An attempt before the restart means that the destination may be cold, so the next call waits for the
  // slow-start allowance.
  node.Run(seconds(10) + milliseconds(301), seconds(16), [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(node.CountSends(2), 1);
}

// Guards against reordering at a takeover: the new process has accepted later messages of a key before it is
// handed those that the previous process left (rule 5, messages with one order key in turn).
TEST(Resumed, EarlierMessagesOfAKeyGoFirstAndNoneBesideOneInFlight) {
  Settings settings = BaseSettings();
  settings.classes[0].sequential = true;
  TestNode node(settings);
  const auto resume = [&](MessageId id, const std::string& key) {
    Message message = ResumedMessage(id, {}, key);
    message.order_position = id;
    node.EnqueueMessage(message);
  };
  node.Turn(seconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a")});
    resume(100, "out");
  });
  ASSERT_EQ(node.CountSends(100), 1);
  node.brain().OnStop(seconds(10));
  node.Turn(seconds(10) + milliseconds(1), [&] {
    resume(101, "held");
    resume(102, "held");
  });
  EXPECT_EQ(node.CountSends(101), 0);
  node.brain().OnStop(Micros::max());
  node.Turn(seconds(10) + milliseconds(20), [&] {
    resume(1, "held");
    resume(2, "held");
    resume(3, "out");
  });
  EXPECT_EQ(node.CountSends(1), 1);
  EXPECT_EQ(node.CountSends(2) + node.CountSends(101) + node.CountSends(3), 0);
  node.Turn(seconds(10) + milliseconds(40), [&] {
    node.ReportOutcome(1, Result::kOk);
    node.ReportOutcome(100, Result::kOk);
  });
  EXPECT_EQ(node.CountSends(2), 1);
  EXPECT_EQ(node.CountSends(3), 1);
  node.Turn(seconds(10) + milliseconds(60), [&] { node.ReportOutcome(2, Result::kOk); });
  EXPECT_EQ(node.CountSends(101), 1);
  EXPECT_EQ(node.CountSends(102), 0);
}

TEST(PlannedStop, OnlyCallsThatShouldEndBeforeItAreStarted) {
  TestNode node(BaseSettings());
  node.Run(
      Micros(0), seconds(2),
      [](const SendRecord&) {
        return Reply{Result::kOk, milliseconds(100)};
      },
      [&](Micros now) {
        if (now == Micros(0))
          node.UpdateList({TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b")});
        if (now.count() % 100000 == 0) node.Enqueue(static_cast<MessageId>(now.count() / 100000 + 1), 1);
      });
  node.Turn(seconds(2), [&] {
    node.brain().OnStop(seconds(3));
    node.Enqueue(1000001, 1);  // its latency is known, about 100 ms
    node.Enqueue(1000002, 2);  // no latency known: a call may take its whole timeout
  });
  EXPECT_EQ(node.CountSends(1000001), 1);
  EXPECT_EQ(node.CountSends(1000002), 0);
  node.Turn(seconds(3) - milliseconds(50), [&] { node.Enqueue(1000003, 1); });
  EXPECT_EQ(node.CountSends(1000003), 0);
  EXPECT_EQ(node.answers[1000003], 0);  // held: it is resumed after the stop
}

// Guards against a call that starts when its connection comes up though a drain, a Retry-After or a
// withdrawal came in the meantime.
TEST(PendingCall, IsStoppedByADrainARetryAfterOrAWithdrawal) {
  TestNode node(BaseSettings());
  node.Turn(seconds(1), [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b"), TestNode::MakeEndpoint(3, "c")});
    for (MessageId id : {1, 2, 3}) node.Enqueue(id, id);
    node.Enqueue(4, 2);
  });
  ASSERT_EQ(node.sends.size(), 4u);
  for (MessageId id : {1, 2, 3, 4}) EXPECT_TRUE(node.brain().MayStillStart(id, seconds(1)));
  EXPECT_FALSE(node.brain().MayStillStart(9, seconds(1)));
  node.Turn(seconds(1) + milliseconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a", 0, 0, EndpointState::kDraining)}, false);
    node.ReportOutcome(4, Reply{Result::kRefused, milliseconds(10), milliseconds(500)}, false);
    node.brain().OnWithdrawn(3);
  });
  EXPECT_FALSE(node.brain().MayStillStart(
      1, seconds(1) + milliseconds(20)));  // rule 3: nothing new to a draining endpoint
  EXPECT_FALSE(
      node.brain().MayStillStart(2, seconds(1) + milliseconds(20)));  // rule 6: Retry-After is heeded
  EXPECT_TRUE(node.brain().MayStillStart(2, seconds(2)));
  EXPECT_FALSE(node.brain().MayStillStart(3, seconds(1) + milliseconds(20)));  // rule 1: it has its end
}

}  // namespace
}  // namespace indigosaddle::testing
