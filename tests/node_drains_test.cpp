// Changes of the list at the built node: what binds from the first moment of a process, behind a move of
// discovery, behind refusals, and each form that a change comes in.
#include <gtest/gtest.h>

#include <csignal>
#include <mutex>

#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kGrace(250), kSlack(50);

std::string ListLine(int version, bool whole, const Json& hosts) {
  return Json{{"seq", version}, {"whole", whole}, {"hosts", hosts}}.dump() + "\n";
}
std::string WholeAnswer(int version, const Json& hosts) {
  const std::string list = ListLine(version, true, hosts);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

class Drains : public NodeTest {
 protected:
  Drains() { node.config["settings"]["guarantees"]["drainGrace"] = 250.0; }

  Json Drained() { return PlatformStandIn::Member("s-1", endpoint.address(), 7, "Terminating"); }
  void Feed(milliseconds span, milliseconds pause) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      Enqueue("m" + std::to_string(++fed_), "c=safe,d=60000,dest=7");
      std::this_thread::sleep_for(pause);
    }
  }
  // No call later than the grace behind the instant from which the drain counts as told.
  void ExpectNoneBehind(Clock::time_point told) {
    const std::lock_guard lock(mutex_);
    for (const Clock::time_point at : calls_) {
      const auto late = std::chrono::duration_cast<milliseconds>(at - told);
      EXPECT_LE(late, kGrace + kSlack) << "a call to a draining endpoint";
    }
  }
  std::size_t Calls() {
    const std::lock_guard lock(mutex_);
    return calls_.size();
  }

  std::mutex mutex_;
  std::vector<Clock::time_point> calls_;
  EndpointStandIn endpoint{[this](Socket& s, const HttpRequest&, int) {
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(Clock::now());
    }
    return s.Write(Answer(200));
  }};
  int fed_ = 0;
};

// Guards against calls by the kept list while the agent has told of a drain: it binds from the start.
TEST_F(Drains, WhatTheAgentHasBindsFromTheFirstMomentOfAProcess) {
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("owed", "c=unsafe,d=60000,dest=7"), "+OK");  // nothing is listed yet
  node.Kill(SIGKILL);
  node.config["known"] = {{"seq", 1},
                          {"whole", true},
                          {"hosts", Json::array({PlatformStandIn::Member("s-1", endpoint.address(), 7)})}};
  platform.Set(Drained());
  const auto began = Clock::now();
  ASSERT_TRUE(node.Start());
  Feed(milliseconds(1500), milliseconds(20));
  ExpectNoneBehind(began);
}

// Guards against calls to an endpoint that is gone, told by a change alone.
TEST_F(Drains, AnEndpointThatIsGoneGetsNothing) {
  EndpointStandIn other;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return Calls() == 1; }));
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7, "Gone"));
  platform.Set(PlatformStandIn::Member("s-3", other.address(), 9));
  ASSERT_TRUE(EnqueueOnceListed("told", "c=safe,d=60000,dest=9"));
  Enqueue("after", "c=unsafe,d=400,dest=7");
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(endpoint.CallsFor("after"), 0);
}

// Guards against calls to what a whole list in a watch no longer holds.
TEST_F(Drains, AWholeListInAWatchReplacesTheOldOne) {
  EndpointStandIn other;
  std::atomic<bool> told{false};
  const Json first = Json::array({PlatformStandIn::Member("s-1", endpoint.address(), 7)});
  const Json second = Json::array({PlatformStandIn::Member("s-3", other.address(), 9)});
  HttpServer discovery([&](Socket& socket, const HttpRequest& request) {
    if (request.line.find("watch=1") == std::string::npos) return socket.Write(WholeAnswer(41, first));
    socket.Write(kWatchHead + Chunk(ListLine(42, false, Json::array())));
    while (!told && socket.Write(Chunk("\n"))) std::this_thread::sleep_for(milliseconds(50));
    socket.Write(Chunk(ListLine(50, true, second)));
    return Hang(socket);
  });
  node.config["discovery"] = discovery.address();
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return Calls() == 1; }));
  told = true;
  ASSERT_TRUE(EnqueueOnceListed("news", "c=safe,d=60000,dest=9"));
  Enqueue("after", "c=unsafe,d=400,dest=7");
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(endpoint.CallsFor("after"), 0);
  node.Kill(SIGKILL);
}

// Guards against calls by the old address's list: the new one hangs once, and has told of a drain by 4 s.
TEST_F(Drains, AMoveOfDiscoveryBindsWithinFourSecondsThoughItsFirstRequestHangs) {
  std::atomic<int> requests{0};
  HttpServer next([&](Socket& socket, const HttpRequest& request) {
    if (++requests == 1) return Hang(socket);
    if (request.line.find("watch=1") == std::string::npos)
      return socket.Write(WholeAnswer(50, Json::array({Drained()})));
    socket.Write(kWatchHead + Chunk(ListLine(50, false, Json::array({Drained()}))));
    while (socket.Write(Chunk("\n"))) std::this_thread::sleep_for(milliseconds(500));
    return false;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  node.config["discovery"] = next.address();
  node.WriteConfig(node.config.dump());
  node.Signal(SIGHUP);
  const auto moved = Clock::now();
  Feed(seconds(6), milliseconds(50));
  EXPECT_GT(Calls(), 1U);
  ExpectNoneBehind(moved + seconds(4));
  node.Kill(SIGKILL);
}

// Guards against calls by a list that is 6 s old, since each request for a newer one was refused.
TEST_F(Drains, WhatRefusalsHideCountsAsToldSixSecondsLater) {
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  platform.SetListStatus(503);
  platform.EndWatches();
  std::this_thread::sleep_for(milliseconds(600));
  platform.Set(Drained());
  const auto changed = Clock::now();
  Feed(seconds(9), milliseconds(100));
  EXPECT_GT(Calls(), 5U);  // the old list serves meanwhile
  EXPECT_GT(platform.refused_lists(), 1);
  ExpectNoneBehind(changed + seconds(6));
}

// Guards against calls decided before a drain was read, by a process that is held up for 0.15 s: the grace
// covers that and no more.
TEST_F(Drains, HeldUpAsADrainComesItsCallsStayWithinTheGrace) {
  ASSERT_TRUE(node.Start());
  for (int round = 0; round < 5; ++round) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    ASSERT_TRUE(
        Eventually([&] { return Enqueue("r" + std::to_string(round), "c=safe,d=60000,dest=7") == "+OK"; }));
    std::thread client([&] { Feed(milliseconds(900), milliseconds(3)); });
    std::this_thread::sleep_for(milliseconds(300));
    node.Signal(SIGSTOP);
    platform.Set(Drained());
    const auto told = Clock::now();
    std::this_thread::sleep_for(milliseconds(150));
    node.Signal(SIGCONT);
    client.join();
    ExpectNoneBehind(told);
    const std::lock_guard lock(mutex_);
    calls_.clear();
  }
}

}  // namespace
}  // namespace indigosaddle::testing
