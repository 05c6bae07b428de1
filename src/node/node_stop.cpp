// The planned stop: what is read is answered, clients are left between requests, and the process ends before
// a kill would come.
#include <utility>

#include "base/log_events.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

// A planned restart kills no sooner than 3.7 s after its signal. Clients are left while the node still
// listens, so that one whose request crosses the closing finds it once more.
constexpr Micros kLeaveClientsAfter = milliseconds(3000);
constexpr Micros kStopListeningAfter = milliseconds(3200);
// Clients that have connected by then and not asked yet have so long: what they ask is lost once they are
// left.
constexpr Micros kLeaveUnasked = milliseconds(200);
// With room for a process that is held up for 0.15 s.
constexpr Micros kFinishAfter = milliseconds(3550);
constexpr Micros kLeaveAgain = milliseconds(10);

}  // namespace

void Node::Stop() {
  if (std::exchange(stopping_, true)) return;
  log_.Write(base::kStopping, state_.open());
  server_.SetReady(false);
  changes_.Stop();
  // With a successor nothing is gained by staying: it listens already, and waits for what is held here.
  handing_over_ = journal_.HasSuccessor();
  state_.rewrite_due |= handing_over_;  // a short journal is taken over soonest, and leaves the most room
  const Micros now = loop_.Now();
  Push(state::StopAsked{now + (handing_over_ ? kHandOver : kFinishAfter)});
  stop_listening_at_ = now + (handing_over_ ? Micros(0) : kStopListeningAfter);
  leave_timer_.Start(handing_over_ ? Micros(0) : kLeaveClientsAfter);
  finish_timer_.Start(kFinishAfter);
}

void Node::LeaveClients() {
  const Micros now = loop_.Now();
  const bool closed = now >= stop_listening_at_ && server_.StopListening();
  const bool left = server_.CloseQuiet(now >= stop_listening_at_ + kLeaveUnasked);
  const bool over = handing_over_ ? pool_.calls() == 0 : state_.open() == 0 && state_.notices.empty();
  if (closed && left && over && events_.empty()) return Finish();
  leave_timer_.Start(kLeaveAgain);
}

void Node::Finish() {
  Report();
  log_.Write(base::kStopped, state_.open(), state_.notices.size());
  loop_.Stop();
}

}  // namespace indigosaddle::node
