// Cold servers, over the whole fleet (rule 4): what all senders together send to a destination that comes
// back cold is one sum. In virtual time; the draws are fixed by seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <tuple>

#include "crowd.h"

namespace indigosaddle::testing {
namespace {

using How = CrowdLimit::How;

class CrowdReturn : public ::testing::TestWithParam<std::tuple<int, How, bool>> {};

// The settings allow N = overload_factor x present capacity x fall calls in a fall span; beyond it 2 x root
// of N + 2 are put down to chance. Present capacity is what the destination can do in the middle of the span:
// from cold_from of its limit at the return to all of it after `cold`. The largest sum in any span, at steps
// of 100 ms, on several seeds, stays within that.
TEST_P(CrowdReturn, TheSumOfAllSendersStaysWithinTheBudgetAndChance) {
  const auto [nodes, how, uneven] = GetParam();
  const Settings s = OfCrowd();
  CrowdLimit limit;
  limit.rate = std::max(20.0, static_cast<double>(nodes));
  limit.down = seconds(5), limit.up = seconds(12);
  limit.how = how;
  limit.uneven = uneven ? 0.9 : 0;
  for (std::uint64_t seed = 12345; seed < 12345 + (nodes >= 100 ? 2 : 5); ++seed) {
    Crowd crowd(nodes, s, limit, seed);
    crowd.Run(limit.up + s.cold, 0.6 * limit.rate);
    double worst = -1e9;
    Micros worst_at{0};
    int worst_sum = 0;
    for (Micros from = limit.up; from + s.fall <= limit.up + s.cold; from += milliseconds(100)) {
      const Crowd::Bin span = crowd.Between(from, from + s.fall);
      const int sum = span.served + span.refused + span.failed;
      const std::chrono::duration<double> warming = from + s.fall / 2 - limit.up, cold = s.cold,
                                          fall = s.fall;
      const double share = std::min(1.0, s.cold_from + (1 - s.cold_from) * (warming / cold));
      const double budget = s.overload_factor * share * limit.rate * fall.count();
      const double over = sum - (budget + 2 * std::sqrt(budget) + 2);
      if (over > worst) worst = over, worst_at = from - limit.up, worst_sum = sum;
    }
    EXPECT_LE(worst, 0) << "seed " << seed << ", " << worst_sum << " calls from "
                        << std::chrono::duration<double>(worst_at).count() << " s after the return";
    EXPECT_GT(crowd.Between(limit.up, limit.up + s.cold).served, 0);
  }
}

std::string NameOf(const ::testing::TestParamInfo<std::tuple<int, How, bool>>& given) {
  const char* names[] = {"Down", "Hung", "Shut", "Failing"};
  return std::to_string(std::get<0>(given.param)) + names[static_cast<int>(std::get<1>(given.param))] +
         (std::get<2>(given.param) ? "Uneven" : "Even");
}
INSTANTIATE_TEST_SUITE_P(Fleets, CrowdReturn,
                         ::testing::Combine(::testing::Values(3, 20, 30, 100, 300),
                                            ::testing::Values(How::kDown, How::kHung, How::kShut,
                                                              How::kFailing),
                                            ::testing::Bool()),
                         NameOf);

}  // namespace
}  // namespace indigosaddle::testing
