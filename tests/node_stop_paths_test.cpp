// Each path of the built node that may act while it stops: reload, quiesce, signals in series, retry,
// connecting calls, notices, hand-over, a full disk, the end of accept.
#include <gtest/gtest.h>

#include "operators_calls.h"
#include "stopped_node.h"

namespace indigosaddle::testing {
namespace {

class StopPaths : public StoppedNode {
 protected:
  std::string LogAfter(const std::string& mark) const {
    const std::string log = node.log();
    const std::size_t at = log.find(mark);
    return at == std::string::npos ? "" : log.substr(at);
  }
  static constexpr const char* kRefusing = "to=refusing";
};

// Guards against a configuration that is read and put in force once intake is over.
TEST_F(StopPaths, AHangupBehindIntakeChangesNothing) {
  EndpointStandIn hung([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("h-1", hung.address(), 8));
  for (auto& one : node.config["settings"]["classes"]) one["aim"] = 30000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("out", "c=safe,d=20000,dest=8"));  // holds the process until its last moment
  ASSERT_TRUE(Eventually([&] { return hung.CallsFor("out") == 1; }));
  std::thread hangup([&] {
    EXPECT_TRUE(Eventually([&] { return node.log().find(kRefusing) != std::string::npos; }));
    node.Signal(SIGHUP);
  });
  Stop({}, {});
  hangup.join();
  EXPECT_NE(LogAfter(kRefusing).find("config.reload_ignored"), std::string::npos);
  EXPECT_EQ(LogAfter(kRefusing).find("config.read"), std::string::npos);
}

// Guards against a stop that a second signal begins again, ends early or turns back.
TEST_F(StopPaths, SignalsInSeriesAreOneStop) {
  ASSERT_TRUE(node.Start());
  std::thread series([&] {
    std::this_thread::sleep_for(milliseconds(300));
    for (const int number : {SIGHUP, SIGTERM, SIGINT, SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGINT}) {
      std::this_thread::sleep_for(milliseconds(330));
      node.Signal(number);
    }
  });
  std::vector<milliseconds> last_bytes;
  for (int at = 1900; at <= 3600; at += 50) last_bytes.push_back(milliseconds(at));
  Stop({}, last_bytes);
  series.join();
  ExpectEachAnsweredOrEndedBefore();
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_GT(ended_after(), milliseconds(2000));
  EXPECT_LE(ended_after(), kEarliestKill - kHoldUp);
}

// Guards against a signal that came during the start and is heard long behind it as a new one.
TEST_F(StopPaths, AStopThatCameDuringTheStartIsHeardAtItsEnd) {
  const auto since = Clock::now();
  node.Start(0, SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_LE(Clock::now() - since, kEarliestKill - kHoldUp);
  EXPECT_EQ(node.log().find("phase.break"), std::string::npos);
}

// Guards against quiesce or resume turning a stop back, in any order.
TEST_F(StopPaths, QuiesceAndResumeInAStopChangeNothing) {
  const int control = FreePort();
  node.config["control"] = "127.0.0.1:" + std::to_string(control);
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(Call(control, "POST", "/admin/quiesce").first, 200);
  std::thread operators([&] {
    EXPECT_TRUE(Eventually([&] { return node.log().find("to=draining") != std::string::npos; }));
    EXPECT_EQ(Call(control, "POST", "/admin/resume").first, 503);
    Call(control, "POST", "/admin/quiesce");
    EXPECT_EQ(Call(control, "GET", "/admin/health").first, 503);
  });
  Stop({}, {});
  operators.join();
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_FALSE(killed());
}

// Guards against a retry that begins once intake is over.
TEST_F(StopPaths, ARetryDueBehindIntakeIsLeftToTheNextProcess) {
  std::atomic<bool> serve{false};
  std::mutex mutex;
  std::vector<Clock::time_point> calls;
  EndpointStandIn failing([&](Socket& s, const HttpRequest&, int) {
    const std::lock_guard lock(mutex);
    calls.push_back(Clock::now());
    return s.Write(Answer(serve ? 200 : 503));
  });
  platform.Set(PlatformStandIn::Member("f-1", failing.address(), 8));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("again", "c=safe,d=60000,dest=8"));
  const auto told = Clock::now() + milliseconds(300);  // when Stop signals
  Stop({}, {});
  {
    const std::lock_guard lock(mutex);
    ASSERT_FALSE(calls.empty());
    EXPECT_LE(calls.back() - told, milliseconds(2800) + kHoldUp);
  }
  serve = true;
  const int before = failing.CallsFor("again");
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return node.log().find("message.resumed id=again") != std::string::npos; }));
  EXPECT_TRUE(Eventually([&] { return failing.CallsFor("again") > before; }));
}

// Guards against an old process that goes on taking messages on for as long as a stop lasts, beside its
// successor.
TEST_F(StopPaths, BesideASuccessorTheOldProcessTakesNothingOnOnceHandedOver) {
  ASSERT_TRUE(node.Start());
  NodeProcess successor(platform.address());
  successor.config = node.config;
  successor.shared_state = node.folder + "/state";
  ASSERT_TRUE(successor.Start());
  std::vector<milliseconds> last_bytes;
  for (int at = 1300; at <= 2200; at += 50) last_bytes.push_back(milliseconds(at));
  senders_begin_ = milliseconds(-100);
  Stop({}, last_bytes);
  ExpectEachAnsweredOrEndedBefore();
  ExpectNoneTakenOn();
  EXPECT_FALSE(killed());
}

// Guards against a successor that comes once the old process stops, and waits for the whole of its stop.
TEST_F(StopPaths, ASuccessorThatComesInAStopIsHandedOverTo) {
  ASSERT_TRUE(node.Start());
  ClientStandIn resting(node.port);
  ASSERT_EQ(resting.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  NodeProcess successor(platform.address());
  successor.config = node.config;
  successor.shared_state = node.folder + "/state";
  std::thread starts([&] {
    EXPECT_TRUE(Eventually([&] { return node.log().find("to=draining") != std::string::npos; }));
    EXPECT_TRUE(successor.Start());
  });
  Stop({}, {});
  starts.join();
  EXPECT_LT(ended_after(), milliseconds(2500));
  EXPECT_NE(node.log().find("a successor serves"), std::string::npos);
  EXPECT_TRUE(Eventually([&] { return successor.log().find("journal.taken_over") != std::string::npos; }));
}

// Guards against a command under way that meets no line where its successor was killed before the stop.
TEST_F(StopPaths, ASuccessorThatDiedLeavesAnOrdinaryStop) {
  ASSERT_TRUE(node.Start());
  {
    NodeProcess successor(platform.address());
    successor.config = node.config;
    successor.shared_state = node.folder + "/state";
    ASSERT_TRUE(successor.Start());
    successor.Kill(SIGKILL);
  }
  std::this_thread::sleep_for(milliseconds(100));  // the old one looks every 20 ms
  Stop({}, {milliseconds(2000), milliseconds(2400)});
  ExpectEachAnsweredOrEndedBefore();
  for (const LateSender& sender : senders()) EXPECT_EQ(sender.reply(), "+OK\r\n");
  EXPECT_GT(ended_after(), milliseconds(2500));
}

// Guards against a stop without an end: a client that reads no replies is not waited for.
TEST_F(StopPaths, AClientThatTakesNoRepliesKeepsNoStopFromItsEnd) {
  ASSERT_TRUE(node.Start());
  ClientStandIn greedy(node.port);
  std::thread asks([&] {
    std::this_thread::sleep_for(milliseconds(250));  // what it is owed for its silence comes with the stop
    const std::string ping = ClientStandIn::Command({"PING", std::string(60000, 'x')});
    for (int i = 0; i < 400 && greedy.Write(ping); ++i) continue;  // until nothing more is read of it
  });
  Stop({}, {});
  asks.join();
  EXPECT_FALSE(killed());
  EXPECT_LE(ended_after(), kEarliestKill - kHoldUp);
}

}  // namespace
}  // namespace indigosaddle::testing
