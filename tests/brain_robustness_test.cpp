// Choice of endpoints, attempt timeouts, room for held messages and tenants' shares; malformed and repeated
// events; state that stays bounded; same events, same actions.
#include <gtest/gtest.h>

#include <set>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

TEST(Endpoint, FailingEndpointIsAvoidedWhileItsDestinationServes) {
  TestNode node(BaseSettings());
  MessageId id = 0;
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "bad"), TestNode::MakeEndpoint(7, "good")});
  });
  node.Run(
      kStart, kStart + seconds(15),
      [](const SendRecord& sent) {
        return sent.endpoint == "bad" ? Reply{Result::kNoConnection, milliseconds(30)} : Reply{};
      },
      [&](Micros now) {
        if ((now - kStart) % milliseconds(300) == Micros(0)) node.Enqueue(++id, 7);
      });
  const int bad = node.CountSends(kStart + seconds(5), kStart + seconds(15), "bad");
  EXPECT_GE(node.CountSends(kStart + seconds(5), kStart + seconds(15), "good"), 30);
  EXPECT_LE(bad, 6);
}

TEST(Timeout, FollowsMeasuredLatencyAndGrowsForAMessageThatTimedOut) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "slow")});
    node.Enqueue(1, 7);
  });
  const Micros first = node.sends.back().timeout;
  EXPECT_EQ(first, seconds(8));  // four times the class's aim while no latency is known
  node.Turn(kStart + seconds(8), [&] { node.ReportOutcome(1, Result::kTimeout); });
  node.Run(kStart + seconds(8) + milliseconds(10), kStart + seconds(14), [](const SendRecord&) {
    return Reply{Result::kOk, milliseconds(1800)};
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 2);
  EXPECT_GT(node.sends.back().timeout, first);  // doubled, but not past its deadline
  node.Turn(kStart + seconds(14), [&] { node.Enqueue(2, 7); });
  node.Run(kStart + seconds(14) + milliseconds(10), kStart + seconds(20), [](const SendRecord&) {
    return Reply{Result::kOk,
                 milliseconds(1800)};  // it may be cold: the call waits for the slow-start allowance
  });
  ASSERT_EQ(node.CountSends(MessageId{2}), 1);
  EXPECT_GT(node.sends.back().timeout, milliseconds(1800));
}

TEST(Room, MessagesOfLeastWorthAreRejectedBeforeTheRoomIsFull) {
  Settings s = BaseSettings();
  s.max_open = 20;
  s.over_share_worth = 0.1;
  s.tenants = {{2.0}, {1000.0}};
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(9, "a", 0, 0, EndpointState::kDraining)});
    for (MessageId id = 1; id <= 12; ++id)
      node.Enqueue(id, 9, seconds(20), "", 0, 0);  // far beyond its share
    for (MessageId id = 13; id <= 20; ++id) node.Enqueue(id, 9, seconds(20), "", 0, 1);  // within its share
  });
  EXPECT_FALSE(node.refused.empty());
  for (const auto& [id, wait] : node.refused) {
    EXPECT_LE(id, 12U) << "a message within its tenant's share was rejected first";
    EXPECT_EQ(wait, seconds(2));  // Retry-After
  }
}

TEST(TenantShare, TenantBeyondItsShareIsServedLast) {
  Settings s = BaseSettings();
  s.call_slots = 1;
  s.over_share_worth = 0.1;
  s.tenants = {{2.0}, {1000.0}};
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
    for (MessageId id = 1; id <= 40; ++id) node.Enqueue(id, 7, seconds(18), "", 0, 0);
    for (MessageId id = 41; id <= 50; ++id) node.Enqueue(id, 8, seconds(18), "", 0, 1);
  });
  node.Run(kStart + milliseconds(10), kStart + seconds(4), [](const SendRecord&) { return Reply{}; });
  std::set<MessageId> first;
  for (std::size_t i = 0; i < 20 && i < node.sends.size(); ++i) first.insert(node.sends[i].id);
  int within = 0;
  for (MessageId id = 41; id <= 50; ++id) within += first.contains(id) ? 1 : 0;
  EXPECT_GE(within, 9);
}

// ---- Malformed, late and repeated input ----

TEST(UnusualInput, EmptySettingsStillKeepTheDeliveryRules) {
  Settings s;
  TestNode node(s);
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 3, 5)});
    node.Enqueue(1, 7, seconds(2), "key", 4, 6);
  });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  node.Turn(kStart + milliseconds(100), [&] { node.ReportOutcome(1, Result::kTimeout); });
  EXPECT_TRUE(node.Failed(1));  // an unknown class is unsafe
}

TEST(UnusualInput, LateRepeatedAndUnknownEventsAreIgnored) {
  TestNode node(BaseSettings());
  Outcome unknown;
  unknown.id = 77;
  unknown.endpoint = "nowhere";
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(7, "a")});
    node.brain().OnOutcome(unknown);
    node.Enqueue(1, 7);
    node.Enqueue(1, 7);
  });
  EXPECT_EQ(node.brain().footprint().endpoints, 1U);
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  node.Turn(kStart + milliseconds(50), [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 0, EndpointState::kGone),
                     TestNode::MakeEndpoint(9, "z", 0, 0, EndpointState::kGone)},
                    false);
    node.ReportOutcome(1, Result::kOk);
    node.ReportOutcome(1, Result::kOk);
  });
  node.Turn(kStart + milliseconds(60));
  EXPECT_EQ(node.brain().footprint().messages, 0U);
  node.Turn(kStart + seconds(6));  // gone endpoints are removed at the next periodic cleanup
  EXPECT_EQ(node.brain().footprint().endpoints, 0U);
  EXPECT_TRUE(node.answers.empty());
}

TEST(UnusualInput, StateStaysBoundedOverManyIds) {
  Settings s = BaseSettings();
  s.classes[0].sequential = true;
  TestNode node(s);
  MessageId id = 0;
  Micros now = kStart;
  for (int round = 0; round < 400; ++round) {
    const auto destination = static_cast<std::uint64_t>(round);
    const EndpointId endpoint = "e" + std::to_string(round);
    node.Turn(now, [&] { node.UpdateList({TestNode::MakeEndpoint(destination, endpoint)}); });
    node.Run(
        now, now + seconds(1),
        [&](const SendRecord& sent) {
          return Reply{sent.id % 5 == 0 ? Result::kError : Result::kOk, milliseconds(20)};
        },
        [&](Micros at) {
          if ((at - now) % milliseconds(200) == Micros(0)) {
            ++id;
            node.Enqueue(id, destination, seconds(2), "k" + std::to_string(id));
          }
        });
    now += seconds(1);
  }
  const Footprint used = node.brain().footprint();
  EXPECT_LE(used.messages, 20U);
  EXPECT_LE(used.keys, 45U);         // keys whose gap is over go with the periodic cleanup
  EXPECT_LE(used.rate_scopes, 70U);  // those used within a minute
  EXPECT_LE(used.endpoints, 7U);     // the listed one, and those gone since the last cleanup
  node.Turn(now + seconds(70));
  node.Turn(now + seconds(76));
  EXPECT_EQ(node.brain().footprint().messages, 0U);
  EXPECT_EQ(node.brain().footprint().keys, 0U);
  EXPECT_LE(node.brain().footprint().rate_scopes, 1U);
}

// Guards against state in proportion to the list: a thousand endpoints, a call now and then.
TEST(StateSize, DependsOnTheTrafficNotOnTheListsLength) {
  Settings s = BaseSettings();
  s.senders = 300;
  TestNode node(s);
  std::vector<Endpoint> list;
  for (std::uint64_t i = 0; i < 1000; ++i)
    list.push_back(TestNode::MakeEndpoint(i / 2, "e" + std::to_string(i)));
  node.Turn(kStart, [&] { node.UpdateList(list); });
  MessageId id = 0;
  node.Run(
      kStart, kStart + seconds(100), [](const SendRecord&) { return Reply{}; },
      [&](Micros at) {
        if ((at - kStart) % milliseconds(500) == Micros(0)) {
          ++id;
          node.Enqueue(id, id % 500);
        }
        EXPECT_LE(node.brain().footprint().rate_scopes,
                  2U * 66);  // used within a minute and the time to the next cleanup
      });
  EXPECT_EQ(id, 200U);
  EXPECT_EQ(node.sends.size(), 200U);
  EXPECT_EQ(node.brain().footprint().messages, 0U);
  EXPECT_EQ(node.brain().footprint().endpoints, 1000U);
  node.Turn(kStart + seconds(101), [&] {
    list.resize(10);
    node.UpdateList(list);
  });
  node.Turn(kStart + seconds(165));
  node.Turn(kStart + seconds(230));
  EXPECT_EQ(node.brain().footprint().endpoints, 10U);
  EXPECT_EQ(node.brain().footprint().rate_scopes, 0U);
}

// Guards against a call during a Retry-After because the endpoint left the list meanwhile and came back (rule
// 6, Retry-After is heeded).
TEST(RetryAfter, HoldsWhileTheEndpointIsOffTheListAndBackOnIt) {
  TestNode node(BaseSettings());
  node.Turn(kStart, [&] {
    node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1)});
    node.Enqueue(1, 7);
  });
  node.Turn(kStart + milliseconds(50), [&] {
    node.ReportOutcome(1, {Result::kRefused, milliseconds(50), seconds(8)}, false);
  });
  node.Turn(kStart + seconds(1), [&] { node.UpdateList({}); });
  node.Turn(kStart + seconds(6));
  node.Turn(kStart + seconds(7), [&] { node.UpdateList({TestNode::MakeEndpoint(7, "a", 0, 1)}); });
  EXPECT_EQ(node.CountSends(MessageId{1}), 1);
  node.Turn(kStart + seconds(9));
  EXPECT_EQ(node.CountSends(MessageId{1}), 2);
}

TEST(Determinism, SameEventsSameActions) {
  auto run = [] {
    TestNode node(BaseSettings());
    MessageId id = 0;
    node.Turn(kStart, [&] {
      node.UpdateList(
          {TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(7, "b"), TestNode::MakeEndpoint(8, "c")});
    });
    node.Run(
        kStart, kStart + seconds(5),
        [](const SendRecord& sent) {
          return Reply{sent.id % 7 == 0 ? Result::kRefused : Result::kOk,
                       milliseconds(30 + 10 * (sent.id % 9))};
        },
        [&](Micros now) {
          if ((now - kStart) % milliseconds(70) != Micros(0)) return;
          ++id;
          node.Enqueue(id, id % 3 == 0 ? 8 : 7);
        });
    std::vector<std::pair<MessageId, EndpointId>> sends;
    for (const SendRecord& sent : node.sends) sends.emplace_back(sent.id, sent.endpoint);
    return sends;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace indigosaddle::testing
