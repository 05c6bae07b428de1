// A change of the operator's configuration as a transaction: checked whole, staged, applied all at once, on
// trial, then kept or undone. A state machine from event to effects: no I/O, no clock. What the check says
// comes with the proposal; what the guard says comes as an event. src/node/config_changes.h carries the
// effects out, in the order given.
//
// Invariants, on which the tests stand:
//  - exactly one generation is in force; without a trial it is the kept one;
//  - at most one generation is on trial, and it is saved as such before it is applied;
//  - a generation is kept only after its trial, and the saved state names it as kept only then;
//  - every proposal gets exactly one answer, unless the process ends first;
//  - a state read back after a kill at any step serves the last kept generation.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace indigosaddle::config {

using Micros = std::chrono::microseconds;

enum class Result : std::uint8_t { kOnTrial, kKept, kUndone };

struct Generation {
  std::uint64_t number = 0;
  std::string author, reason, document;  // document: the operator's file, whole
  Micros at{0};                          // wall time when it was staged, since 1970
  Result result = Result::kOnTrial;
  std::string why;  // what the trial showed, or what undid it
  int deaths = 0;   // of the process, while it was on trial
};

std::string Numbered(std::uint64_t number);  // "generation 7"

// What is saved. The documents of old generations may be dropped to stay within a bound of bytes.
struct History {
  std::deque<Generation> generations;    // oldest first, at most kMostListed
  std::uint64_t kept = 0, on_trial = 0;  // numbers; 0: none
  std::string seen_file;                 // hash of the operator's file as last read at a start or by SIGHUP
  bool stopped = false;                  // the process ended by a planned stop

  const Generation* Find(std::uint64_t number) const;
  Generation* Find(std::uint64_t number);
};

constexpr std::size_t kMostListed = 20;
constexpr std::size_t kMostQueued = 4;  // proposals that wait for a trial to end

struct Proposal {
  std::uint64_t ticket = 0;  // for the answer; 0: nobody waits for one
  std::string author, reason, document;
  bool wait = false;                // queue behind a trial instead of being refused
  std::vector<std::string> faults;  // of the check, for the node as it is now; any refuses it whole
  bool no_change = false;           // it says what is in force already
  std::string file_hash;  // where it is the operator's file itself, so that the next start knows it was seen
};

// ---- Events -----------------------------------------------------------------------------------------------
struct Started {  // first: the saved state with which this process serves its kept generation
  History history;
  Micros now{0};
};
struct Proposed {
  Proposal proposal;
  Micros now{0};
};
struct Rechecked {  // the answer to Check: a queued proposal, judged against what is in force now
  Proposal proposal;
  Micros now{0};
};
struct Saved {  // the answer to Save
  bool ok = false;
};
struct Applied {        // the answer to Apply
  std::string trouble;  // empty: in force
};
struct GuardSaid {
  bool burst = false, ended = false;  // ended: the trial's last word
  std::string why;
};
struct Due {  // the time that ArmTimer asked for has come
  Micros now{0};
};
struct RollbackAsked {
  std::uint64_t ticket = 0, number = 0;  // number: of the generation to go back to; 0: the one before
  std::string author, reason;
  Micros now{0};
};
struct StopAsked {};
using TransactionEvent =
    std::variant<Started, Proposed, Rechecked, Saved, Applied, GuardSaid, Due, RollbackAsked, StopAsked>;

// ---- Effects ----------------------------------------------------------------------------------------------
struct Save {  // History, in one step; answered by Saved
};
struct Apply {  // between two turns, all at once; answered by Applied
  std::uint64_t number = 0;
  std::string document;
  bool undo = false;  // to what was in force before: cannot be refused
};
struct Check {  // answered by Rechecked
  Proposal proposal;
};
struct BeginTrial {};
struct EndTrial {};  // answered by GuardSaid with `ended`
struct CancelTrial {};
struct ArmTimer {
  Micros at{0};
};
struct Answer {
  std::uint64_t ticket = 0;
  bool ok = false;
  std::uint64_t number = 0;  // of the generation that came of it
  std::string text;
};
enum class Told : std::uint8_t { kRefused, kOnTrial, kKept, kUndone, kInterrupted, kStoreFailed };
struct Tell {  // for the log
  Told told = Told::kRefused;
  std::uint64_t number = 0, back_to = 0;
  std::string author, text;
};
using TransactionEffect =
    std::variant<Save, Apply, Check, BeginTrial, EndTrial, CancelTrial, ArmTimer, Answer, Tell>;
using TransactionEffects = std::vector<TransactionEffect>;

struct TransactionRules {
  Micros trial{std::chrono::seconds(30)};
  Micros resume_after{std::chrono::seconds(60)};  // from the start to a second trial of what a death cut off
};

class Transactions {
 public:
  explicit Transactions(TransactionRules rules) : rules_(rules) {}

  void On(const TransactionEvent& event, TransactionEffects& effects);

  void SetRules(const TransactionRules& rules) { rules_ = rules; }
  const History& history() const { return history_; }
  bool on_trial() const { return phase_ == Phase::kTrial; }
  Micros trial_ends() const { return trial_ends_; }
  std::size_t queued() const { return queue_.size(); }
  std::uint64_t in_force() const { return on_trial() ? history_.on_trial : history_.kept; }

 private:
  // kStaging: saved as on trial, not yet in force. kKeeping: its keeping is being saved.
  enum class Phase : std::uint8_t { kIdle, kStaging, kApplying, kTrial, kKeeping };

  void Handle(const Started& e, TransactionEffects& effects);
  void Handle(const Proposed& e, TransactionEffects& effects);
  void Handle(const Rechecked& e, TransactionEffects& effects);
  void Handle(const Saved& e, TransactionEffects& effects);
  void Handle(const Applied& e, TransactionEffects& effects);
  void Handle(const GuardSaid& e, TransactionEffects& effects);
  void Handle(const Due& e, TransactionEffects& effects);
  void Handle(const RollbackAsked& e, TransactionEffects& effects);
  void Handle(const StopAsked& e, TransactionEffects& effects);

  void Stage(const Proposal& proposal, Micros now, TransactionEffects& effects);
  void Refuse(const Proposal& proposal, std::string reason, TransactionEffects& effects);
  void Undo(const std::string& why, TransactionEffects& effects);
  void Keep(TransactionEffects& effects);
  void Resume(TransactionEffects& effects);
  void Next(TransactionEffects& effects);

  TransactionRules rules_;
  History history_;
  Phase phase_ = Phase::kIdle;
  Micros now_{0}, trial_ends_{0}, resume_at_{0};  // resume_at_: 0: nothing to resume
  std::uint64_t ticket_ = 0;                      // waits for the staged generation to be in force
  std::uint64_t kept_before_ = 0;                 // while a keeping is being saved
  std::string kept_why_;                          // the trial is over, its keeping is not saved yet
  std::deque<Proposal> queue_;
  bool stopping_ = false;
};

// What a process starts with: the last kept generation, unless the file differs from the one last read and
// can be used; then that one, kept at once, since a start has no span before it to compare with. An unusable
// file changes nothing.
History StartWith(History saved, const std::string& file, const std::string& file_hash, bool usable,
                  Micros now);

std::string_view NameOf(Result result);

}  // namespace indigosaddle::config
