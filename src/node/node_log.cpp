// Log lines and counters of messages, calls and recovering destinations.
#include <string>

#include "base/log_events.h"
#include "node/describe.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

const char* NameOf(state::MessageResult result) {
  switch (result) {
    case state::MessageResult::kDelivered: return "delivered";
    case state::MessageResult::kReturned: return "returned";
    case state::MessageResult::kWithdrawn: return "withdrawn";
    case state::MessageResult::kFailed: return "failed";
  }
  return "unknown";
}

const char* NameOf(Recovery recovery) {
  switch (recovery) {
    case Recovery::kHealthy: return "warm";
    case Recovery::kProbing: return "probing";
    case Recovery::kSlowStart: return "slow_start";
  }
  return "unknown";
}

const char* NameOf(RecoveryCause cause) {
  switch (cause) {
    case RecoveryCause::kCallFailed: return "call failed";
    case RecoveryCause::kCallRefused: return "call refused";
    case RecoveryCause::kCallServed: return "call served";
    case RecoveryCause::kColdTimeOver: return "cold time over";
    case RecoveryCause::kRestarted: return "tried before a restart, not delivered";
    case RecoveryCause::kZoneLost: return "zone lost";
  }
  return "unknown";
}

}  // namespace

void Node::Execute(state::MessageFinished& effect) {
  using state::MessageResult;
  const Micros time_held = effect.accepted_at > Micros(0) ? loop_.Now() - effect.accepted_at : Micros(0);
  const auto attempts = static_cast<std::uint64_t>(effect.attempts);
  const std::string rules = Describe(effect.rules);
  CountFinished(effect, time_held);
  if (effect.result == MessageResult::kDelivered) {
    log_.Write(base::kMessageDelivered, effect.id, effect.message_class, effect.tenant, effect.destination,
               NameOf(effect.result), attempts, time_held, rules);
  } else {
    log_.Write(base::kMessageEnded, effect.id, effect.message_class, effect.tenant, effect.destination,
               NameOf(effect.result), attempts, time_held, effect.cause ? NameOf(*effect.cause) : "", rules);
  }
}

// Logs the repeat rules of each class for which `next` changes them.
void Node::LogRuleChanges(const Config& next) {
  const auto describe_rules = [](const Config& config) {
    std::map<std::string, std::string> rules;  // by class
    for (const auto& [name, number] : config.classes)
      rules[name] = Describe(config.settings.classes[static_cast<std::size_t>(number)]);
    return rules;
  };
  const auto before = describe_rules(config_), after = describe_rules(next);
  for (const auto& [name, rules] : after) {
    const auto old = before.find(name);
    if (old == before.end() || old->second != rules)
      log_.Write(base::kClassRulesChanged, name, old == before.end() ? "" : old->second, rules);
  }
  for (const auto& [name, rules] : before)
    if (!after.contains(name)) log_.Write(base::kClassRulesChanged, name, rules, "");
}

// Counts a finished message in the totals, for its class, and for the guard of a configuration change on
// trial.
void Node::CountFinished(const state::MessageFinished& finished, Micros time_held) {
  using state::MessageResult;
  delivered_ += finished.result == MessageResult::kDelivered;
  returned_ += finished.result == MessageResult::kReturned;
  failed_ += finished.result == MessageResult::kFailed;
  if (finished.result == MessageResult::kWithdrawn) return;
  ClassCounts& counts = counts_by_class_[finished.message_class];
  ++(finished.result == MessageResult::kDelivered  ? counts.completed
     : finished.result == MessageResult::kReturned ? counts.rejected
                                                   : counts.failed);
  const int number = NumberOf(config_.classes, finished.message_class);
  const Micros aim = number >= 0 ? config_.settings.classes[static_cast<std::size_t>(number)].aim : Micros(0);
  const bool late = finished.result == MessageResult::kDelivered && aim > Micros(0) && time_held > aim;
  config_changes_.Count(finished.result == MessageResult::kReturned ? config::GuardOutcome::kRefused
                        : finished.result == MessageResult::kFailed ? config::GuardOutcome::kFailed
                        : late                                      ? config::GuardOutcome::kLate
                                                                    : config::GuardOutcome::kOnTime,
                        loop_.Now());
}

void Node::Execute(state::MessageResumed& effect) {
  log_.Write(base::kMessageResumed, effect.id, effect.destination,
             static_cast<std::uint64_t>(effect.past.attempts), effect.past.may_have_run,
             effect.deadline - loop_.Now(), Describe(effect.rules));
}

void Node::LogCall(const net::CallResult& result) {
  const auto found = state_.pending.find(result.serial);
  if (found == state_.pending.end()) return;
  const state::PendingMessage& pending = found->second;
  const auto attempt = static_cast<std::uint64_t>(pending.past.attempts);
  const std::string rules = Describe(pending.message.rules);
  if (result.attempt_result == state::AttemptResult::kDelivered) {
    log_.Write(base::kCallDelivered, pending.message.id, pending.message.destination, pending.endpoint,
               attempt, state::NameOf(result.attempt_result), result.latency, result.retry_after, rules,
               result.connection.number, result.connection.calls, result.connection.age);
  } else {
    log_.Write(base::kCallEnded, pending.message.id, pending.message.destination, pending.endpoint, attempt,
               state::NameOf(result.attempt_result), result.latency, result.retry_after, rules,
               result.connection.number, result.connection.calls, result.connection.age);
  }
}

void Node::Execute(state::MessageInDoubt& effect) { log_.Write(base::kDeliveryRetracted, effect.id); }

void Node::OnRecovery(const RecoveryChange& change) {
  log_.Write(base::kRecovery, change.destination, change.endpoint, NameOf(change.from), NameOf(change.to),
             NameOf(change.cause), change.allowance, change.spent, change.limit, change.served_share);
}

}  // namespace indigosaddle::node
