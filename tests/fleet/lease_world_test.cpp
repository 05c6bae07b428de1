// Leases in whole fleets on a virtual network (world.h): dead holders, lost voter memory, random faults.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "world.h"

namespace indigosaddle::fleet::testing {
namespace {

TEST(FleetWorld, ADeadHoldersLeaseIsTakenOverAfterItsTerm) {
  World world(5, 5, 5, 10);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
  const int first = world.Holder();
  const std::uint64_t epoch = world.View(first).leases.at(kCoordinator).epoch;
  const Micros killed = world.now();
  world.Kill(first);
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
  EXPECT_GT(world.View(world.Holder()).leases.at(kCoordinator).epoch, epoch);
  EXPECT_GT(world.now() - killed, seconds(6));  // not before the rest of its term has passed
  EXPECT_EQ(JoinLines(world.violations), "");
}

// A holder that stands still past its term must find that it holds nothing, at any clock rate within the
// drift.
TEST(FleetWorld, AHolderStalledPastItsTermHoldsNothing) {
  for (const double rate : {0.99, 1.0, 1.01}) {
    World world(5, 5, 5, 11);
    for (int i = 0; i < 5; ++i) world.SetClockRate(i, i % 2 == 0 ? rate : 2 - rate);
    world.StartAll();
    ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
    const int first = world.Holder();
    world.Freeze(first, seconds(12));
    ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0 && world.Holder() != first; }, seconds(40)));
    world.Run(seconds(30));
    EXPECT_EQ(JoinLines(world.violations), "");
  }
}

TEST(FleetWorld, AReleasedLeaseIsFreeAtOnce) {
  World world(3, 3, 3, 12);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
  const int first = world.Holder();
  const Micros left = world.now();
  world.Leave(first);
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
  EXPECT_LT(world.now() - left, seconds(6));
  EXPECT_EQ(JoinLines(world.violations), "");
}

// Found by AgentTest: with the same seed in all files every voter drew the same waiting times, so that their
// ballots collided and no lease was ever granted.
TEST(FleetWorld, TheSameSeedInAllFilesDoesNotBlockElections) {
  World world(5, 5, 5, 15);
  world.same_seed = true;
  world.network = {0, 0, milliseconds(1), milliseconds(1)};
  world.StartAll();
  EXPECT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(60)));
}

// A voter that lost its memory stays silent until the others have reported what was promised.
TEST(FleetWorld, AVoterWithoutMemoryAsksTheOthersFirst) {
  World world(3, 3, 3, 13);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(40)));
  const int holder = world.Holder(), other = (holder + 1) % 3, third = (holder + 2) % 3;
  world.Kill(other), world.Kill(holder);
  world.Start(other, true);
  world.Run(seconds(60));
  EXPECT_EQ(world.Holder(), -1);  // only one of the two other voters can report its promises
  world.Start(holder);
  EXPECT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(60)));
  EXPECT_EQ(world.View(third).present, 3u);
  EXPECT_EQ(JoinLines(world.violations), "");
}

TEST(FleetWorld, AFleetRestartedAtOnceRecovers) {
  World world(30, 3, 5, 14);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.View(29).senders == 30u; }, seconds(60)));
  for (int i = 0; i < 30; ++i) world.Kill(i);
  world.Run(seconds(1));
  for (int i = 0; i < 30; ++i) world.Start(i);
  EXPECT_TRUE(
      world.RunUntil([&] { return world.AllSeeAll() && world.View(29).senders == 30u; }, seconds(60)));
  EXPECT_EQ(JoinLines(world.violations), "");
}

// Random faults of every kind at once; a failure names its seed. More seeds: FLEET_SEEDS=10000.
TEST(FleetWorld, NoLeaseHasTwoHoldersUnderRandomFaults) {
  const char* wanted = std::getenv("FLEET_SEEDS");
  const int seeds = wanted != nullptr ? std::atoi(wanted) : 150;
  int takeovers = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    Timing timing;
    timing.probe_every = milliseconds(500);
    timing.probe_timeout = milliseconds(100);
    timing.lease = seconds(3);
    World world(3 + seed % 7, 3, seed % 2 == 0 ? 3 : 5, static_cast<std::uint64_t>(seed), timing);
    auto& random = world.random();
    world.network = {static_cast<double>(random() % 30) / 100, static_cast<double>(random() % 20) / 100,
                     milliseconds(1), milliseconds(static_cast<int>(1 + random() % 400))};
    for (int i = 0; i < world.size(); ++i)
      world.SetClockRate(i, 0.99 + 0.02 * static_cast<double>(random() % 1001) / 1000);
    world.StartAll();
    int last = -1;
    for (int step = 0; step < 60; ++step) {
      const int one = static_cast<int>(random() % static_cast<std::uint64_t>(world.size()));
      const int two = static_cast<int>(random() % static_cast<std::uint64_t>(world.size()));
      switch (random() % 10) {
        case 0: world.Up(one) ? world.Kill(one) : world.Start(one); break;
        case 1: world.Up(one) ? world.Kill(one) : world.Start(one, random() % 8 == 0); break;
        case 2: world.Freeze(one, milliseconds(static_cast<int>(random() % 6000))); break;
        case 3: world.Partition({one, two}); break;
        case 4: world.Cut(one, two); break;
        case 5:
        case 6: world.Heal(); break;
        case 7: world.Up(one) ? world.Leave(one) : world.Start(one); break;
        default: break;
      }
      world.Run(milliseconds(static_cast<int>(random() % 3000)));
      const int holder = world.Holder();
      if (holder >= 0 && holder != last) ++takeovers, last = holder;
    }
    ASSERT_EQ(JoinLines(world.violations), "") << "seed " << seed;
    // After the faults everybody finds everybody, and somebody coordinates.
    world.Heal();
    world.network.loss = 0.05;
    for (int i = 0; i < world.size(); ++i)
      if (!world.Up(i)) world.Start(i);
    ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll() && world.Holder() >= 0; }, seconds(120)))
        << "seed " << seed;
    ASSERT_EQ(JoinLines(world.violations), "") << "seed " << seed;
  }
  EXPECT_GT(takeovers, seeds);  // the faults did cause takeovers
}

}  // namespace
}  // namespace indigosaddle::fleet::testing
