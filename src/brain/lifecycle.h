// The life of the process, from its start to the end of its stop: one table says what may be done in each
// phase, and every path asks it just before it acts. A stop goes forward by time up to the end of intake, and
// from there by what has ended. Deterministic: the caller brings the time.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "brain.h"

namespace indigosaddle {

enum class Phase : std::uint8_t {
  kStarting,  // it does not listen yet
  kServing,
  kQuiesced,       // an operator has emptied the node: clients are sent away between two commands
  kDraining,       // a stop was asked for: clients are served, calls that should end in time begin
  kDisconnecting,  // clients are sent away between two commands, and with their next reply
  kRejecting,      // intake is over: who ends a command, or is within one, is refused and sent away
  kClosing,        // every client has its end; calls and notices that are out may still be answered
  kEnded,          // nothing runs any more
};
constexpr std::size_t kPhases = static_cast<std::size_t>(Phase::kEnded) + 1;
std::string_view NameOf(Phase phase);

enum class Action : std::uint8_t {
  kAcceptClient,         // accept a client's connection
  kReadCommand,          // follow a command that a client has sent
  kAcceptMessage,        // take a message on
  kBeginFirstCall,       // call an endpoint for a message that was never called before
  kRepeatCall,           // call once more
  kSendNotice,           // tell the platform how messages ended
  kWatchDiscovery,       // ask discovery for the list
  kReloadConfiguration,  // put another configuration in force
  kCloseClient,          // end a client's connection for its quiet or for its place
  kDisconnectClients,    // send clients away
  kTakeOver,             // take over what the process before this one has left
  kEndProcess,           // end the process
};
constexpr std::size_t kActions = static_cast<std::size_t>(Action::kEndProcess) + 1;
std::string_view NameOf(Action action);

// Why a phase was entered.
enum class PhaseCause : std::uint8_t {
  kRequested,
  kTimeReached,
  kSuccessorServes,
  kAllClientsDone,
  kNothingInFlight,
  kOutOfTime
};
std::string_view NameOf(PhaseCause cause);

using ActionCounts = std::array<std::uint64_t, kActions>;

// A phase that is over, with what was done and denied in it.
struct PhaseChange {
  Phase from = Phase::kStarting, to = Phase::kStarting;
  PhaseCause cause = PhaseCause::kRequested;
  Micros lasted{0};
  Micros since_signal{0};  // zero where no stop was asked for
  ActionCounts done{}, denied{};
};

class Lifecycle {
 public:
  // Planned stops, counted from the signal. SIGKILL comes 3.7 s behind it at the earliest: the end of intake
  // leaves room for six hold-ups of 0.15 s in a row, the end of the process for three.
  static constexpr Micros kDisconnectAfter = std::chrono::milliseconds(2600);
  static constexpr Micros kRejectAfter = std::chrono::milliseconds(2800);
  static constexpr Micros kCloseAfter = std::chrono::milliseconds(3050);
  static constexpr Micros kEndAfter = std::chrono::milliseconds(3200);
  // Beside a successor: the old process begins calls that should end by then, and takes messages on until
  // then.
  static constexpr Micros kHandOverIntake = std::chrono::seconds(1);
  // A successor begins no call until the process before it has ended, which is killed 3.7 s behind the
  // successor's readiness; one that nobody stops holds it up no longer than this.
  static constexpr Micros kStandbyLimit = std::chrono::seconds(10);

  using Observer = std::function<void(const PhaseChange&)>;
  using OnViolation = std::function<void(Phase, Action)>;
  Lifecycle(Micros now, Observer observer, OnViolation on_violation);

  Phase phase() const { return phase_; }
  bool standby() const { return standby_; }
  bool stopping() const { return phase_ >= Phase::kDraining; }
  bool handing_over() const { return handing_over_; }

  // Enters what time has brought, then says whether the action may be done now. A denial is counted.
  bool May(Action action, Micros now);
  // The action is being done: counted, and a break where the table forbids it.
  void Did(Action action);

  void Serve(Micros now);
  void Quiesce(Micros now);
  void Resume(Micros now);
  // Another process still serves from the same folder: this one begins no call until told otherwise.
  void SetStandby(bool standby) { standby_ = standby; }
  // A stop, asked for at `signalled_at`. The first of several counts.
  void Stop(Micros signalled_at, Micros now);
  // A successor serves, or has come while this process stops.
  void HandOver(Micros now);
  // Enters what is due by time, up to the end of intake.
  void Advance(Micros now);
  // Intake is over, or a successor has it, and each client has its end.
  void AllClientsDone(Micros now);
  // Nothing is out any more, or the time is over. To be called once all is closed.
  void End(PhaseCause cause, Micros now);

  // Time is over for who was not heard yet, and for the process; never before what came first was read.
  bool MustClose(Micros now) const { return stopping() && now >= signalled_at_ + kCloseAfter; }
  bool MustEnd(Micros now) const { return stopping() && now >= signalled_at_ + kEndAfter; }
  // When calls that begin now should have ended; max: whenever they do.
  Micros CallsEndBy(Micros now) const { return standby_ ? now : calls_end_by_; }

  const ActionCounts& denied() const { return all_denied_; }
  std::uint64_t violations() const { return violations_; }

 private:
  bool Allows(Action action) const;
  void Enter(Phase phase, PhaseCause cause, Micros now);

  Observer observer_;
  OnViolation on_violation_;
  Phase phase_ = Phase::kStarting;
  bool standby_ = false, handing_over_ = false;
  Micros entered_at_, signalled_at_{0}, disconnect_at_{Micros::max()}, reject_at_{Micros::max()};
  Micros calls_end_by_{Micros::max()};
  ActionCounts done_{}, denied_{}, all_denied_{};
  std::uint64_t violations_ = 0;
};

}  // namespace indigosaddle
