// Changes of the endpoint list at the built node: which list applies from the start of a process, after a
// move of discovery and after rejected requests, and each form in which a change arrives.
#include <gtest/gtest.h>

#include <csignal>

#include "stand_ins.h"
#include "timed_endpoint.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kGrace(250), kTolerance(50);

std::string EndpointListLine(int version, bool complete, const Json& hosts) {
  return Json{{"seq", version}, {"whole", complete}, {"hosts", hosts}}.dump() + "\n";
}
std::string CompleteListAnswer(int version, const Json& hosts) {
  const std::string list = EndpointListLine(version, true, hosts);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

class EndpointDrains : public NodeTest {
 protected:
  EndpointDrains() { node.config["settings"]["guarantees"]["drainGrace"] = 250.0; }

  Json DrainingMember() { return PlatformStandIn::Member("s-1", endpoint.address(), 7, "Terminating"); }
  void EnqueueRepeatedly(milliseconds span, milliseconds pause) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      Enqueue("m" + std::to_string(++enqueued_), "c=safe,d=60000,dest=7");
      std::this_thread::sleep_for(pause);
    }
  }
  // Expects no call later than the grace after the instant from which the drain counts as reported.
  void ExpectNoCallsAfterGrace(Clock::time_point reported_at) {
    for (const Clock::time_point call_time : endpoint.call_times()) {
      const auto elapsed = std::chrono::duration_cast<milliseconds>(call_time - reported_at);
      EXPECT_LE(elapsed, kGrace + kTolerance) << "a call to a draining endpoint";
    }
  }
  std::size_t CallCount() { return endpoint.call_times().size(); }

  TimedEndpoint endpoint;
  int enqueued_ = 0;
};

// Guards against calls by the stored list while discovery reports a drain: its list applies from the start.
TEST_F(EndpointDrains, DiscoverysListAppliesFromTheStartOfAProcess) {
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("owed", "c=unsafe,d=60000,dest=7"), "+OK");  // no endpoint is listed yet
  node.Kill(SIGKILL);
  node.config["known"] = {{"seq", 1},
                          {"whole", true},
                          {"hosts", Json::array({PlatformStandIn::Member("s-1", endpoint.address(), 7)})}};
  platform.Set(DrainingMember());
  const auto started_at = Clock::now();
  ASSERT_TRUE(node.Start());
  EnqueueRepeatedly(milliseconds(1500), milliseconds(20));
  ExpectNoCallsAfterGrace(started_at);
}

// Guards against calls to an endpoint that is gone, where only an incremental change reports it.
TEST_F(EndpointDrains, RemovedEndpointGetsNoCalls) {
  EndpointStandIn other;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return CallCount() == 1; }));
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7, "Gone"));
  platform.Set(PlatformStandIn::Member("s-3", other.address(), 9));
  ASSERT_TRUE(EnqueueOnceListed("told", "c=safe,d=60000,dest=9"));
  Enqueue("after", "c=unsafe,d=400,dest=7");
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(endpoint.CallsFor("after"), 0);
}

// Guards against calls to an endpoint that a complete list in a watch no longer contains.
TEST_F(EndpointDrains, CompleteListInAWatchReplacesTheOldOne) {
  EndpointStandIn other;
  std::atomic<bool> second_list_due{false};
  const Json first = Json::array({PlatformStandIn::Member("s-1", endpoint.address(), 7)});
  const Json second = Json::array({PlatformStandIn::Member("s-3", other.address(), 9)});
  HttpServer discovery([&](Socket& socket, const HttpRequest& request) {
    if (request.line.find("watch=1") == std::string::npos) return socket.Write(CompleteListAnswer(41, first));
    socket.Write(kWatchHead + Chunk(EndpointListLine(42, false, Json::array())));
    while (!second_list_due && socket.Write(Chunk("\n"))) std::this_thread::sleep_for(milliseconds(50));
    socket.Write(Chunk(EndpointListLine(50, true, second)));
    return Hang(socket);
  });
  node.config["discovery"] = discovery.address();
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return CallCount() == 1; }));
  second_list_due = true;
  ASSERT_TRUE(EnqueueOnceListed("news", "c=safe,d=60000,dest=9"));
  Enqueue("after", "c=unsafe,d=400,dest=7");
  std::this_thread::sleep_for(milliseconds(800));
  EXPECT_EQ(endpoint.CallsFor("after"), 0);
  node.Kill(SIGKILL);
}

// Guards against calls by the list of discovery's old address: the new address hangs on the first request,
// and the drain that it reports counts after 4 s.
TEST_F(EndpointDrains, MoveOfDiscoveryTakesEffectWithinFourSecondsThoughTheFirstRequestHangs) {
  std::atomic<int> requests{0};
  HttpServer new_discovery([&](Socket& socket, const HttpRequest& request) {
    if (++requests == 1) return Hang(socket);
    if (request.line.find("watch=1") == std::string::npos)
      return socket.Write(CompleteListAnswer(50, Json::array({DrainingMember()})));
    socket.Write(kWatchHead + Chunk(EndpointListLine(50, false, Json::array({DrainingMember()}))));
    while (socket.Write(Chunk("\n"))) std::this_thread::sleep_for(milliseconds(500));
    return false;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  node.config["discovery"] = new_discovery.address();
  node.WriteConfig(node.config.dump());
  node.Signal(SIGHUP);
  const auto moved_at = Clock::now();
  EnqueueRepeatedly(seconds(6), milliseconds(50));
  EXPECT_GT(CallCount(), 1U);
  ExpectNoCallsAfterGrace(moved_at + seconds(4));
  node.Kill(SIGKILL);
}

// Guards against calls by a list that is 6 s old because each request for a newer one was rejected.
TEST_F(EndpointDrains, DrainHiddenByRejectedRequestsCountsSixSecondsLater) {
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return CallCount() == 1; }));  // the node has the list
  platform.SetListStatus(503);
  platform.EndWatches();
  std::this_thread::sleep_for(milliseconds(600));
  platform.Set(DrainingMember());
  const auto changed_at = Clock::now();
  EnqueueRepeatedly(seconds(9), milliseconds(100));
  EXPECT_GT(CallCount(), 5U);  // the old list is used meanwhile
  EXPECT_GT(platform.refused_lists(), 1);
  ExpectNoCallsAfterGrace(changed_at + seconds(6));
}

// Guards against calls that leave too late because they were decided before the drain was read, in a process
// that stalls for 0.15 s: the grace covers that delay and no more.
TEST_F(EndpointDrains, CallsStayWithinTheGraceWhenAStallCoincidesWithADrain) {
  ASSERT_TRUE(node.Start());
  for (int round = 0; round < 5; ++round) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    ASSERT_TRUE(
        Eventually([&] { return Enqueue("r" + std::to_string(round), "c=safe,d=60000,dest=7") == "+OK"; }));
    std::thread client([&] { EnqueueRepeatedly(milliseconds(900), milliseconds(3)); });
    std::this_thread::sleep_for(milliseconds(300));
    node.Signal(SIGSTOP);
    platform.Set(DrainingMember());
    const auto reported_at = Clock::now();
    std::this_thread::sleep_for(milliseconds(150));
    node.Signal(SIGCONT);
    client.join();
    ExpectNoCallsAfterGrace(reported_at);
    endpoint.Clear();
  }
}

}  // namespace
}  // namespace indigosaddle::testing
