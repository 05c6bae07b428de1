// New settings while the engine holds messages: what takes effect at once, and what is kept of what it has
// learned.
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

// BaseSettings with one change.
Settings ChangedSettings(const std::function<void(Settings&)>& change) {
  Settings settings = BaseSettings();
  change(settings);
  return settings;
}

class SettingsChange : public ::testing::Test {
 protected:
  SettingsChange() : node(BaseSettings()) {
    node.Turn(Micros(0), [&] { node.UpdateList({TestNode::MakeEndpoint(1, "a")}); });
  }
  // Applies BaseSettings with `change` in a turn at `at`.
  void Change(Micros at, const std::function<void(Settings&)>& change) {
    node.Turn(at, [&] { node.Configure(ChangedSettings(change)); });
  }
  TestNode node;
};

TEST_F(SettingsChange, FewerSlotsLetCallsInFlightEnd) {
  node.Turn(seconds(1), [&] {
    for (MessageId id = 1; id <= 10; ++id) node.Enqueue(id, 1);
  });
  const std::size_t before = node.sends.size();
  ASSERT_GT(before, 2u);
  Change(seconds(2), [](Settings& s) { s.call_slots = 1; });
  EXPECT_EQ(node.sends.size(), before);
  for (std::size_t i = 0; i + 1 < before; ++i) {
    node.Turn(seconds(3) + milliseconds(i), [&] { node.ReportOutcome(node.sends[i].id, Result::kOk); });
    EXPECT_EQ(node.sends.size(), before);  // at least one call is still in flight
  }
  node.Turn(seconds(4), [&] { node.ReportOutcome(node.sends[before - 1].id, Result::kOk); });
  EXPECT_EQ(node.sends.size(), before + 1);
  EXPECT_TRUE(node.answers.empty());
}

TEST_F(SettingsChange, SmallerRoomRejectsMessagesOfLeastWorthAtOnce) {
  node.Turn(seconds(1), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a"),
                     TestNode::MakeEndpoint(2, "b", 0, 0, EndpointState::kDraining)});  // b takes nothing new
    for (MessageId id = 1; id <= 100; ++id) node.Enqueue(id, 2);
  });
  ASSERT_EQ(node.answers.size(), 0u);
  Change(seconds(2), [](Settings& s) { s.max_open = 40; });
  EXPECT_EQ(node.refused.size(), 62u);  // down to 95% of max_open
  EXPECT_TRUE(node.failed.empty());
  for (const auto& [id, count] : node.answers) EXPECT_EQ(count, 1) << id;
  Change(seconds(3), [](Settings& s) { s.max_open = 200; });
  EXPECT_EQ(node.refused.size(), 62u);
}

TEST_F(SettingsChange, LoweredMaxAttemptsEndsMessagesThatHaveHadThem) {
  node.Turn(seconds(1), [&] { node.Enqueue(1, 1); });
  ASSERT_EQ(node.sends.size(), 1u);
  node.Turn(seconds(2), [&] { node.ReportOutcome(1, Result::kNoConnection); });
  Change(milliseconds(2010), [](Settings& s) { s.max_attempts = 1; });
  EXPECT_TRUE(node.Refused(1) || node.CountSends(1) == 2);
  node.Turn(seconds(3), [&] { node.ReportOutcome(1, Result::kNoConnection); });
  EXPECT_TRUE(node.Refused(1));
  EXPECT_EQ(node.answers[1], 1);
}

TEST_F(SettingsChange, RetryAfterAndLearnedRateAreKept) {
  node.Turn(seconds(1), [&] { node.Enqueue(1, 1); });
  node.Turn(seconds(2), [&] {
    node.ReportOutcome(1, Reply{Result::kRefused, milliseconds(0), seconds(5)}, false);
  });
  Change(milliseconds(2500), [](Settings& s) {
    s.senders = 9;
    s.call_slots = 100;
    s.max_attempts = 90;
  });
  node.Run(milliseconds(2510), seconds(7), [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(node.CountSends(1), 1);  // rule 6: Retry-After is heeded
  node.Run(seconds(7), seconds(20), [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(
      node.CountSends(1),
      2);  // so long a Retry-After may mean an outage: one more random delay (rule 4, unsure means cold)
}

TEST_F(SettingsChange, NewClassIsUsedAndHeldMessagesKeepTheirClass) {
  node.Turn(seconds(1), [&] {
    node.UpdateList(
        {TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b", 0, 0, EndpointState::kDraining)});
    node.Enqueue(1, 2);
  });
  Change(seconds(2), [](Settings& s) {
    s.classes.push_back(s.classes[0]);
    s.classes[1].effect = Effect::kSafe;
  });
  node.Turn(seconds(3), [&] {
    node.Enqueue(2, 1, seconds(20), "", 1);
    node.UpdateList({TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b")});
  });
  EXPECT_EQ(node.CountSends(1), 1);
  EXPECT_EQ(node.CountSends(2), 1);
  // A safe message may be repeated though it may have run: the settings of the new class apply.
  node.Turn(seconds(4), [&] { node.ReportOutcome(2, Result::kReset); });
  node.Run(seconds(4), seconds(8), [](const SendRecord&) { return Reply{}; });
  EXPECT_GE(node.CountSends(2), 2);
}

// Parameters: the class's effect when the message is enqueued, and after the change.
class RepeatRulesKept : public SettingsChange,
                        public ::testing::WithParamInterface<std::pair<Effect, Effect>> {};

// A message keeps the repeat rules that it was enqueued with: after a reset it is sent again where those
// allow it.
TEST_P(RepeatRulesKept, MessageKeepsItsRulesWhenItsClassChanges) {
  const auto [enqueued, changed] = GetParam();
  Change(milliseconds(500), [&, effect = enqueued](Settings& s) { s.classes[0].effect = effect; });
  node.Turn(seconds(1), [&] { node.Enqueue(1, 1); });
  ASSERT_EQ(node.CountSends(1), 1);
  Change(seconds(2), [&, effect = changed](Settings& s) { s.classes[0].effect = effect; });
  node.Turn(seconds(3), [&] { node.ReportOutcome(1, Result::kReset); });
  node.Run(seconds(3), seconds(8), [](const SendRecord&) { return Reply{}; });
  EXPECT_EQ(node.CountSends(1) > 1, enqueued != Effect::kUnsafe);
  EXPECT_EQ(node.Failed(1), enqueued == Effect::kUnsafe);
}
INSTANTIATE_TEST_SUITE_P(Effects, RepeatRulesKept,
                         ::testing::Values(std::pair(Effect::kUnsafe, Effect::kSafe),
                                           std::pair(Effect::kSafe, Effect::kUnsafe),
                                           std::pair(Effect::kKeyed, Effect::kUnsafe),
                                           std::pair(Effect::kUnsafe, Effect::kKeyed)));

TEST_F(SettingsChange, KeysLifetimeIsTheOneThatItsMessageWasEnqueuedWith) {
  for (const bool longer : {true, false}) {
    TestNode one(
        ChangedSettings([&](Settings& s) { s.classes[0].key_ttl = longer ? seconds(2) : seconds(20); }));
    one.Turn(Micros(0), [&] { one.UpdateList({TestNode::MakeEndpoint(1, "a")}); });
    one.Turn(seconds(1), [&] { one.Enqueue(1, 1); });
    one.Configure(
        ChangedSettings([&](Settings& s) { s.classes[0].key_ttl = longer ? seconds(20) : seconds(2); }));
    one.Turn(seconds(4), [&] { one.ReportOutcome(1, Result::kReset); });
    one.Run(seconds(4), seconds(9), [](const SendRecord&) { return Reply{}; });
    EXPECT_EQ(one.CountSends(1) > 1, !longer);
    EXPECT_EQ(one.answers[1] > 0, longer);
  }
}

// Once a class becomes sequential, new messages wait for those that were enqueued before without order.
// Messages that were enqueued as sequential stay so when the class no longer is.
TEST_F(SettingsChange, SequentialAppliesToNewMessagesAndIsKeptByOldOnes) {
  node.Turn(seconds(1), [&] {
    node.Enqueue(1, 1, seconds(20), "k");
    node.Enqueue(2, 1, seconds(20), "k");
  });
  EXPECT_EQ(node.sends.size(), 2u);  // enqueued without order
  Change(seconds(2), [](Settings& s) { s.classes[0].sequential = true; });
  node.Turn(milliseconds(2100), [&] {
    node.Enqueue(3, 1, seconds(20), "k");
    node.Enqueue(4, 1, seconds(20), "k");
  });
  EXPECT_EQ(node.CountSends(3), 0);  // two before it are in flight
  Change(milliseconds(2200), [](Settings& s) { s.classes[0].sequential = false; });
  node.Turn(milliseconds(2300), [&] { node.Enqueue(5, 1, seconds(20), "k"); });
  EXPECT_EQ(node.CountSends(5), 1);  // enqueued without order
  EXPECT_EQ(node.CountSends(3), 0);
  node.Turn(milliseconds(2400), [&] {
    node.ReportOutcome(1, Result::kOk);
    node.ReportOutcome(2, Result::kOk);
  });
  EXPECT_EQ(node.CountSends(3), 1);
  EXPECT_EQ(node.CountSends(4), 0);
  node.Turn(milliseconds(2500), [&] { node.ReportOutcome(3, Result::kOk); });
  EXPECT_EQ(node.CountSends(4), 1);
}

// Guards against a call that takes its class's new key lifetime while it waits for its connection: that of
// its message applies.
TEST_F(SettingsChange, CallThatWaitsForItsConnectionKeepsItsMessagesRules) {
  Change(milliseconds(100), [](Settings& s) { s.classes[0].key_ttl = seconds(2); });
  node.Turn(seconds(1), [&] { node.Enqueue(1, 1); });
  node.Turn(milliseconds(1500), [&] { node.ReportOutcome(1, Result::kReset); });
  for (Micros now = milliseconds(1510); now < milliseconds(2700); now += milliseconds(10)) node.Turn(now);
  ASSERT_EQ(node.CountSends(1), 2);
  Change(milliseconds(2700), [](Settings& s) { s.classes[0].key_ttl = seconds(20); });
  EXPECT_TRUE(node.brain().MayStillStart(1, milliseconds(2750)));
  EXPECT_FALSE(node.brain().MayStillStart(1, milliseconds(2850)));
  Change(milliseconds(2710), [](Settings& s) { s.classes[0].effect = Effect::kSafe; });
  EXPECT_FALSE(node.brain().MayStillStart(1, milliseconds(2850)));
}

TEST_F(SettingsChange, LoweredMaxAttemptsEndsAMessageByItsOwnRules) {
  for (const Effect effect : {Effect::kUnsafe, Effect::kSafe}) {
    TestNode one(ChangedSettings([&](Settings& s) { s.classes[0].effect = effect; }));
    one.Turn(Micros(0), [&] { one.UpdateList({TestNode::MakeEndpoint(1, "a")}); });
    one.Turn(seconds(1), [&] { one.Enqueue(1, 1); });
    one.Configure(ChangedSettings([](Settings& s) {
      s.max_attempts = 1;
      s.classes[0].effect = Effect::kSafe;
    }));
    one.Turn(seconds(2), [&] { one.ReportOutcome(1, Result::kTimeout); });
    EXPECT_EQ(one.Failed(1), effect == Effect::kUnsafe);
    EXPECT_EQ(one.Refused(1), effect == Effect::kSafe);
    EXPECT_EQ(one.causes[1], GiveUpCause::kNoAttemptsLeft);
  }
}

// A message whose class was removed from the settings is delivered all the same, with the longest attempt
// timeout of any class.
TEST_F(SettingsChange, MessageOfARemovedClassIsDelivered) {
  node.Turn(seconds(1), [&] {
    Message message{1, -1, 0, "", seconds(20), 1};
    message.rules = BaseSettings().classes[0];
    node.brain().OnMessage(message);
  });
  ASSERT_EQ(node.CountSends(1), 1);
  EXPECT_GE(node.sends[0].timeout, seconds(2));
}

TEST_F(SettingsChange, ManyChangesUnderTrafficGiveEachMessageOneAnswer) {
  int turn = 0;
  MessageId next = 1;
  node.Run(
      seconds(1), seconds(30),
      [&](const SendRecord& sent) {
        return std::optional(
            Reply{sent.id % 5 == 0 ? Result::kRefused : Result::kOk, milliseconds(50 + sent.id % 200)});
      },
      [&](Micros now) {
        if (now < seconds(20) && turn % 3 == 0) node.Enqueue(next++, 1, seconds(5));
        if (++turn % 50 == 0) {
          node.Configure(ChangedSettings([&](Settings& s) {
            s.call_slots = 1 + turn / 50 % 9;
            s.max_open = 5 + turn / 50 % 4 * 30;
            s.max_attempts = 1 + turn / 50 % 7;
            s.senders = 1 + turn / 50 % 5;
          }));
        }
      });
  EXPECT_GT(next, 600u);
  EXPECT_EQ(node.brain().footprint().messages, 0u);
  for (const auto& [id, count] : node.answers) EXPECT_EQ(count, 1) << id;
  EXPECT_TRUE(node.failed.empty());
}

}  // namespace
}  // namespace indigosaddle::testing
