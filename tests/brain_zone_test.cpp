// After the loss of a zone every sender treats its endpoints as cold at once, without a failed call of its
// own (rule 4, no overload of a recovering endpoint, unsure means cold).
#include <gtest/gtest.h>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

constexpr Micros kStart = seconds(100);

class ZoneLoss : public ::testing::Test {
 protected:
  // Two destinations whose endpoints have a rate limiter each, one in each zone, and a third one whose two
  // endpoints, one in each zone, share a limiter. All are warm under steady traffic of 40 messages a second.
  ZoneLoss() : node(AmpleSettings()) {
    node.Turn(kStart, [&] {
      node.UpdateList({TestNode::MakeEndpoint(1, "here", 0, 1), TestNode::MakeEndpoint(2, "there", 1, 1),
                       TestNode::MakeEndpoint(3, "both-here", 0, 0),
                       TestNode::MakeEndpoint(3, "both-there", 1, 0)});
    });
    Run(kStart, kStart + seconds(15));
  }
  static Settings AmpleSettings() {
    Settings settings = BaseSettings();
    settings.call_slots = 100;
    settings.max_open = 10000;
    settings.kinds = {{false, 1}, {true, 1}};
    return settings;
  }
  // Steady traffic to all three destinations over [from, to); every call succeeds.
  void Run(Micros from, Micros to) {
    node.Run(
        from, to,
        [](const SendRecord&) {
          return Reply{Result::kOk, milliseconds(50)};
        },
        [&](Micros) {
          for (const std::uint64_t destination : {1u, 2u, 3u})
            if (++last_id % 2 == 0) node.Enqueue(last_id, destination);
        });
  }
  TestNode node;
  MessageId last_id = 0;
};

TEST_F(ZoneLoss, OnlyEndpointsOfTheLostZoneGoIntoSlowStart) {
  const Micros lost = kStart + seconds(15);
  const int here_before = node.CountSends(lost - seconds(2), lost, "here");
  const int there_before = node.CountSends(lost - seconds(2), lost, "there");
  ASSERT_GT(there_before, 60);
  node.Turn(lost, [&] { node.brain().OnZoneLost(1); });
  Run(lost + milliseconds(10), lost + seconds(2));
  const int here = node.CountSends(lost, lost + seconds(2), "here");
  const int there = node.CountSends(lost, lost + seconds(2), "there");
  EXPECT_GT(here, here_before * 9 / 10);
  EXPECT_LT(there, there_before / 2);  // slow start: a quarter of its capacity, rising over ten seconds
  EXPECT_GT(there, 0);                 // it still gets calls, and served ones end slow start
  Run(lost + seconds(2), lost + seconds(14));
  EXPECT_GT(node.CountSends(lost + seconds(12), lost + seconds(14), "there"), there_before * 8 / 10);
}

TEST_F(ZoneLoss, SharedLimiterGoesOnInTheOtherZone) {
  const Micros lost = kStart + seconds(15);
  node.Turn(lost, [&] { node.brain().OnZoneLost(1); });
  Run(lost + milliseconds(10), lost + seconds(2));
  EXPECT_GT(node.CountSends(lost, lost + seconds(2), "both-here"), 40);
}

TEST_F(ZoneLoss, LossOfAZoneWithoutEndpointsChangesNothing) {
  const Micros lost = kStart + seconds(15);
  const int before = node.CountSends(lost - seconds(2), lost);
  node.Turn(lost, [&] { node.brain().OnZoneLost(7); });
  Run(lost + milliseconds(10), lost + seconds(2));
  EXPECT_GT(node.CountSends(lost, lost + seconds(2)), before * 9 / 10);
}

}  // namespace
}  // namespace indigosaddle::testing
