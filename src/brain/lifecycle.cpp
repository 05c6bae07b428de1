#include "brain/lifecycle.h"

#include <algorithm>
#include <utility>

namespace indigosaddle {
namespace {

using Row = std::array<bool, kActions>;
constexpr bool kYes = true, kNo = false;

constexpr std::array<Row, kPhases> kAllowed = {{
    // admit read take begin repeat notice watch reload close dismiss hand-over end
    /* starting */ {kNo, kNo, kNo, kYes, kYes, kYes, kYes, kNo, kNo, kNo, kNo, kNo},
    /* serving  */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kYes, kNo},
    /* quiesced */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo},
    /* draining */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kYes, kNo},
    /* leaving  */ {kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kYes, kNo, kNo},
    /* refusing */ {kYes, kYes, kNo, kNo, kNo, kYes, kNo, kNo, kYes, kYes, kNo, kNo},
    /* closing  */ {kNo, kNo, kNo, kNo, kNo, kYes, kNo, kNo, kYes, kNo, kNo, kYes},
    /* ended    */ {kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo, kNo},
}};

// What another process's calls forbid as well, in every phase.
constexpr bool NeedsOwnership(Action action) { return action == Action::kBegin || action == Action::kRepeat; }

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
    case PhaseCause::kAsked: return "asked for";
    case PhaseCause::kTime: return "time";
    case PhaseCause::kSuccessor: return "a successor serves";
    case PhaseCause::kNobodyLeft: return "every client has its end";
    case PhaseCause::kNothingLeft: return "nothing is out";
    case PhaseCause::kOutOfTime: return "out of time";
  }
  return "?";
}

Lifecycle::Lifecycle(Micros now, Observer observer, OnBreak on_break)
    : observer_(std::move(observer)), on_break_(std::move(on_break)), entered_at_(now) {}

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
  ++breaks_;
  on_break_(phase_, action);
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
  if (phase_ == Phase::kStarting) Enter(Phase::kServing, PhaseCause::kAsked, now);
}

void Lifecycle::Quiesce(Micros now) {
  if (phase_ == Phase::kServing) Enter(Phase::kQuiesced, PhaseCause::kAsked, now);
}

void Lifecycle::Resume(Micros now) {
  if (phase_ == Phase::kQuiesced) Enter(Phase::kServing, PhaseCause::kAsked, now);
}

void Lifecycle::Stop(Micros signalled_at, Micros now) {
  if (stopping()) return;
  signalled_at_ = std::min(signalled_at, now);
  leave_at_ = signalled_at_ + kLeaveAfter;
  refuse_at_ = signalled_at_ + kRefuseAfter;
  calls_end_by_ = signalled_at_ + kEndAfter;
  Enter(Phase::kDraining, PhaseCause::kAsked, now);
  Advance(now);
}

void Lifecycle::HandOver(Micros now) {
  if (!stopping() || std::exchange(handing_over_, true)) return;
  leave_at_ = std::min(leave_at_, now);
  refuse_at_ = std::min(refuse_at_, now + kHandOverTakes);
  calls_end_by_ = std::min(calls_end_by_, now + kHandOverTakes);
  if (phase_ == Phase::kDraining) Enter(Phase::kLeaving, PhaseCause::kSuccessor, now);
}

void Lifecycle::Advance(Micros now) {
  const bool intake = phase_ == Phase::kDraining || phase_ == Phase::kLeaving;
  if (intake && now >= refuse_at_) {
    calls_end_by_ = std::min(calls_end_by_, now);
    Enter(Phase::kRefusing, PhaseCause::kTime, now);
  } else if (phase_ == Phase::kDraining && now >= leave_at_) {
    Enter(Phase::kLeaving, PhaseCause::kTime, now);
  }
}

void Lifecycle::AllDismissed(Micros now) {
  const bool handed_over = phase_ == Phase::kLeaving && handing_over_;
  if (handed_over) calls_end_by_ = std::min(calls_end_by_, now);
  if (phase_ == Phase::kRefusing || handed_over) Enter(Phase::kClosing, PhaseCause::kNobodyLeft, now);
}

void Lifecycle::End(PhaseCause cause, Micros now) {
  Did(Action::kEnd);
  Enter(Phase::kEnded, cause, now);
}

}  // namespace indigosaddle
