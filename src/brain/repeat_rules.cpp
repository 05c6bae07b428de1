#include "brain/repeat_rules.h"

#include <algorithm>
#include <utility>

namespace indigosaddle {
namespace {

// Clients follow new settings 1.2 s after the node; the rest is for a node or a client that was delayed.
constexpr Micros kClientSettingsDelay = std::chrono::seconds(3);
constexpr std::size_t kMaxSpans = 16;  // per class: beyond that the oldest are merged

Micros LongestDeadline(const std::vector<RuleSpan>& spans) {
  Micros longest(0);
  for (const RuleSpan& span : spans) longest = std::max(longest, span.deadline);
  return longest;
}

bool InForce(const RuleSpan& span) { return span.until == Micros::max(); }

// Whether a client may have created a message under this span at `created_at` or later.
bool MayApply(const RuleSpan& span, Micros created_at) {
  return InForce(span) || span.until + kClientSettingsDelay > created_at;
}

// The greatest age that the message can have when its command arrives. Where its time left says nothing, any
// age that its class allows.
Micros MaxAge(const EnqueueFacts& enqueue, Micros longest) {
  if (enqueue.enqueued_before || enqueue.time_left > longest) return longest;
  return longest - enqueue.time_left;
}

RuleSpan Merged(const RuleSpan& a, const RuleSpan& b) {
  return {Strictest(a.rules, b.rules), std::max(a.deadline, b.deadline), std::max(a.until, b.until)};
}

}  // namespace

RepeatRules Strictest(const RepeatRules& a, const RepeatRules& b) {
  RepeatRules both;
  both.effect = std::max(a.effect, b.effect);
  both.sequential = a.sequential || b.sequential;
  if (both.effect != Effect::kKeyed) return both;
  const bool a_keyed = a.effect == Effect::kKeyed, b_keyed = b.effect == Effect::kKeyed;
  both.group = a_keyed && b_keyed ? std::max(a.group, b.group) : a_keyed ? a.group : b.group;
  both.key_ttl = a_keyed && b_keyed ? std::min(a.key_ttl, b.key_ttl) : a_keyed ? a.key_ttl : b.key_ttl;
  return both;
}

void RuleHistory::Begin(const Classes& classes, Micros now, PriorRules prior) {
  spans_.clear();
  Change(classes, now);
  if (prior == PriorRules::kUnknown) AssumeStrictestBefore(now);
}

void RuleHistory::AssumeStrictestBefore(Micros now) {
  for (auto& [name, spans] : spans_)
    spans.insert(spans.begin(), RuleSpan{kStrictestRules, LongestDeadline(spans), now});
  Prune(now);
}

void RuleHistory::Restore(Spans spans, Micros now) {
  spans_ = std::move(spans);
  for (auto& [name, of_class] : spans_) {
    for (RuleSpan& span : of_class)  // node time may have restarted, and lie before the saved times
      if (!InForce(span)) span.until = std::min(span.until, now);
  }
  Prune(now);
}

bool RuleHistory::Change(const Classes& classes, Micros now) {
  bool changed = false;
  for (auto& [name, spans] : spans_) {
    const auto next = classes.find(name);
    for (RuleSpan& span : spans) {
      const bool stays = next != classes.end() &&
                         span.rules == static_cast<const RepeatRules&>(next->second) &&
                         span.deadline == next->second.deadline;
      if (!InForce(span) || stays) continue;
      span.until = now;
      changed = true;
    }
  }
  for (const auto& [name, settings] : classes) {
    std::vector<RuleSpan>& spans = spans_[name];
    if (std::any_of(spans.begin(), spans.end(), InForce)) continue;
    spans.push_back({settings, settings.deadline});
    changed = true;
  }
  Prune(now);
  return changed;
}

void RuleHistory::Merge(const Spans& spans, Micros now) {
  for (const auto& [name, others] : spans) {
    std::vector<RuleSpan>& own = spans_[name];
    for (const RuleSpan& span : others)
      own.insert(own.begin(), RuleSpan{span.rules, span.deadline, std::min(span.until, now)});
  }
  Prune(now);
}

ApplicableRules RuleHistory::RulesFor(const std::string& message_class, const EnqueueFacts& enqueue) const {
  const auto known = spans_.find(message_class);
  if (known == spans_.end() || known->second.empty()) return {kStrictestRules, false};
  const std::vector<RuleSpan>& spans = known->second;
  const Micros created_at = enqueue.received_at - MaxAge(enqueue, LongestDeadline(spans));
  ApplicableRules applicable{Strictest(spans.back().rules, spans.back().rules), true};
  for (const RuleSpan& span : spans) {
    if (!MayApply(span, created_at)) continue;
    const RepeatRules both = Strictest(applicable.rules, span.rules);
    applicable.sure =
        applicable.sure && both == applicable.rules && both == Strictest(span.rules, span.rules);
    applicable.rules = both;
  }
  // Without an idempotency key receivers can't recognize a repeat: the message was not created under rules
  // that use one.
  if (applicable.rules.effect == Effect::kKeyed && !enqueue.has_key)
    applicable.rules.effect = Effect::kUnsafe;
  return applicable;
}

void RuleHistory::Prune(Micros now) {
  for (auto& [name, spans] : spans_) {
    const Micros oldest_creation = now - LongestDeadline(spans);
    std::erase_if(spans, [&](const RuleSpan& span) { return !MayApply(span, oldest_creation); });
    while (spans.size() > kMaxSpans && !InForce(spans[0]) && !InForce(spans[1])) {
      spans[1] = Merged(spans[0], spans[1]);
      spans.erase(spans.begin());
    }
  }
  std::erase_if(spans_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace indigosaddle
