// List news of which a part is not known, and hosts that change their destination: what the module is told.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

std::vector<std::string> Told(ReducerDriver& driver) {
  std::vector<std::string> all;
  for (const TellList& told : driver.TakeAll<TellList>()) {
    for (const Endpoint& e : told.entries) {
      all.push_back(e.id + " " + std::to_string(e.destination) + " " +
                    (e.state == EndpointState::kReady      ? "ready"
                     : e.state == EndpointState::kDraining ? "draining"
                                                           : "gone"));
    }
  }
  return all;
}

using Words = std::vector<std::string>;

// Left as it was, an endpoint of which a change could not be read went on getting new messages.
TEST(OddListNews, AKnownEndpointThatIsUnsureDrainsUntilItsNextEntry) {
  ReducerDriver driver;
  driver.Feed(ListUpdate{{}, false, {"s-1", "never-listed"}});
  EXPECT_EQ(Told(driver), Words{"s-1 7 draining"});
  driver.Feed(ListUpdate{{}, false, {}});
  EXPECT_EQ(Told(driver), Words{});
  driver.Feed(ListUpdate{{{{"s-1", 3, 0, 7, EndpointState::kReady}, "127.0.0.1:1"}}, true, {}});
  EXPECT_EQ(Told(driver), Words{"s-1 7 ready"});
}

// In a whole list it is gone, as any that the list does not name.
TEST(OddListNews, InAWholeListAnUnsureEndpointIsNotListed) {
  ReducerDriver driver;
  driver.Feed(ListUpdate{{}, true, {"s-1"}});
  EXPECT_EQ(Told(driver), Words{});
  EXPECT_EQ(driver.state.endpoints.count("s-1"), 0u);
}

// Told of its new destination alone, the module kept the endpoint ready for the old one's messages too.
TEST(OddListNews, AnEndpointThatChangesItsDestinationIsGoneFromTheOldOne) {
  ReducerDriver driver;
  driver.Feed(ListUpdate{{{{"s-1", 3, 0, 8, EndpointState::kReady}, "127.0.0.1:1"}}, false, {}});
  EXPECT_EQ(Told(driver), (Words{"s-1 7 gone", "s-1 8 ready"}));
  driver.Feed(ListUpdate{{{{"s-1", 3, 0, 9, EndpointState::kGone}, ""}}, false, {}});
  EXPECT_EQ(Told(driver), (Words{"s-1 8 gone", "s-1 9 gone"}));
}

}  // namespace
}  // namespace indigosaddle::state
