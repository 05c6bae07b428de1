// Agents with their threads, in one process on loopback: what they pass to other threads, and how they end.
// Also run under ThreadSanitizer.
#include "fleet/agent.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/descriptor.h"
#include "net/address.h"

namespace indigosaddle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentTest : public ::testing::Test {
 protected:
  struct TestAgent {
    PublishedSnapshot published;
    std::atomic<int> changes{0};
    std::unique_ptr<Agent> agent;
  };
  AgentTest() {
    for (int i = 0; i < 3; ++i) roster_.push_back({"n" + std::to_string(i), "s", Address(i), true});
  }
  static std::string Address(int i) {
    const int run = getpid() % 60000;
    return "127." + std::to_string(1 + run / 250) + "." + std::to_string(1 + run % 250) + "." +
           std::to_string(100 + i) + ":7947";
  }
  std::unique_ptr<TestAgent> Make(int i) {
    auto one = std::make_unique<TestAgent>();
    AgentOptions options;
    options.name = "n" + std::to_string(i);
    options.listen = Address(i);
    options.folder = ::testing::TempDir() + "agent-" + std::to_string(getpid()) + "-" + std::to_string(i);
    std::filesystem::create_directories(options.folder);
    options.roster = roster_;
    options.timing.probe_every = milliseconds(100);
    options.timing.probe_timeout = milliseconds(40);
    options.timing.lease = milliseconds(600);
    TestAgent* test_agent = one.get();
    one->agent = std::make_unique<Agent>(options, one->published, [test_agent] { ++test_agent->changes; });
    return one;
  }
  static bool Eventually(const std::function<bool()>& holds) {
    for (const auto end = std::chrono::steady_clock::now() + seconds(30);
         std::chrono::steady_clock::now() < end;) {
      if (holds()) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  std::vector<Peer> roster_;
};

TEST_F(AgentTest, SnapshotsEventsAndCountersReachOtherThreads) {
  std::vector<std::unique_ptr<TestAgent>> all;
  for (int i = 0; i < 3; ++i) all.push_back(Make(i));
  for (const auto& one : all) ASSERT_EQ(one->agent->Start(), "");
  {
    const PublishedSnapshot::Reader reader(all[1]->published);
    EXPECT_TRUE(Eventually([&] {
      const PublishedSnapshot::Reader::ReadSection section(reader);
      return section.get().connectivity == Connectivity::kConnected && section.get().senders == 3u;
    }));
    std::set<std::string> members;
    EXPECT_TRUE(Eventually([&] {
      for (const FleetEvent& event : all[1]->agent->TakeEvents())
        if (event.kind == FleetEvent::Kind::kMember) members.insert(event.subject + " " + event.state);
      return members.contains("n0 alive") && members.contains("n2 alive");
    }));
    EXPECT_GT(all[1]->changes, 0);
    EXPECT_GT(all[1]->agent->counters().packets_in, 0u);
    EXPECT_EQ(all[1]->agent->counters().unreadable, 0u);
    all[2].reset();  // leaves
    EXPECT_TRUE(Eventually([&] {
      const PublishedSnapshot::Reader::ReadSection section(reader);
      return section.get().members.back().liveness == Liveness::kLeft;
    }));
  }
}

// Opens more exchanges than the agent has slots for and never finishes them. Each must be closed after 3 s,
// so that exchanges with members go on.
TEST_F(AgentTest, UnfinishedExchangesTimeOutAndFreeTheirSlots) {
  const auto one = Make(0), other = Make(1);
  ASSERT_EQ(one->agent->Start(), "");
  sockaddr_storage at{};
  ASSERT_TRUE(net::ParseAddress(Address(0), at));
  std::vector<std::unique_ptr<base::Descriptor>> held;
  for (int i = 0; i < 20; ++i) {
    held.push_back(std::make_unique<base::Descriptor>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)));
    ASSERT_EQ(connect(held.back()->get(), reinterpret_cast<sockaddr*>(&at), sizeof(sockaddr_in)), 0);
    ASSERT_TRUE(base::WriteAll(held.back()->get(), std::string("\0\0", 2)));  // half of the length prefix
  }
  for (const auto& socket : held) {  // the agent closes each of them
    pollfd wait{socket->get(), POLLIN, 0};
    ASSERT_EQ(poll(&wait, 1, 30000), 1);
    char byte = 0;
    EXPECT_LE(recv(socket->get(), &byte, 1, MSG_DONTWAIT), 0);
  }
  ASSERT_EQ(other->agent->Start(), "");
  EXPECT_TRUE(Eventually([&] { return one->agent->counters().exchanges >= 1; }));
}

TEST_F(AgentTest, StartFailsWhenTheAddressIsInUse) {
  const auto first = Make(0), second = Make(0);
  ASSERT_EQ(first->agent->Start(), "");
  EXPECT_NE(second->agent->Start(), "");
}

TEST_F(AgentTest, StartFailsWhenTheMemoryFileCannotBeWritten) {
  const auto one = Make(1);
  std::filesystem::remove_all(::testing::TempDir() + "agent-" + std::to_string(getpid()) + "-1");
  EXPECT_NE(one->agent->Start(), "");
}

}  // namespace
}  // namespace indigosaddle::fleet
