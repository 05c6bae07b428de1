// What is logged and counted of messages, calls and recovering destinations.
#include <string>

#include "base/log_events.h"
#include "node/describe.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

const char* NameOf(state::MessageResult over) {
  switch (over) {
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

void Node::Do(state::MessageFinished& e) {
  using state::MessageResult;
  const Micros held = e.accepted_at > Micros(0) ? loop_.Now() - e.accepted_at : Micros(0);
  const auto attempts = static_cast<std::uint64_t>(e.attempts);
  const std::string rules = Describe(e.rules);
  Count(e, held);
  if (e.result == MessageResult::kDelivered) {
    log_.Write(base::kMessageDelivered, e.id, e.message_class, e.tenant, e.destination, NameOf(e.result),
               attempts, held, rules);
  } else {
    log_.Write(base::kMessageEnded, e.id, e.message_class, e.tenant, e.destination, NameOf(e.result),
               attempts, held, e.cause ? NameOf(*e.cause) : "", rules);
  }
}

void Node::LogRuleChanges(const Config& next) {
  const auto described = [](const Config& config) {
    std::map<std::string, std::string> rules;  // by class
    for (const auto& [name, number] : config.classes)
      rules[name] = Describe(config.settings.classes[static_cast<std::size_t>(number)]);
    return rules;
  };
  const auto before = described(config_), after = described(next);
  for (const auto& [name, rules] : after) {
    const auto old = before.find(name);
    if (old == before.end() || old->second != rules)
      log_.Write(base::kClassRulesChanged, name, old == before.end() ? "" : old->second, rules);
  }
  for (const auto& [name, rules] : before)
    if (!after.contains(name)) log_.Write(base::kClassRulesChanged, name, rules, "");
}

// In the figures since the start, by class, and for the guard of a change on trial.
void Node::Count(const state::MessageFinished& e, Micros held) {
  using state::MessageResult;
  delivered_ += e.result == MessageResult::kDelivered;
  returned_ += e.result == MessageResult::kReturned;
  given_up_ += e.result == MessageResult::kFailed;
  if (e.result == MessageResult::kWithdrawn) return;
  ClassFigures& figures = by_class_[e.message_class];
  ++(e.result == MessageResult::kDelivered  ? figures.completed
     : e.result == MessageResult::kReturned ? figures.rejected
                                            : figures.failed);
  const int number = NumberOf(config_.classes, e.message_class);
  const Micros aim = number >= 0 ? config_.settings.classes[static_cast<std::size_t>(number)].aim : Micros(0);
  const bool late = e.result == MessageResult::kDelivered && aim > Micros(0) && held > aim;
  changes_.Count(e.result == MessageResult::kReturned ? config::Sign::kRefused
                 : e.result == MessageResult::kFailed ? config::Sign::kFailed
                 : late                               ? config::Sign::kLate
                                                      : config::Sign::kInTime,
                 loop_.Now());
}

void Node::Do(state::MessageResumed& e) {
  log_.Write(base::kMessageResumed, e.id, e.destination, static_cast<std::uint64_t>(e.past.attempts),
             e.past.may_have_run, e.deadline - loop_.Now(), Describe(e.rules));
}

void Node::LogCall(const net::CallResult& result) {
  const auto found = state_.pending.find(result.serial);
  if (found == state_.pending.end()) return;
  const state::PendingMessage& owed = found->second;
  const auto attempt = static_cast<std::uint64_t>(owed.past.attempts);
  const std::string rules = Describe(owed.message.rules);
  if (result.ending == state::AttemptResult::kDelivered) {
    log_.Write(base::kCallDelivered, owed.message.id, owed.message.destination, owed.endpoint, attempt,
               state::NameOf(result.ending), result.latency, result.wait, rules, result.connection.number,
               result.connection.calls, result.connection.age);
  } else {
    log_.Write(base::kCallEnded, owed.message.id, owed.message.destination, owed.endpoint, attempt,
               state::NameOf(result.ending), result.latency, result.wait, rules, result.connection.number,
               result.connection.calls, result.connection.age);
  }
}

void Node::Do(state::MessageInDoubt& e) { log_.Write(base::kDeliveryRetracted, e.id); }

void Node::OnRecovery(const RecoveryChange& change) {
  log_.Write(base::kRecovery, change.destination, change.endpoint, NameOf(change.from), NameOf(change.to),
             NameOf(change.cause), change.allowance, change.spent, change.limit, change.served_share);
}

}  // namespace indigosaddle::node
