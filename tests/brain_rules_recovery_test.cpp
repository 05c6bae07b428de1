// Rule 3 (nothing new to a draining or gone endpoint) and rule 4 (no overload of a recovering one).
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

TEST(Drain, NothingNewToADrainingGoneOrUnlistedEndpoint) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b"),
                     TestNode::MakeEndpoint(9, "c"), TestNode::MakeEndpoint(10, "d")});
  });
  node.Turn(kStart + milliseconds(10), [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kDraining),
                     TestNode::MakeEndpoint(8, "b", 0, 0, EndpointState::kGone)},
                    false);
    node.Enqueue(1, 7);
    node.Enqueue(2, 8);
  });
  node.Turn(kStart + milliseconds(20), [&] {
    node.UpdateList({TestNode::MakeEndpoint(10, "d")});  // the whole list: c is gone
    node.Enqueue(3, 9);
    node.Enqueue(4, 10);
  });
  node.Run(kStart + milliseconds(30), kStart + seconds(2), [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(node.sends.size(), 1U);
  EXPECT_EQ(node.CountSends(MessageId{4}), 1);
}

TEST(ListWatch, IsRequestedAtStartAndWithinTheLimitAfterEachFailure) {
  Settings s = BaseSettings();
  s.discovery = Discovery::kOnRequest;
  TestNode node(s);
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  ASSERT_EQ(node.watch_requests.size(), 1U);
  Micros now = kStart;
  for (int i = 0; i < 12; ++i) {  // the source of the list is unreachable
    now += milliseconds(100);
    node.Turn(now, [&] { node.brain().OnListFailed(); });
    const std::size_t requests = node.watch_requests.size();
    const Micros failed_at = now;
    while (node.watch_requests.size() == requests && now < failed_at + seconds(8))
      node.Turn(now += milliseconds(50));
    ASSERT_EQ(node.watch_requests.size(), requests + 1)
        << "the watch was not requested again within must_ask_in";
  }
}

TEST(ListWatch, IsNotRequestedWherePushed) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] { node.brain().OnListFailed(); });
  node.Turn(kStart + seconds(20));
  EXPECT_TRUE(node.watch_requests.empty());
}

// ---- Rule 4: no overload of a recovering destination ----

struct RecoveryCase {
  int kind;      // 0: endpoints share a rate limiter; 1: one each
  Reply outage;  // how calls end during the outage
  bool hangs;    // they run into their timeout instead
};

class RecoveryTest : public ::testing::TestWithParam<RecoveryCase> {};

// Guards against an overload after an outage. A destination that served 4 messages a second is down for 9 s
// while messages queue. After its return, the calls in any span of `fall` must stay under the overload factor
// times what this sender's part of the destination can serve.
TEST_P(RecoveryTest, LoadAfterAnOutageStaysWithinTheSlowStartBudget) {
  const RecoveryCase& c = GetParam();
  Settings s = BaseSettings();
  s.kinds[1].per_call = 1;
  s.max_open = 1000;
  s.call_slots = 20;
  TestNode node(s);
  const Micros down = kStart + seconds(10);
  const Micros back = kStart + seconds(19);
  const Micros end = kStart + seconds(32);
  MessageId id = 0;
  node.Turn(kStart, [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, c.kind)}); });
  node.Run(
      kStart, end,
      [&](const SendRecord& sent) -> std::optional<Reply> {
        if (sent.at < down || sent.at >= back) return Reply{};
        if (c.hangs) return std::nullopt;
        return c.outage;
      },
      [&](Micros now) {
        if ((now - kStart) % milliseconds(250) == Micros(0)) node.Enqueue(++id, 7, seconds(20));
      });
  ASSERT_GE(node.CountSends(back, end), 10);  // messages are served again
  Micros first_ok = end;
  for (const SendRecord& sent : node.sends) {
    if (sent.at >= back) first_ok = std::min(first_ok, sent.at);
  }
  // After 5 s the rate that was served since the return proves a higher capacity.
  for (Micros t = back; t + s.fall < first_ok + seconds(5); t += milliseconds(50)) {
    const double since = std::chrono::duration<double>(std::max(Micros(0), t + s.fall - first_ok)).count();
    const double present = std::min(1.0, s.cold_from + (1 - s.cold_from) * since / 10);
    const double served = 6;  // 4 a second on average, more by chance and by the queued messages
    const double allowed = s.overload_factor * present * served * 2;
    EXPECT_LE(node.CountSends(t, t + s.fall), allowed) << "span from " << (t - back).count() << " us after";
  }
  EXPECT_LE(node.CountSends(back, back + s.fall), 6) << "the first span gets only a few calls";
}

INSTANTIATE_TEST_SUITE_P(
    EveryOutage, RecoveryTest,
    ::testing::Values(RecoveryCase{0, {Result::kNoConnection, milliseconds(50)}, false},
                      RecoveryCase{0, {Result::kRefused, milliseconds(50)}, false},
                      RecoveryCase{0, {Result::kError, milliseconds(50)}, false},
                      RecoveryCase{0, {Result::kReset, milliseconds(50)}, false}, RecoveryCase{0, {}, true},
                      RecoveryCase{1, {Result::kNoConnection, milliseconds(50)}, false},
                      RecoveryCase{1, {Result::kRefused, milliseconds(50), seconds(1)}, false},
                      RecoveryCase{1, {}, true}));

TEST(Recovery, EndpointsWithLimitersOfTheirOwnAreColdSeparately) {
  Settings s = BaseSettings();
  s.kinds[1].per_call = 1;
  s.call_slots = 40;
  TestNode node(s);
  MessageId id = 0;
  const Micros back = kStart + seconds(16);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1), TestNode::MakeEndpoint(7, "b", 0, 1)});
  });
  node.Run(
      kStart, kStart + seconds(18),
      [&](const SendRecord& sent) -> std::optional<Reply> {
        const bool down = sent.endpoint == "a" && sent.at >= kStart + seconds(4) && sent.at < back;
        return down ? Reply{Result::kNoConnection, milliseconds(20)} : Reply{};
      },
      [&](Micros now) {
        if ((now - kStart) % milliseconds(100) == Micros(0)) node.Enqueue(++id, 7);
      });
  EXPECT_GE(node.CountSends(back, back + seconds(2), "b"),
            10);  // not affected by the outage of the other endpoint
  EXPECT_LE(node.CountSends(back, back + seconds(2), "a"), 8);
}

}  // namespace
}  // namespace indigosaddle::testing
