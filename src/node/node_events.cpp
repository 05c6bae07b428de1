// Handlers of the sockets: they turn what arrives into events of the next turn.
#include <string>
#include <utility>

#include "base/log_events.h"
#include "node/describe.h"
#include "node/node.h"

namespace indigosaddle::node {

void Node::OnEnqueue(std::uint64_t connection, std::uint64_t command, net::Enqueue enqueue) {
  if (!config_.classes.contains(enqueue.message_class)) {
    return server_.Reply(connection, command, "-ERR unknown class\r\n");
  }
  if (!enqueue.tenant.empty() && !config_.tenants.contains(enqueue.tenant)) {
    return server_.Reply(connection, command, "-ERR unknown tenant\r\n");
  }
  const EnqueueFacts facts{enqueue.received_at, enqueue.time_left, enqueue.enqueued_before,
                           !enqueue.idempotency_key.empty()};
  const ApplicableRules applicable = rules_.RulesFor(enqueue.message_class, facts);
  if (!applicable.sure) {
    ++ambiguous_rules_;
    log_.Write(base::kMessageRulesUnknown, enqueue.id, enqueue.message_class, Describe(applicable.rules));
  }
  state::ClientMessage event;
  event.client = {connection, command};
  event.at = loop_.Now();
  state::AcceptedMessage& message = event.message;
  message.id = std::move(enqueue.id);
  message.message_class = std::move(enqueue.message_class);
  message.tenant = std::move(enqueue.tenant);
  message.idempotency_key = std::move(enqueue.idempotency_key);
  message.order_key = std::move(enqueue.order_key);
  message.body = std::move(enqueue.body);
  message.destination = enqueue.destination;
  message.rules = applicable.rules;
  message.deadline = enqueue.received_at + enqueue.time_left;
  Push(std::move(event));
}

void Node::OnClientClosed(std::uint64_t connection, net::ClientCloseReason reason, std::uint64_t commands,
                          Micros lasted) {
  ++client_close_reasons_[static_cast<std::size_t>(reason)];
  ++clients_ended_in_phase_;
  log_.Write(base::kClientEnded, connection, net::NameOf(reason), commands, lasted);
  Push(state::ClientGone{connection});
}

void Node::OnMembers(net::MemberListUpdate update) {
  for (const std::string& skipped : update.skipped)
    log_.Write(base::kListEntrySkipped, update.version, skipped);
  state::ListUpdate event;
  event.whole = update.whole;
  event.unreadable = std::move(update.unreadable);
  for (net::Member& member : update.members) {
    state::ListedEndpoint listed;
    listed.endpoint.zone = zone_numbers_.NumberFor(config_.zones, member.site, member.host);
    listed.endpoint.id = std::move(member.host);
    listed.endpoint.kind = NumberOf(config_.kinds, member.kind);
    listed.endpoint.destination = member.destination;
    listed.endpoint.weight = member.rate_limit;
    listed.endpoint.state = member.health == net::ReportedHealth::kReady         ? EndpointState::kReady
                            : member.health == net::ReportedHealth::kTerminating ? EndpointState::kDraining
                                                                                 : EndpointState::kGone;
    listed.address = std::move(member.address);
    event.entries.push_back(std::move(listed));
  }
  Push(std::move(event));
}

void Node::OnListWatchLost() { Push(state::ListWatchLost{}); }

void Node::OnListValidity(Micros outdated_from) { Push(state::ListValidityChanged{outdated_from}); }

void Node::OnListOutdatedByMove() { config_changes_.OnListOutdatedByMove(); }

// The platform accepts notices where it serves the list.
void Node::OnDiscoverySwitched() { notices_.SetAddress(discovery_.address_in_use()); }

void Node::OnNoticesAccepted(const std::vector<std::uint64_t>& serials) {
  Push(state::NoticesAccepted{serials});
}

void Node::OnNoticeUnreadable(std::string_view line) { log_.Write(base::kNoticeUnreadable, line); }

Action Node::CallAction(const state::PendingMessage& pending) {
  return pending.past.attempts > 1 ? Action::kRepeatCall : Action::kBeginFirstCall;
}

// Asked by the call pool before a call's first byte: checks that the call may still start and writes its
// record to the journal. Returns by when its last byte must have left, or nothing if the call may not start.
net::CallPool::StartPermit Node::PermitCallStart(std::uint64_t serial) {
  if (!brain_->MayStillStart(serial, loop_.Now())) return std::nullopt;
  const auto pending = state_.pending.find(serial);
  if (pending == state_.pending.end() || !pending->second.in_flight) return std::nullopt;
  if (!state_.AttemptAddressIsCurrent(pending->second)) return std::nullopt;
  const Action action = CallAction(pending->second);
  if (!May(action)) return std::nullopt;
  if (pending->second.connecting) {               // other calls were recorded in their turn
    if (state_.rewrite_due) return std::nullopt;  // the file may be damaged
    Reduce(state::CallConnected{serial});
    if (journal_failed_) return std::nullopt;
  }
  Did(action);
  return brain_->LastByteBy(serial);
}

void Node::OnCallEnded(const net::CallResult& result) {
  ++attempt_results_[static_cast<std::size_t>(result.attempt_result)];
  LogCall(result);
  Push(state::CallEnded{result.serial, result.attempt_result, result.latency, result.retry_after, result.load,
                        loop_.Now()});
}

}  // namespace indigosaddle::node
