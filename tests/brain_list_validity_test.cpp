// When the endpoint list counts as outdated: one address of discovery, and the change to another one.
#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

#include "brain/list_validity.h"

namespace indigosaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Distance of the limit from the latest instant at which every change was known.
constexpr Micros kValidFor = kListChangeDeadline - kListChangeMargin;
constexpr Micros kValidAfterMove = kListMoveDeadline - kListChangeMargin;
constexpr Micros kNoLimit = Micros::max();

ListRequestFailure Refused(Micros at) { return {ListFailure::kNoList, at, at}; }
ListRequestFailure Unanswered(Micros at) { return {ListFailure::kNoResponse, at, at}; }
ListRequestFailure Lost(Micros at) { return {ListFailure::kConnectionLost, at, at}; }

TEST(ListClock, AnUnreachableDiscoveryDoesNotOutdateTheList) {
  ListClock clock = ListClock::ForStart(seconds(9));
  clock.OnConfirmed(seconds(10));
  for (int at = 12; at < 100; at += 4) clock.OnFailure(Unanswered(seconds(at)));
  EXPECT_EQ(clock.outdated_from(), kNoLimit);
}

TEST(ListClock, ARefusalDoesNotRestartTheClock) {
  ListClock clock = ListClock::ForStart(seconds(9));
  clock.OnConfirmed(seconds(10));
  for (const int at : {11, 13, 15}) {
    clock.OnFailure(Refused(seconds(at)));
    EXPECT_EQ(clock.outdated_from(), seconds(10) + kValidFor) << at;
  }
}

// Discovery refuses after it could not be reached: it may have come back when the previous, unanswered
// request was sent, but no sooner.
TEST(ListClock, TheClockRunsFromTheLatestUnansweredRequest) {
  ListClock clock = ListClock::ForStart(seconds(9));
  clock.OnConfirmed(seconds(10));
  clock.OnFailure(Unanswered(seconds(30)));
  clock.OnFailure(Refused(seconds(31)));
  EXPECT_EQ(clock.outdated_from(), seconds(30) + kValidFor);
}

// Guards against a list without an end where discovery refuses requests and can't be reached in turn: each
// unanswered request restarted the 6 s.
TEST(ListClock, AnUnansweredRequestAfterARefusalDoesNotRestartTheClock) {
  ListClock clock = ListClock::ForStart(seconds(9));
  clock.OnConfirmed(seconds(10));
  for (int at = 11; at < 30; at += 2) {
    clock.OnFailure(Refused(seconds(at)));
    clock.OnFailure(Unanswered(seconds(at)));
    EXPECT_EQ(clock.outdated_from(), seconds(10) + kValidFor) << at;
  }
  clock.OnConfirmed(seconds(40));
  clock.OnFailure(Unanswered(seconds(41)));
  clock.OnFailure(Refused(seconds(42)));
  EXPECT_EQ(clock.outdated_from(), seconds(41) + kValidFor);
}

TEST(ListClock, AConfirmedListStopsTheClock) {
  ListClock clock = ListClock::ForStart(seconds(9));
  clock.OnFailure(Refused(seconds(9)));
  clock.OnConfirmed(seconds(10));
  EXPECT_EQ(clock.outdated_from(), kNoLimit);
}

// One thing that happens while the address changes, at `at` after the first SIGHUP.
struct Step {
  enum class Kind { kMove, kMoveBack, kSwitch, kConfirmed, kRefused, kUnanswered, kLost };
  Kind kind;
  milliseconds at;
  ListValidity::Address address = ListValidity::Address::kNext;
};

struct Scene {
  std::string name;
  std::vector<Step> steps;
  Micros expected;  // outdated_from, after the first SIGHUP; kNoLimit: none
  friend std::ostream& operator<<(std::ostream& out, const Scene& scene) { return out << scene.name; }
};

class ListValidityWhileDiscoveryMoves : public ::testing::TestWithParam<Scene> {
 protected:
  static constexpr Micros kStart = seconds(100), kFirstMove = seconds(200);

  void Apply(const Step& step) {
    const Micros now = kFirstMove + step.at;
    switch (step.kind) {
      case Step::Kind::kMove: return validity_.OnMove(now);
      case Step::Kind::kMoveBack: return validity_.OnMoveBack(now);
      case Step::Kind::kSwitch: return validity_.OnSwitch();
      case Step::Kind::kConfirmed: return validity_.OnConfirmed(step.address, now);
      case Step::Kind::kRefused: return validity_.OnFailure(step.address, Refused(now));
      case Step::Kind::kUnanswered: return validity_.OnFailure(step.address, Unanswered(now));
      case Step::Kind::kLost: return validity_.OnFailure(step.address, Lost(now));
    }
  }
  ListValidity validity_{kStart};
};

// Guards against calls to gone endpoints while discovery moves: whatever one address answers, or does not,
// must not lift a limit that the other one has set.
TEST_P(ListValidityWhileDiscoveryMoves, TheEarlierLimitOfBothAddressesHolds) {
  validity_.OnConfirmed(ListValidity::Address::kInUse, kFirstMove - milliseconds(500));
  for (const Step& step : GetParam().steps) Apply(step);
  const Micros expected = GetParam().expected == kNoLimit ? kNoLimit : kFirstMove + GetParam().expected;
  EXPECT_EQ(validity_.outdated_from(), expected);
}

using enum Step::Kind;
using enum ListValidity::Address;
using Ms = milliseconds;

INSTANTIATE_TEST_SUITE_P(
    Scenes, ListValidityWhileDiscoveryMoves,
    ::testing::Values(
        Scene{"NotAnsweredYet", {{kMove, Ms(0)}}, kNoLimit},
        Scene{"Refused", {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kRefused, Ms(2900)}}, kValidAfterMove},
        Scene{"FirstRefusedLate", {{kMove, Ms(0)}, {kRefused, Ms(9000)}}, kValidAfterMove},
        Scene{"Unreachable", {{kMove, Ms(0)}, {kUnanswered, Ms(5)}, {kUnanswered, Ms(12000)}}, kNoLimit},
        Scene{"ConnectionsClosed", {{kMove, Ms(0)}, {kLost, Ms(5)}, {kLost, Ms(12000)}}, kNoLimit},
        Scene{"RefusedAfterItWasUnreachable",
              {{kMove, Ms(0)}, {kUnanswered, Ms(6000)}, {kRefused, Ms(6500)}},
              Ms(6000) + kValidAfterMove},
        Scene{"RefusedAndUnreachableInTurn",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kUnanswered, Ms(400)}, {kRefused, Ms(800)}},
              kValidAfterMove},
        Scene{"RefusedAndClosedInTurn",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kLost, Ms(400)}, {kRefused, Ms(800)}},
              kValidAfterMove},
        Scene{"TheAddressInUseIsUnreachableLater",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kLost, Ms(1500), kInUse}, {kUnanswered, Ms(1700), kInUse}},
              kValidAfterMove},
        Scene{"TheAddressInUseGoesOnTelling",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kConfirmed, Ms(9000), kInUse}},
              kValidAfterMove},
        Scene{"TheAddressInUseRefusesToo",
              {{kRefused, Ms(-400), kInUse}, {kMove, Ms(0)}, {kRefused, Ms(5)}},
              kValidAfterMove},
        Scene{"TheAddressInUseHadRefusedAndIsUnreachable",
              {{kRefused, Ms(-400), kInUse}, {kMove, Ms(0)}, {kUnanswered, Ms(900), kInUse}},
              Ms(-500) + kValidFor},
        Scene{"FurtherMovesToAddressesThatRefuse",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kMove, Ms(3000)}, {kRefused, Ms(3005)}, {kMove, Ms(6000)}},
              kValidAfterMove},
        Scene{"FurtherMoveBeforeAnyAnswer",
              {{kMove, Ms(0)}, {kMove, Ms(3000)}, {kRefused, Ms(3005)}},
              kValidAfterMove},
        Scene{"TheNextAddressConfirms",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kConfirmed, Ms(1500)}, {kSwitch, Ms(1500)}},
              kNoLimit},
        Scene{"TheNextAddressConfirmsWhereTheOneInUseRefused",
              {{kRefused, Ms(-400), kInUse}, {kMove, Ms(0)}, {kConfirmed, Ms(1500)}, {kSwitch, Ms(1500)}},
              kNoLimit},
        Scene{"ItsWatchIsRefusedAfterTheFirstList",
              {{kMove, Ms(0)}, {kConfirmed, Ms(50)}, {kSwitch, Ms(50)}, {kRefused, Ms(60), kInUse}},
              kValidAfterMove},
        Scene{"ItsWatchIsRefusedAfterTheMove",
              {{kMove, Ms(0)}, {kConfirmed, Ms(3000)}, {kSwitch, Ms(3000)}, {kRefused, Ms(4500), kInUse}},
              Ms(3000) + kValidFor},
        Scene{"ItsWatchIsRefusedMuchLater",
              {{kMove, Ms(0)},
               {kConfirmed, Ms(50)},
               {kSwitch, Ms(50)},
               {kConfirmed, Ms(20000), kInUse},
               {kRefused, Ms(21000), kInUse}},
              Ms(20000) + kValidFor},
        Scene{"ItsWatchIsRefusedAfterAFurtherMove",
              {{kMove, Ms(0)},
               {kRefused, Ms(5)},
               {kMove, Ms(10000)},
               {kConfirmed, Ms(10050)},
               {kSwitch, Ms(10050)},
               {kRefused, Ms(10060), kInUse}},
              Ms(10000) + kValidAfterMove},
        Scene{"BackToAWatchThatWasOpenThroughoutAndIsRefusedThen",
              {{kMove, Ms(0)},
               {kRefused, Ms(5)},
               {kConfirmed, Ms(6500), kInUse},
               {kMoveBack, Ms(7000)},
               {kRefused, Ms(7500), kInUse}},
              Ms(7000) + kValidAfterMove},
        Scene{"BackToAWatchThatWasOpenThroughout",
              {{kMove, Ms(0)}, {kRefused, Ms(5)}, {kConfirmed, Ms(6500), kInUse}, {kMoveBack, Ms(7000)}},
              kNoLimit},
        Scene{"BackToAWatchThatWasLost",
              {{kMove, Ms(0)},
               {kRefused, Ms(5)},
               {kLost, Ms(1500), kInUse},
               {kMoveBack, Ms(7000)},
               {kUnanswered, Ms(7000), kInUse}},
              kValidAfterMove},
        Scene{"BackToAWatchThatWasLostAndConfirms",
              {{kMove, Ms(0)},
               {kRefused, Ms(5)},
               {kLost, Ms(1500), kInUse},
               {kMoveBack, Ms(7000)},
               {kConfirmed, Ms(7100), kInUse}},
              kNoLimit},
        Scene{"BackFromAnUnreachableAddressToOneThatRefuses",
              {{kMove, Ms(0)},
               {kUnanswered, Ms(5)},
               {kLost, Ms(1500), kInUse},
               {kUnanswered, Ms(6000), kInUse},
               {kMoveBack, Ms(7000)},
               {kRefused, Ms(7100), kInUse}},
              Ms(6000) + kValidAfterMove},
        Scene{"BackToAnAddressThatHadRefusedBefore",
              {{kRefused, Ms(-400), kInUse}, {kMove, Ms(0)}, {kUnanswered, Ms(5)}, {kMoveBack, Ms(1000)}},
              kValidAfterMove},
        Scene{"AMoveAfterASwitchHasItsOwnDeadline",
              {{kMove, Ms(0)},
               {kConfirmed, Ms(50)},
               {kSwitch, Ms(50)},
               {kMove, Ms(8000)},
               {kRefused, Ms(8005)}},
              Ms(8000) + kValidAfterMove}),
    [](const auto& scene) { return scene.param.name; });

// The log and the status name the address that keeps the node from sending.
TEST(ListValidity, NamesTheAddressThatSetTheLimit) {
  ListValidity validity(seconds(1));
  validity.OnConfirmed(kInUse, seconds(10));
  validity.OnMove(seconds(20));
  EXPECT_EQ(validity.limited_by(), kInUse);
  validity.OnFailure(kNext, Refused(seconds(21)));
  EXPECT_EQ(validity.limited_by(), kNext);
  validity.OnFailure(kInUse, Refused(seconds(22)));
  EXPECT_EQ(validity.limited_by(), kInUse);  // 10 s + 6 s is earlier than 20 s + 4 s
}

}  // namespace
}  // namespace indigosaddle
