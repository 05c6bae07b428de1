// Rule 4 (no overload of a recovering destination) over a whole fleet: the calls of all senders to a
// destination that returns cold are counted together. Runs in virtual time with seeded draws.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <tuple>

#include "simulated_fleet.h"

namespace indigosaddle::testing {
namespace {

using Outage = FleetScript::Outage;

// Parameters: number of senders, how calls end during the outage, whether demand is uneven.
class FleetReturn : public ::testing::TestWithParam<std::tuple<int, Outage, bool>> {};

// Guards against senders that keep the slow-start budget each but exceed it together. The settings allow
// N = overload_factor x present capacity x fall calls in a span of the setting `fall`, and 2 x sqrt(N) + 2
// more are put down to chance. Present capacity is what the destination can serve in the middle of the span:
// it rises from cold_from of the limit at the return to all of it after `cold`. Every span, at steps of
// 100 ms, must stay within that.
TEST_P(FleetReturn, CallsOfAllSendersStayWithinTheSlowStartBudget) {
  const auto [nodes, outage, uneven] = GetParam();
  const Settings s = LargeFleetSettings();
  FleetScript script;
  script.rate = std::max(20.0, static_cast<double>(nodes));
  script.outage_from = seconds(5);
  script.outage_to = seconds(12);
  script.outage = outage;
  script.uneven = uneven ? 0.9 : 0;
  for (std::uint64_t seed = 12345; seed < 12345 + (nodes >= 100 ? 2 : 5); ++seed) {
    SimulatedFleet fleet(nodes, s, script, seed);
    fleet.Run(script.outage_to + s.cold, 0.6 * script.rate);
    double worst = -1e9;  // calls beyond what is allowed, in the worst span
    Micros worst_at{0};
    int worst_calls = 0;
    for (Micros from = script.outage_to; from + s.fall <= script.outage_to + s.cold;
         from += milliseconds(100)) {
      const SimulatedFleet::CallCounts span = fleet.Between(from, from + s.fall);
      const int calls = span.served + span.refused + span.failed;
      const std::chrono::duration<double> warming = from + s.fall / 2 - script.outage_to, cold = s.cold,
                                          fall = s.fall;
      const double share = std::min(1.0, s.cold_from + (1 - s.cold_from) * (warming / cold));
      const double budget = s.overload_factor * share * script.rate * fall.count();
      const double over = calls - (budget + 2 * std::sqrt(budget) + 2);
      if (over > worst) {
        worst = over;
        worst_at = from - script.outage_to;
        worst_calls = calls;
      }
    }
    EXPECT_LE(worst, 0) << "seed " << seed << ", " << worst_calls << " calls from "
                        << std::chrono::duration<double>(worst_at).count() << " s after the return";
    EXPECT_GT(fleet.Between(script.outage_to, script.outage_to + s.cold).served, 0);
  }
}

std::string CaseName(const ::testing::TestParamInfo<std::tuple<int, Outage, bool>>& given) {
  const char* names[] = {"Down", "Hung", "Refusing", "Failing"};
  return std::to_string(std::get<0>(given.param)) + names[static_cast<int>(std::get<1>(given.param))] +
         (std::get<2>(given.param) ? "Uneven" : "Even");
}
INSTANTIATE_TEST_SUITE_P(Fleets, FleetReturn,
                         ::testing::Combine(::testing::Values(3, 20, 30, 100, 300),
                                            ::testing::Values(Outage::kDown, Outage::kHung, Outage::kRefusing,
                                                              Outage::kFailing),
                                            ::testing::Bool()),
                         CaseName);

}  // namespace
}  // namespace indigosaddle::testing
