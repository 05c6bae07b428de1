#include "config/guard.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/hypergeometric.hpp>
#include <cmath>

namespace indigosaddle::config {
namespace {

constexpr double kMaxTestedMessages = 10000;  // with more, the exact test costs much and tells no more
constexpr double kMinShareRise = 0.05;        // a smaller rise is no regression, however significant
// Least ratio of the trial's odds to the baseline's. Odds let one bound serve rare and common outcomes.
constexpr double kMinOddsRatio = 3;
constexpr std::uint64_t kMinBadMessages = 10;  // in the trial; fewer are no regression
constexpr double kMaxOverdispersion = 50;      // ratio of the variance to that of independent messages

struct GuardMetric {
  GuardOutcome outcome;
  const char* name;
};
constexpr std::array<GuardMetric, 3> kMetrics = {{{GuardOutcome::kRefused, "refusals"},
                                                  {GuardOutcome::kFailed, "failures"},
                                                  {GuardOutcome::kLate, "late deliveries"}}};

}  // namespace

double FisherOneSidedP(double baseline_bad, double baseline_total, double trial_bad, double trial_total) {
  const double scale = std::min(1.0, kMaxTestedMessages / std::max(1.0, baseline_total + trial_total));
  const auto scaled = [&](double count) { return static_cast<unsigned>(std::floor(count * scale)); };
  const unsigned population = scaled(baseline_total) + scaled(trial_total), drawn = scaled(trial_total),
                 drawn_bad = scaled(trial_bad);
  const unsigned bad = std::min(population, scaled(baseline_bad) + drawn_bad);
  if (drawn_bad == 0 || drawn == 0 || population == drawn) return 1;
  if (drawn_bad > std::min(bad, drawn)) return 1;
  const boost::math::hypergeometric_distribution<double> bad_in_draw(bad, drawn, population);
  // The least number of bad messages that a draw of this size can have.
  const unsigned least_bad = drawn + bad > population ? drawn + bad - population : 0;
  if (drawn_bad <= least_bad) return 1;
  return boost::math::cdf(boost::math::complement(bad_in_draw, drawn_bad - 1));
}

Guard::Guard(GuardRules rules) : rules_(rules) {}

void Guard::SetRules(const GuardRules& rules) {
  if (in_trial_) return;
  rules_ = rules;
}

Micros Guard::BlockSpan() const { return std::max<Micros>(Micros(1), rules_.baseline / kBaselineBlocks); }

void Guard::Count(GuardOutcome outcome, Micros now) {
  std::deque<Block>& blocks = in_trial_ ? trial_blocks_ : baseline_blocks_;
  if (blocks.empty() || now - blocks.back().from >= BlockSpan()) blocks.push_back({now, {}});
  ++blocks.back().counts.by_outcome[static_cast<std::size_t>(outcome)];
  if (in_trial_) {
    ++trial_counts_.by_outcome[static_cast<std::size_t>(outcome)];
  } else {
    DropOldBlocks(now);
  }
}

// Drops the blocks from before the baseline span. At most twice the planned number of blocks is kept, which
// bounds the memory.
void Guard::DropOldBlocks(Micros now) {
  while (baseline_blocks_.size() > 1 && now - baseline_blocks_.front().from > rules_.baseline)
    baseline_blocks_.pop_front();
  while (baseline_blocks_.size() > std::size_t{2} * kBaselineBlocks) baseline_blocks_.pop_front();
}

void Guard::Begin(Micros now) {
  DropOldBlocks(now);
  trial_counts_ = {};
  trial_blocks_.clear();
  trial_began_ = now;
  looks_taken_ = 0;
  in_trial_ = true;
}

// Each look spends an equal part of the false alarm rate, and each metric a third of that (a Bonferroni
// correction, which holds however the looks and the metrics depend on each other).
Assessment Guard::Look(Micros now) {
  if (!in_trial_ || now - trial_began_ < rules_.trial * (looks_taken_ + 1) / kMaxLooks) return {};
  ++looks_taken_;
  last_look_ = now;
  return Assess(rules_.false_alarm_rate / kMaxLooks / static_cast<double>(kMetrics.size()));
}

Assessment Guard::End(Micros now) {
  // Makes the last look due in any case.
  trial_began_ = std::min(trial_began_, now - rules_.trial);
  looks_taken_ = std::min(looks_taken_, kMaxLooks - 1);
  Assessment last = Look(now);
  in_trial_ = false;
  if (last.verdict != Verdict::kNoRegression) return last;
  // The blocks of a trial that is kept join the baseline of the next change. Those of a trial that is undone
  // do not, since they say nothing about the configuration in force.
  baseline_blocks_.insert(baseline_blocks_.end(), trial_blocks_.begin(), trial_blocks_.end());
  DropOldBlocks(now);
  if (trial_counts_.total() < kMinTrialMessages) {
    return {Verdict::kTooFewMessages,
            fmt::format("only {} messages ended in the trial, which proves nothing", trial_counts_.total())};
  }
  return {Verdict::kNoRegression,
          fmt::format("{} messages ended in the trial, no worse than before", trial_counts_.total())};
}

Assessment Guard::Assess(double error_rate) const {
  const Counts baseline = SumOfBlocks(0, baseline_blocks_.size());
  const auto baseline_total = static_cast<double>(baseline.total()),
             trial_total = static_cast<double>(trial_counts_.total());
  if (baseline_total <= 0 || trial_total <= 0) return {};
  for (const GuardMetric& metric : kMetrics) {
    const auto baseline_bad = static_cast<double>(baseline.of(metric.outcome)),
               trial_bad = static_cast<double>(trial_counts_.of(metric.outcome));
    const double baseline_share = baseline_bad / baseline_total, trial_share = trial_bad / trial_total;
    if (trial_counts_.of(metric.outcome) < kMinBadMessages || trial_share - baseline_share < kMinShareRise ||
        trial_share * (1 - baseline_share) < kMinOddsRatio * baseline_share * (1 - trial_share)) {
      continue;
    }
    if (trial_share - WorstBaselineShare(metric.outcome) < kMinShareRise) continue;
    const double factor = Overdispersion(metric.outcome, baseline_share);
    const double p = FisherOneSidedP(baseline_bad / factor, baseline_total / factor, trial_bad / factor,
                                     trial_total / factor);
    if (p > error_rate) continue;
    return {
        Verdict::kRegression,
        fmt::format("a burst of {}: {:.1f}% of {} messages, {:.1f}% of {} before the change (chance {:.1e})",
                    metric.name, 100 * trial_share, trial_counts_.total(), 100 * baseline_share,
                    baseline.total(), p)};
  }
  return {};
}

// Bad outcomes in real traffic come in clusters that last for seconds, so that messages are not independent.
// Returns by how much the counts vary more than those of independent messages would: Pearson's statistic per
// degree of freedom, for groups of one, two and four blocks, the largest of them. Counts divided by this
// factor stand for as many independent messages.
double Guard::Overdispersion(GuardOutcome outcome, double baseline_share) const {
  double worst = 1;
  for (std::size_t size = 1; size <= 4; size *= 2) {
    double sum = 0;
    int groups = 0;
    for (std::size_t from = 0; from < baseline_blocks_.size(); from += size) {
      const Counts group = SumOfBlocks(from, from + size);
      const auto total = static_cast<double>(group.total());
      const double deviation = static_cast<double>(group.of(outcome)) - total * baseline_share;
      if (total <= 0 || baseline_share <= 0 || baseline_share >= 1) continue;
      sum += deviation * deviation / (total * baseline_share * (1 - baseline_share));
      ++groups;
    }
    if (groups > 2) worst = std::max(worst, sum / (groups - 1));
  }
  return std::min(worst, kMaxOverdispersion);
}

// The largest share of an outcome in any run of baseline blocks that is as long as the trial so far, but no
// longer than a quarter of the baseline. A trial that is no worse than such a run is no regression. Runs with
// only a few messages say nothing and are left out.
double Guard::WorstBaselineShare(GuardOutcome outcome) const {
  const auto trial_blocks = static_cast<std::size_t>((last_look_ - trial_began_) / BlockSpan());
  const std::size_t run = std::clamp<std::size_t>(trial_blocks, 1, kBaselineBlocks / 4);
  double worst = 0;
  for (std::size_t from = 0; from + run <= baseline_blocks_.size(); ++from) {
    const Counts counts = SumOfBlocks(from, from + run);
    if (counts.total() < kMinBadMessages) continue;
    worst = std::max(worst, static_cast<double>(counts.of(outcome)) / static_cast<double>(counts.total()));
  }
  return worst;
}

Guard::Counts Guard::SumOfBlocks(std::size_t from, std::size_t to) const {
  Counts sum;
  for (std::size_t i = from; i < std::min(to, baseline_blocks_.size()); ++i) {
    for (std::size_t outcome = 0; outcome < sum.by_outcome.size(); ++outcome)
      sum.by_outcome[outcome] += baseline_blocks_[i].counts.by_outcome[outcome];
  }
  return sum;
}

}  // namespace indigosaddle::config
