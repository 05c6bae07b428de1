// State machine of the process, from its start to the end of its graceful shutdown. One table says which
// actions are allowed in each phase, and every code path asks it just before it acts. A shutdown advances by
// time until intake ends, and after that by what has completed. Deterministic: the caller passes the time.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "brain.h"

namespace indigosaddle {

// Phases of the process. Those from kDraining on belong to the shutdown and come in this order.
enum class Phase : std::uint8_t {
  kStarting,       // does not listen for clients yet
  kServing,        // normal operation
  kQuiesced,       // on an operator's request: connected clients are disconnected between two commands
  kDraining,       // shutdown requested: clients are still served, calls that should end in time begin
  kDisconnecting,  // clients are disconnected between two commands and after their next reply
  kRejecting,      // intake is over: pending commands are rejected and their clients disconnected
  kClosing,        // no client is left; calls and notices in flight may still be answered
  kEnded,          // nothing runs any more
};
constexpr std::size_t kPhases = static_cast<std::size_t>(Phase::kEnded) + 1;

// The phase's name in the log, the status and the metrics.
std::string_view NameOf(Phase phase);

// Actions that are allowed or denied by phase.
enum class Action : std::uint8_t {
  kAcceptClient,         // accept a client's connection
  kReadCommand,          // read and execute a command that a client has sent
  kAcceptMessage,        // accept a message for delivery
  kBeginFirstCall,       // start the first call of a message
  kRepeatCall,           // start another call of a message
  kSendNotice,           // report final answers of messages to the platform
  kWatchDiscovery,       // ask discovery for the list of endpoints
  kReloadConfiguration,  // apply another configuration
  kCloseClient,          // close a client's connection because it is idle or its slot is needed
  kDisconnectClients,    // close the connections of all clients
  kTakeOver,             // take over the work that the previous process has left
  kEndProcess,           // end the process
};
constexpr std::size_t kActions = static_cast<std::size_t>(Action::kEndProcess) + 1;

// The action's name in the log, the status and the metrics.
std::string_view NameOf(Action action);

// Why a phase was entered.
enum class PhaseCause : std::uint8_t {
  kRequested,        // by a signal, an operator or the process itself
  kTimeReached,      // the phase before was over by time
  kSuccessorServes,  // another process has taken over intake
  kAllClientsDone,   // no client is left
  kNothingInFlight,  // no call and no notice is in flight any more
  kOutOfTime,        // the time for the shutdown is over
};

// The cause's text in the log.
std::string_view NameOf(PhaseCause cause);

// A number for each action, indexed by its value.
using ActionCounts = std::array<std::uint64_t, kActions>;

// A transition between two phases, with what was done and denied in the phase that is over.
struct PhaseChange {
  Phase from = Phase::kStarting;
  Phase to = Phase::kStarting;
  PhaseCause cause = PhaseCause::kRequested;
  Micros lasted{0};        // time spent in `from`
  Micros since_signal{0};  // zero where no shutdown was requested
  ActionCounts done{};     // in `from`
  ActionCounts denied{};   // in `from`
};

// Holds the current phase, decides and counts actions. Owned by the node and used on its thread alone.
class Lifecycle {
 public:
  // Times of a planned shutdown, counted from the signal. SIGKILL follows 3.7 s after the signal at the
  // earliest: the end of intake leaves room for six delays of 0.15 s in a row, the end of the process for
  // three.
  //
  // Clients are disconnected from then on (kDisconnecting).
  static constexpr Micros kDisconnectAfter = std::chrono::milliseconds(2600);
  // Intake ends (kRejecting).
  static constexpr Micros kRejectAfter = std::chrono::milliseconds(2800);
  // Clients that are still connected are closed.
  static constexpr Micros kCloseAfter = std::chrono::milliseconds(3050);
  // The process ends, whatever is still in flight.
  static constexpr Micros kEndAfter = std::chrono::milliseconds(3200);

  // Hand-over to a successor, which accepts clients only once this process has ended. Until the switch of
  // intake this process serves as before. The switch comes once its calls have ended, at kDisconnectAfter at
  // the latest.
  //
  // The process begins only calls that should end within this time.
  static constexpr Micros kHandOverDrain = std::chrono::seconds(1);
  // Counted from the switch. Meanwhile new clients wait in the successor's queue, and they wait for a reply
  // for 400 ms at most.
  //
  // Clients that are within a command are rejected.
  static constexpr Micros kSwitchRejectAfter = std::chrono::milliseconds(80);
  // Clients that are still connected are closed.
  static constexpr Micros kSwitchCloseAfter = std::chrono::milliseconds(120);
  // The process ends.
  static constexpr Micros kSwitchEndAfter = std::chrono::milliseconds(200);
  // A successor reports a previous process that nobody has stopped by then. Usually it is killed 3.7 s after
  // the successor is ready.
  static constexpr Micros kStandbyWarningAfter = std::chrono::seconds(10);

  // Called after each transition.
  using Observer = std::function<void(const PhaseChange&)>;
  // Called when an action was done that the table forbids in the phase.
  using OnViolation = std::function<void(Phase, Action)>;
  Lifecycle(Micros now, Observer observer, OnViolation on_violation);

  Phase phase() const { return phase_; }
  // Another process still owns the folder: this one serves no client and begins no call.
  bool standby() const { return standby_; }
  // A shutdown has been requested.
  bool stopping() const { return phase_ >= Phase::kDraining; }
  // This process stops while a successor serves.
  bool handing_over() const { return handing_over_; }

  // Advances by time, then returns whether the action is allowed now. Counts a denial.
  bool May(Action action, Micros now);
  // Records that the action is being done. Reports a violation if the table forbids it.
  void Did(Action action);

  // From kStarting to kServing.
  void Serve(Micros now);
  // From kServing to kQuiesced.
  void Quiesce(Micros now);
  // From kQuiesced back to kServing.
  void Resume(Micros now);
  // Set while another process still serves from the same folder: this one serves no client and begins no call
  // until it is unset.
  void SetStandby(bool standby) { standby_ = standby; }
  // Starts the shutdown, which was requested at `signalled_at`. Later requests are ignored.
  void Stop(Micros signalled_at, Micros now);
  // A successor waits while this process stops, whichever of the two came first.
  void HandOver(Micros now);
  // No call is in flight. Enters kDisconnecting if a successor waits and none begins any more.
  void CallsDone(Micros now);
  // Makes the transitions that are due by time, up to the end of intake.
  void Advance(Micros now);
  // No client is left. Enters kClosing if intake is over or a successor has it.
  void AllClientsDone(Micros now);
  // Nothing is in flight any more, or the time is over. To be called once everything is closed.
  void End(PhaseCause cause, Micros now);

  // The remaining clients must be closed, or the process must end, as the time is over. The caller first
  // reads what had arrived by then.
  bool MustClose(Micros now) const { return stopping() && now >= close_at_; }
  bool MustEnd(Micros now) const { return stopping() && now >= end_at_; }
  // When calls that begin now should have ended; Micros::max() where nothing bounds them.
  Micros CallsEndBy(Micros now) const { return standby_ ? now : calls_end_by_; }

  // Since the start of the process.
  const ActionCounts& denied() const { return all_denied_; }
  // Actions that were done although the table forbids them.
  std::uint64_t violations() const { return violations_; }

 private:
  // Whether the table and the ownership of the folder allow the action in the current phase.
  bool Allows(Action action) const;
  // Makes the transition, resets the phase's counts and calls the observer.
  void Enter(Phase phase, PhaseCause cause, Micros now);
  // Intake passes to a successor from now on: shortens what is left of the shutdown.
  void BeginSwitch(Micros now);

  Observer observer_;
  OnViolation on_violation_;
  Phase phase_ = Phase::kStarting;
  bool standby_ = false;
  bool handing_over_ = false;
  bool switch_begun_ = false;
  Micros entered_at_;  // when phase_ was entered
  Micros signalled_at_{0};
  Micros disconnect_at_{Micros::max()};
  Micros reject_at_{Micros::max()};
  Micros close_at_{Micros::max()};
  Micros end_at_{Micros::max()};
  Micros calls_end_by_{Micros::max()};
  ActionCounts done_{};        // in this phase
  ActionCounts denied_{};      // in this phase
  ActionCounts all_denied_{};  // in all phases
  std::uint64_t violations_ = 0;
};

}  // namespace indigosaddle
