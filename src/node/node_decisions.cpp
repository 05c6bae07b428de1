// Decisions of the engine: they become events of the present turn.
#include <utility>

#include "node/node.h"

namespace indigosaddle::node {

void Node::Send(MessageId id, const EndpointId& endpoint, Micros timeout) {
  if (shadow_evaluation_) shadow_evaluation_->RecordSent(id, endpoint);
  const auto listed = state_.endpoints.find(endpoint);
  const bool reuses_idle = listed != state_.endpoints.end() &&
                           idle_connections_assigned_[endpoint] <
                               pool_.idle(endpoint, listed->second.address, NeedsFreshConnection(id));
  idle_connections_assigned_[endpoint] += reuses_idle ? 1 : 0;
  decisions_.emplace_back(state::SendRequested{id, endpoint, timeout, turn_time_, reuses_idle});
}
bool Node::NeedsFreshConnection(state::Serial serial) const {
  const auto pending = state_.pending.find(serial);
  return pending == state_.pending.end() || RequiresFreshConnection(pending->second.message.rules);
}
bool Node::Refuse(MessageId id, Micros retry_after, GiveUpCause cause) {
  if (shadow_evaluation_) shadow_evaluation_->RecordRefused(id);
  decisions_.emplace_back(state::ReturnRequested{id, retry_after, cause});
  return HasWaitingClient(id);
}
bool Node::Fail(MessageId id, GiveUpCause cause) {
  if (shadow_evaluation_) shadow_evaluation_->RecordFailed(id);
  decisions_.emplace_back(state::FailRequested{id, cause});
  return HasWaitingClient(id);
}
// Whether the final answer goes to a waiting client. Otherwise it is a notice, and the engine is told once
// the platform has accepted it.
bool Node::HasWaitingClient(state::Serial serial) const {
  const auto pending = state_.pending.find(serial);
  return pending != state_.pending.end() && pending->second.waiting_client.has_value();
}
void Node::SetTimer(Micros at) { decisions_.emplace_back(state::TimerRequested{at}); }
void Node::Watch() { decisions_.emplace_back(state::WatchRequested{}); }
void Node::CloseIdle(const EndpointId& endpoint) {
  decisions_.emplace_back(state::CloseIdleRequested{endpoint});
}

}  // namespace indigosaddle::node
