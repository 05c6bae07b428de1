// What the sockets bring, as events of the next turn.
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
  const EnqueueFacts hand_in{enqueue.begun, enqueue.time_left, enqueue.handed_in_before,
                             !enqueue.idempotency_key.empty()};
  const ApplicableRules born = rules_.RulesFor(enqueue.message_class, hand_in);
  if (!born.sure) {
    ++unsure_rules_;
    log_.Write(base::kMessageRulesUnknown, enqueue.id, enqueue.message_class, Describe(born.rules));
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
  message.rules = born.rules;
  message.deadline = enqueue.begun + enqueue.time_left;
  Push(std::move(event));
}

void Node::OnClientGone(std::uint64_t connection, net::ClientEnd end, std::uint64_t commands, Micros lasted) {
  ++client_ends_[static_cast<std::size_t>(end)];
  ++clients_ended_in_phase_;
  log_.Write(base::kClientEnded, connection, net::NameOf(end), commands, lasted);
  Push(state::ClientGone{connection});
}

void Node::OnMembers(net::MemberNews news) {
  list_lost_at_ = Micros(0);
  if (const std::uint64_t untold = watch_losses_.Over(); untold > 0)
    log_.Write(base::kListWatchRestored, untold);
  for (const std::string& skipped : news.skipped) log_.Write(base::kListEntrySkipped, news.version, skipped);
  state::ListUpdate event;
  event.whole = news.whole;
  event.unreadable = std::move(news.unsure);
  for (net::Member& member : news.members) {
    state::ListedEndpoint listed;
    listed.endpoint.zone = zone_numbers_.Of(config_.zones, member.site, member.host);
    listed.endpoint.id = std::move(member.host);
    listed.endpoint.kind = NumberOf(config_.kinds, member.kind);
    listed.endpoint.destination = member.block;
    listed.endpoint.weight = member.share;
    listed.endpoint.state = member.health == net::Health::kReady         ? EndpointState::kReady
                            : member.health == net::Health::kTerminating ? EndpointState::kDraining
                                                                         : EndpointState::kGone;
    listed.dial = std::move(member.dial);
    event.entries.push_back(std::move(listed));
  }
  Push(std::move(event));
}

void Node::OnWatchLost(std::string_view reason, Micros outdated_from) {
  if (watch_losses_.Happened(reason)) log_.Write(base::kListWatchLost, reason);
  if (list_lost_at_ == Micros(0)) list_lost_at_ = loop_.Now();
  Push(state::ListWatchLost{outdated_from});
}

void Node::OnNoticesTaken(const std::vector<std::uint64_t>& serials) {
  Push(state::NoticesAccepted{serials});
}

void Node::OnNoticeUnreadable(std::string_view line) { log_.Write(base::kNoticeUnreadable, line); }

Action Node::CallAction(const state::PendingMessage& owed) {
  return owed.past.attempts > 1 ? Action::kRepeatCall : Action::kBeginFirstCall;
}

// Before a call's first byte: what binds it still, and its record on the disk.
net::CallPool::StartPermit Node::MayBegin(std::uint64_t serial) {
  if (!brain_->MayStillStart(serial, loop_.Now())) return std::nullopt;
  const auto owed = state_.pending.find(serial);
  if (owed == state_.pending.end() || !owed->second.in_flight) return std::nullopt;
  const Action action = CallAction(owed->second);
  if (!May(action)) return std::nullopt;
  if (owed->second.connecting) {                  // else on record since its turn
    if (state_.rewrite_due) return std::nullopt;  // the file is in doubt
    Reduce(state::CallConnected{serial});
    if (journal_failed_) return std::nullopt;
  }
  Did(action);
  return brain_->LastByteBy(serial);
}

void Node::OnCallEnded(const net::CallResult& result) {
  ++endings_[static_cast<std::size_t>(result.ending)];
  LogCall(result);
  Push(state::CallEnded{result.serial, result.ending, result.latency, result.wait, result.load, loop_.Now()});
}

}  // namespace indigosaddle::node
