// Which rules for repeats and order bind a message that is handed in: those in force when its sender wrote
// it.
//
// Settings change while the node serves. Senders learn of a change later than the node, and what they hand in
// may be older than it. Where it can't be known under which rules a message was born, the strictest of all
// that may apply bind it; what was surely born behind a change goes by the new ones. From its hand-in on a
// message carries its rules itself (Message::rules, and the journal): nothing looks them up by its class
// again.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "brain.h"

namespace indigosaddle {

// For a message of whose birth nothing is known.
constexpr RepeatRules kStrictestRules{Effect::kUnsafe, Group::kCell, Micros(0), true};

// The loosest rules that keep both.
RepeatRules Strictest(const RepeatRules& a, const RepeatRules& b);

// What a class said, and until when it did; instants are node time.
struct RuleSpan {
  RepeatRules rules;
  Micros deadline{0};            // the most time that its messages had
  Micros until = Micros::max();  // max: it is in force
  friend bool operator==(const RuleSpan&, const RuleSpan&) = default;
};

// What a hand-in tells of its message's birth.
struct EnqueueFacts {
  Micros received_at{0};         // the first byte of its command
  Micros time_left{0};           // from then
  bool enqueued_before = false;  // to this node or another
  bool has_key = false;          // an idempotency key
};

struct ApplicableRules {
  RepeatRules rules;
  bool sure = true;  // false: several may apply, these are the strictest
};

// What was in force before a process began: nothing, which is so at a folder's first start; or not known.
enum class PriorRules { kNone, kUnknown };

class RuleHistory {
 public:
  using Classes = std::map<std::string, ClassSettings>;
  using Spans = std::map<std::string, std::vector<RuleSpan>>;  // by class

  // The first settings of a process that finds no history.
  void Begin(const Classes& classes, Micros now, PriorRules prior);
  // Takes up what an earlier process saved. In force is what Change says next.
  void Restore(Spans spans, Micros now);
  // These classes are in force from now on. False where nothing changed.
  bool Change(const Classes& classes, Micros now);
  // Another process's history of the same node, up to now.
  void Merge(const Spans& spans, Micros now);
  // Up to now other rules may have been in force than are known here: the strictest bind what may be older.
  void AssumeStrictestBefore(Micros now);

  ApplicableRules RulesFor(const std::string& message_class, const EnqueueFacts& enqueue) const;
  const Spans& spans() const { return spans_; }

 private:
  void Prune(Micros now);

  Spans spans_;
};

}  // namespace indigosaddle
