// Whole fleets on a virtual network (world.h): failure detection, and what an isolated member knows.
#include <gtest/gtest.h>

#include "world.h"

namespace indigosaddle::fleet::testing {
namespace {

TEST(FleetWorld, AllMembersDiscoverEachOtherAndAgreeOnSenders) {
  World world(40, 3, 5, 1);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(20)));
  ASSERT_TRUE(world.RunUntil([&] { return world.Holder() >= 0; }, seconds(30)));
  EXPECT_TRUE(world.RunUntil(
      [&] {
        for (int i = 0; i < world.size(); ++i)
          if (world.View(i).senders != 40u || world.View(i).connectivity != Connectivity::kConnected)
            return false;
        return true;
      },
      seconds(20)));
  EXPECT_EQ(JoinLines(world.violations), "");
}

TEST(FleetWorld, AllMembersDetectADeathAndAReturn) {
  World world(30, 3, 5, 2);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(20)));
  world.Kill(17);
  const auto seen_as = [&](Liveness liveness) {
    return [&world, liveness] {
      for (int i = 0; i < world.size(); ++i)
        if (i != 17 && world.Sees(i, 17) != liveness) return false;
      return true;
    };
  };
  ASSERT_TRUE(world.RunUntil(seen_as(Liveness::kDead), seconds(60)));
  world.Start(17);
  EXPECT_TRUE(world.RunUntil(seen_as(Liveness::kAlive), seconds(20)));
}

TEST(FleetWorld, ALeavingMemberStopsCountingAsSenderAtOnce) {
  World world(12, 3, 3, 3);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.View(11).senders == 12u; }, seconds(60)));
  world.Leave(5);
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.Sees(11, 5) == Liveness::kLeft && world.View(11).senders == 11u; }, seconds(5)));
}

// Members that are suspected because of lost packets refute the suspicion: nobody is declared dead.
TEST(FleetWorld, PacketLossDeclaresNobodyDead) {
  for (const double loss : {0.05, 0.2}) {
    World world(50, 3, 5, 4);
    world.network.loss = loss;
    world.network.doubled = 0.05;
    world.StartAll();
    ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(60))) << loss;
    int given_up = 0;
    for (int step = 0; step < 240; ++step) {
      world.Run(seconds(1));
      for (int i = 0; i < world.size(); i += 7)
        for (const MemberView& member : world.View(i).members) given_up += member.liveness >= Liveness::kDead;
    }
    EXPECT_EQ(given_up, 0) << loss;
    EXPECT_EQ(JoinLines(world.violations), "") << loss;
  }
}

// A process that stood still has missed all answers meanwhile. It must declare nobody dead for that, and is
// itself seen alive again at once.
TEST(FleetWorld, AStalledMemberDeclaresNobodyDead) {
  World world(20, 2, 5, 5);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(20)));
  world.Freeze(9, seconds(30));
  world.Run(seconds(30));
  int blamed = 0;
  for (int step = 0; step < 300; ++step) {
    world.Run(milliseconds(100));
    for (int i = 0; i < world.size(); ++i)
      if (i != 9) blamed += world.Sees(9, i) >= Liveness::kDead;
  }
  EXPECT_EQ(blamed, 0);
  EXPECT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(10)));
}

// F4: a minority knows that it is isolated within a lease's term of the partition, and until the partition
// ends. Its count of senders does not fall (F5).
TEST(FleetWorld, TheMinorityOfAPartitionKnowsThatItIsIsolated) {
  World world(25, 5, 5, 6);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.View(24).senders == 25u; }, seconds(60)));
  const std::set<int> side = {0, 1, 10, 11, 20, 21};  // two voters of five
  world.Partition(side);
  world.Run(seconds(13));
  for (int i = 0; i < world.size(); ++i)
    EXPECT_EQ(world.View(i).connectivity,
              side.contains(i) ? Connectivity::kIsolated : Connectivity::kConnected)
        << i;
  world.Run(seconds(120));
  for (int i : side) {
    EXPECT_EQ(SendersToUse(world.View(i), 20), 25u) << i;
    EXPECT_TRUE(world.View(i).leases.empty()) << i;
  }
  EXPECT_EQ(world.View(24).senders, 19u);  // the majority counts its own members
  world.Heal();
  EXPECT_TRUE(world.RunUntil(
      [&] {
        for (int i = 0; i < world.size(); ++i)
          if (world.View(i).senders != 25u || world.View(i).connectivity != Connectivity::kConnected)
            return false;
        return true;
      },
      seconds(60)));
  EXPECT_EQ(JoinLines(world.violations), "");
}

// What was agreed while a member was isolated is known to it as soon as it counts as connected again.
TEST(FleetWorld, AReconnectedMemberKnowsTheLatestFacts) {
  World world(9, 3, 3, 7);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.View(8).senders == 9u; }, seconds(60)));
  world.Partition({8});
  world.Kill(7);
  ASSERT_TRUE(world.RunUntil([&] { return world.View(0).senders == 7u; }, seconds(90)));
  EXPECT_EQ(world.View(8).facts.at(kSendersFact).value, "9");
  world.Heal();
  for (int step = 0; step < 2000; ++step) {
    world.Run(milliseconds(10));
    if (world.View(8).connectivity != Connectivity::kConnected) continue;
    EXPECT_NE(world.View(8).facts.at(kSendersFact).value, "9");
    return;
  }
  FAIL() << "never connected again";
}

// The member receives everything, but nobody receives its packets. The others declare it dead, as no relay
// reaches it either; the member is isolated, as nobody answers it.
TEST(FleetWorld, AOneWayCutIsolatesTheMember) {
  World world(10, 2, 5, 8);
  world.StartAll();
  ASSERT_TRUE(
      world.RunUntil([&] { return world.View(4).connectivity == Connectivity::kConnected; }, seconds(60)));
  for (int i = 0; i < 10; ++i)
    if (i != 4) world.Cut(4, i);
  EXPECT_TRUE(
      world.RunUntil([&] { return world.View(4).connectivity == Connectivity::kIsolated; }, seconds(15)));
  EXPECT_TRUE(world.RunUntil([&] { return world.Sees(9, 4) == Liveness::kDead; }, seconds(60)));
  EXPECT_EQ(JoinLines(world.violations), "");
}

// Two members that lost the link between them reach each other by indirect probes, and both stay alive.
TEST(FleetWorld, ALostLinkBetweenTwoMembersKeepsBothAlive) {
  World world(10, 2, 5, 9);
  world.StartAll();
  ASSERT_TRUE(world.RunUntil([&] { return world.AllSeeAll(); }, seconds(20)));
  world.Cut(3, 6), world.Cut(6, 3);
  for (int step = 0; step < 300; ++step) {
    world.Run(seconds(1));
    ASSERT_TRUE(world.AllSeeAll()) << step;
  }
}

}  // namespace
}  // namespace indigosaddle::fleet::testing
