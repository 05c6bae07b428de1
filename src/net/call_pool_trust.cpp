// What was said unasked on a pool's connections, and what follows of it.
#include <utility>

#include "net/call_connection.h"
#include "net/call_pool.h"

namespace indigosaddle::net {

void CallPool::ClosedFor(const Connection& connection, DenialReason why) {
  ++counts_.closed[static_cast<std::size_t>(why)];
  if (observer_ != nullptr)
    observer_->OnConnectionClosed({connection.host(), connection.last_id(), connection.Note(), why});
}

// A sign that this endpoint, or something in front of it, says things twice: its idle connections go, and
// what was believed there on used ones is doubtful.
void CallPool::Said(const Connection& connection, DenialReason why, std::size_t bytes, Micros wait) {
  ++counts_.unasked;
  const Micros now = loop_.Now();
  const bool all_now = suspects_.ReportUnsolicitedData(connection.host(), now);
  if (observer_ != nullptr) {
    observer_->OnUnasked({connection.host(), connection.last_id(), connection.Note(), why, bytes,
                          suspects_.Count(now), suspects_.AllSuspect(now), wait});
  }
  all_now ? CloseAllIdle() : CloseIdle(std::string(connection.host()));
  DoubtBeliefs(connection.host(), all_now);
}

void CallPool::Believed(const Connection& connection, std::uint64_t serial) {
  const Micros now = loop_.Now();
  while (!beliefs_.empty() && now - beliefs_.front().at > SuspectEndpoints::kDoubtfulAnswerWindow)
    beliefs_.pop_front();
  beliefs_.push_back({connection.host(), serial, now});
}

void CallPool::NotBelieved(const Connection& connection, DenialReason why, state::AttemptResult said) {
  ++counts_.not_believed;
  if (observer_ != nullptr)
    observer_->OnNotBelieved({connection.host(), connection.last_id(), connection.Note(), said, why});
}

void CallPool::Break(const Connection& connection, DenialReason why) {
  ++counts_.breaks;
  if (observer_ != nullptr)
    observer_->OnTrustBreak({connection.host(), connection.last_id(), connection.Note(), why});
}

void CallPool::DoubtBeliefs(const std::string& host, bool all) {
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> doubted;
  for (const Belief& belief : beliefs_) {
    if (!all && belief.host != host) continue;
    if (now - belief.at <= SuspectEndpoints::kDoubtfulAnswerWindow) doubted.push_back(belief.serial);
  }
  std::erase_if(beliefs_, [&](const Belief& belief) { return all || belief.host == host; });
  counts_.doubted += doubted.size();
  if (observer_ != nullptr && !doubted.empty()) observer_->OnDoubted(doubted);
}

}  // namespace indigosaddle::net
