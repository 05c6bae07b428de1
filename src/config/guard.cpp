#include "config/guard.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/hypergeometric.hpp>
#include <cmath>

namespace indigosaddle::config {
namespace {

constexpr double kMostCounted = 10000;   // past it the exact test costs much and tells no more
constexpr double kLeastRise = 0.05;      // of a share: less is no burst, however sure
constexpr double kLeastOdds = 3;         // times those before: the same for rare and for common ends
constexpr std::uint64_t kLeastBad = 10;  // ends in the trial: a handful is no burst
constexpr double kMostSwing = 50;        // of the variance over chance's own

struct Watched {
  Sign sign;
  const char* name;
};
constexpr std::array<Watched, 3> kWatched = {
    {{Sign::kRefused, "refusals"}, {Sign::kFailed, "failures"}, {Sign::kLate, "late deliveries"}}};

}  // namespace

double ChanceOfSoMany(double k0, double n0, double k1, double n1) {
  const double scale = std::min(1.0, kMostCounted / std::max(1.0, n0 + n1));
  const auto whole = [&](double x) { return static_cast<unsigned>(std::floor(x * scale)); };
  const unsigned n = whole(n0) + whole(n1), drawn = whole(n1), good = whole(k1);
  const unsigned bad = std::min(n, whole(k0) + good);
  if (good == 0 || drawn == 0 || n == drawn) return 1;
  if (good > std::min(bad, drawn)) return 1;
  const boost::math::hypergeometric_distribution<double> alike(bad, drawn, n);
  // The support begins where the draw cannot hold fewer.
  const unsigned least = drawn + bad > n ? drawn + bad - n : 0;
  if (good <= least) return 1;
  return boost::math::cdf(boost::math::complement(alike, good - 1));
}

Guard::Guard(GuardRules rules) : rules_(rules) {}

void Guard::SetRules(const GuardRules& rules) {
  if (watching_) return;
  rules_ = rules;
}

Micros Guard::BlockSpan() const { return std::max<Micros>(Micros(1), rules_.before / kBlocks); }

void Guard::Count(Sign sign, Micros now) {
  std::deque<Block>& blocks = watching_ ? during_ : before_;
  if (blocks.empty() || now - blocks.back().from >= BlockSpan()) blocks.push_back({now, {}});
  ++blocks.back().counts.of[static_cast<std::size_t>(sign)];
  if (watching_) {
    ++trial_.of[static_cast<std::size_t>(sign)];
  } else {
    Forget(now);
  }
}

// Two spans' worth of blocks at most: the span before is what is looked at, its bound is kept here.
void Guard::Forget(Micros now) {
  while (before_.size() > 1 && now - before_.front().from > rules_.before) before_.pop_front();
  while (before_.size() > std::size_t{2} * kBlocks) before_.pop_front();
}

void Guard::Begin(Micros now) {
  Forget(now);
  trial_ = {};
  during_.clear();
  began_ = now;
  looks_ = 0;
  watching_ = true;
}

// Each look spends an equal part of the error rate, each sign a third of that (Bonferroni: holds however the
// looks and the signs depend on each other).
Judgement Guard::Look(Micros now) {
  if (!watching_ || now - began_ < rules_.trial * (looks_ + 1) / kLooks) return {};
  ++looks_;
  looked_at_ = now;
  return Judge(rules_.false_alarms / kLooks / static_cast<double>(kWatched.size()));
}

Judgement Guard::End(Micros now) {
  began_ = std::min(began_, now - rules_.trial);  // the last look is always due
  looks_ = std::min(looks_, kLooks - 1);
  Judgement last = Look(now);
  watching_ = false;
  if (last.finding != Finding::kNothing) return last;
  // A trial that is kept belongs to the span before the next change; one that is undone says nothing about
  // it.
  before_.insert(before_.end(), during_.begin(), during_.end());
  Forget(now);
  if (trial_.all() < kEnough) {
    return {Finding::kTooLittle,
            fmt::format("only {} messages ended in the trial, which proves nothing", trial_.all())};
  }
  return {Finding::kNothing,
          fmt::format("{} messages ended in the trial, no worse than before", trial_.all())};
}

Judgement Guard::Judge(double error) const {
  const Counts before = Sum(0, before_.size());
  const auto n0 = static_cast<double>(before.all()), n1 = static_cast<double>(trial_.all());
  if (n0 <= 0 || n1 <= 0) return {};
  for (const Watched& watched : kWatched) {
    const auto k0 = static_cast<double>(before.at(watched.sign)),
               k1 = static_cast<double>(trial_.at(watched.sign));
    const double p0 = k0 / n0, p1 = k1 / n1;
    if (trial_.at(watched.sign) < kLeastBad || p1 - p0 < kLeastRise ||
        p1 * (1 - p0) < kLeastOdds * p0 * (1 - p1))
      continue;
    if (p1 - WorstBefore(watched.sign) < kLeastRise) continue;
    const double swing = Swing(watched.sign, p0);
    const double chance = ChanceOfSoMany(k0 / swing, n0 / swing, k1 / swing, n1 / swing);
    if (chance > error) continue;
    return {
        Finding::kBurst,
        fmt::format("a burst of {}: {:.1f}% of {} messages, {:.1f}% of {} before the change (chance {:.1e})",
                    watched.name, 100 * p1, trial_.all(), 100 * p0, before.all(), chance)};
  }
  return {};
}

// Real traffic comes in clumps that last for seconds. How much more groups of blocks swing than chance alone
// would, by Pearson's statistic on groups of one, two and four blocks, the worst of them: so much fewer
// independent messages the counts are worth.
double Guard::Swing(Sign sign, double p0) const {
  double worst = 1;
  for (std::size_t size = 1; size <= 4; size *= 2) {
    double sum = 0;
    int groups = 0;
    for (std::size_t from = 0; from < before_.size(); from += size) {
      const Counts group = Sum(from, from + size);
      const auto n = static_cast<double>(group.all());
      const double off = static_cast<double>(group.at(sign)) - n * p0;
      if (n <= 0 || p0 <= 0 || p0 >= 1) continue;
      sum += off * off / (n * p0 * (1 - p0));
      ++groups;
    }
    if (groups > 2) worst = std::max(worst, sum / (groups - 1));
  }
  return std::min(worst, kMostSwing);
}

// The greatest share in any run of blocks as long as the trial so far, a quarter of the span at most: a trial
// that is no worse than such a run is no burst. Runs with a few messages only say nothing.
double Guard::WorstBefore(Sign sign) const {
  const auto blocks = static_cast<std::size_t>((looked_at_ - began_) / BlockSpan());
  const std::size_t run = std::clamp<std::size_t>(blocks, 1, kBlocks / 4);
  double worst = 0;
  for (std::size_t from = 0; from + run <= before_.size(); ++from) {
    const Counts counts = Sum(from, from + run);
    if (counts.all() < kLeastBad) continue;
    worst = std::max(worst, static_cast<double>(counts.at(sign)) / static_cast<double>(counts.all()));
  }
  return worst;
}

Guard::Counts Guard::Sum(std::size_t from, std::size_t to) const {
  Counts sum;
  for (std::size_t i = from; i < std::min(to, before_.size()); ++i) {
    for (std::size_t sign = 0; sign < sum.of.size(); ++sign) sum.of[sign] += before_[i].counts.of[sign];
  }
  return sum;
}

}  // namespace indigosaddle::config
