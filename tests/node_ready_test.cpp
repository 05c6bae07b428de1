// Starts of the built node: it is ready within the operators' limit of 10 s whatever it finds, and still
// tries the pending messages that have not been tried.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

#include "stand_ins.h"
#include "state/journal.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kMaxStartTime(10);

class NodeStartTime : public NodeTest {
 protected:
  static Micros Now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
  }
  void WriteJournal(int messages, const std::function<void(state::AcceptedMessage&)>& customize) {
    std::string bytes = state::JournalHeader();
    for (int i = 1; i <= messages; ++i) {
      state::AcceptedMessage accepted;
      accepted.serial = static_cast<state::Serial>(i);
      accepted.id = "owed-" + std::to_string(i);
      accepted.message_class = "safe";
      accepted.rules = {Effect::kSafe};
      accepted.destination = 7;
      accepted.deadline = Now() + seconds(60);
      accepted.body = std::string(300, 'b');
      customize(accepted);
      state::AppendRecord(bytes, accepted);
    }
    std::ofstream(node.folder + "/state/journal", std::ios::binary) << bytes;
  }
  // Starts the process and returns how long that took.
  milliseconds TimeUntilReady(NodeProcess& process) {
    const auto started_at = Clock::now();
    EXPECT_TRUE(process.Start());
    return std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
  }
};

TEST_F(NodeStartTime, ReadyInTimeWithDiscoveryDown) {
  platform.Down(true);
  EXPECT_LT(TimeUntilReady(node), kMaxStartTime);
}

// The journal holds far more messages than a node holds in normal operation, and all are resumed.
TEST_F(NodeStartTime, ReadyInTimeWithALargeJournal) {
  constexpr int kMessages = 20000;
  node.config["limits"]["disk_mb"] = 64;
  node.config["settings"]["caps"]["maxOpen"] = 2 * kMessages;
  WriteJournal(kMessages, [](state::AcceptedMessage&) {});
  EXPECT_LT(TimeUntilReady(node), kMaxStartTime);
  EXPECT_NE(node.log().find("resumed " + std::to_string(kMessages) + " messages"), std::string::npos);
}

// Two processes share the folder, and the first ends only as the third starts: the third takes its place and
// answers.
TEST_F(NodeStartTime, ReadyInTimeWithAPredecessorThatHoldsTheFolder) {
  ASSERT_TRUE(node.Start());
  NodeProcess second(platform.address()), third(platform.address());
  second.shared_state = third.shared_state = node.folder + "/state";
  second.config["listen"] = third.config["listen"] = "127.0.0.1:" + std::to_string(node.port);
  EXPECT_LT(TimeUntilReady(second), kMaxStartTime);
  node.Signal(SIGTERM);
  EXPECT_LT(TimeUntilReady(third), kMaxStartTime);
  EXPECT_EQ(node.Wait(), 0);
}

// A journal that cannot be read is neither treated as empty nor overwritten: the node logs one line and exits
// with status 1.
TEST_F(NodeStartTime, UnreadableJournalIsReportedAndLeftUnchanged) {
  std::filesystem::create_directory(node.folder + "/state/journal");  // opens, but cannot be read
  EXPECT_FALSE(node.Start());
  EXPECT_EQ(node.Wait(), 1);
  EXPECT_NE(node.log().find("folder.unusable"), std::string::npos) << node.log();
  EXPECT_TRUE(std::filesystem::is_directory(node.folder + "/state/journal"));
}

// disk_mb was lowered between two starts: all messages that were pending before are still pending.
TEST_F(NodeStartTime, JournalLongerThanTheNewDiskLimitIsReadCompletely) {
  constexpr int kMessages = 3500;  // at least 1.2 MB
  node.config["limits"]["disk_mb"] = 1;
  node.config["settings"]["caps"]["maxOpen"] = 2 * kMessages;
  WriteJournal(kMessages, [](state::AcceptedMessage&) {});
  ASSERT_GT(std::filesystem::file_size(node.folder + "/state/journal"), 1u << 20);
  ASSERT_TRUE(node.Start());
  EXPECT_NE(node.log().find("resumed " + std::to_string(kMessages) + " messages"), std::string::npos);
}

// Untried messages of a tenant that is far above its share, with a list that arrives late and a destination
// that fails its first calls and is therefore in recovery: each message is tried, and none fails before its
// deadline.
TEST_F(NodeStartTime, UntriedMessagesAreTriedDespiteAnOverSharingTenantAndARecovery) {
  constexpr int kMessages = 60;
  std::atomic<int> failures{3};
  EndpointStandIn endpoint(
      [&](Socket& s, const HttpRequest&, int) { return s.Write(Answer(failures-- > 0 ? 500 : 200)); });
  node.config["settings"]["orgs"] = {{{"name", "small"}, {"quotaRps", 1.0}, {"portion", 0.05}},
                                     {{"name", "large"}, {"quotaRps", 100.0}, {"portion", 0.9}}};
  node.config["settings"]["overShareWorth"] = 0.1;
  WriteJournal(kMessages, [](state::AcceptedMessage& accepted) {
    accepted.tenant = accepted.serial % 6 == 0 ? "large" : "small";
  });
  platform.Down(true);
  ASSERT_TRUE(node.Start());
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  // Waits until the node has repeated its unanswered request to discovery.
  ASSERT_TRUE(Eventually([&] { return node.log().find("list.watch_lost") != std::string::npos; }));
  platform.Down(false);
  for (int i = 1; i <= kMessages; ++i)
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("owed-" + std::to_string(i)) > 0; })) << i;
  EXPECT_TRUE(platform.notices().empty());
}

}  // namespace
}  // namespace indigosaddle::testing
