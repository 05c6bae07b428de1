// A change of the operator's configuration as a transaction: it is checked as a whole, staged (saved, but not
// in force), applied all at once, put on trial, and then either kept or undone (rolled back). This is a state
// machine from events to effects, without I/O and without a clock. A proposal comes with the result of its
// check; the guard's findings come as events. src/node/config_changes.h carries the effects out in the order
// given.
//
// Invariants, which the tests check:
//  - exactly one generation is in force; without a trial it is the kept one;
//  - at most one generation is on trial, and it is saved as such before it is applied;
//  - a generation is kept only after its trial, and only then does the saved state name it as kept;
//  - every proposal gets exactly one answer, unless the process ends first;
//  - after a kill at any step, the saved state makes the next process serve the last kept generation.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace indigosaddle::config {

using Micros = std::chrono::microseconds;

enum class GenerationResult : std::uint8_t { kOnTrial, kKept, kUndone };

// One version of the operator's configuration.
struct Generation {
  std::uint64_t number = 0;
  std::string author, reason, document;  // document: the whole text of the operator's file
  Micros staged_at{0};                   // since 1970: by the wall clock at a start, else an event's `now`
  GenerationResult result = GenerationResult::kOnTrial;
  std::string result_reason;  // what the trial showed, or why the generation was undone
  int crashes_on_trial = 0;   // unplanned ends of the process while the generation was on trial
};

std::string GenerationLabel(std::uint64_t number);  // "generation 7"

// The saved state. Documents of old generations may be empty: they are dropped to keep the saved file small.
struct History {
  std::deque<Generation> generations;    // oldest first, at most kMaxGenerations
  std::uint64_t kept = 0, on_trial = 0;  // numbers; 0: none
  std::string seen_file;                 // hash of the operator's file as last read at a start or on SIGHUP
  bool planned_stop = false;             // the process ended by a planned stop

  const Generation* Find(std::uint64_t number) const;  // null where there is none
  Generation* Find(std::uint64_t number);
};

constexpr std::size_t kMaxGenerations = 20;
constexpr std::size_t kMaxQueuedProposals = 4;  // proposals that wait for the end of a trial

// A change that somebody asks for.
struct Proposal {
  std::uint64_t ticket = 0;  // identifies the answer; 0: nobody waits for one
  std::string author, reason, document;
  bool queue_if_busy = false;       // wait for the end of a trial instead of being refused
  std::vector<std::string> faults;  // from the check against the node as it is now; any refuses it as a whole
  bool no_change = false;           // it is the same as the configuration in force
  std::string file_hash;  // set where it is the operator's file itself: the next start knows this file by it
};

// ---- Events -----------------------------------------------------------------------------------------------
// `now` is the time of the node's loop (src/net/loop.h): steady, and counted from 1970.
struct Started {  // comes first: the saved state; this process serves the kept generation of it
  History history;
  Micros now{0};
};
struct Proposed {
  Proposal proposal;
  Micros now{0};
};
struct Rechecked {  // the answer to Recheck: a proposal, checked against what is in force now
  Proposal proposal;
  Micros now{0};
};
struct Saved {  // the answer to Save
  bool ok = false;
};
struct Applied {      // the answer to Apply
  std::string error;  // empty: the document is in force
};
struct GuardReported {
  bool regression = false, trial_ended = false;  // trial_ended: this is the last report of the trial
  std::string reason;
};
struct TimerFired {  // the time that ArmTimer asked for has come
  Micros now{0};
};
struct RollbackRequested {
  std::uint64_t ticket = 0, number = 0;  // number: of the generation to go back to; 0: the one before
  std::string author, reason;
  Micros now{0};
};
struct StopRequested {};
using TransactionEvent = std::variant<Started, Proposed, Rechecked, Saved, Applied, GuardReported, TimerFired,
                                      RollbackRequested, StopRequested>;

// ---- Effects ----------------------------------------------------------------------------------------------
struct Save {  // saves the History in one step; answered by Saved
};
struct Apply {  // puts a document in force all at once, between two turns; answered by Applied
  std::uint64_t number = 0;
  std::string document;
  bool undo = false;  // goes back to the document that was in force before, which cannot be refused
};
struct Recheck {  // answered by Rechecked
  Proposal proposal;
};
struct BeginTrial {};
struct EndTrial {};  // answered by GuardReported with `trial_ended`
struct CancelTrial {};
struct ArmTimer {
  Micros at{0};
};
struct Answer {
  std::uint64_t ticket = 0;
  bool ok = false;
  std::uint64_t number = 0;  // of the generation that the proposal became
  std::string text;
};
enum class LogKind : std::uint8_t { kRefused, kOnTrial, kKept, kUndone, kInterrupted, kStoreFailed };
struct WriteLog {
  LogKind kind = LogKind::kRefused;
  std::uint64_t number = 0,
                back_to = 0;  // back_to: the generation in force if the change is refused or undone
  std::string author, text;
};
using TransactionEffect =
    std::variant<Save, Apply, Recheck, BeginTrial, EndTrial, CancelTrial, ArmTimer, Answer, WriteLog>;
using TransactionEffects = std::vector<TransactionEffect>;

struct TransactionRules {
  Micros trial{std::chrono::seconds(30)};         // length of a trial
  Micros resume_after{std::chrono::seconds(60)};  // from a start to the second trial of an interrupted change
};

// The state machine. Each event appends its effects to a list, which the caller carries out in order; the
// answers to the effects come back as further events.
class Transactions {
 public:
  explicit Transactions(TransactionRules rules) : rules_(rules) {}

  void On(const TransactionEvent& event, TransactionEffects& effects);

  // A trial that runs keeps its end.
  void SetRules(const TransactionRules& rules) { rules_ = rules; }
  const History& history() const { return history_; }
  bool on_trial() const { return phase_ == Phase::kTrial; }
  Micros trial_ends() const { return trial_ends_; }
  std::size_t queued() const { return queue_.size(); }
  // The number of the generation in force.
  std::uint64_t in_force() const { return on_trial() ? history_.on_trial : history_.kept; }

 private:
  // kStaging: a generation is being saved as on trial and is not in force yet. kKeeping: the end of its trial
  // is being saved.
  enum class Phase : std::uint8_t { kIdle, kStaging, kApplying, kTrial, kKeeping };

  void Handle(const Started& e, TransactionEffects& effects);
  void Handle(const Proposed& e, TransactionEffects& effects);
  void Handle(const Rechecked& e, TransactionEffects& effects);
  void Handle(const Saved& e, TransactionEffects& effects);
  void Handle(const Applied& e, TransactionEffects& effects);
  void Handle(const GuardReported& e, TransactionEffects& effects);
  void Handle(const TimerFired& e, TransactionEffects& effects);
  void Handle(const RollbackRequested& e, TransactionEffects& effects);
  void Handle(const StopRequested& e, TransactionEffects& effects);

  void Stage(const Proposal& proposal, Micros now, TransactionEffects& effects);
  void Refuse(const Proposal& proposal, std::string reason, TransactionEffects& effects);
  void Undo(const std::string& reason, TransactionEffects& effects);
  void Keep(TransactionEffects& effects);
  void ResumeTrial(TransactionEffects& effects);
  void RecheckNextQueued(TransactionEffects& effects);

  TransactionRules rules_;
  History history_;
  Phase phase_ = Phase::kIdle;
  Micros now_{0}, trial_ends_{0}, resume_at_{0};  // resume_at_: 0: no interrupted trial
  std::uint64_t ticket_ = 0;                      // of the staged generation, answered once that is in force
  std::uint64_t previously_kept_ = 0;  // the kept generation before the one that is being saved as kept
  std::string kept_reason_;  // not empty: the trial has ended, but the generation is not yet saved as kept
  std::deque<Proposal> queue_;
  bool stopping_ = false;
};

// The history with which a process starts. The process serves the last kept generation, unless the operator's
// file differs from the one last read and is usable: then the file becomes a generation that is kept at once,
// since at a start there is no earlier traffic with which a trial could be compared. An unusable file changes
// nothing.
History HistoryAtStart(History saved, const std::string& file, const std::string& file_hash, bool usable,
                       Micros now);

std::string_view NameOf(GenerationResult result);

}  // namespace indigosaddle::config
