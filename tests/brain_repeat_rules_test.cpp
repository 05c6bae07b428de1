// Which rules apply to an enqueued message, from what its command tells (src/brain/repeat_rules.h).
#include <gtest/gtest.h>

#include "brain/repeat_rules.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RepeatRules kUnsafeRules{Effect::kUnsafe};
constexpr RepeatRules kSafeRules{Effect::kSafe};
constexpr RepeatRules kKeyedRules{Effect::kKeyed, Group::kAll, seconds(20)};
constexpr Micros kDeadline = seconds(8);
constexpr Micros kStart = seconds(1000);

RuleHistory::Classes ClassWith(const RepeatRules& rules, Micros deadline = kDeadline) {
  ClassSettings settings;
  static_cast<RepeatRules&>(settings) = rules;
  settings.deadline = deadline;
  return {{"notice", settings}};
}

class RuleHistoryTest : public ::testing::Test {
 protected:
  void Begin(const RepeatRules& rules) { history.Begin(ClassWith(rules), kStart, PriorRules::kNone); }
  // The rules of a message received at `at` with the time `left` to deliver it; `again`: its client enqueued
  // it before; `key`: it has an idempotency key.
  RepeatRules RulesOf(Micros at, Micros left = kDeadline, bool again = false, bool key = true) const {
    return history.RulesFor("notice", {at, left, again, key}).rules;
  }
  RuleHistory history;
};

TEST_F(RuleHistoryTest, WithoutAChangeTheRulesAreSureAtAnyAge) {
  Begin(kUnsafeRules);
  EXPECT_EQ(RulesOf(kStart), kUnsafeRules);
  EXPECT_TRUE(history.RulesFor("notice", {kStart, seconds(1), true, true}).sure);
  EXPECT_FALSE(history.RulesFor("other", {kStart, seconds(1), true, true}).sure);
}

TEST_F(RuleHistoryTest, LooserRulesApplyOnlyToMessagesSurelyCreatedAfterTheChange) {
  Begin(kUnsafeRules);
  ASSERT_TRUE(history.Change(ClassWith(kSafeRules), kStart + seconds(10)));
  const Micros change = kStart + seconds(10);
  EXPECT_EQ(RulesOf(change + milliseconds(1200)), kUnsafeRules);
  EXPECT_EQ(RulesOf(change + milliseconds(2900)), kUnsafeRules);
  EXPECT_EQ(RulesOf(change + milliseconds(3100)), kSafeRules);
  EXPECT_EQ(RulesOf(change + milliseconds(3100), seconds(7)), kUnsafeRules);  // 1 s old
  EXPECT_EQ(RulesOf(change + milliseconds(4100), seconds(7)), kSafeRules);
  EXPECT_EQ(RulesOf(change + seconds(10), seconds(8), true), kUnsafeRules);  // enqueued before: any age
  EXPECT_EQ(RulesOf(change + seconds(10), seconds(60)), kUnsafeRules);       // more than its class allows
  EXPECT_EQ(RulesOf(change + milliseconds(11100), seconds(1), true), kSafeRules);
  EXPECT_FALSE(history.Change(ClassWith(kSafeRules), change + seconds(1)));
}

TEST_F(RuleHistoryTest, StricterRulesApplyAtOnce) {
  Begin(kSafeRules);
  history.Change(ClassWith(kUnsafeRules), kStart);
  EXPECT_EQ(RulesOf(kStart), kUnsafeRules);
  EXPECT_EQ(RulesOf(kStart - milliseconds(5)), kUnsafeRules);  // its first bytes came before
}

// Guards against an age that is underestimated: it is computed from the longest deadline, old or new.
TEST_F(RuleHistoryTest, AgeIsComputedFromTheLongestDeadline) {
  Begin(kUnsafeRules);
  history.Change(ClassWith(kSafeRules, seconds(2)), kStart);
  EXPECT_EQ(RulesOf(kStart + seconds(5), seconds(2)), kUnsafeRules);
  EXPECT_EQ(RulesOf(kStart + milliseconds(9100), seconds(2)), kSafeRules);
}

TEST_F(RuleHistoryTest, SeveralQuickChangesApplyTheStrictestOfAll) {
  Begin(kSafeRules);
  history.Change(ClassWith(kKeyedRules), kStart + milliseconds(300));
  history.Change(ClassWith({Effect::kKeyed, Group::kZone, seconds(30), true}), kStart + milliseconds(600));
  history.Change(ClassWith(kSafeRules), kStart + milliseconds(900));
  EXPECT_EQ(RulesOf(kStart + seconds(1)), (RepeatRules{Effect::kKeyed, Group::kZone, seconds(20), true}));
  EXPECT_EQ(RulesOf(kStart + seconds(4)), kSafeRules);
}

TEST_F(RuleHistoryTest, AClassRemovedAndAddedAgainKeepsItsHistory) {
  Begin(kUnsafeRules);
  history.Change({}, kStart + seconds(1));
  history.Change(ClassWith(kSafeRules), kStart + seconds(2));
  EXPECT_EQ(RulesOf(kStart + seconds(3)), kUnsafeRules);
  EXPECT_EQ(RulesOf(kStart + seconds(5)), kSafeRules);
}

TEST_F(RuleHistoryTest, AKeyedMessageWithoutAKeyMayNotBeRepeated) {
  Begin(kKeyedRules);
  EXPECT_EQ(RulesOf(kStart).effect, Effect::kKeyed);
  EXPECT_EQ(RulesOf(kStart, kDeadline, false, false).effect, Effect::kUnsafe);
}

TEST_F(RuleHistoryTest, UnknownPriorRulesCountAsTheStrictest) {
  history.Begin(ClassWith(kSafeRules), kStart, PriorRules::kUnknown);
  EXPECT_EQ(RulesOf(kStart + seconds(1)), kStrictestRules);
  EXPECT_EQ(RulesOf(kStart + seconds(4)), kSafeRules);
}

TEST_F(RuleHistoryTest, ARestartContinuesTheSavedHistory) {
  Begin(kUnsafeRules);
  history.Change(ClassWith(kSafeRules), kStart + seconds(1));
  RuleHistory next;
  next.Restore(history.spans(), kStart + seconds(2));
  next.Change(ClassWith(kSafeRules), kStart + seconds(2));
  EXPECT_EQ(next.RulesFor("notice", {kStart + seconds(3), kDeadline, false, true}).rules, kUnsafeRules);
  EXPECT_EQ(next.RulesFor("notice", {kStart + seconds(5), kDeadline, false, true}).rules, kSafeRules);
  // Node time has restarted and lies before the saved times: the change counts as made now.
  RuleHistory other_boot;
  other_boot.Restore(history.spans(), seconds(5));
  other_boot.Change(ClassWith(kSafeRules), seconds(5));
  EXPECT_EQ(other_boot.RulesFor("notice", {seconds(7), kDeadline, false, true}).rules, kUnsafeRules);
  EXPECT_EQ(other_boot.RulesFor("notice", {seconds(9), kDeadline, false, true}).rules, kSafeRules);
}

TEST_F(RuleHistoryTest, ASuccessorMergesThePreviousProcessesHistory) {
  Begin(kSafeRules);  // the successor's own file
  RuleHistory before;
  before.Begin(ClassWith(kUnsafeRules), kStart, PriorRules::kNone);
  history.Merge(before.spans(), kStart + seconds(1));
  EXPECT_EQ(RulesOf(kStart + seconds(2)), kUnsafeRules);
  EXPECT_EQ(RulesOf(kStart + seconds(5)), kSafeRules);
  EXPECT_TRUE(history.Change(ClassWith(kUnsafeRules), kStart + seconds(6)));
  EXPECT_EQ(RulesOf(kStart + seconds(6)), kUnsafeRules);
}

TEST_F(RuleHistoryTest, ManyChangesAreBoundedAndPruned) {
  Begin(kUnsafeRules);
  for (int i = 1; i <= 1000; ++i)
    history.Change(ClassWith(i % 2 == 0 ? kUnsafeRules : kSafeRules), kStart + milliseconds(i));
  EXPECT_LE(history.spans().at("notice").size(), 16u);
  history.Change(ClassWith(kSafeRules), kStart + seconds(2));
  EXPECT_EQ(RulesOf(kStart + seconds(3)), kUnsafeRules);
  history.Change(ClassWith(kKeyedRules), kStart + seconds(60));
  EXPECT_EQ(history.spans().at("notice").size(), 2u);
}

}  // namespace
}  // namespace indigosaddle::testing
