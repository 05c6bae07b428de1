// Calls of the built node while the configuration names another address of discovery and that one responds
// without sending the list.
#include <gtest/gtest.h>

#include <csignal>
#include <memory>

#include "stand_ins.h"
#include "timed_endpoint.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// From SIGHUP until whatever discovery has to tell counts as known.
constexpr milliseconds kMoveDeadline(4000);
// For calls that are on their way then: the grace of drains and the tolerance of sockets.
constexpr milliseconds kGrace(250), kTolerance(50);

class DiscoveryMoves : public NodeTest {
 protected:
  DiscoveryMoves() {
    old_platform = std::make_unique<PlatformStandIn>();
    old_platform->Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    next_platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    next_platform.SetListStatus(503);
    node.config["discovery"] = old_platform->address();
  }

  void StartAndDeliver() {
    ASSERT_TRUE(node.Start());
    ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
    ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("before") == 1; }));
  }
  Clock::time_point MoveTo(const std::string& address) {
    node.config["discovery"] = address;
    node.WriteConfig(node.config.dump());
    node.Signal(SIGHUP);
    return Clock::now();
  }
  // Enqueues messages until `end`. They live long enough to be delivered afterwards.
  void EnqueueUntil(Clock::time_point end) {
    while (Clock::now() < end) {
      Enqueue("m" + std::to_string(++enqueued_), "c=safe,d=60000,dest=7");
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  int CallsSince(Clock::time_point from) {
    const auto call_times = endpoint.call_times();
    return static_cast<int>(
        std::count_if(call_times.begin(), call_times.end(), [&](Clock::time_point at) { return at > from; }));
  }
  // Expects that calls go on right up to the deadline (less what the node keeps clear of it), and none after.
  void ExpectCallsOnlyUntil(Clock::time_point deadline) {
    EXPECT_GT(CallsSince(deadline - milliseconds(1500)), 0) << "the list at hand is used until then";
    EXPECT_EQ(CallsSince(deadline + kGrace + kTolerance), 0) << "calls by a list that may be outdated";
  }
  bool Logged(const std::string& text) {
    return Eventually([&] { return node.log().find(text) != std::string::npos; });
  }

  std::unique_ptr<PlatformStandIn> old_platform;
  PlatformStandIn next_platform;
  TimedEndpoint endpoint;
  int enqueued_ = 0;
};

// Guards against calls to gone endpoints where the next address of discovery refuses the list: its refusals
// were dropped, and the refused connections at the old address counted as an unreachable discovery
// (review/7).
TEST_F(DiscoveryMoves, AListThatTheNextAddressRefusesIsUsedForFourSeconds) {
  StartAndDeliver();
  const auto moved_at = MoveTo(next_platform.address());
  EnqueueUntil(moved_at + milliseconds(1500));
  old_platform.reset();  // its connections are closed, and new ones are refused
  EnqueueUntil(moved_at + seconds(7));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
  EXPECT_TRUE(Logged("list.outdated"));
  // Nothing is lost: what waited is delivered once the next address sends the list.
  next_platform.SetListStatus(200);
  const std::string last = "m" + std::to_string(enqueued_);
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(last) == 1; }));
  EXPECT_TRUE(Logged("list.valid"));
}

// Guards against a list that the old address keeps valid: it does not know what the next one has to tell.
TEST_F(DiscoveryMoves, ChangesAtTheOldAddressDoNotMakeTheListValid) {
  StartAndDeliver();
  const auto moved_at = MoveTo(next_platform.address());
  for (int change = 0; change < 14; ++change) {
    EnqueueUntil(moved_at + milliseconds(500) * (change + 1));
    old_platform->Set(PlatformStandIn::Member("s-2", settler.address(), 99));
  }
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
}

// Guards against a limit that each further address starts anew, so that the list never gets old.
TEST_F(DiscoveryMoves, FurtherMovesDoNotPostponeTheLimit) {
  PlatformStandIn third;
  third.SetListStatus(503);
  StartAndDeliver();
  const auto moved_at = MoveTo(next_platform.address());
  EnqueueUntil(moved_at + milliseconds(1500));
  old_platform.reset();
  EnqueueUntil(moved_at + seconds(3));
  MoveTo(third.address());
  EnqueueUntil(moved_at + seconds(6));
  MoveTo(next_platform.address());
  EnqueueUntil(moved_at + seconds(8));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
}

// Guards against calls by the next address's first list where its watch is refused from then on.
TEST_F(DiscoveryMoves, AFirstListWithoutAWatchIsUsedForFourSeconds) {
  const std::string list =
      Json{{"seq", 5}, {"whole", true}, {"hosts", {PlatformStandIn::Member("s-1", endpoint.address(), 7)}}}
          .dump();
  HttpServer without_watch([&](Socket& socket, const HttpRequest& request) {
    if (request.line.find("watch=1") != std::string::npos) return socket.Write(Answer(503));
    return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                        list);
  });
  StartAndDeliver();
  const auto moved_at = MoveTo(without_watch.address());
  EnqueueUntil(moved_at + seconds(7));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
}

// Guards against a list without a limit where the next address sends one that is never complete.
TEST_F(DiscoveryMoves, AListThatTheNextAddressNeverCompletesIsUsedForFourSeconds) {
  HttpServer breaks_off([](Socket& socket, const HttpRequest&) {
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{\"seq\":5,\"whole\":true,\"hosts\":[");
    return false;
  });
  StartAndDeliver();
  const auto moved_at = MoveTo(breaks_off.address());
  EnqueueUntil(moved_at + seconds(7));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
}

// Guards against a node that stays stopped after the operators' way back: the old watch was open throughout,
// so it has told everything.
TEST_F(DiscoveryMoves, MovingBackToAnOpenWatchResumesAtOnce) {
  StartAndDeliver();
  const auto moved_at = MoveTo(next_platform.address());
  EnqueueUntil(moved_at + seconds(6));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
  const auto back_at = MoveTo(old_platform->address());
  EnqueueUntil(back_at + seconds(1));
  EXPECT_GT(CallsSince(back_at), 0);
}

// Guards against calls by the old list where the operators' way back leads to an address whose watch was
// lost: it may have missed changes, and has to send the list first.
TEST_F(DiscoveryMoves, MovingBackToALostWatchWaitsForItsList) {
  StartAndDeliver();
  const auto moved_at = MoveTo(next_platform.address());
  EnqueueUntil(moved_at + seconds(1));
  old_platform->SetListStatus(503);
  old_platform->EndWatches();
  EnqueueUntil(moved_at + seconds(6));
  MoveTo(old_platform->address());
  EnqueueUntil(moved_at + seconds(8));
  ExpectCallsOnlyUntil(moved_at + kMoveDeadline);
  old_platform->SetListStatus(200);
  const auto restored_at = Clock::now();
  EnqueueUntil(restored_at + seconds(2));
  EXPECT_GT(CallsSince(restored_at), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
