// What the pool of calls sees on its connections: logged, counted, and told to the reducer where it bears on
// a message. What follows of it for calls is decided by brain/connection_trust.h.
#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/log_events.h"
#include "node/counts_by_name.h"
#include "node/node.h"

namespace indigosaddle::node {

void Node::OnUnsolicitedData(const net::UnsolicitedData& unasked) {
  const net::ConnectionInfo& connection = unasked.connection;
  log_.Write(base::kConnectionUnasked, unasked.endpoint, connection.number, NameOf(connection.state),
             connection.age, connection.in_state, connection.calls, unasked.last_id, NameOf(unasked.why),
             unasked.bytes, unasked.suspects, unasked.all_suspect);
  if (unasked.wait > Micros(0)) Push(state::RetryAfterReceived{unasked.endpoint, unasked.wait});
}

void Node::OnAnswerRejected(const net::RejectedAnswer& answer) {
  const net::ConnectionInfo& connection = answer.connection;
  log_.Write(base::kAnswerNotBelieved, answer.id, answer.endpoint, connection.number,
             NameOf(connection.state), connection.age, connection.calls, state::NameOf(answer.attempt_result),
             NameOf(answer.why));
}

void Node::OnConnectionClosed(const net::ClosedConnection& closed) {
  const net::ConnectionInfo& connection = closed.connection;
  log_.Write(base::kConnectionClosed, closed.endpoint, connection.number, NameOf(closed.why),
             NameOf(connection.state), connection.age, connection.in_state, connection.calls, closed.last_id);
}

void Node::OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) {
  Push(state::AnswersInDoubt{serials});
}

void Node::OnTrustViolation(const net::ClosedConnection& connection) {
  log_.Write(base::kTrustBreak, connection.endpoint, connection.connection.number,
             NameOf(connection.connection.state), NameOf(connection.why));
#ifdef INDIGOSADDLE_CHECKED
  std::abort();
#endif
}

void Node::ReportConnections() {
  const net::CallCounts& counts = pool_.counts();
  log_.Write(base::kConnectionReport, counts.opened, counts.reused, counts.unsolicited,
             counts.rejected_answers, counts.doubtful_answers, pool_.suspects(), pool_.all_suspect(),
             CountsByName<DenialReason>(counts.closed), CountsByName<DenialReason>(counts.not_reused));
}

// In the form of the other figures.
std::string Node::ConnectionFigures() const {
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
