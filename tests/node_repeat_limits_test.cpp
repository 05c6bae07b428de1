// Limits on repeats at the built node, at the edges of what a class allows: a process that stalls near the
// end of a key's lifetime, a key that only one zone knows, and a connection that is not established.
#include <gtest/gtest.h>

#include <csignal>
#include <mutex>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RepeatLimits : public NodeTest {
 protected:
  // Answers each call with an error that may have run, and records its time.
  bool AnswerWithError(Socket& socket, const HttpRequest& request) {
    {
      const std::lock_guard lock(mutex_);
      calls_[request.headers.at("x-trace-id")].push_back(Clock::now());
    }
    return socket.Write(Answer(500));
  }
  // Stalls the process for 0.15 s repeatedly, until the flag is set.
  void StallRepeatedlyUntil(const std::atomic<bool>& stop_requested) const {
    while (!stop_requested) {
      node.Signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(150));
      node.Signal(SIGCONT);
      std::this_thread::sleep_for(milliseconds(37));
    }
  }
  std::mutex mutex_;
  std::map<std::string, std::vector<Clock::time_point>> calls_;
};

// Guards against a repeat after its key's lifetime: decided within it, and written 0.15 s later.
TEST_F(RepeatLimits, NoRepeatAfterAKeysLifetimeDespiteStalls) {
  constexpr milliseconds kKeyLifetime(1000), kTolerance(50);
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
  for (int i = 0; i < 8; ++i) {
    endpoints.push_back(std::make_unique<EndpointStandIn>(
        [this](Socket& s, const HttpRequest& r, int) { return AnswerWithError(s, r); }));
    platform.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(), 10 + i));
  }
  node.config["settings"]["classes"][0]["keyTtl"] = 1000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=safe,d=500,dest=10"));
  std::atomic<bool> stop_requested{false};
  std::thread staller([&] { StallRepeatedlyUntil(stop_requested); });
  int accepted = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "m" + std::to_string(i);
    accepted +=
        Enqueue(id, "c=keyed,k=" + id + ",d=20000,dest=" + std::to_string(10 + i % 8)) == "+OK" ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(60));
  }
  std::this_thread::sleep_for(milliseconds(2000));
  stop_requested = true;
  staller.join();
  EXPECT_GT(accepted, 30);
  std::size_t repeats = 0;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, calls] : calls_) {
    if (id == "first") continue;
    repeats += calls.size() - 1;
    for (const Clock::time_point call_time : calls)
      EXPECT_LE(call_time - calls.front(), kKeyLifetime + kTolerance)
          << id << " was called after its key's lifetime";
  }
  EXPECT_GT(repeats, 20U);
}

// Guards against a message that may have run in one zone and is sent to another, or returned, although only
// the first zone knows its key.
TEST_F(RepeatLimits, MessageWithAZonesKeyIsRepeatedOnlyThereAndNeverReturned) {
  EndpointStandIn local_endpoint(
      [this](Socket& s, const HttpRequest& r, int) { return AnswerWithError(s, r); });
  EndpointStandIn remote_endpoint(
      [this](Socket& s, const HttpRequest&, int) { return s.Write(Answer(200)); });
  node.config["settings"]["zones"] = {"z", "y"};
  node.config["settings"]["familyInfo"]["zoneFee"] = {0.0, 0.0};
  node.config["settings"]["classes"][0]["group"] = "zone";
  platform.Set(PlatformStandIn::Member("s-1", local_endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=keyed,k=a,d=3000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return local_endpoint.CallsFor("m") >= 1; }));
  Json remote_member = PlatformStandIn::Member("s-2", remote_endpoint.address(), 7);
  remote_member["site"] = "y";
  platform.Set(PlatformStandIn::Member("s-1", local_endpoint.address(), 7, "Terminating"));
  platform.Set(remote_member);
  ASSERT_TRUE(Eventually([&] { return platform.notices().contains("m"); }));
  EXPECT_TRUE(HasNotice("m", "failed")) << "returned though it may have run";
  EXPECT_EQ(remote_endpoint.CallsFor("m"), 0);
  ASSERT_TRUE(EnqueueOnceListed("new", "c=keyed,k=b,d=20000,dest=7"));
  EXPECT_TRUE(Eventually([&] { return remote_endpoint.CallsFor("new") == 1; }));
}

// A listener whose accept queue is full, so that connections to it are not established.
class UnacceptingListener {
 public:
  UnacceptingListener() : listener_(Socket::Listen(port_)) {
    listen(listener_.get(), 0);
    sockaddr_in loopback{};
    loopback.sin_family = AF_INET;
    loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    loopback.sin_port = htons(static_cast<std::uint16_t>(port_));
    for (int i = 0; i < 4; ++i) {
      pending_connections_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      connect(pending_connections_.back().get(), reinterpret_cast<sockaddr*>(&loopback), sizeof loopback);
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int port_ = 0;
  Socket listener_;
  std::vector<Socket> pending_connections_;
};

// Guards against a message that fails, or waits until its deadline, because a connection was not established.
TEST_F(RepeatLimits, CallWhoseConnectTimeoutPassedHasNotRun) {
  const UnacceptingListener listener;
  EndpointStandIn available_endpoint;
  platform.Set(PlatformStandIn::Member("s-1", listener.address(), 7));
  node.config["settings"]["caps"]["dialTimeout"] = 300.0;
  // The attempt timeout is longer than the connect timeout.
  for (auto& message_class : node.config["settings"]["classes"]) message_class["aim"] = 30000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=30000,dest=7"));
  std::this_thread::sleep_for(milliseconds(150));  // the call waits for its connection
  platform.Set(PlatformStandIn::Member("s-1", listener.address(), 7, "Terminating"));
  platform.Set(PlatformStandIn::Member("s-2", available_endpoint.address(), 7));
  const auto switched_at = Clock::now();
  ASSERT_TRUE(Eventually([&] { return available_endpoint.CallsFor("m") == 1; }));
  EXPECT_LT(Clock::now() - switched_at, seconds(8));
  EXPECT_TRUE(platform.notices().empty());
}

}  // namespace
}  // namespace indigosaddle::testing
