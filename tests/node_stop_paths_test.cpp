// Each path of the built node that may act while it stops: reload, quiesce, signals in series, retries,
// connecting calls, notices, hand-over, a full disk, the end of accept.
#include <gtest/gtest.h>

#include "operators_calls.h"
#include "stopped_node.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

class StopPaths : public StoppedNode {
 protected:
  // The log from the first `mark` on; empty if there is none.
  std::string LogAfter(const std::string& mark) const {
    const std::string log = node.log();
    const std::size_t at = log.find(mark);
    return at == std::string::npos ? "" : log.substr(at);
  }
  static constexpr const char* kIntakeEnded = "to=refusing";
};

// Guards against a configuration that is read and put in force after intake has ended.
TEST_F(StopPaths, AHangupAfterTheEndOfIntakeChangesNothing) {
  EndpointStandIn hung([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("h-1", hung.address(), 8));
  for (auto& message_class : node.config["settings"]["classes"]) message_class["aim"] = 30000.0;
  ASSERT_TRUE(node.Start());
  // The call keeps the process running until the end of its stop.
  ASSERT_TRUE(EnqueueOnceListed("out", "c=safe,d=20000,dest=8"));
  ASSERT_TRUE(Eventually([&] { return hung.CallsFor("out") == 1; }));
  std::thread hangup([&] {
    EXPECT_TRUE(Eventually([&] { return node.log().find(kIntakeEnded) != std::string::npos; }));
    node.Signal(SIGHUP);
  });
  Stop({}, {});
  hangup.join();
  EXPECT_NE(LogAfter(kIntakeEnded).find("config.reload_ignored"), std::string::npos);
  EXPECT_EQ(LogAfter(kIntakeEnded).find("config.read"), std::string::npos);
}

// Guards against a stop that a second signal restarts, ends early or cancels.
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
  EXPECT_LE(ended_after(), kEarliestKill - kStall);
}

// Guards against a signal during the start that is handled long after it as if it were new.
TEST_F(StopPaths, AStopSignalDuringTheStartIsHandledAtItsEnd) {
  const auto since = Clock::now();
  node.Start(0, SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_LE(Clock::now() - since, kEarliestKill - kStall);
  EXPECT_EQ(node.log().find("phase.break"), std::string::npos);
}

// Guards against a stop that quiesce or resume cancels, in any order.
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

// Guards against a retry that begins after intake has ended.
TEST_F(StopPaths, ARetryDueAfterTheEndOfIntakeIsLeftToTheNextProcess) {
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
  const auto signal_at = Clock::now() + milliseconds(300);  // when Stop sends SIGTERM
  Stop({}, {});
  {
    const std::lock_guard lock(mutex);
    ASSERT_FALSE(calls.empty());
    EXPECT_LE(calls.back() - signal_at, milliseconds(2800) + kStall);
  }
  serve = true;
  const int before = failing.CallsFor("again");
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return node.log().find("message.resumed id=again") != std::string::npos; }));
  EXPECT_TRUE(Eventually([&] { return failing.CallsFor("again") > before; }));
}

// Guards against a predecessor that goes on accepting messages beside its successor until its stop ends.
TEST_F(StopPaths, BesideASuccessorThePredecessorAcceptsNothingAfterTheHandOver) {
  ASSERT_TRUE(node.Start());
  NodeProcess successor(platform.address());
  ConfigureAsSuccessor(successor, node);
  ASSERT_TRUE(successor.Start());
  std::vector<milliseconds> last_bytes;
  for (int at = 1300; at <= 2200; at += 50) last_bytes.push_back(milliseconds(at));
  senders_begin_ = milliseconds(-100);
  Stop({}, last_bytes);
  ExpectEachAnsweredOrEndedBefore();
  ExpectNoneAccepted();
  EXPECT_FALSE(killed());
}

// Guards against a successor that starts while its predecessor stops and waits until the stop has ended.
TEST_F(StopPaths, ASuccessorThatStartsDuringAStopGetsTheHandOver) {
  ASSERT_TRUE(node.Start());
  ClientStandIn idle_client(node.port);
  ASSERT_EQ(idle_client.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  NodeProcess successor(platform.address());
  ConfigureAsSuccessor(successor, node);
  std::thread starter([&] {
    EXPECT_TRUE(Eventually([&] { return node.log().find("to=draining") != std::string::npos; }));
    successor.Start();  // the predecessor may answer its PING before it has noticed the successor
    EXPECT_NE(successor.log().find("journal.shared"), std::string::npos);
    EXPECT_TRUE(Eventually(
        [&] { return ClientStandIn(successor.port).Ask(ClientStandIn::Command({"PING"})) == "+PONG"; }));
  });
  Stop({}, {});
  starter.join();
  EXPECT_LT(ended_after(), milliseconds(2500));
  EXPECT_NE(node.log().find("a successor serves"), std::string::npos);
  EXPECT_TRUE(Eventually([&] { return successor.log().find("journal.taken_over") != std::string::npos; }));
}

// Guards against a half-sent command that gets no reply because the successor was killed before the stop.
TEST_F(StopPaths, ASuccessorThatDiedLeavesAnOrdinaryStop) {
  ASSERT_TRUE(node.Start());
  {
    NodeProcess successor(platform.address());
    ConfigureAsSuccessor(successor, node);
    ASSERT_TRUE(successor.Start());
    successor.Kill(SIGKILL);
  }
  std::this_thread::sleep_for(milliseconds(100));  // the predecessor checks every 20 ms
  Stop({}, {milliseconds(2000), milliseconds(2400)});
  ExpectEachAnsweredOrEndedBefore();
  for (const LateSender& sender : senders()) EXPECT_EQ(sender.reply(), "+OK\r\n");
  EXPECT_GT(ended_after(), milliseconds(2500));
}

// Guards against a stop that never ends because it waits for a client that reads no replies.
TEST_F(StopPaths, AClientThatReadsNoRepliesDoesNotDelayTheEndOfAStop) {
  ASSERT_TRUE(node.Start());
  ClientStandIn unreading_client(node.port);
  std::thread requests([&] {
    std::this_thread::sleep_for(milliseconds(250));  // its write timeout is then due during the stop
    const std::string ping = ClientStandIn::Command({"PING", std::string(60000, 'x')});
    for (int i = 0; i < 400 && unreading_client.Write(ping); ++i)
      continue;  // until the node reads no more of it
  });
  Stop({}, {});
  requests.join();
  EXPECT_FALSE(killed());
  EXPECT_LE(ended_after(), kEarliestKill - kStall);
}

}  // namespace
}  // namespace indigosaddle::testing
