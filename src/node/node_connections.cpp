// Observations of the call pool on its connections: they are logged and counted, and passed to the reducer if
// they concern a message. Their consequences for calls are decided in brain/connection_trust.h.
#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/log_events.h"
#include "node/counts_by_name.h"
#include "node/node.h"

namespace indigosaddle::node {

void Node::OnUnsolicitedData(const net::UnsolicitedData& unsolicited) {
  const net::ConnectionInfo& connection = unsolicited.connection;
  log_.Write(base::kUnsolicitedBytes, unsolicited.endpoint, connection.number, NameOf(connection.state),
             connection.age, connection.in_state, connection.calls, unsolicited.last_id,
             NameOf(unsolicited.why), unsolicited.bytes, unsolicited.suspects, unsolicited.all_suspect);
  if (unsolicited.retry_after > Micros(0))
    Push(state::RetryAfterReceived{unsolicited.endpoint, unsolicited.retry_after});
}

void Node::OnAnswerRejected(const net::RejectedAnswer& answer) {
  const net::ConnectionInfo& connection = answer.connection;
  log_.Write(base::kAnswerNotTrusted, answer.id, answer.endpoint, connection.number, NameOf(connection.state),
             connection.age, connection.calls, state::NameOf(answer.attempt_result), NameOf(answer.why));
}

void Node::OnConnectionClosed(const net::ClosedConnection& closed) {
  const net::ConnectionInfo& connection = closed.connection;
  log_.Write(base::kConnectionClosed, closed.endpoint, connection.number, NameOf(closed.why),
             NameOf(connection.state), connection.age, connection.in_state, connection.calls, closed.last_id);
}

void Node::OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) {
  Push(state::AnswersInDoubt{serials});
}

void Node::OnTrustViolation(const net::ClosedConnection& closed) {
  log_.Write(base::kConnectionTrustViolation, closed.endpoint, closed.connection.number,
             NameOf(closed.connection.state), NameOf(closed.why));
#ifdef INDIGOSADDLE_CHECKED
  std::abort();
#endif
}

void Node::LogConnectionReport() {
  const net::CallCounts& counts = pool_.counts();
  log_.Write(base::kConnectionReport, counts.opened, counts.reused, counts.unsolicited,
             counts.rejected_answers, counts.doubtful_answers, pool_.suspects(), pool_.all_suspect(),
             CountsByName<DenialReason>(counts.closed), CountsByName<DenialReason>(counts.not_reused));
}

// Returns the metrics of connections in the statsd form of Metrics().
std::string Node::ConnectionMetrics() const {
  const net::CallCounts& counts = pool_.counts();
  return fmt::format(
      "app.connections_opened:{}|c\napp.connections_reused:{}|c\napp.connection_unasked:{}|c\n"
      "app.answers_not_believed:{}|c\napp.messages_doubted:{}|c\napp.suspect_endpoints:{}|g\n"
      "app.connection_breaks:{}|c\n",
      counts.opened, counts.reused, counts.unsolicited, counts.rejected_answers, counts.doubtful_answers,
      pool_.suspects(), counts.trust_violations);
}

nlohmann::json Node::ConnectionStatus() const {
  const net::CallCounts& counts = pool_.counts();
  return {{"reused", counts.reused},
          {"unasked", counts.unsolicited},
          {"not_believed", counts.rejected_answers},
          {"doubted", counts.doubtful_answers},
          {"suspects", pool_.suspects()},
          {"all_suspect", pool_.all_suspect()},
          {"breaks", counts.trust_violations},
          {"closed", CountsByName<DenialReason>(counts.closed)},
          {"not_reused", CountsByName<DenialReason>(counts.not_reused)}};
}

}  // namespace indigosaddle::node
