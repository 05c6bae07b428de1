// A hundred senders at one destination: at a limit that refused calls use up, at a cold return, and at a
// limit that is lowered for a while. Each sender alone would be harmless. Runs in virtual time with seeded
// draws.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulated_fleet.h"

namespace indigosaddle::testing {
namespace {

constexpr int kSenders = 100;

// Guards against senders whose retries keep the destination's limit in debt, so that it serves almost
// nothing. A sender's rate limiter does nothing before its first refusal, so the senders learn the limit of
// 40 by one refusal each. This leaves the destination's bucket 0.6 s in debt. At their least rates all
// senders together use half of the limit, so the debt is paid in 1.2 s; a refused sender calls again after
// the time of 0.5 to 1.5 tokens, at 0.2 tokens a second. So within 6 s of the first refusals more calls are
// served than refused, and a third of what the limit allows. When the refused call itself counted towards a
// sender's rate, 0.7 calls a second from each sender kept up the debt: 3 calls were served.
TEST(FleetLimit, RefusalsThatUseUpTheLimitDoNotKeepItInDebt) {
  SimulatedFleet fleet(kSenders, LargeFleetSettings(), {});
  fleet.Run(seconds(10), 44);
  const SimulatedFleet::CallCounts after = fleet.Between(seconds(4), seconds(10));
  EXPECT_GE(after.served, 40 * 6 / 3);
}

// Guards against too many calls to a cold destination, and against too few. It is down for 5 s, then cold:
// what arrives in a span of `fall` stays under twice the capacity at its middle (rule 4, no overload of a
// recovering destination), with a tenth for chance. The budgets of all senders add up to 0.8 of that. In the
// first seconds an even part is about one call a span; a budget that counts whole calls against a fraction
// lets only 211 pass in 4 s.
TEST(FleetColdReturn, AColdDestinationGetsItsSlowStartBudgetAndNoMore) {
  FleetScript script;
  script.rate = 99;
  script.outage_from = seconds(5);
  script.outage_to = seconds(10);
  const Settings s = LargeFleetSettings();
  SimulatedFleet fleet(kSenders, s, script);
  fleet.Run(seconds(26), 60);
  for (Micros from = script.outage_to; from < seconds(20); from += milliseconds(100)) {
    const SimulatedFleet::CallCounts span = fleet.Between(from, from + s.fall);
    const std::chrono::duration<double> warming = from + s.fall / 2 - script.outage_to, cold = s.cold,
                                        fall = s.fall;
    const double share = std::min(1.0, s.cold_from + (1 - s.cold_from) * (warming / cold));
    const double allowed = 1.1 * s.overload_factor * share * script.rate * fall.count();
    EXPECT_LE(span.served + span.refused, allowed) << from.count();
  }
  EXPECT_GE(fleet.Between(seconds(11), seconds(15)).served, 240);
  EXPECT_GE(fleet.Between(seconds(16), seconds(20)).served, 300);  // held messages are being caught up on
}

// Guards against rate limiters that stay low after a limit was lowered for a while. It is halved for 9 s
// while 50 messages a second come: each sender needs one refusal to learn that, and most a second one. Once
// the limit is raised again, each interval in which calls waited adds one step, even where served calls are
// rare, so that within 6 s calls are served faster than messages come. With one step for each served call, 29
// a second were served after 6 s.
TEST(FleetLimit, ALoweredLimitIsLearnedAndUnlearnedSoon) {
  FleetScript script;
  script.rate = 60;
  script.lowered_share = 0.5;
  script.lowered_from = seconds(5);
  script.lowered_to = seconds(14);
  SimulatedFleet fleet(kSenders, LargeFleetSettings(), script);
  fleet.Run(seconds(22), 50);
  EXPECT_LE(fleet.Between(seconds(5), seconds(14)).refused, 2 * kSenders);
  EXPECT_GE(fleet.Between(seconds(9), seconds(14)).served, 30 * 5 * 2 / 5);
  EXPECT_GE(fleet.Between(seconds(18), seconds(22)).served, 50 * 4);
}

}  // namespace
}  // namespace indigosaddle::testing
