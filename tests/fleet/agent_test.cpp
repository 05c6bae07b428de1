// Agents with their threads, in one process on loopback: what they hand to other threads, and how they end.
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
  struct One {
    PublishedSnapshot published;
    std::atomic<int> told{0};
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
  std::unique_ptr<One> Make(int i) {
    auto one = std::make_unique<One>();
    AgentOptions options;
    options.name = "n" + std::to_string(i);
    options.listen = Address(i);
    options.folder = ::testing::TempDir() + "agent-" + std::to_string(getpid()) + "-" + std::to_string(i);
    std::filesystem::create_directories(options.folder);
    options.roster = roster_;
    options.timing.probe_every = milliseconds(100);
    options.timing.probe_timeout = milliseconds(40);
    options.timing.lease = milliseconds(600);
    One* told = one.get();
    one->agent = std::make_unique<Agent>(options, one->published, [told] { ++told->told; });
    return one;
  }
  static bool Soon(const std::function<bool()>& holds) {
    for (const auto end = std::chrono::steady_clock::now() + seconds(30);
         std::chrono::steady_clock::now() < end;) {
      if (holds()) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  std::vector<Peer> roster_;
};

TEST_F(AgentTest, SnapshotsNotesAndCountersReachOtherThreads) {
  std::vector<std::unique_ptr<One>> all;
  for (int i = 0; i < 3; ++i) all.push_back(Make(i));
  for (const auto& one : all) ASSERT_EQ(one->agent->Start(), "");
  {
    const PublishedSnapshot::Reader reader(all[1]->published);
    EXPECT_TRUE(Soon([&] {
      const PublishedSnapshot::Reader::ReadSection look(reader);
      return look.get().connectivity == Standing::kConnected && look.get().senders == 3u;
    }));
    std::set<std::string> members;
    EXPECT_TRUE(Soon([&] {
      for (const FleetEvent& note : all[1]->agent->TakeEvents())
        if (note.kind == FleetEvent::Kind::kMember) members.insert(note.subject + " " + note.state);
      return members.contains("n0 alive") && members.contains("n2 alive");
    }));
    EXPECT_GT(all[1]->told, 0);
    EXPECT_GT(all[1]->agent->counters().packets_in, 0u);
    EXPECT_EQ(all[1]->agent->counters().unreadable, 0u);
    all[2].reset();  // leaves
    EXPECT_TRUE(Soon([&] {
      const PublishedSnapshot::Reader::ReadSection look(reader);
      return look.get().members.back().liveness == Liveness::kLeft;
    }));
  }
}

// Exchanges that never end, begun by hand at an agent's address: more than it has places for. Each has its
// end after 3 s, and exchanges with members go on behind them.
TEST_F(AgentTest, ExchangesThatNeverEndGiveTheirPlacesBack) {
  const auto one = Make(0), other = Make(1);
  ASSERT_EQ(one->agent->Start(), "");
  sockaddr_storage at{};
  ASSERT_TRUE(net::ParseAddress(Address(0), at));
  std::vector<std::unique_ptr<base::Descriptor>> held;
  for (int i = 0; i < 20; ++i) {
    held.push_back(std::make_unique<base::Descriptor>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)));
    ASSERT_EQ(connect(held.back()->get(), reinterpret_cast<sockaddr*>(&at), sizeof(sockaddr_in)), 0);
    ASSERT_TRUE(base::WriteAll(held.back()->get(), std::string("\0\0", 2)));  // half a length
  }
  for (const auto& socket : held) {  // ended by the agent, each of them
    pollfd wait{socket->get(), POLLIN, 0};
    ASSERT_EQ(poll(&wait, 1, 30000), 1);
    char byte = 0;
    EXPECT_LE(recv(socket->get(), &byte, 1, MSG_DONTWAIT), 0);
  }
  ASSERT_EQ(other->agent->Start(), "");
  EXPECT_TRUE(Soon([&] { return one->agent->counters().exchanges >= 1; }));
}

TEST_F(AgentTest, AnAddressThatIsTakenIsSaidAndEndsCleanly) {
  const auto first = Make(0), second = Make(0);
  ASSERT_EQ(first->agent->Start(), "");
  EXPECT_NE(second->agent->Start(), "");
}

TEST_F(AgentTest, AFolderThatTakesNoMemoryIsSaid) {
  const auto one = Make(1);
  std::filesystem::remove_all(::testing::TempDir() + "agent-" + std::to_string(getpid()) + "-1");
  EXPECT_NE(one->agent->Start(), "");
}

}  // namespace
}  // namespace indigosaddle::fleet
