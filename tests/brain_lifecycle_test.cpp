// The table of phase and action, and the order in which phases follow one another.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "brain/lifecycle.h"

namespace indigosaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LifecycleTest : public ::testing::Test {
 protected:
  static constexpr Micros kStart = seconds(100);

  void Serve() { lifecycle.Serve(kStart); }
  void Stop(Micros at) { lifecycle.Stop(at, at); }
  std::vector<Phase> Entered() const {
    std::vector<Phase> phases;
    for (const PhaseChange& change : changes) phases.push_back(change.to);
    return phases;
  }

  std::vector<PhaseChange> changes;
  std::vector<std::pair<Phase, Action>> breaks;
  Lifecycle lifecycle{kStart, [this](const PhaseChange& change) { changes.push_back(change); },
                      [this](Phase phase, Action action) { breaks.emplace_back(phase, action); }};
};

// Guards against intake behind its end: whoever asks late is denied, whether or not a timer has run.
TEST_F(LifecycleTest, TheClockAloneEndsIntake) {
  Serve();
  Stop(kStart);
  EXPECT_TRUE(lifecycle.May(Action::kTake, kStart + Lifecycle::kRefuseAfter - milliseconds(1)));
  EXPECT_EQ(lifecycle.phase(), Phase::kLeaving);
  for (const Action action : {Action::kTake, Action::kBegin, Action::kRepeat, Action::kReload})
    EXPECT_FALSE(lifecycle.May(action, kStart + Lifecycle::kRefuseAfter)) << NameOf(action);
  EXPECT_EQ(lifecycle.phase(), Phase::kRefusing);
  EXPECT_TRUE(lifecycle.May(Action::kRead, kStart + Lifecycle::kRefuseAfter));
  EXPECT_TRUE(lifecycle.May(Action::kNotice, kStart + Lifecycle::kRefuseAfter));
}

// Guards against a stop that time alone carries on: closing and the end come with what has ended.
TEST_F(LifecycleTest, BehindIntakeOnlyWhatHasEndedLeadsOn) {
  Serve();
  Stop(kStart);
  lifecycle.Advance(kStart + seconds(60));
  EXPECT_EQ(lifecycle.phase(), Phase::kRefusing);
  lifecycle.Advance(kStart + seconds(61));
  EXPECT_EQ(lifecycle.phase(), Phase::kRefusing);
  EXPECT_FALSE(lifecycle.May(Action::kEnd, kStart + seconds(61)));
  lifecycle.AllDismissed(kStart + seconds(61));
  EXPECT_EQ(lifecycle.phase(), Phase::kClosing);
  EXPECT_TRUE(lifecycle.May(Action::kEnd, kStart + seconds(61)));
  lifecycle.End(PhaseCause::kNothingLeft, kStart + seconds(61));
  for (std::size_t i = 0; i < kActions; ++i)
    EXPECT_FALSE(lifecycle.May(static_cast<Action>(i), kStart + seconds(62)))
        << NameOf(static_cast<Action>(i));
  EXPECT_TRUE(breaks.empty());
}

// Guards against too little room: six hold-ups in a row behind intake, three behind the end, before the kill.
TEST_F(LifecycleTest, IntakeAndEndLeaveRoomForHoldUpsInARow) {
  constexpr Micros kEarliestKill = milliseconds(3700), kHoldUp = milliseconds(150);
  EXPECT_LE(Lifecycle::kRefuseAfter + 6 * kHoldUp, kEarliestKill);
  EXPECT_LE(Lifecycle::kEndAfter + 3 * kHoldUp, kEarliestKill);
  EXPECT_LT(Lifecycle::kLeaveAfter, Lifecycle::kRefuseAfter);
  EXPECT_LT(Lifecycle::kCloseAfter, Lifecycle::kEndAfter);
}

// Guards against a stop that counts from when the process was let go on, not from its signal.
TEST_F(LifecycleTest, AStopCountsFromItsSignal) {
  Serve();
  lifecycle.Stop(kStart, kStart + milliseconds(450));
  EXPECT_FALSE(lifecycle.May(Action::kTake, kStart + Lifecycle::kRefuseAfter));
}

TEST_F(LifecycleTest, TheFirstOfSeveralStopsCounts) {
  Serve();
  Stop(kStart);
  lifecycle.Stop(kStart + seconds(1), kStart + seconds(1));
  EXPECT_FALSE(lifecycle.May(Action::kTake, kStart + Lifecycle::kRefuseAfter));
}

// Guards against a quiesce or resume that turns a stop back.
TEST_F(LifecycleTest, NothingTurnsAStopBack) {
  Serve();
  lifecycle.Quiesce(kStart);
  Stop(kStart);
  lifecycle.Resume(kStart);
  lifecycle.Quiesce(kStart);
  lifecycle.Serve(kStart);
  EXPECT_EQ(lifecycle.phase(), Phase::kDraining);
}

// Guards against two processes that both begin calls: one that waits to take over begins none, whatever its
// phase.
TEST_F(LifecycleTest, OnStandbyNoCallBeginsButMessagesAreTaken) {
  lifecycle.SetStandby(true);
  Serve();
  EXPECT_TRUE(lifecycle.May(Action::kTake, kStart));
  EXPECT_FALSE(lifecycle.May(Action::kBegin, kStart));
  EXPECT_FALSE(lifecycle.May(Action::kRepeat, kStart));
  EXPECT_EQ(lifecycle.CallsEndBy(kStart), kStart);
  lifecycle.SetStandby(false);
  EXPECT_TRUE(lifecycle.May(Action::kBegin, kStart));
  EXPECT_EQ(lifecycle.CallsEndBy(kStart), Micros::max());
}

// Guards against an old process that takes on beside its successor for as long as a stop lasts.
TEST_F(LifecycleTest, ASuccessorEndsIntakeSoonerWheneverItComes) {
  Serve();
  Stop(kStart);
  lifecycle.HandOver(kStart + milliseconds(500));
  EXPECT_EQ(lifecycle.phase(), Phase::kLeaving);
  EXPECT_EQ(changes.back().cause, PhaseCause::kSuccessor);
  const Micros over = kStart + milliseconds(500) + Lifecycle::kHandOverTakes;
  EXPECT_TRUE(lifecycle.May(Action::kTake, over - milliseconds(1)));
  EXPECT_FALSE(lifecycle.May(Action::kTake, over));
}

// Guards against a break that goes unseen: it is counted and told; a denial is counted and none.
TEST_F(LifecycleTest, WhatIsDoneAgainstTheTableIsABreak) {
  Serve();
  EXPECT_FALSE(lifecycle.May(Action::kEnd, kStart));
  EXPECT_EQ(lifecycle.breaks(), 0u);
  EXPECT_EQ(lifecycle.denied()[static_cast<std::size_t>(Action::kEnd)], 1u);
  lifecycle.Did(Action::kDismiss);
  EXPECT_EQ(lifecycle.breaks(), 1u);
  ASSERT_EQ(breaks.size(), 1u);
  EXPECT_EQ(breaks[0], std::pair(Phase::kServing, Action::kDismiss));
}

// Guards against counts of one phase in the line of the next.
TEST_F(LifecycleTest, EachPhaseTellsWhatWasDoneAndDeniedInIt) {
  Serve();
  lifecycle.Did(Action::kTake);
  lifecycle.Did(Action::kTake);
  Stop(kStart + seconds(1));
  EXPECT_EQ(changes.back().done[static_cast<std::size_t>(Action::kTake)], 2u);
  EXPECT_EQ(changes.back().lasted, seconds(1));
  lifecycle.Advance(kStart + seconds(9));
  EXPECT_EQ(changes.back().done[static_cast<std::size_t>(Action::kTake)], 0u);
  EXPECT_EQ(Entered(), (std::vector<Phase>{Phase::kServing, Phase::kDraining, Phase::kRefusing}));
}

}  // namespace
}  // namespace indigosaddle
