// The lifecycle's table of phases and actions, and the order of the phases.
#include <gtest/gtest.h>

#include <array>
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
  std::vector<std::pair<Phase, Action>> violations;
  Lifecycle lifecycle{kStart, [this](const PhaseChange& change) { changes.push_back(change); },
                      [this](Phase phase, Action action) { violations.emplace_back(phase, action); }};
};

// Guards against intake after its end: a late request is denied, whether or not a timer has run.
TEST_F(LifecycleTest, IntakeEndsByTimeWithoutATimer) {
  Serve();
  Stop(kStart);
  EXPECT_TRUE(lifecycle.May(Action::kAcceptMessage, kStart + Lifecycle::kRejectAfter - milliseconds(1)));
  EXPECT_EQ(lifecycle.phase(), Phase::kDisconnecting);
  for (const Action action :
       {Action::kAcceptMessage, Action::kBeginFirstCall, Action::kRepeatCall, Action::kReloadConfiguration})
    EXPECT_FALSE(lifecycle.May(action, kStart + Lifecycle::kRejectAfter)) << NameOf(action);
  EXPECT_EQ(lifecycle.phase(), Phase::kRejecting);
  EXPECT_TRUE(lifecycle.May(Action::kReadCommand, kStart + Lifecycle::kRejectAfter));
  EXPECT_TRUE(lifecycle.May(Action::kSendNotice, kStart + Lifecycle::kRejectAfter));
}

// Guards against a shutdown that closes or ends by time alone, while clients are left or calls are in flight.
TEST_F(LifecycleTest, AfterIntakeTimeAloneDoesNotAdvanceTheShutdown) {
  Serve();
  Stop(kStart);
  lifecycle.Advance(kStart + seconds(60));
  EXPECT_EQ(lifecycle.phase(), Phase::kRejecting);
  lifecycle.Advance(kStart + seconds(61));
  EXPECT_EQ(lifecycle.phase(), Phase::kRejecting);
  EXPECT_FALSE(lifecycle.May(Action::kEndProcess, kStart + seconds(61)));
  lifecycle.AllClientsDone(kStart + seconds(61));
  EXPECT_EQ(lifecycle.phase(), Phase::kClosing);
  EXPECT_TRUE(lifecycle.May(Action::kEndProcess, kStart + seconds(61)));
  lifecycle.End(PhaseCause::kNothingInFlight, kStart + seconds(61));
  for (std::size_t i = 0; i < kActions; ++i)
    EXPECT_FALSE(lifecycle.May(static_cast<Action>(i), kStart + seconds(62)))
        << NameOf(static_cast<Action>(i));
  EXPECT_TRUE(violations.empty());
}

// Guards against too little room before SIGKILL: for six delays in a row after intake, three after the end.
TEST_F(LifecycleTest, IntakeAndEndLeaveRoomForDelaysInARow) {
  constexpr Micros kEarliestKill = milliseconds(3700), kDelay = milliseconds(150);
  EXPECT_LE(Lifecycle::kRejectAfter + 6 * kDelay, kEarliestKill);
  EXPECT_LE(Lifecycle::kEndAfter + 3 * kDelay, kEarliestKill);
  EXPECT_LT(Lifecycle::kDisconnectAfter, Lifecycle::kRejectAfter);
  EXPECT_LT(Lifecycle::kCloseAfter, Lifecycle::kEndAfter);
}

// Guards against a switch to a successor that lasts longer than a client waits for its reply.
TEST_F(LifecycleTest, ASwitchOfIntakeIsOverBeforeAClientGivesUp) {
  constexpr Micros kClientWaits = milliseconds(400), kDelay = milliseconds(150);
  EXPECT_LE(Lifecycle::kSwitchEndAfter + kDelay, kClientWaits);
  EXPECT_LT(Lifecycle::kSwitchRejectAfter, Lifecycle::kSwitchCloseAfter);
  EXPECT_LT(Lifecycle::kSwitchCloseAfter, Lifecycle::kSwitchEndAfter);
}

// Guards against a shutdown timed from when a delayed process ran again instead of from its signal.
TEST_F(LifecycleTest, ShutdownTimesCountFromTheSignal) {
  Serve();
  lifecycle.Stop(kStart, kStart + milliseconds(450));
  EXPECT_FALSE(lifecycle.May(Action::kAcceptMessage, kStart + Lifecycle::kRejectAfter));
}

TEST_F(LifecycleTest, LaterStopRequestsDoNotExtendTheShutdown) {
  Serve();
  Stop(kStart);
  lifecycle.Stop(kStart + seconds(1), kStart + seconds(1));
  EXPECT_FALSE(lifecycle.May(Action::kAcceptMessage, kStart + Lifecycle::kRejectAfter));
}

// Guards against a quiesce or resume request that reverts a shutdown.
TEST_F(LifecycleTest, QuiesceAndResumeDoNotRevertAShutdown) {
  Serve();
  lifecycle.Quiesce(kStart);
  Stop(kStart);
  lifecycle.Resume(kStart);
  lifecycle.Quiesce(kStart);
  lifecycle.Serve(kStart);
  EXPECT_EQ(lifecycle.phase(), Phase::kDraining);
}

// Guards against two processes that both serve: one that waits to take over accepts no client and no message
// and begins no call, in any phase and however long it waits.
TEST_F(LifecycleTest, StandbyServesNoClientAndBeginsNoCalls) {
  constexpr std::array kOwnersActions = {Action::kAcceptClient,  Action::kReadCommand,
                                         Action::kAcceptMessage, Action::kBeginFirstCall,
                                         Action::kRepeatCall,    Action::kSendNotice};
  lifecycle.SetStandby(true);
  Serve();
  for (const Action action : kOwnersActions) {
    EXPECT_FALSE(lifecycle.May(action, kStart)) << NameOf(action);
    EXPECT_FALSE(lifecycle.May(action, kStart + seconds(60))) << NameOf(action);
  }
  EXPECT_TRUE(lifecycle.May(Action::kWatchDiscovery, kStart));
  EXPECT_TRUE(lifecycle.May(Action::kTakeOver, kStart));
  EXPECT_EQ(lifecycle.CallsEndBy(kStart), kStart);
  lifecycle.SetStandby(false);
  for (const Action action : kOwnersActions) EXPECT_TRUE(lifecycle.May(action, kStart)) << NameOf(action);
  EXPECT_EQ(lifecycle.CallsEndBy(kStart), Micros::max());
}

// Guards against an old process that still accepts messages as its successor begins to: intake ends shortly
// behind the last call, or by time, and the process ends before a successor's clients give up.
TEST_F(LifecycleTest, BesideASuccessorIntakeEndsWithTheCalls) {
  Serve();
  Stop(kStart);
  const Micros waits = kStart + milliseconds(500), drained = waits + Lifecycle::kHandOverDrain;
  lifecycle.HandOver(waits);
  EXPECT_EQ(lifecycle.CallsEndBy(waits), drained);
  lifecycle.CallsDone(drained - milliseconds(1));  // more calls may begin
  EXPECT_EQ(lifecycle.phase(), Phase::kDraining);
  lifecycle.CallsDone(drained);
  EXPECT_EQ(lifecycle.phase(), Phase::kDisconnecting);
  EXPECT_EQ(changes.back().cause, PhaseCause::kSuccessorServes);
  const Micros over = drained + Lifecycle::kSwitchRejectAfter;
  EXPECT_TRUE(lifecycle.May(Action::kAcceptMessage, over - milliseconds(1)));
  EXPECT_FALSE(lifecycle.May(Action::kAcceptMessage, over));
  EXPECT_TRUE(lifecycle.MustClose(drained + Lifecycle::kSwitchCloseAfter));
  EXPECT_TRUE(lifecycle.MustEnd(drained + Lifecycle::kSwitchEndAfter));
}

// The same where a call does not end.
TEST_F(LifecycleTest, BesideASuccessorIntakeEndsByTimeWhileCallsAreInFlight) {
  Serve();
  Stop(kStart);
  lifecycle.HandOver(kStart);
  lifecycle.Advance(kStart + Lifecycle::kDisconnectAfter - milliseconds(1));
  EXPECT_EQ(lifecycle.phase(), Phase::kDraining);
  const Micros switched = kStart + Lifecycle::kDisconnectAfter;
  lifecycle.Advance(switched);
  EXPECT_EQ(lifecycle.phase(), Phase::kDisconnecting);
  EXPECT_FALSE(lifecycle.May(Action::kAcceptMessage, switched + Lifecycle::kSwitchRejectAfter));
  EXPECT_TRUE(lifecycle.MustEnd(switched + Lifecycle::kSwitchEndAfter));
}

// The same where the successor comes as intake is nearly over, and where it comes too late to change
// anything.
TEST_F(LifecycleTest, ASuccessorThatComesLateShortensWhatIsLeft) {
  Serve();
  Stop(kStart);
  const Micros late = kStart + Lifecycle::kDisconnectAfter + milliseconds(10);
  lifecycle.Advance(late);
  lifecycle.HandOver(late);
  EXPECT_FALSE(lifecycle.May(Action::kAcceptMessage, late + Lifecycle::kSwitchRejectAfter));
  EXPECT_TRUE(lifecycle.MustEnd(late + Lifecycle::kSwitchEndAfter));
  lifecycle.HandOver(late + milliseconds(100));  // again
  EXPECT_TRUE(lifecycle.MustEnd(late + Lifecycle::kSwitchEndAfter));
}

// Guards against an unnoticed violation: it is counted and reported. A denial is counted and is no violation.
TEST_F(LifecycleTest, AForbiddenActionThatWasDoneIsReported) {
  Serve();
  EXPECT_FALSE(lifecycle.May(Action::kEndProcess, kStart));
  EXPECT_EQ(lifecycle.violations(), 0u);
  EXPECT_EQ(lifecycle.denied()[static_cast<std::size_t>(Action::kEndProcess)], 1u);
  lifecycle.Did(Action::kDisconnectClients);
  EXPECT_EQ(lifecycle.violations(), 1u);
  ASSERT_EQ(violations.size(), 1u);
  EXPECT_EQ(violations[0], std::pair(Phase::kServing, Action::kDisconnectClients));
}

// Guards against counts of one phase that are reported with the next.
TEST_F(LifecycleTest, CountsAreReportedPerPhase) {
  Serve();
  lifecycle.Did(Action::kAcceptMessage);
  lifecycle.Did(Action::kAcceptMessage);
  Stop(kStart + seconds(1));
  EXPECT_EQ(changes.back().done[static_cast<std::size_t>(Action::kAcceptMessage)], 2u);
  EXPECT_EQ(changes.back().lasted, seconds(1));
  lifecycle.Advance(kStart + seconds(9));
  EXPECT_EQ(changes.back().done[static_cast<std::size_t>(Action::kAcceptMessage)], 0u);
  EXPECT_EQ(Entered(), (std::vector<Phase>{Phase::kServing, Phase::kDraining, Phase::kRejecting}));
}

}  // namespace
}  // namespace indigosaddle
