// Whole sites of real processes that die, freeze, are partitioned or lose only discovery: what the others
// agree on, and what the members there know themselves.
#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "../stand_ins.h"
#include "processes.h"

namespace indigosaddle::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Six nodes at three sites of two, site s(i) holding n(i) and n(i+3); n5 has no vote.
class SiteProcesses : public FleetProcesses {
 protected:
  void SetUp() override {
    StartCluster(6, 5, [&](ClusterOptions& options) {
      options.discovery = [&](int i) { return i % 3 == 0 ? own.address() : other.address(); };
      options.extra_tables =
          "[[classes]]\nname = \"notice\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"10s\"\nworth = 1\n\n"
          "[[zones]]\nname = \"z0\"\n\n[[zones]]\nname = \"z1\"\n\n[[zones]]\nname = \"z2\"\n\n"
          "[[sites]]\nname = \"s1\"\nzone = \"z1\"\n";
    });
    ASSERT_TRUE(Eventually([&] { return Agree({0, 1, 2, 3, 4, 5}, {"up", "up", "up"}); }));
  }
  // Whether all of these nodes report these states of the three sites.
  bool Agree(const std::vector<int>& who, const std::vector<std::string>& states) const {
    for (const int i : who) {
      const auto fleet = cluster->FleetStatus(i);
      if (!fleet.is_object()) return false;
      for (std::size_t site = 0; site < 3; ++site) {
        const auto& sites = fleet["sites"];
        const std::string name = "s" + std::to_string(site);
        if (!sites.contains(name) || sites[name]["state"] != states[site]) return false;
      }
    }
    return true;
  }
  bool AllUp() const { return Agree({0, 1, 2, 3, 4, 5}, {"up", "up", "up"}); }

  testing::PlatformStandIn own, other;  // discovery at s0, and at the two others
};

TEST_F(SiteProcesses, AKilledSiteIsLostToAllAndReturnsSlowly) {
  cluster->Kill(1), cluster->Kill(4);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 2, 3, 5}, {"up", "lost", "up"}); }));
  cluster->Start(1), cluster->Start(4);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 2, 3, 5}, {"up", "returning", "up"}); }));
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
  EXPECT_NE(cluster->Log(0).find("fleet.site site=s1 state=lost losses=1"), std::string::npos);
}

TEST_F(SiteProcesses, APartitionedSiteIsLostToTheOthersAndAccusesNobody) {
  cluster->relay().Partition({0, 3});
  ASSERT_TRUE(Eventually([&] { return Agree({1, 2, 4, 5}, {"lost", "up", "up"}); }));
  EXPECT_TRUE(Eventually([&] { return AllHave({0, 3}, "cut off", 6); }));
  EXPECT_TRUE(Agree({0, 3}, {"up", "up", "up"}));  // the last agreed state
  cluster->relay().Heal();
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
}

// Frozen past its leases and resumed: its members must not report other sites lost for packets that they
// missed.
TEST_F(SiteProcesses, AFrozenSiteIsLostAndAccusesNobodyElse) {
  cluster->Suspend(2), cluster->Suspend(5);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 1, 3, 4}, {"up", "up", "lost"}); }));
  cluster->Resume(2), cluster->Resume(5);
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
  for (const int i : {2, 5}) {
    EXPECT_EQ(cluster->Log(i).find("site=s0 state=lost"), std::string::npos);
    EXPECT_EQ(cluster->Log(i).find("site=s1 state=lost"), std::string::npos);
  }
}

// The site receives everything and nobody receives its packets: it is lost to the others, and reports itself
// cut off.
TEST_F(SiteProcesses, ASiteThatOnlyReceivesIsLost) {
  for (const int from : {1, 4})
    for (const int to : {0, 2, 3, 5}) cluster->relay().Cut(from, to);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 2, 3, 5}, {"up", "lost", "up"}); }));
  EXPECT_TRUE(Eventually([&] { return cluster->FleetStatus(1)["standing"] == "cut off"; }));
  cluster->relay().Heal();
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
}

TEST_F(SiteProcesses, DiscoveryLostAtOneSiteDoesNotLoseTheSite) {
  own.Down(true);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 1, 2, 3, 4, 5}, {"no-list", "up", "up"}); }));
  EXPECT_TRUE(AllConnected());  // its members are there, and connected
  own.Down(false);
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
}

TEST_F(SiteProcesses, TwoSitesLostInTurn) {
  cluster->Kill(1), cluster->Kill(4);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 2, 3, 5}, {"up", "lost", "up"}); }));
  cluster->Start(1), cluster->Start(4);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 3}, {"up", "returning", "up"}); }));
  cluster->Kill(2), cluster->Kill(5);
  ASSERT_TRUE(Eventually([&] { return Agree({0, 1, 3, 4}, {"up", "up", "lost"}); }));
  cluster->Start(2), cluster->Start(5);
  EXPECT_TRUE(Eventually([&] { return AllUp(); }));
}

// The coordinator dies with its site: the next coordinator must still detect the loss.
TEST_F(SiteProcesses, LossOfTheCoordinatorsSiteIsDetected) {
  ASSERT_TRUE(Eventually([&] { return cluster->LeaseHolder() >= 0; }));
  const int site = cluster->LeaseHolder() % 3;
  cluster->Kill(site), cluster->Kill(site + 3);
  std::vector<int> rest;
  for (int i = 0; i < 6; ++i)
    if (i % 3 != site) rest.push_back(i);
  std::vector<std::string> states = {"up", "up", "up"};
  states[static_cast<std::size_t>(site)] = "lost";
  EXPECT_TRUE(Eventually([&] { return Agree(rest, states); }));
}

}  // namespace
}  // namespace indigosaddle::faults
