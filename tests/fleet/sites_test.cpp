// The state of whole sites: SiteMonitor on its own, then whole fleets on a virtual network.
#include "fleet/sites.h"

#include <gtest/gtest.h>

#include "world.h"

namespace indigosaddle::fleet::testing {
namespace {

class SiteMonitorTest : public ::testing::Test {
 protected:
  SiteRules rules;
  SiteMonitor sites{rules};
  std::optional<SiteStatus> agreed;
  // A site of four members, with eight members elsewhere: all four are seen and in contact, or none is, and
  // `accusers` of the eight see none either.
  static SiteTally AllPresent() { return {4, 4, 4, 0, 0, 8, 0}; }
  static SiteTally NonePresent(int accusers) { return {4, 0, 0, 0, 0, 8, accusers}; }
  // Decides at `now` from the status agreed so far, and agrees on the result.
  SiteState DecideAt(Micros now, const SiteTally& tally) {
    agreed = sites.Decide("s", tally, agreed, now);
    return agreed->state;
  }
};

TEST_F(SiteMonitorTest, IsLostByAgreementOnly) {
  EXPECT_EQ(DecideAt(seconds(0), AllPresent()), SiteState::kUp);
  EXPECT_EQ(DecideAt(seconds(1), NonePresent(1)), SiteState::kUp);
  EXPECT_EQ(DecideAt(seconds(2), NonePresent(5)), SiteState::kUp);  // of eight elsewhere six are two thirds
  EXPECT_EQ(DecideAt(seconds(3), NonePresent(6)), SiteState::kLost);
  EXPECT_EQ(agreed->losses, 1);
}

// A site of which the coordinator sees a member is not lost, however many members accuse it.
TEST_F(SiteMonitorTest, IsNotLostWhileAnyOfItIsSeen) {
  SiteTally tally = NonePresent(8);
  tally.present = 1;
  EXPECT_EQ(DecideAt(seconds(0), tally), SiteState::kDegraded);
}

TEST_F(SiteMonitorTest, TellsADegradedSiteFromOneWithoutListOrClients) {
  SiteTally tally = AllPresent();
  tally.present = tally.in_contact = 3;
  EXPECT_EQ(DecideAt(seconds(0), tally), SiteState::kDegraded);
  tally = AllPresent();
  tally.without_clients = 4;
  EXPECT_EQ(DecideAt(seconds(1), tally), SiteState::kNoClients);
  tally.without_discovery = 3;
  EXPECT_EQ(DecideAt(seconds(2), tally), SiteState::kNoList);
  tally.without_discovery = tally.without_clients = 1;  // a single member's own problem
  EXPECT_EQ(DecideAt(seconds(3), tally), SiteState::kUp);
}

TEST_F(SiteMonitorTest, ReturnsOnceAllHaveSeenItForLongEnough) {
  DecideAt(seconds(0), AllPresent());
  DecideAt(seconds(1), NonePresent(8));
  SiteTally seen = AllPresent();
  seen.accusers = 2;
  EXPECT_EQ(DecideAt(seconds(10), seen), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(100), seen), SiteState::kReturning);  // two still see nobody of it
  EXPECT_EQ(DecideAt(seconds(101), AllPresent()), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(129), AllPresent()), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(131), AllPresent()), SiteState::kUp);
}

// Each further loss within the hour doubles the hold, up to the limit; an hour without a loss resets it.
TEST_F(SiteMonitorTest, FlappingMakesTheReturnSlower) {
  EXPECT_EQ(sites.Hold(1), seconds(30));
  EXPECT_EQ(sites.Hold(3), seconds(120));
  EXPECT_EQ(sites.Hold(1000), rules.max_return_hold);
  DecideAt(seconds(0), AllPresent());
  for (int loss = 1; loss <= 3; ++loss) {
    EXPECT_EQ(DecideAt(seconds(100 * loss), NonePresent(8)), SiteState::kLost);
    EXPECT_EQ(agreed->losses, loss);
    EXPECT_EQ(DecideAt(seconds(100 * loss + 10), AllPresent()),
              SiteState::kReturning);  // lost again before it is up
  }
  EXPECT_EQ(DecideAt(seconds(310 + 119), AllPresent()), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(310 + 121), AllPresent()), SiteState::kUp);
  EXPECT_EQ(DecideAt(seconds(300 + 3601), AllPresent()), SiteState::kUp);
  EXPECT_EQ(agreed->losses, 0);
}

// A new coordinator knows what was agreed, but not since when: it starts the hold anew.
TEST_F(SiteMonitorTest, ANewCoordinatorContinuesFromTheAgreedStatus) {
  agreed = SiteStatus{SiteState::kReturning, 2};
  EXPECT_EQ(DecideAt(seconds(1000), AllPresent()), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(1059), AllPresent()), SiteState::kReturning);
  EXPECT_EQ(DecideAt(seconds(1061), AllPresent()), SiteState::kUp);
}

TEST_F(SiteMonitorTest, SerializedTextsAreParsedBack) {
  const SiteStatus status{SiteState::kNoClients, 12};
  EXPECT_EQ(SiteStatus::Parse(status.Serialize()), status);
  MemberObservation observation;
  observation.in_contact = true, observation.has_discovery = false, observation.unseen_sites = {"a b", "c"};
  EXPECT_EQ(MemberObservation::Parse(observation.Serialize()), observation);
  for (const char* rubbish : {"", "up", "up\n", "up\nx", "gone\n1", "up\n1\n2"})
    EXPECT_FALSE(SiteStatus::Parse(rubbish));
  EXPECT_FALSE(MemberObservation::Parse("tl"));
}

class SiteWorld : public ::testing::Test {
 protected:
  // Thirty members at three sites; five voters, so that no site has three.
  World world{30, 3, 5, 21};
  void SetUp() override {
    world.StartAll();
    ASSERT_TRUE(world.RunUntil(
        [&] {
          return Agree({SiteState::kUp, SiteState::kUp, SiteState::kUp});
        },
        seconds(60)));
  }
  void TearDown() override {
    for (const std::string& line : world.violations) ADD_FAILURE() << line;
  }
  bool Agree(const std::vector<SiteState>& states, const std::set<int>& except = {}) const {
    for (int site = 0; site < 3; ++site)
      if (!world.Agree(site, states[static_cast<std::size_t>(site)], except)) return false;
    return true;
  }
};

TEST_F(SiteWorld, ALostSiteIsNoticedByAllAndReturnsSlowly) {
  for (const int i : world.Site(1)) world.Kill(i);
  ASSERT_TRUE(world.RunUntil(
      [&] {
        return Agree({SiteState::kUp, SiteState::kLost, SiteState::kUp});
      },
      seconds(90)));
  for (const int i : world.Site(1)) world.Start(i);
  ASSERT_TRUE(world.RunUntil([&] { return world.Agree(1, SiteState::kReturning); }, seconds(30)));
  const Micros seen = world.now();
  ASSERT_TRUE(world.RunUntil([&] { return world.Agree(1, SiteState::kUp); }, seconds(90)));
  EXPECT_GT(world.now() - seen, seconds(25));
}

// A site is partitioned from the others. They agree that it is lost; its own members know that they are
// isolated and accuse nobody.
TEST_F(SiteWorld, APartitionedSiteIsLostToTheOthersAndAccusesNobody) {
  const std::set<int> side = world.Site(2);  // one voter of five
  world.Partition(side);
  ASSERT_TRUE(world.RunUntil(
      [&] {
        return Agree({SiteState::kUp, SiteState::kUp, SiteState::kLost}, side);
      },
      seconds(90)));
  world.Run(seconds(120));
  for (const int i : side) {
    EXPECT_EQ(world.View(i).connectivity, Connectivity::kIsolated);
    EXPECT_EQ(world.View(i).sites.at("site0").state, SiteState::kUp) << "the last agreed state";
  }
  world.Heal();
  EXPECT_TRUE(world.RunUntil(
      [&] {
        return Agree({SiteState::kUp, SiteState::kUp, SiteState::kUp});
      },
      seconds(200)));
}

TEST_F(SiteWorld, OneSlowMemberOrOneLostLinkLosesNoSite) {
  world.Freeze(4, seconds(60));
  world.Cut(3, 8), world.Cut(8, 3);
  for (int step = 0; step < 120; ++step) {
    world.Run(milliseconds(500));
    for (int i = 0; i < world.size(); ++i) {
      if (world.Frozen(i)) continue;
      for (const auto& [site, status] : world.View(i).sites)
        ASSERT_NE(status.state, SiteState::kLost) << site;
    }
  }
  EXPECT_EQ(world.View(0).sites.at("site1").state, SiteState::kDegraded);
}

// Two sites cannot reach each other, but both reach the third. No site is lost, as fewer than two thirds
// accuse.
TEST_F(SiteWorld, TwoSitesThatDoNotReachEachOtherAreNotLost) {
  for (const int a : world.Site(0))
    for (const int b : world.Site(1)) world.Cut(a, b), world.Cut(b, a);
  for (int step = 0; step < 120; ++step) {
    world.Run(seconds(1));
    for (const auto& [site, status] : world.View(29).sites) ASSERT_NE(status.state, SiteState::kLost) << site;
  }
}

TEST_F(SiteWorld, SitesWithoutDiscoveryOrClientsAreNotLost) {
  for (const int i : world.Site(0)) world.SetLocalConditions(i, false, true);
  for (const int i : world.Site(1)) world.SetLocalConditions(i, true, false);
  EXPECT_TRUE(world.RunUntil(
      [&] {
        return Agree({SiteState::kNoList, SiteState::kNoClients, SiteState::kUp});
      },
      seconds(20)));
}

// Two sites are lost in turn: the second, the coordinator's, while the first is still returning.
TEST_F(SiteWorld, TwoSitesLostInTurn) {
  const int coordinators = world.Holder() % 3, other = (coordinators + 1) % 3, third = (coordinators + 2) % 3;
  for (const int i : world.Site(other)) world.Kill(i);
  ASSERT_TRUE(world.RunUntil([&] { return world.Agree(other, SiteState::kLost); }, seconds(90)));
  for (const int i : world.Site(other)) world.Start(i);
  ASSERT_TRUE(world.RunUntil([&] { return world.Agree(other, SiteState::kReturning); }, seconds(30)));
  for (const int i : world.Site(coordinators)) world.Kill(i);
  ASSERT_TRUE(world.RunUntil([&] { return world.Agree(coordinators, SiteState::kLost); }, seconds(120)));
  EXPECT_TRUE(
      world.RunUntil([&] { return world.Agree(other, SiteState::kUp) && world.Agree(third, SiteState::kUp); },
                     seconds(120)));
  for (const int i : world.Site(coordinators)) world.Start(i);
  EXPECT_TRUE(world.RunUntil(
      [&] {
        return Agree({SiteState::kUp, SiteState::kUp, SiteState::kUp});
      },
      seconds(200)));
}

TEST_F(SiteWorld, AFleetThatStallsAsAWholeLosesNoSite) {
  for (int i = 0; i < world.size(); ++i) world.Freeze(i, seconds(15));
  for (int step = 0; step < 120; ++step) {
    world.Run(milliseconds(500));
    for (const auto& [site, status] : world.View(29).sites) ASSERT_NE(status.state, SiteState::kLost) << site;
  }
}

// A text that is not in the written format must be rejected. Read in part it could hide a loss (whose
// endpoints would then count as warm), give a list of any length, or report that discovery is lost.
TEST(SiteTexts, MalformedTextsAreRejected) {
  EXPECT_TRUE(SiteStatus::Parse("lost\n3"));
  for (const char* text : {"", "lost", "lost\n", "lost\n-1", "lost\n3x", "lost\n3\n", "gone\n3",
                           "lost\n2000000000", "lost\n99999999999"})
    EXPECT_FALSE(SiteStatus::Parse(text)) << text;
  EXPECT_TRUE(MemberObservation::Parse("t-c\nsouth"));
  for (const char* text : {"", "tl", "xyz", "TLC", "tlcx", "ltc", "t c\nsouth"})
    EXPECT_FALSE(MemberObservation::Parse(text)) << text;
}

// A count that is read in part or truncated would be too low, and each sender would send too much.
TEST(SiteTexts, MalformedSenderCountsAreRejected) {
  EXPECT_EQ(ParseSenders("12"), 12u);
  for (const char* text : {"", "0", "-2", "12x", "1 2", " 12", "4294967297", "99999999999999999999"})
    EXPECT_FALSE(ParseSenders(text)) << text;
}

}  // namespace
}  // namespace indigosaddle::fleet::testing
