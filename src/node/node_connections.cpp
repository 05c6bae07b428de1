// What the pool of calls sees on its connections: logged, counted, and told to the reducer where it bears on
// a message. What follows of it for calls is decided by brain/connection_trust.h.
#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/log_events.h"
#include "node/counts_by_name.h"
#include "node/node.h"

namespace indigosaddle::node {

void Node::OnUnasked(const net::UnaskedBytes& unasked) {
  const net::ConnectionNote& connection = unasked.connection;
  log_.Write(base::kUnsolicitedBytes, unasked.endpoint, connection.number, NameOf(connection.state),
             connection.age, connection.in_state, connection.calls, unasked.last_id, NameOf(unasked.why),
             unasked.bytes, unasked.suspects, unasked.all_suspect);
  if (unasked.wait > Micros(0)) Push(state::RetryAfterReceived{unasked.endpoint, unasked.wait});
}

void Node::OnNotBelieved(const net::DisbelievedAnswer& answer) {
  const net::ConnectionNote& connection = answer.connection;
  log_.Write(base::kAnswerNotTrusted, answer.id, answer.endpoint, connection.number, NameOf(connection.state),
             connection.age, connection.calls, state::NameOf(answer.said), NameOf(answer.why));
}

void Node::OnConnectionClosed(const net::ClosedConnection& closed) {
  const net::ConnectionNote& connection = closed.connection;
  log_.Write(base::kConnectionClosed, closed.endpoint, connection.number, NameOf(closed.why),
             NameOf(connection.state), connection.age, connection.in_state, connection.calls, closed.last_id);
}

void Node::OnDoubted(const std::vector<std::uint64_t>& serials) { Push(state::AnswersInDoubt{serials}); }

void Node::OnTrustBreak(const net::ClosedConnection& connection) {
  log_.Write(base::kConnectionTrustViolation, connection.endpoint, connection.connection.number,
             NameOf(connection.connection.state), NameOf(connection.why));
#ifdef INDIGOSADDLE_CHECKED
  std::abort();
#endif
}

void Node::ReportConnections() {
  const net::CallCounts& counts = pool_.counts();
  log_.Write(base::kConnectionReport, counts.opened, counts.reused, counts.unasked, counts.not_believed,
             counts.doubted, pool_.suspects(), pool_.all_suspect(), CountsByName<DenialReason>(counts.closed),
             CountsByName<DenialReason>(counts.not_reused));
}

// In the form of the other figures.
std::string Node::ConnectionFigures() const {
  const net::CallCounts& counts = pool_.counts();
  return fmt::format(
      "app.connections_opened:{}|c\napp.connections_reused:{}|c\napp.connection_unasked:{}|c\n"
      "app.answers_not_believed:{}|c\napp.messages_doubted:{}|c\napp.suspect_endpoints:{}|g\n"
      "app.connection_breaks:{}|c\n",
      counts.opened, counts.reused, counts.unasked, counts.not_believed, counts.doubted, pool_.suspects(),
      counts.breaks);
}

nlohmann::json Node::ConnectionStatus() const {
  const net::CallCounts& counts = pool_.counts();
  return {{"reused", counts.reused},
          {"unasked", counts.unasked},
          {"not_believed", counts.not_believed},
          {"doubted", counts.doubted},
          {"suspects", pool_.suspects()},
          {"all_suspect", pool_.all_suspect()},
          {"breaks", counts.breaks},
          {"closed", CountsByName<DenialReason>(counts.closed)},
          {"not_reused", CountsByName<DenialReason>(counts.not_reused)}};
}

}  // namespace indigosaddle::node
