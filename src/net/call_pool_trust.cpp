// Unsolicited data on a pool's connections, and its consequences.
#include <utility>

#include "net/call_connection.h"
#include "net/call_pool.h"

namespace indigosaddle::net {

void CallPool::ReportClosed(const Connection& connection, DenialReason why) {
  ++counts_.closed[static_cast<std::size_t>(why)];
  if (observer_ != nullptr)
    observer_->OnConnectionClosed({connection.endpoint(), connection.last_id(), connection.Info(), why});
}

// Unsolicited data indicates that this endpoint, or a proxy in front of it, sends duplicates. So its idle
// connections are closed, and the answers accepted lately on its reused connections become doubtful.
void CallPool::HandleUnsolicitedData(const Connection& connection, DenialReason why, std::size_t bytes,
                                     Micros retry_after) {
  ++counts_.unsolicited;
  const Micros now = loop_.Now();
  const bool all_suspect = suspects_.ReportUnsolicitedData(connection.endpoint(), now);
  if (observer_ != nullptr) {
    observer_->OnUnsolicitedData({connection.endpoint(), connection.last_id(), connection.Info(), why, bytes,
                                  suspects_.Count(now), suspects_.AllSuspect(now), retry_after});
  }
  all_suspect ? CloseAllIdle() : CloseIdle(std::string(connection.endpoint()));
  ReportDoubtfulAnswers(connection.endpoint(), all_suspect);
}

void CallPool::RecordAcceptedAnswer(const Connection& connection, std::uint64_t serial) {
  const Micros now = loop_.Now();
  while (!accepted_answers_.empty() &&
         now - accepted_answers_.front().at > SuspectEndpoints::kDoubtfulAnswerWindow) {
    accepted_answers_.pop_front();
  }
  accepted_answers_.push_back({connection.endpoint(), serial, now});
}

void CallPool::ReportRejectedAnswer(const Connection& connection, DenialReason why,
                                    state::AttemptResult attempt_result) {
  ++counts_.rejected_answers;
  if (observer_ != nullptr) {
    observer_->OnAnswerRejected(
        {connection.endpoint(), connection.last_id(), connection.Info(), attempt_result, why});
  }
}

void CallPool::ReportTrustViolation(const Connection& connection, DenialReason why) {
  ++counts_.trust_violations;
  if (observer_ != nullptr)
    observer_->OnTrustViolation({connection.endpoint(), connection.last_id(), connection.Info(), why});
}

void CallPool::ReportDoubtfulAnswers(const std::string& endpoint, bool all) {
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> doubtful;
  for (const AcceptedAnswer& answer : accepted_answers_) {
    if (!all && answer.endpoint != endpoint) continue;
    if (now - answer.at <= SuspectEndpoints::kDoubtfulAnswerWindow) doubtful.push_back(answer.serial);
  }
  std::erase_if(accepted_answers_,
                [&](const AcceptedAnswer& answer) { return all || answer.endpoint == endpoint; });
  counts_.doubtful_answers += doubtful.size();
  if (observer_ != nullptr && !doubtful.empty()) observer_->OnAnswersDoubtful(doubtful);
}

}  // namespace indigosaddle::net
