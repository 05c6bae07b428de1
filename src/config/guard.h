// The guard of a trial: decides whether a change of the configuration made things worse, by comparing the
// shares of refused, failed and late messages during the trial with those of a baseline span before it.
// Does no I/O and reads no clock; the time is an argument. docs/design/001-front-door.md gives the reasons
// for this statistical test, its error rate and the changes for the worse that it misses.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace indigosaddle::config {

using Micros = std::chrono::microseconds;

// How a message ended in the node, as the guard counts it.
enum class GuardOutcome : std::uint8_t { kOnTime, kLate, kRefused, kFailed };

struct GuardRules {
  // The probability that a harmless trial is found to be a regression, over all looks and metrics together.
  double false_alarm_rate = 0.001;
  // Length of the span before a change with which its trial is compared.
  Micros baseline{std::chrono::seconds(60)};
  Micros trial{std::chrono::seconds(30)};  // length of a trial
};

enum class Verdict : std::uint8_t {
  kNoRegression,
  kRegression,
  kTooFewMessages  // the trial ended with too few messages to prove anything
};

// What the guard found at one look.
struct Assessment {
  Verdict verdict = Verdict::kNoRegression;
  std::string reason;  // a sentence for operators
};

// Counts the outcomes of messages, and during a trial compares them with the baseline. The comparison is
// repeated during the trial; each repetition is called a look and spends its part of the false alarm rate.
class Guard {
 public:
  // The baseline is split into blocks to see how much its traffic varies.
  static constexpr int kBaselineBlocks = 20;
  // Most looks in one trial; the false alarm rate is divided among them.
  static constexpr int kMaxLooks = 20;
  // A trial with fewer messages that shows no regression proves nothing.
  static constexpr std::uint64_t kMinTrialMessages = 50;

  explicit Guard(GuardRules rules);

  // Has no effect during a trial, which keeps the rules that it began with.
  void SetRules(const GuardRules& rules);
  // Counts a message that ended at `now`, in the trial if there is one, else in the baseline.
  void Count(GuardOutcome outcome, Micros now);
  // Begins a trial.
  void Begin(Micros now);
  bool in_trial() const { return in_trial_; }
  // Takes a look if one is due and returns whether it shows a regression.
  Assessment Look(Micros now);
  // Ends the trial with a last look. Returns kTooFewMessages where the trial had too few messages.
  Assessment End(Micros now);
  // Ends the trial without a look.
  void Cancel() { in_trial_ = false; }

 private:
  struct Counts {
    std::array<std::uint64_t, 4> by_outcome{};
    std::uint64_t total() const { return by_outcome[0] + by_outcome[1] + by_outcome[2] + by_outcome[3]; }
    std::uint64_t of(GuardOutcome outcome) const { return by_outcome[static_cast<std::size_t>(outcome)]; }
  };
  struct Block {
    Micros from;
    Counts counts;
  };

  Micros BlockSpan() const;
  void DropOldBlocks(Micros now);
  Assessment Assess(double error_rate) const;
  double Overdispersion(GuardOutcome outcome, double baseline_share) const;
  double WorstBaselineShare(GuardOutcome outcome) const;
  Counts SumOfBlocks(std::size_t from, std::size_t to) const;  // of the baseline, without the block `to`

  GuardRules rules_;
  std::deque<Block> baseline_blocks_, trial_blocks_;
  Counts trial_counts_;
  Micros trial_began_{0}, last_look_{0};
  int looks_taken_ = 0;
  bool in_trial_ = false;
};

// Fisher's exact test, one-sided: the probability of at least `trial_bad` bad messages among the
// `trial_total` of a trial if the `baseline_bad + trial_bad` bad ones were spread at random over all messages
// of baseline and trial. Above 10,000 messages all counts are scaled down to that sum, which only makes the
// test more conservative.
double FisherOneSidedP(double baseline_bad, double baseline_total, double trial_bad, double trial_total);

}  // namespace indigosaddle::config
