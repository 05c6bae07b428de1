// Faults that benchmarks have shown, each by its smallest case: unknown destinations, unreadable answers,
// lost idle connections, call slots, batches.
#include <gtest/gtest.h>

#include <set>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

// A message for a destination that was never listed is rejected; one whose endpoints have only just gone is
// held.
TEST(UnknownDestination, MessageIsRejected) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.Enqueue(1, 9); });
  EXPECT_TRUE(node.answers.empty());  // no list yet
  node.Turn(kStart + seconds(1), [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    node.Enqueue(2, 9);
  });
  EXPECT_TRUE(node.Refused(1));
  EXPECT_TRUE(node.Refused(2));
  EXPECT_EQ(node.refused[2], BaseSettings().max_retry_after);
  node.Turn(kStart + seconds(2), [&] { node.UpdateList({TestNode::MakeEndpoint(8, "b")}); });  // 7 is gone
  for (int i = 3; i < 12; ++i) node.Turn(kStart + seconds(i));  // past a periodic cleanup
  node.Turn(kStart + seconds(12), [&] { node.Enqueue(3, 7); });
  EXPECT_FALSE(node.answers.contains(3));
  node.Turn(kStart + seconds(13), [&] { node.UpdateList({TestNode::MakeEndpoint(7, "c")}, false); });
  EXPECT_EQ(node.CountSends(3), 1);
}

TEST(UnknownDestination, RandomDestinationsLeaveNoState) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  for (MessageId id = 1; id <= 1000; ++id) {
    node.Turn(kStart + milliseconds(10) * id, [&] { node.Enqueue(id, 1000 + id); });
  }
  node.Turn(kStart + seconds(20));
  node.Turn(kStart + seconds(21));
  EXPECT_EQ(node.brain().footprint().messages, 0U);
  EXPECT_EQ(node.brain().footprint().endpoints, 1U);
}

// Guards against a destination taken for down after an unreadable answer: the call may have run, and the
// answer says nothing of health. Several in a row do count.
TEST(UnreadableAnswer, IsNoOutageUnlessSeveralComeInARow) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  MessageId id = 0;
  const auto run_calls = [&](Micros from, int count, Result result) {
    for (int i = 0; i < count; ++i) {
      node.Turn(from + milliseconds(20) * (2 * i), [&] { node.Enqueue(++id, 7); });
      node.Turn(from + milliseconds(20) * (2 * i + 1), [&] { node.ReportOutcome(id, Reply{result}, true); });
    }
  };
  run_calls(kStart, 20, Result::kOk);
  run_calls(kStart + seconds(1), 2, Result::kUnreadable);
  EXPECT_EQ(node.CountSends(22), 1);
  node.Turn(kStart + seconds(1) + milliseconds(100), [&] {
    for (int i = 0; i < 3; ++i) node.Enqueue(++id, 7);
  });
  EXPECT_EQ(node.CountSends(kStart + seconds(1) + milliseconds(100), kStart + seconds(2)),
            3);  // not limited to probe requests
  for (MessageId m = 23; m <= 25; ++m) {
    node.Turn(kStart + seconds(2), [&] { node.ReportOutcome(m, Reply{Result::kUnreadable}, true); });
  }
  node.Turn(kStart + seconds(2) + milliseconds(10), [&] {
    for (int i = 0; i < 3; ++i) node.Enqueue(++id, 7);
  });
  EXPECT_LE(node.CountSends(kStart + seconds(2), kStart + seconds(3)), 1);
}

// Guards against a destination taken for down because it closes idle connections early or resets them under
// the next call. Several losses in a row do count.
TEST(IdleConnectionLoss, IsNoOutageUnlessSeveralComeInARow) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  MessageId id = 0;
  const auto run_call = [&](Micros at, Result result) {
    node.Turn(at, [&] { node.Enqueue(++id, 7); });
    node.Turn(at + milliseconds(20), [&] { node.ReportOutcome(id, Reply{result}, true); });
  };
  const auto sent_of_burst = [&](Micros at) {  // how many of four messages are sent at once
    const MessageId first = id + 1;
    node.Turn(at, [&] {
      for (int i = 0; i < 4; ++i) node.Enqueue(++id, 7);
    });
    const int sent = node.CountSends(at, at + Micros(1));
    node.Turn(at + milliseconds(20), [&] {
      for (MessageId m = first; m <= id; ++m) node.ReportOutcome(m, Reply{}, true);
      for (MessageId m = first; m <= id; ++m) node.brain().OnWithdrawn(m);
    });
    return sent;
  };
  for (int i = 0; i < 10; ++i) run_call(kStart + milliseconds(100) * i, Result::kOk);
  ASSERT_EQ(sent_of_burst(kStart + seconds(1)), 4);
  run_call(kStart + milliseconds(1100), Result::kReset);
  EXPECT_EQ(sent_of_burst(kStart + milliseconds(1200)), 4);  // not limited to probe requests
  for (int i = 0; i < 4; ++i) run_call(kStart + milliseconds(1300 + 50 * i), Result::kReset);
  EXPECT_LE(sent_of_burst(kStart + milliseconds(1510)), 1);
}

// A failed connect counts as an outage at once, whatever idle connections the node believed to have.
TEST(IdleConnectionLoss, FailedConnectCountsAtOnce) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  for (MessageId id = 1; id <= 5; ++id) {
    node.Turn(kStart + milliseconds(100) * id, [&] { node.Enqueue(id, 7); });
    node.Turn(kStart + milliseconds(100) * id + milliseconds(20),
              [&] { node.ReportOutcome(id, Reply{id < 5 ? Result::kOk : Result::kNoConnection}, true); });
  }
  node.Turn(kStart + milliseconds(530), [&] {
    for (MessageId id = 6; id <= 9; ++id) node.Enqueue(id, 7);
  });
  EXPECT_LE(node.CountSends(kStart + milliseconds(530), kStart + milliseconds(531)), 1);
}

TEST(IdleConnectionLoss, ResetOfANewConnectionCountsAtOnce) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7);
  });
  node.Turn(kStart + milliseconds(20), [&] { node.ReportOutcome(1, Reply{Result::kReset}, true); });
  node.Turn(kStart + milliseconds(30), [&] {
    for (MessageId id = 2; id <= 5; ++id) node.Enqueue(id, 7);
  });
  EXPECT_LE(node.CountSends(kStart + milliseconds(30), kStart + milliseconds(31)), 1);
}

// Rule 2 (no double effect): the call may have run, so an unsafe message is not sent again.
TEST(UnreadableAnswer, UnsafeMessageIsNotRepeated) {
  Settings s = BaseSettings();
  s.classes[0].effect = Effect::kUnsafe;
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a")});
    node.Enqueue(1, 7);
  });
  node.Turn(kStart + milliseconds(10), [&] { node.ReportOutcome(1, Result::kUnreadable); });
  EXPECT_TRUE(node.Failed(1));
  EXPECT_EQ(node.CountSends(1), 1);
}

TEST(CallSlots, OneHungDestinationDoesNotTakeThemAll) {
  Settings s = BaseSettings();
  TestNode node(s);
  MessageId id = 0;
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "hung"), TestNode::MakeEndpoint(8, "well")});
  });
  node.Run(
      kStart, kStart + seconds(10),
      [](const SendRecord& sent) -> std::optional<Reply> {
        if (sent.endpoint == "hung") return std::nullopt;
        return Reply{};
      },
      [&](Micros now) {
        if ((now - kStart) % milliseconds(100) == Micros(0)) {
          node.Enqueue(++id, 7);
          node.Enqueue(++id, 8);
        }
      });
  EXPECT_GE(node.CountSends(kStart, kStart + seconds(10), "well"), 95);
}

TEST(CallSlots, NeverMoreCallsInFlightThanSlots) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    std::vector<Endpoint> list;
    for (std::uint64_t d = 0; d < 30; ++d) list.push_back(TestNode::MakeEndpoint(d, "e" + std::to_string(d)));
    node.UpdateList(list);
    for (std::uint64_t d = 0; d < 30; ++d) node.Enqueue(d + 1, d);
  });
  EXPECT_EQ(node.sends.size(), 8U);
}

TEST(Batch, MessagesToOneEndpointShareACallAndASlot) {
  Settings s = BaseSettings();
  s.call_slots = 1;
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1)});
    for (MessageId id = 1; id <= 7; ++id) node.Enqueue(id, 7);
  });
  EXPECT_EQ(node.sends.size(), 5U);  // per_call
  EXPECT_EQ(node.brain().footprint().calls, 1U);
  node.Turn(kStart + milliseconds(50), [&] {
    for (MessageId id = 1; id <= 4; ++id) node.ReportOutcome(id, Result::kOk);
  });
  EXPECT_EQ(node.sends.size(), 5U);  // the slot is taken until all have their outcomes
  node.Turn(kStart + milliseconds(60), [&] { node.ReportOutcome(5, Result::kOk); });
  EXPECT_EQ(node.sends.size(), 7U);
}

TEST(Batch, CallsAfterAFailureCarrySeveralMessagesAgain) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1)});
    node.Enqueue(1, 7);
  });
  node.Turn(kStart + milliseconds(50), [&] {
    node.ReportOutcome(1, Result::kError);
    for (MessageId id = 2; id <= 9; ++id) node.Enqueue(id, 7);
  });
  node.Run(kStart + milliseconds(60), kStart + seconds(5), [](const SendRecord&) { return Reply{}; });
  std::map<Micros, int> calls;
  for (const SendRecord& sent : node.sends) ++calls[sent.at];
  ASSERT_GE(calls.size(), 2U);
  // A probe request carries one message: a full call weighs like several, and the destination may be cold
  // (rule 4, no overload of a recovering one; case hbb52c1).
  EXPECT_EQ(std::next(calls.begin())->second, 1);
  EXPECT_EQ(std::next(calls.begin(), 2)->second, 5);
}

}  // namespace
}  // namespace indigosaddle::testing
