// Starts at the built node: ready within the operators' 10 s whatever it finds, and what it finds owed and
// untried is still tried.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

#include "stand_ins.h"
#include "state/journal.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kReady(10);

class NodeReady : public NodeTest {
 protected:
  static Micros Now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
  }
  void PutJournal(int messages, const std::function<void(state::AcceptedMessage&)>& change) {
    std::string bytes = state::JournalHeader();
    for (int i = 1; i <= messages; ++i) {
      state::AcceptedMessage taken;
      taken.serial = static_cast<state::Serial>(i);
      taken.id = "owed-" + std::to_string(i);
      taken.message_class = "safe";
      taken.rules = {Effect::kSafe};
      taken.destination = 7;
      taken.deadline = Now() + seconds(60);
      taken.body = std::string(300, 'b');
      change(taken);
      state::AppendRecord(bytes, taken);
    }
    std::ofstream(node.folder + "/state/journal", std::ios::binary) << bytes;
  }
  // Starts it; how long that took.
  milliseconds UntilReady(NodeProcess& process) {
    const auto since = Clock::now();
    EXPECT_TRUE(process.Start());
    return std::chrono::duration_cast<milliseconds>(Clock::now() - since);
  }
};

TEST_F(NodeReady, WithDiscoveryDown) {
  platform.Down(true);
  EXPECT_LT(UntilReady(node), kReady);
}

// Far more than a node holds on the operators' days, and all of it comes back.
TEST_F(NodeReady, WithALargeJournal) {
  constexpr int kMessages = 20000;
  node.config["limits"]["disk_mb"] = 64;
  node.config["settings"]["caps"]["maxOpen"] = 2 * kMessages;
  PutJournal(kMessages, [](state::AcceptedMessage&) {});
  EXPECT_LT(UntilReady(node), kReady);
  EXPECT_NE(node.log().find("resumed " + std::to_string(kMessages) + " messages"), std::string::npos);
}

// Two processes share the folder, and the first ends only then: the third has its place, and answers.
TEST_F(NodeReady, WithAPredecessorThatHoldsTheFolder) {
  ASSERT_TRUE(node.Start());
  NodeProcess second(platform.address()), third(platform.address());
  second.shared_state = third.shared_state = node.folder + "/state";
  EXPECT_LT(UntilReady(second), kReady);
  node.Signal(SIGTERM);
  EXPECT_LT(UntilReady(third), kReady);
  EXPECT_EQ(node.Wait(), 0);
}

// A journal that can't be read is neither taken for an empty one nor written over: one line, and 1.
TEST_F(NodeReady, AnUnreadableJournalIsSaidAndLeftAsItIs) {
  std::filesystem::create_directory(node.folder + "/state/journal");  // opens, and can't be read
  EXPECT_FALSE(node.Start());
  EXPECT_EQ(node.Wait(), 1);
  EXPECT_NE(node.log().find("folder.unusable"), std::string::npos) << node.log();
  EXPECT_TRUE(std::filesystem::is_directory(node.folder + "/state/journal"));
}

// disk_mb was lowered between two lives: what is owed from before is owed still, all of it.
TEST_F(NodeReady, AJournalLongerThanTheDiskNowAllowsIsReadWhole) {
  constexpr int kMessages = 3500;  // 1.2 MB and more
  node.config["limits"]["disk_mb"] = 1;
  node.config["settings"]["caps"]["maxOpen"] = 2 * kMessages;
  PutJournal(kMessages, [](state::AcceptedMessage&) {});
  ASSERT_GT(std::filesystem::file_size(node.folder + "/state/journal"), 1u << 20);
  ASSERT_TRUE(node.Start());
  EXPECT_NE(node.log().find("resumed " + std::to_string(kMessages) + " messages"), std::string::npos);
}

// Untried messages of a tenant that is far past its share, with a list that comes late and a destination that
// fails its first calls, so that it is cold: each is tried, and none is given up before its time.
TEST_F(NodeReady, WhatWasUntriedIsTriedThoughItsTenantIsPastItsShareAndTheDestinationCold) {
  constexpr int kMessages = 60;
  std::atomic<int> failures{3};
  EndpointStandIn endpoint(
      [&](Socket& s, const HttpRequest&, int) { return s.Write(Answer(failures-- > 0 ? 500 : 200)); });
  node.config["settings"]["orgs"] = {{{"name", "small"}, {"quotaRps", 1.0}, {"portion", 0.05}},
                                     {{"name", "large"}, {"quotaRps", 100.0}, {"portion", 0.9}}};
  node.config["settings"]["overShareWorth"] = 0.1;
  PutJournal(kMessages,
             [](state::AcceptedMessage& taken) { taken.tenant = taken.serial % 6 == 0 ? "large" : "small"; });
  platform.Down(true);
  ASSERT_TRUE(node.Start());
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  // As long as discovery takes to be asked again where it said nothing.
  ASSERT_TRUE(Eventually([&] { return node.log().find("list.watch_lost") != std::string::npos; }));
  platform.Down(false);
  for (int i = 1; i <= kMessages; ++i)
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("owed-" + std::to_string(i)) > 0; })) << i;
  EXPECT_TRUE(platform.notices().empty());
}

}  // namespace
}  // namespace indigosaddle::testing
