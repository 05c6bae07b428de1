#include "node/shadow_evaluation.h"

#include <fmt/format.h>

#include <utility>

namespace indigosaddle::node {

Settings ShadowSettings::AppliedTo(Settings settings) const {
  settings.weights = weights.value_or(settings.weights);
  settings.retry_advice = retry_advice.value_or(settings.retry_advice);
  settings.price_handshake = price_handshake.value_or(settings.price_handshake);
  settings.overload_factor = overload_factor.value_or(settings.overload_factor);
  settings.senders = senders.value_or(settings.senders);
  settings.max_attempts = max_attempts.value_or(settings.max_attempts);
  settings.fall = fall.value_or(settings.fall);
  return settings;
}

const char* NameOf(ShadowDifference kind) {
  switch (kind) {
    case ShadowDifference::kSent: return "sent";
    case ShadowDifference::kOtherEndpoint: return "other_endpoint";
    case ShadowDifference::kRefused: return "refused";
    case ShadowDifference::kFailed: return "failed";
    case ShadowDifference::kWaited: return "waited";
  }
  return "?";
}

ShadowEvaluation::ShadowEvaluation(const ShadowSettings& shadow_settings, const Settings& in_force)
    : shadow_settings_(shadow_settings), brain_(MakeBrain(shadow_settings.AppliedTo(in_force), *this)) {}

void ShadowEvaluation::OnTurnStart(Micros now) {
  actual_.clear();
  shadow_.clear();
  brain_->OnTurnStart(now);
  // A call that only the shadow made has no outcome. It ends here as not sent, and the message is no longer
  // compared.
  for (const MessageId id : std::exchange(unsent_, {})) {
    Outcome outcome;
    outcome.id = id;
    outcome.result = Result::kNotSent;
    brain_->OnOutcome(outcome);
    brain_->OnWithdrawn(id);
  }
}

void ShadowEvaluation::OnMessage(const Message& message) {
  ++messages_;
  compared_.insert(message.id);
  brain_->OnMessage(message);
}

void ShadowEvaluation::OnOutcome(const Outcome& outcome) {
  if (!compared_.contains(outcome.id)) return;  // of a call that the shadow did not make
  brain_->OnOutcome(outcome);
  if (outcome.last) compared_.erase(outcome.id);
}

void ShadowEvaluation::OnWithdrawn(MessageId id) {
  if (compared_.erase(id) > 0) brain_->OnWithdrawn(id);
}

void ShadowEvaluation::OnTurnEnd() {
  brain_->OnTurnEnd();
  for (const auto& [id, decision] : shadow_) {
    if (!compared_.contains(id)) continue;
    const auto actual = actual_.find(id);
    if (actual != actual_.end() && actual->second == decision) {
      if (decision.kind != Kind::kSend) compared_.erase(id);
      continue;
    }
    if (decision.kind == Kind::kSend) unsent_.push_back(id);
    CountDifference(id, decision.kind == Kind::kRefuse ? ShadowDifference::kRefused
                        : decision.kind == Kind::kFail ? ShadowDifference::kFailed
                        : actual != actual_.end() && actual->second.kind == Kind::kSend
                            ? ShadowDifference::kOtherEndpoint
                            : ShadowDifference::kSent);
  }
  for (const auto& [id, actual] : actual_) {
    if (!compared_.contains(id) || shadow_.contains(id)) continue;
    CountDifference(id, ShadowDifference::kWaited);
    brain_->OnWithdrawn(id);
  }
}

void ShadowEvaluation::CountDifference(MessageId id, ShadowDifference kind) {
  ++counts_[static_cast<std::size_t>(kind)];
  compared_.erase(id);
}

std::string ShadowEvaluation::Summary() const {
  std::string text;
  for (std::size_t i = 0; i < kShadowDifferences; ++i) {
    if (counts_[i] == 0) continue;
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts_[i],
                        NameOf(static_cast<ShadowDifference>(i)));
  }
  return text;
}

nlohmann::json ShadowEvaluation::Json() const {
  nlohmann::json counts = nlohmann::json::object();
  for (std::size_t i = 0; i < kShadowDifferences; ++i)
    counts[NameOf(static_cast<ShadowDifference>(i))] = counts_[i];
  return {{"messages", messages_}, {"compared_now", compared_.size()}, {"otherwise", counts}};
}

}  // namespace indigosaddle::node
