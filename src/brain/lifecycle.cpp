#include "brain/lifecycle.h"

#include <algorithm>
#include <utility>

namespace indigosaddle {
namespace {

using Row = std::array<bool, kActions>;
constexpr bool kYes = true, kNo = false;

// Which action (column) is allowed in which phase (row).
constexpr std::array<Row, kPhases> kAllowed = {{
    // accept client, read command, accept message, begin first call, repeat call, send notice,
    // watch discovery, reload configuration, close client, disconnect clients, take over, end process
    /* starting      */ {kNo, kNo, kNo, kYes, kYes, kYes, kYes, kNo, kNo, kNo, kNo, kNo},
    /* serving       */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kYes, kNo},
    /* quiesced      */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo},
    /* draining      */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kYes, kNo},
    /* disconnecting */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kNo},
    /* rejecting     */ {kYes, kYes, kNo, kNo, kNo, kYes, kNo, kNo, kYes, kYes, kNo, kNo},
    /* closing       */ {kNo, kNo, kNo, kNo, kNo, kYes, kNo, kNo, kYes, kNo, kNo, kYes},
    /* ended         */ {kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo},
}};

// Actions that are forbidden in every phase while another process owns the folder.
constexpr bool NeedsOwnership(Action action) {
  switch (action) {
    case Action::kAcceptClient:
    case Action::kReadCommand:
    case Action::kAcceptMessage:
    case Action::kBeginFirstCall:
    case Action::kRepeatCall:
    case Action::kSendNotice: return true;
    default: return false;
  }
}

}  // namespace

std::string_view NameOf(Phase phase) {
  constexpr std::array<std::string_view, kPhases> kNames = {"starting", "serving",  "quiesced", "draining",
                                                            "leaving",  "refusing", "closing",  "ended"};
  return kNames.at(static_cast<std::size_t>(phase));
}

std::string_view NameOf(Action action) {
  constexpr std::array<std::string_view, kActions> kNames = {"admit",  "read",    "take",      "begin",
                                                             "repeat", "notice",  "watch",     "reload",
                                                             "close",  "dismiss", "hand_over", "end"};
  return kNames.at(static_cast<std::size_t>(action));
}

std::string_view NameOf(PhaseCause cause) {
  switch (cause) {
    case PhaseCause::kRequested: return "asked for";
    case PhaseCause::kTimeReached: return "time";
    case PhaseCause::kSuccessorServes: return "a successor serves";
    case PhaseCause::kAllClientsDone: return "every client has its end";
    case PhaseCause::kNothingInFlight: return "nothing is out";
    case PhaseCause::kOutOfTime: return "out of time";
  }
  return "?";
}

Lifecycle::Lifecycle(Micros now, Observer observer, OnViolation on_violation)
    : observer_(std::move(observer)), on_violation_(std::move(on_violation)), entered_at_(now) {}

bool Lifecycle::Allows(Action action) const {
  if (standby_ && NeedsOwnership(action)) return false;
  return kAllowed[static_cast<std::size_t>(phase_)][static_cast<std::size_t>(action)];
}

bool Lifecycle::May(Action action, Micros now) {
  Advance(now);
  if (Allows(action)) return true;
  ++denied_[static_cast<std::size_t>(action)];
  ++all_denied_[static_cast<std::size_t>(action)];
  return false;
}

void Lifecycle::Did(Action action) {
  ++done_[static_cast<std::size_t>(action)];
  if (Allows(action)) return;
  ++violations_;
  on_violation_(phase_, action);
}

void Lifecycle::Enter(Phase phase, PhaseCause cause, Micros now) {
  PhaseChange change;
  change.from = std::exchange(phase_, phase);
  change.to = phase;
  change.cause = cause;
  change.lasted = now - std::exchange(entered_at_, now);
  change.since_signal = stopping() ? now - signalled_at_ : Micros(0);
  change.done = std::exchange(done_, {});
  change.denied = std::exchange(denied_, {});
  observer_(change);
}

void Lifecycle::Serve(Micros now) {
  if (phase_ == Phase::kStarting) Enter(Phase::kServing, PhaseCause::kRequested, now);
}

void Lifecycle::Quiesce(Micros now) {
  if (phase_ == Phase::kServing) Enter(Phase::kQuiesced, PhaseCause::kRequested, now);
}

void Lifecycle::Resume(Micros now) {
  if (phase_ == Phase::kQuiesced) Enter(Phase::kServing, PhaseCause::kRequested, now);
}

void Lifecycle::Stop(Micros signalled_at, Micros now) {
  if (stopping()) return;
  signalled_at_ = std::min(signalled_at, now);
  disconnect_at_ = signalled_at_ + kDisconnectAfter;
  reject_at_ = signalled_at_ + kRejectAfter;
  close_at_ = signalled_at_ + kCloseAfter;
  end_at_ = signalled_at_ + kEndAfter;
  calls_end_by_ = signalled_at_ + kEndAfter;
  Enter(Phase::kDraining, PhaseCause::kRequested, now);
  Advance(now);
}

void Lifecycle::HandOver(Micros now) {
  if (!stopping() || std::exchange(handing_over_, true)) return;
  calls_end_by_ = std::min(calls_end_by_, now + kHandOverDrain);
  if (phase_ != Phase::kDraining) BeginSwitch(now);
}

void Lifecycle::CallsDone(Micros now) {
  if (!handing_over_ || phase_ != Phase::kDraining || now < calls_end_by_) return;
  BeginSwitch(now);
  Enter(Phase::kDisconnecting, PhaseCause::kSuccessorServes, now);
}

void Lifecycle::BeginSwitch(Micros now) {
  if (!handing_over_ || std::exchange(switch_begun_, true)) return;
  reject_at_ = std::min(reject_at_, now + kSwitchRejectAfter);
  close_at_ = std::min(close_at_, now + kSwitchCloseAfter);
  end_at_ = std::min(end_at_, now + kSwitchEndAfter);
}

void Lifecycle::Advance(Micros now) {
  const bool intake = phase_ == Phase::kDraining || phase_ == Phase::kDisconnecting;
  if (intake && now >= reject_at_) {
    calls_end_by_ = std::min(calls_end_by_, now);
    BeginSwitch(now);
    Enter(Phase::kRejecting, PhaseCause::kTimeReached, now);
  } else if (phase_ == Phase::kDraining && now >= disconnect_at_) {
    BeginSwitch(now);
    Enter(Phase::kDisconnecting, PhaseCause::kTimeReached, now);
  }
}

void Lifecycle::AllClientsDone(Micros now) {
  const bool handed_over = phase_ == Phase::kDisconnecting && handing_over_;
  if (handed_over) calls_end_by_ = std::min(calls_end_by_, now);
  if (phase_ == Phase::kRejecting || handed_over) Enter(Phase::kClosing, PhaseCause::kAllClientsDone, now);
}

void Lifecycle::End(PhaseCause cause, Micros now) {
  Did(Action::kEndProcess);
  Enter(Phase::kEnded, cause, now);
}

}  // namespace indigosaddle
