// The planned replacement of a process under load, on one address: to rules and limits both processes are one
// node, and clients notice no gap.
#include <gtest/gtest.h>

#include <csignal>
#include <mutex>
#include <thread>

#include "folder_watch.h"
#include "stand_ins.h"
#include "steady_clients.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kOverlap(1500);  // from when the successor is ready to the signal
constexpr int kRoundsInOverlap = 60;    // of messages that clients send meanwhile
constexpr int kMaxSent = 20000;         // messages in a test

class PlannedReplacement : public NodeTest {
 protected:
  PlannedReplacement() : successor(platform.address()) {}

  void StartSuccessor() {
    ConfigureAsSuccessor(successor, node);
    ASSERT_TRUE(successor.Start());
  }
  bool HasTakenOver() { return successor.log().find("journal.taken_over") != std::string::npos; }
  static std::string Ask(int port, const std::string& command) { return ClientStandIn(port).Ask(command); }

  NodeProcess successor;
};

class Replacement : public PlannedReplacement, public ::testing::WithParamInterface<int> {
 protected:
  // Ends the old process by the signal under test.
  void EndPredecessor() {
    node.Signal(GetParam());
    EXPECT_EQ(node.Wait(), GetParam() == SIGTERM ? 0 : -SIGKILL);
  }
};

// Calls in the order in which they began, and which of them have been answered.
class CallOrder {
 public:
  void Begin(const std::string& id, const std::string& after) {
    const std::lock_guard lock(mutex_);
    if (!after.empty() && !answered_.contains(after)) too_early_.push_back(id);
  }
  void Answer(const std::string& id) {
    const std::lock_guard lock(mutex_);
    answered_.insert(id);
  }
  // Messages whose call began before the message ahead was answered.
  std::vector<std::string> too_early() {
    const std::lock_guard lock(mutex_);
    return too_early_;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> answered_;
  std::vector<std::string> too_early_;
};

// Issue 68, review/8: where the new process accepted a key's first message and the old one its second, the
// old one sent the second at once, and the first came seconds later.
TEST_P(Replacement, AKeysMessagesAreSentInTheOrderInWhichTheyWereAccepted) {
  CallOrder order;
  // An id is "k<key>-<position>".
  EndpointStandIn endpoint([&](Socket& socket, const HttpRequest& request, int) {
    const std::string id = request.headers.at("x-trace-id");
    order.Begin(id, id.back() == '1' ? id.substr(0, id.size() - 1) + "0" : "");
    std::this_thread::sleep_for(milliseconds(20));
    order.Answer(id);  // before it is written: the node may begin the next call at once
    return socket.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-7", endpoint.address(), 7));
  for (auto& message_class : node.config["settings"]["classes"]) message_class["sequential"] = true;
  node.config["settings"]["guarantees"]["turnGap"] = 50.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("listed", "c=safe,d=60000,dest=7"));
  StartSuccessor();
  std::vector<std::string> accepted;
  const auto enqueue_pair = [&](int number) {
    const std::string key = "k" + std::to_string(number);
    for (const char* position : {"-0", "-1"}) {
      const std::string id = key + position;
      const std::string fields = "c=keyed,k=" + id + ",d=60000,dest=7";
      if (Ask(node.port, ClientStandIn::Command({"ENQUEUE", key, id, fields, "body"})) != "+OK") return;
      accepted.push_back(id);
    }
  };
  for (int i = 0; i < kRoundsInOverlap; ++i) {
    enqueue_pair(i);
    std::this_thread::sleep_for(kOverlap / kRoundsInOverlap);
  }
  std::thread end([&] { EndPredecessor(); });
  for (int i = 0; i < kRoundsInOverlap; ++i) {
    enqueue_pair(kRoundsInOverlap + i);
    std::this_thread::sleep_for(milliseconds(25));
  }
  end.join();
  EXPECT_GT(accepted.size(), std::size_t{3} * kRoundsInOverlap);
  for (const std::string& id : accepted) {
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) >= 1 || platform.notices().contains(id); }))
        << id;
  }
  EXPECT_EQ(order.too_early(), std::vector<std::string>());
}

// Issue 68, review/10: while old messages were held, the new process accepted as many again as fit into half
// of the folder, and the rewrite at the take-over passed disk_mb.
TEST_P(Replacement, HeldMessagesOfBothProcessesFitIntoTheFolder) {
  EndpointStandIn hung([](Socket& socket, const HttpRequest&, int) { return Hang(socket); });
  platform.Set(PlatformStandIn::Member("s-7", hung.address(), 7));
  node.config["settings"]["caps"]["maxOpen"] = 1000;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("listed", "c=safe,d=60000,dest=7"));
  FolderWatch watch(node.folder + "/state");
  const std::string body(60000, 'x');
  int sent = 0, accepted = 0;
  const auto enqueue = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "m" + std::to_string(++sent);
      accepted += Ask(node.port, ClientStandIn::Enqueue(id, "c=safe,d=60000,dest=7", body)) == "+OK";
    }
  };
  enqueue(40);
  EXPECT_GT(accepted, 10);
  StartSuccessor();
  enqueue(40);
  std::thread end([&] { EndPredecessor(); });
  while (!HasTakenOver() && sent < kMaxSent) enqueue(1);
  end.join();
  enqueue(40);
  EXPECT_LE(watch.Stop(), std::uintmax_t{3'000'000});
}

// Guards against two processes that each hold as many messages as the node may hold in all.
TEST_P(Replacement, BothProcessesHoldNoMoreMessagesThanOneMay) {
  constexpr int kMaxOpen = 20;
  node.config["settings"]["caps"]["maxOpen"] = kMaxOpen;
  for (auto& message_class : node.config["settings"]["classes"]) message_class["aim"] = 30000.0;
  EndpointStandIn hung([](Socket& socket, const HttpRequest&, int) { return Hang(socket); });
  platform.Set(PlatformStandIn::Member("s-7", hung.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("listed", "c=safe,d=60000,dest=7"));
  int accepted = 1, sent = 0;
  const auto enqueue = [&](int count) {
    for (int i = 0; i < count; ++i)
      accepted += Enqueue("m" + std::to_string(++sent), "c=safe,d=60000,dest=7") == "+OK";
  };
  enqueue(2 * kMaxOpen);
  const int held_by_one = accepted;
  EXPECT_GT(held_by_one, kMaxOpen / 2);
  EXPECT_LE(held_by_one, kMaxOpen);
  StartSuccessor();
  enqueue(2 * kMaxOpen);
  EXPECT_EQ(accepted, held_by_one);
  std::thread end([&] { EndPredecessor(); });
  while (!HasTakenOver() && sent < kMaxSent) enqueue(1);
  end.join();
  enqueue(kMaxOpen);
  EXPECT_EQ(accepted, held_by_one);
}

// Guards against a gap at the clients' address: two messages an upgrade may end at the door.
TEST_F(PlannedReplacement, ClientsFindTheNodeThroughoutAPlannedReplacement) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-7", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("listed", "c=safe,d=60000,dest=7"));
  SteadyClients clients(node.port, 8);
  StartSuccessor();
  std::this_thread::sleep_for(milliseconds(500));
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(Eventually([&] { return HasTakenOver(); }));
  std::this_thread::sleep_for(milliseconds(500));
  clients.Stop();
  EXPECT_GT(clients.accepted(), 100);
  EXPECT_LE(clients.turned_away(), 2);
}

INSTANTIATE_TEST_SUITE_P(By, Replacement, ::testing::Values(SIGTERM, SIGKILL), [](const auto& parameter) {
  return parameter.param == SIGTERM ? "SIGTERM" : "SIGKILL";
});

}  // namespace
}  // namespace indigosaddle::testing
