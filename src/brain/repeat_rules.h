// Determines which rules for repeats and order apply to an enqueued message: those that were in force when
// its client created it.
//
// Settings change while the node serves. Clients learn of a change later than the node, and a message that
// they enqueue may be older than the change. Where it is unknown under which rules a message was created, the
// strictest of all that may apply are used. A message that was certainly created after a change follows the
// new rules. Once enqueued, a message carries its rules itself (Message::rules, and the journal): they are
// not looked up by its class again.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "brain.h"

namespace indigosaddle {

// For a message of whose creation nothing is known.
constexpr RepeatRules kStrictestRules{Effect::kUnsafe, Group::kCell, Micros(0), true};

// The loosest rules that satisfy both.
RepeatRules Strictest(const RepeatRules& a, const RepeatRules& b);

// The rules of a class during one period. Instants are node time.
struct RuleSpan {
  RepeatRules rules;
  Micros deadline{0};            // longest time to deliver that its messages had
  Micros until = Micros::max();  // end of the period; max: still in force
  friend bool operator==(const RuleSpan&, const RuleSpan&) = default;
};

// What an ENQUEUE command tells about when its message was created.
struct EnqueueFacts {
  Micros received_at{0};         // when the command's first byte arrived
  Micros time_left{0};           // to deliver, counted from received_at
  bool enqueued_before = false;  // the client enqueued it before, at this node or another
  bool has_key = false;          // it has an idempotency key
};

// The rules that an enqueued message has to follow.
struct ApplicableRules {
  RepeatRules rules;
  bool sure = true;  // false: several rules may apply, and these are the strictest
};

// What was in force before the process started.
enum class PriorRules {
  kNone,  // nothing: first start with this state folder
  kUnknown
};

// The rules of all classes over time, as far back as a message may have been created. Saved and restored by
// its owner.
class RuleHistory {
 public:
  // Settings by class name.
  using Classes = std::map<std::string, ClassSettings>;
  using Spans = std::map<std::string, std::vector<RuleSpan>>;  // by class name, oldest first

  // Starts with the first settings of a process that finds no saved history.
  void Begin(const Classes& classes, Micros now, PriorRules prior);
  // Restores what an earlier process saved. The next Change says which rules are in force.
  void Restore(Spans spans, Micros now);
  // Puts these classes in force from now on. Returns false if nothing changed.
  bool Change(const Classes& classes, Micros now);
  // Adds another process's history of the same node, up to now.
  void Merge(const Spans& spans, Micros now);
  // Other rules than those known here may have been in force until now: the strictest rules apply to messages
  // that may be older.
  void AssumeStrictestBefore(Micros now);

  // The rules for a message of this class. An unknown class gets the strictest rules, as unsure.
  ApplicableRules RulesFor(const std::string& message_class, const EnqueueFacts& enqueue) const;
  // For saving and merging.
  const Spans& spans() const { return spans_; }

 private:
  // Drops spans that can apply to no message any more, and bounds their number per class.
  void Prune(Micros now);

  Spans spans_;
};

}  // namespace indigosaddle
