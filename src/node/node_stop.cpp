// Lifecycle of the process: logs its phases and takes the steps of a graceful shutdown. The table of what is
// allowed in each phase is in brain/lifecycle.cpp.
#include <cstdlib>
#include <utility>

#include "base/log_events.h"
#include "node/counts_by_name.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

constexpr Micros kShutdownStepInterval = milliseconds(10);

std::uint64_t CountOf(const ActionCounts& counts, Action action) {
  return counts[static_cast<std::size_t>(action)];
}

}  // namespace

bool Node::May(Action action) { return lifecycle_.May(action, loop_.Now()); }

void Node::Did(Action action) { lifecycle_.Did(action); }

void Node::OnPhaseChange(const PhaseChange& change) {
  const ActionCounts& done = change.done;
  log_.Write(base::kPhaseEntered, NameOf(change.from), NameOf(change.to), NameOf(change.cause), change.lasted,
             change.since_signal, CountOf(done, Action::kAcceptClient), CountOf(done, Action::kReadCommand),
             CountOf(done, Action::kAcceptMessage), CountOf(change.denied, Action::kAcceptMessage),
             CountOf(done, Action::kBeginFirstCall), CountOf(done, Action::kRepeatCall),
             CountOf(done, Action::kSendNotice), std::exchange(clients_ended_in_phase_, 0),
             CountsByName<Action>(change.denied), state_.open(), server_.connections(), pool_.calls());
  stepped_in_phase_ = false;
  iterations_since_step_ = 0;
  if (change.to == Phase::kRejecting) config_changes_.Freeze();
  if (lifecycle_.stopping() && change.to != Phase::kEnded) PushCallDeadline();
}

void Node::OnLifecycleViolation(Phase phase, Action action) {
  log_.Write(base::kLifecycleViolation, NameOf(phase), NameOf(action));
#ifdef INDIGOSADDLE_CHECKED
  std::abort();
#endif
}

// Queues the instant by which calls must end: the engine begins no call that would not end by then.
void Node::PushCallDeadline() { Push(state::StopRequested{lifecycle_.CallsEndBy(loop_.Now())}); }

void Node::Stop() {
  if (lifecycle_.stopping()) return;
  log_.Write(base::kStopping, state_.open());
  server_.SetReady(false);
  config_changes_.Stop();
  disconnect_idle_timer_.Stop();
  lifecycle_.Stop(previous_iteration_began_at_, loop_.Now());
  if (journal_.HasSuccessor()) HandOver();
  AdvanceShutdown();
}

// A successor waits for this process to end. Until its calls have ended, this process serves as before: all
// commands and calls are those of one process at a time.
void Node::HandOver() {
  if (lifecycle_.handing_over()) return;
  state_.rewrite_due = true;  // a short journal is taken over fastest and leaves the most room
  lifecycle_.HandOver(loop_.Now());
  // A front goes on to send clients: between them, the two processes serve all the time.
  if (lifecycle_.phase() == Phase::kDraining) server_.SetReady(true);
  PushCallDeadline();
}

// Takes the step of the graceful shutdown that is due. Called in an iteration of the loop before its reads,
// so that the first reads of a phase that has just been entered follow this step.
void Node::AdvanceShutdown() {
  lifecycle_.Advance(loop_.Now());
  shutdown_timer_.Start(kShutdownStepInterval);
  if (!std::exchange(stepped_in_phase_, true)) iterations_since_step_ = 0;
  if (pool_.calls() == 0) lifecycle_.CallsDone(loop_.Now());
  if (lifecycle_.phase() == Phase::kDisconnecting) DisconnectClients();
  if (lifecycle_.phase() == Phase::kRejecting) RejectClients();
  if (lifecycle_.phase() == Phase::kClosing) FinishIfDrained();
}

// The listener stays open meanwhile, so that a client whose request crosses the close of its connection can
// connect again. It is closed if a successor runs: new clients wait in that process's queue until it serves.
void Node::DisconnectClients() {
  Did(Action::kDisconnectClients);
  const bool closed = lifecycle_.handing_over() && StopListening();
  const bool none_left = server_.DisconnectIdle(lifecycle_.handing_over());
  if (closed && none_left && events_.empty()) lifecycle_.AllClientsDone(loop_.Now());
}

// False if some clients that have connected can't be accepted yet: the call must then be repeated.
bool Node::StopListening() {
  return lifecycle_.handing_over() ? server_.HandOverListening() : server_.StopListening();
}

// Answers and disconnects every client that has connected. However late the process is, no client is cut off
// by time before a whole iteration of the loop has read what had arrived when intake ended.
void Node::RejectClients() {
  Did(Action::kDisconnectClients);
  discovery_.Close();  // no call begins from here on
  const Micros now = loop_.Now();
  const bool read_once = iterations_since_step_ > 0;
  const bool stop_reading = read_once && lifecycle_.MustClose(now);
  const bool close_all = read_once && lifecycle_.MustEnd(now);
  const bool closed = StopListening() || close_all;
  const bool all_rejected = server_.RejectClients(close_all      ? net::RejectMode::kCloseAll
                                                  : stop_reading ? net::RejectMode::kStopReading
                                                                 : net::RejectMode::kReadPending);
  if (closed && all_rejected && events_.empty()) lifecycle_.AllClientsDone(loop_.Now());
}

// Ends the process once nothing is in flight any more, or the time for the shutdown is over. Calls that are
// still in flight as intake has passed to a successor are not waited for, as its clients would wait too.
void Node::FinishIfDrained() {
  pool_.EndUnstarted();
  const bool nothing_in_flight = lifecycle_.handing_over() || (pool_.calls() == 0 && state_.notices.empty());
  const bool nothing_left = server_.connections() == 0 && nothing_in_flight && events_.empty();
  if (nothing_left) return Finish(PhaseCause::kNothingInFlight);
  if (lifecycle_.MustEnd(loop_.Now()) && iterations_since_step_ > 0) Finish(PhaseCause::kOutOfTime);
}

void Node::Finish(PhaseCause cause) {
  RunTurn();  // records the events that have arrived by now and the denials that follow from them
  if (!events_.empty()) RunTurn();
  if (!May(Action::kEndProcess)) return;
  LogReport();
  log_.Write(base::kStopped, state_.open(), state_.notices.size());
  lifecycle_.End(cause, loop_.Now());
  CloseAll();
  loop_.Stop();
}

// The loop finishes its iteration and runs once more while handles are freed. Nothing that could cause an
// event may be left by then.
void Node::CloseAll() {
  server_.Close();
  pool_.Close();
  notices_.Close();
  discovery_.Close();
  admin_.reset();
  control_.reset();
  for (net::Timer* timer : {&turn_timer_, &journal_retry_timer_, &shutdown_timer_, &report_timer_,
                            &tick_timer_, &ownership_timer_, &disconnect_idle_timer_, &standby_timer_})
    timer->Stop();
  uv_prepare_stop(&prepare_);
  uv_check_stop(&check_);
  uv_idle_stop(&idle_);
  events_.clear();
}

}  // namespace indigosaddle::node
