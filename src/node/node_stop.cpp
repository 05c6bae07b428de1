// The life of the process: its phases in the log, and the steps of a planned stop. What may be done in each
// phase stands in brain/lifecycle.cpp.
#include <cstdlib>
#include <utility>

#include "base/log_events.h"
#include "node/counts_by_name.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

constexpr Micros kStopStep = milliseconds(10);

std::uint64_t CountOf(const ActionCounts& counts, Action action) {
  return counts[static_cast<std::size_t>(action)];
}

}  // namespace

bool Node::May(Action action) { return lifecycle_.May(action, loop_.Now()); }

void Node::Did(Action action) { lifecycle_.Did(action); }

void Node::OnPhase(const PhaseChange& change) {
  const ActionCounts& done = change.done;
  log_.Write(base::kPhaseEntered, NameOf(change.from), NameOf(change.to), NameOf(change.cause), change.lasted,
             change.since_signal, CountOf(done, Action::kAcceptClient), CountOf(done, Action::kReadCommand),
             CountOf(done, Action::kAcceptMessage), CountOf(change.denied, Action::kAcceptMessage),
             CountOf(done, Action::kBeginFirstCall), CountOf(done, Action::kRepeatCall),
             CountOf(done, Action::kSendNotice), std::exchange(clients_ended_in_phase_, 0),
             CountsByName<Action>(change.denied), state_.open(), server_.connections(), pool_.calls());
  stepped_in_phase_ = false;
  passes_since_step_ = 0;
  if (change.to == Phase::kRejecting) changes_.Freeze();
  if (lifecycle_.stopping() && change.to != Phase::kEnded) TellCallsEnd();
}

void Node::OnLifecycleBreak(Phase phase, Action action) {
  log_.Write(base::kLifecycleViolation, NameOf(phase), NameOf(action));
#ifdef INDIGOSADDLE_CHECKED
  std::abort();
#endif
}

// The module begins no call that should not end by then.
void Node::TellCallsEnd() { Push(state::StopRequested{lifecycle_.CallsEndBy(loop_.Now())}); }

void Node::Stop() {
  if (lifecycle_.stopping()) return;
  log_.Write(base::kStopping, state_.open());
  server_.SetReady(false);
  changes_.Stop();
  quiet_timer_.Stop();
  lifecycle_.Stop(pass_before_began_, loop_.Now());
  if (journal_.HasSuccessor()) HandOver();
  StepStop();
}

// With a successor nothing is gained by staying: it listens already, and waits for what is held here.
void Node::HandOver() {
  if (lifecycle_.handing_over()) return;
  state_.rewrite_due = true;  // a short journal is taken over soonest, and leaves the most room
  lifecycle_.HandOver(loop_.Now());
  TellCallsEnd();
}

// Called within a pass of the loop, before its reads: a phase that has just been entered has its first reads
// behind this step.
void Node::StepStop() {
  lifecycle_.Advance(loop_.Now());
  stop_timer_.Start(kStopStep);
  if (!std::exchange(stepped_in_phase_, true)) passes_since_step_ = 0;
  if (lifecycle_.phase() == Phase::kDisconnecting) LeaveClients();
  if (lifecycle_.phase() == Phase::kRejecting) RefuseClients();
  if (lifecycle_.phase() == Phase::kClosing) CloseDown();
}

// The listener stays open meanwhile, so that a client whose request crosses the end of its connection finds
// the node once more; not beside a successor, which listens as well.
void Node::LeaveClients() {
  Did(Action::kDisconnectClients);
  const bool closed = lifecycle_.handing_over() && server_.StopListening();
  const bool none_left = server_.CloseQuiet(lifecycle_.handing_over());
  if (closed && none_left && events_.empty()) lifecycle_.AllClientsDone(loop_.Now());
}

// Whoever has been heard of gets an answer and the end. Time cuts nobody off before a whole pass has read
// what lay there as intake ended, however late that pass is.
void Node::RefuseClients() {
  Did(Action::kDisconnectClients);
  discovery_.reset();  // no call begins any more
  arriving_.reset();
  const Micros now = loop_.Now();
  const bool heard = passes_since_step_ > 0;
  const bool out_of_time = heard && lifecycle_.MustClose(now);
  const bool last_call = heard && lifecycle_.MustEnd(now);
  const bool closed = server_.StopListening() || last_call;
  const bool told = server_.Refuse(last_call     ? net::RefusalPace::kLastCall
                                   : out_of_time ? net::RefusalPace::kOutOfTime
                                                 : net::RefusalPace::kReadFirst);
  if (closed && told && events_.empty()) lifecycle_.AllClientsDone(loop_.Now());
}

void Node::CloseDown() {
  pool_.EndUnstarted();
  const bool told = lifecycle_.handing_over() || state_.notices.empty();
  const bool nothing_left = server_.connections() == 0 && pool_.calls() == 0 && told && events_.empty();
  if (nothing_left) return Finish(PhaseCause::kNothingInFlight);
  if (lifecycle_.MustEnd(loop_.Now()) && passes_since_step_ > 0) Finish(PhaseCause::kOutOfTime);
}

void Node::Finish(PhaseCause cause) {
  RunTurn();  // what has come by now goes on record, and what that has denied
  if (!events_.empty()) RunTurn();
  if (!May(Action::kEndProcess)) return;
  Report();
  log_.Write(base::kStopped, state_.open(), state_.notices.size());
  lifecycle_.End(cause, loop_.Now());
  CloseAll();
  loop_.Stop();
}

// The loop ends its pass, and runs once more as handles are freed: nothing may be left that brings an event.
void Node::CloseAll() {
  server_.Close();
  pool_.Close();
  notices_.Close();
  discovery_.reset();
  arriving_.reset();
  admin_.reset();
  control_.reset();
  for (net::Timer* timer : {&turn_timer_, &later_timer_, &stop_timer_, &report_timer_, &tick_timer_,
                            &claim_timer_, &quiet_timer_, &arrived_timer_, &standby_timer_})
    timer->Stop();
  uv_prepare_stop(&prepare_);
  uv_check_stop(&check_);
  uv_idle_stop(&idle_);
  events_.clear();
}

}  // namespace indigosaddle::node
