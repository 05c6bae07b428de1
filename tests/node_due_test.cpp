// Ends that fall due at the built node while something else fails: notices that are refused one by one,
// lists that say nothing, a process that is away, and messages with very little time.
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

constexpr milliseconds kTellWithin(350), kAfterReady(1550);  // 300 ms and 1.5 s, each 50 ms longer

class DueEnds : public NodeTest {
 protected:
  void ExpectToldBy(const std::string& id, Clock::time_point due) {
    ASSERT_TRUE(Eventually([&] { return platform.FirstNoticeAt(id).has_value(); })) << id << " has no end";
    const auto late = std::chrono::duration_cast<milliseconds>(*platform.FirstNoticeAt(id) - due);
    EXPECT_LE(late, milliseconds(0)) << id << " was told late";
  }
};

// Guards against good notices that are lost behind one that the platform can't read.
TEST_F(DueEnds, OneNoticeThatCantBeReadHoldsNoOtherUp) {
  std::mutex mutex;
  std::map<std::string, Clock::time_point> told;
  HttpServer picky([&](Socket& socket, const HttpRequest& request) {
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
      told.try_emplace(nlohmann::json::parse(line)["id"], Clock::now());
    return socket.Write("HTTP/1.1 204 No Content\r\n\r\n");
  });
  node.config["discovery"] = picky.address();
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
    return told.size();
  };
  EXPECT_TRUE(Eventually([&] { return count() == 19; })) << count();
  const std::lock_guard lock(mutex);
  for (const auto& [id, at] : told) EXPECT_LE(at, due + kTellWithin) << id << " was told late";
  node.Kill(SIGKILL);
}

// Guards against an end that waits for the list: notices are taken while discovery says nothing.
TEST_F(DueEnds, AnEndIsToldWhileDiscoveryIsDown) {
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
    ExpectToldBy(id, due + kTellWithin);
  }
}

// Guards against an end that is told to nobody: discovery was moved to an address where nobody listens.
TEST_F(DueEnds, AnEndIsToldBehindAMoveToADeadAddress) {
  int dead = 0;
  { Socket::Listen(dead); }
  ASSERT_TRUE(node.Start());
  node.config["discovery"] = "127.0.0.1:" + std::to_string(dead);
  node.WriteConfig(node.config.dump());
  node.Signal(SIGHUP);
  for (const int after : {0, 300, 2000}) {
    std::this_thread::sleep_for(milliseconds(after));
    const std::string id = "moved-" + std::to_string(after);
    const auto due = Clock::now() + milliseconds(500);
    ASSERT_EQ(Enqueue(id, "c=unsafe,d=500,dest=7"), "+OK");
    ExpectToldBy(id, due + kTellWithin);
  }
}

// How the process goes away, and whether discovery answers when it is back.
struct Away {
  const char* name = "";
  int signal = SIGKILL;
  bool down = false;
};

class DueWhileAway : public DueEnds, public ::testing::WithParamInterface<Away> {};

// Guards against an end that is told late, or never, since its time passed between two processes.
TEST_P(DueWhileAway, WhatFellDueIsToldSoonBehindReadiness) {
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
  if (GetParam().down) {
    platform.EndWatches();
    platform.Down(true);
  }
  ASSERT_TRUE(node.Start());
  const auto ready = Clock::now();
  ExpectToldBy("out", ready + kAfterReady);
  for (int i = 0; i < 10; ++i) ExpectToldBy("held-" + std::to_string(i), ready + kAfterReady);
  EXPECT_TRUE(HasNotice("out", "failed"));
}
INSTANTIATE_TEST_SUITE_P(Ways, DueWhileAway,
                         ::testing::Values(Away{"Killed", SIGKILL, false}, Away{"Stopped", SIGTERM, false},
                                           Away{"KilledAndNoDiscovery", SIGKILL, true}),
                         [](const auto& given) { return std::string(given.param.name); });

class LittleTime : public DueEnds, public ::testing::WithParamInterface<bool> {};

// Guards against a message that is lost, or repeated, since it had but a few milliseconds left: each that was
// taken on is delivered in its time, or its end is told in time.
TEST_P(LittleTime, EachMessageHasItsEnd) {
  const bool serves = GetParam();
  std::mutex mutex;
  std::mt19937 random(3);
  std::map<std::string, Clock::time_point> served;
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest& r, int) {
    if (!serves) return Hang(s);
    int pause = 0;
    {
      const std::lock_guard lock(mutex);
      pause = static_cast<int>(random() % 40);
    }
    std::this_thread::sleep_for(milliseconds(pause));
    const bool written = s.Write(Answer(200));
    const std::lock_guard lock(mutex);
    if (written) served.try_emplace(r.headers.at("x-trace-id"), Clock::now());
    return written;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=safe,d=300,dest=7"));
  std::map<std::string, Clock::time_point> taken;
  ClientStandIn client(node.port);
  int number = 0;
  for (int round = 0; round < 6; ++round) {
    for (const char* name : {"safe", "keyed", "unsafe"}) {
      for (const int left : {1, 2, 5, 10, 15, 20, 30, 40, 60}) {
        const std::string id = std::string(name) + "-" + std::to_string(++number);
        const auto due = Clock::now() + milliseconds(left);
        const std::string names =
            std::string("c=") + name + ",k=" + id + ",d=" + std::to_string(left) + ",dest=7";
        const std::string reply = client.Ask(ClientStandIn::Enqueue(id, names));
        ASSERT_FALSE(reply.empty());
        if (reply == "+OK") taken[id] = due;
      }
    }
  }
  EXPECT_GT(taken.size(), 20U);
  std::this_thread::sleep_for(milliseconds(1000));
  for (const auto& [id, due] : taken) {
    bool delivered = false;
    {
      const std::lock_guard lock(mutex);
      delivered = served.contains(id) && served[id] <= due;
    }
    if (!delivered) ExpectToldBy(id, due + kTellWithin);
    if (!id.starts_with("unsafe") || endpoint.CallsFor(id) == 0) continue;
    EXPECT_EQ(endpoint.CallsFor(id), 1) << id;
    EXPECT_FALSE(HasNotice(id, "returned")) << id << " was handed back though it may have run";
  }
}
INSTANTIATE_TEST_SUITE_P(Endpoints, LittleTime, ::testing::Bool(),
                         [](const auto& given) { return given.param ? "Serves" : "SaysNothing"; });

}  // namespace
}  // namespace indigosaddle::testing
