// Notices that fall due at the built node while something else fails: notices that are rejected one by one, a
// discovery that does not answer, a process that is not running, and messages with very short deadlines.
#include <gtest/gtest.h>

#include <csignal>
#include <mutex>
#include <random>
#include <sstream>

#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The allowed 300 ms and 1.5 s, each with a tolerance of 50 ms.
constexpr milliseconds kNoticeDelay(350), kNoticeDelayAfterReady(1550);

class DueNotices : public NodeTest {
 protected:
  void ExpectNoticeBy(const std::string& id, Clock::time_point due) {
    ASSERT_TRUE(Eventually([&] { return platform.FirstNoticeAt(id).has_value(); })) << id << " has no notice";
    const auto delay = std::chrono::duration_cast<milliseconds>(*platform.FirstNoticeAt(id) - due);
    EXPECT_LE(delay, milliseconds(0)) << id << ": late notice";
  }
};

// Guards against valid notices that are lost after one that the platform cannot read.
TEST_F(DueNotices, RejectedNoticeDoesNotDelayOthers) {
  std::mutex mutex;
  std::map<std::string, Clock::time_point> notice_times;
  HttpServer discovery([&](Socket& socket, const HttpRequest& request) {
    if (request.line.starts_with("GET ")) {
      const std::string list = "{\"seq\":1,\"whole\":true,\"hosts\":[]}\n";
      if (request.line.find("watch=1") == std::string::npos)
        return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                            list);
      socket.Write(kWatchHead);
      while (socket.Write(Chunk("\n"))) std::this_thread::sleep_for(milliseconds(500));
      return false;
    }
    if (request.body.find("unreadable") != std::string::npos) return socket.Write(Answer(400));
    std::istringstream lines(request.body);
    const std::lock_guard lock(mutex);
    for (std::string line; std::getline(lines, line);)
      notice_times.try_emplace(nlohmann::json::parse(line)["id"], Clock::now());
    return socket.Write("HTTP/1.1 204 No Content\r\n\r\n");
  });
  node.config["discovery"] = discovery.address();
  ASSERT_TRUE(node.Start());
  std::string commands;
  for (int i = 0; i < 20; ++i)
    commands +=
        ClientStandIn::Enqueue(i == 9 ? "unreadable" : "m" + std::to_string(i), "c=unsafe,d=400,dest=7");
  ClientStandIn client(node.port);
  const auto due = Clock::now() + milliseconds(400);
  ASSERT_TRUE(client.Write(commands));
  for (int i = 0; i < 20; ++i) ASSERT_EQ(client.ReadLine(), "+OK");
  const auto count = [&] {
    const std::lock_guard lock(mutex);
    return notice_times.size();
  };
  EXPECT_TRUE(Eventually([&] { return count() == 19; })) << count();
  const std::lock_guard lock(mutex);
  for (const auto& [id, notice_time] : notice_times)
    EXPECT_LE(notice_time, due + kNoticeDelay) << id << ": late notice";
  node.Kill(SIGKILL);
}

// Guards against a notice that waits for the endpoint list: the platform accepts notices while discovery is
// down.
TEST_F(DueNotices, NoticeIsSentWhileDiscoveryIsDown) {
  EndpointStandIn hung([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", hung.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=unsafe,d=60000,dest=7"));
  platform.EndWatches();
  platform.Down(true);
  for (const int after : {0, 1500, 3000}) {
    std::this_thread::sleep_for(milliseconds(after));
    const std::string id = "down-" + std::to_string(after);
    const auto due = Clock::now() + milliseconds(500);
    ASSERT_EQ(Enqueue(id, "c=unsafe,d=500,dest=7"), "+OK");
    ExpectNoticeBy(id, due + kNoticeDelay);
  }
}

// Guards against a notice that is never delivered: discovery was moved to an address without a listener.
TEST_F(DueNotices, NoticeIsSentAfterAMoveToAnAddressWithoutListener) {
  int closed_port = 0;
  { Socket::Listen(closed_port); }
  ASSERT_TRUE(node.Start());
  node.config["discovery"] = "127.0.0.1:" + std::to_string(closed_port);
  node.WriteConfig(node.config.dump());
  node.Signal(SIGHUP);
  for (const int after : {0, 300, 2000}) {
    std::this_thread::sleep_for(milliseconds(after));
    const std::string id = "moved-" + std::to_string(after);
    const auto due = Clock::now() + milliseconds(500);
    ASSERT_EQ(Enqueue(id, "c=unsafe,d=500,dest=7"), "+OK");
    ExpectNoticeBy(id, due + kNoticeDelay);
  }
}

// How the process ends, and whether discovery answers once it runs again.
struct ProcessEnd {
  const char* name = "";
  int signal = SIGKILL;
  bool discovery_down = false;
};

class DueWhileNotRunning : public DueNotices, public ::testing::WithParamInterface<ProcessEnd> {};

// Guards against a notice that is sent late, or never, because the deadline passed between two processes.
TEST_P(DueWhileNotRunning, OverdueNoticesAreSentSoonAfterReadiness) {
  EndpointStandIn hung([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", hung.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("out", "c=unsafe,d=4300,dest=7"));
  ASSERT_TRUE(Eventually([&] { return hung.CallsFor("out") == 1; }));
  for (int i = 0; i < 10; ++i)
    ASSERT_EQ(
        Enqueue("held-" + std::to_string(i), i % 2 == 0 ? "c=unsafe,d=4300,dest=7" : "c=safe,d=4300,dest=7"),
        "+OK");
  const auto due = Clock::now() + milliseconds(4300);
  node.Kill(GetParam().signal);
  std::this_thread::sleep_until(due + milliseconds(600));
  if (GetParam().discovery_down) {
    platform.EndWatches();
    platform.Down(true);
  }
  ASSERT_TRUE(node.Start());
  const auto ready = Clock::now();
  ExpectNoticeBy("out", ready + kNoticeDelayAfterReady);
  for (int i = 0; i < 10; ++i) ExpectNoticeBy("held-" + std::to_string(i), ready + kNoticeDelayAfterReady);
  EXPECT_TRUE(HasNotice("out", "failed"));
}
INSTANTIATE_TEST_SUITE_P(Ways, DueWhileNotRunning,
                         ::testing::Values(ProcessEnd{"Killed", SIGKILL, false},
                                           ProcessEnd{"Stopped", SIGTERM, false},
                                           ProcessEnd{"KilledAndNoDiscovery", SIGKILL, true}),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

class ShortDeadline : public DueNotices, public ::testing::WithParamInterface<bool> {};

// Guards against a message that is lost or repeated because it had only a few milliseconds left: each
// accepted message is delivered before its deadline, or its notice is sent in time.
TEST_P(ShortDeadline, EachMessageGetsAResult) {
  const bool answers = GetParam();
  std::mutex mutex;
  std::mt19937 random(3);
  std::map<std::string, Clock::time_point> answered;
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest& r, int) {
    if (!answers) return Hang(s);
    int pause = 0;
    {
      const std::lock_guard lock(mutex);
      pause = static_cast<int>(random() % 40);
    }
    std::this_thread::sleep_for(milliseconds(pause));
    const bool written = s.Write(Answer(200));
    const std::lock_guard lock(mutex);
    if (written) answered.try_emplace(r.headers.at("x-trace-id"), Clock::now());
    return written;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=safe,d=300,dest=7"));
  std::map<std::string, Clock::time_point> accepted;
  ClientStandIn client(node.port);
  int number = 0;
  for (int round = 0; round < 6; ++round) {
    for (const char* name : {"safe", "keyed", "unsafe"}) {
      for (const int remaining_ms : {1, 2, 5, 10, 15, 20, 30, 40, 60}) {
        const std::string id = std::string(name) + "-" + std::to_string(++number);
        const auto due = Clock::now() + milliseconds(remaining_ms);
        const std::string fields =
            std::string("c=") + name + ",k=" + id + ",d=" + std::to_string(remaining_ms) + ",dest=7";
        const std::string reply = client.Ask(ClientStandIn::Enqueue(id, fields));
        ASSERT_FALSE(reply.empty());
        if (reply == "+OK") accepted[id] = due;
      }
    }
  }
  EXPECT_GT(accepted.size(), 20U);
  std::this_thread::sleep_for(milliseconds(1000));
  for (const auto& [id, due] : accepted) {
    bool delivered = false;
    {
      const std::lock_guard lock(mutex);
      delivered = answered.contains(id) && answered[id] <= due;
    }
    if (!delivered) ExpectNoticeBy(id, due + kNoticeDelay);
    if (!id.starts_with("unsafe") || endpoint.CallsFor(id) == 0) continue;
    EXPECT_EQ(endpoint.CallsFor(id), 1) << id;
    EXPECT_FALSE(HasNotice(id, "returned")) << id << " was returned though it may have run";
  }
}
INSTANTIATE_TEST_SUITE_P(Endpoints, ShortDeadline, ::testing::Bool(),
                         [](const auto& parameter) { return parameter.param ? "Serves" : "SaysNothing"; });

}  // namespace
}  // namespace indigosaddle::testing
