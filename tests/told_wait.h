// A built node and a destination with two endpoints, of which the first call is told to wait.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWait(1500), kLetThrough(100);

// Two endpoints of one destination. The first call of all is told to wait; the others are served.
class ToldWait : public NodeTest {
 protected:
  ToldWait() {
    platform.Set(PlatformStandIn::Member("s-1", one.address(), 7));
    platform.Set(PlatformStandIn::Member("s-2", two.address(), 7));
    ListSettler();
  }
  // The calls behind the one that was told to wait, from when its answer was written.
  std::vector<milliseconds> CallsSince() {
    const std::lock_guard lock(mutex_);
    std::vector<milliseconds> since;
    for (const Clock::time_point at : calls_)
      since.push_back(std::chrono::duration_cast<milliseconds>(at - told_));
    return since;
  }
  void ExpectNoneDuring(milliseconds wait) {
    for (const milliseconds since : CallsSince())
      EXPECT_FALSE(since > kLetThrough && since < wait)
          << "a call " << since.count() << " ms behind the answer";
  }
  void StartAndBeToldToWait() {
    ASSERT_TRUE(node.Start());
    ASSERT_TRUE(EnqueueOnceListed("first", "c=unsafe,d=60000,dest=7"));
    ASSERT_TRUE(Eventually([&] { return told_once_.load(); }));
  }
  void FeedFor(milliseconds span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      const std::string id = "m" + std::to_string(++fed_);
      EXPECT_EQ(Enqueue(id, fed_ % 2 == 0 ? "c=unsafe,d=60000,dest=7" : "c=safe,d=60000,dest=7"), "+OK");
      std::this_thread::sleep_for(milliseconds(40));
    }
  }
  bool AllServed() {
    return Eventually([&] { return CallsSince().size() >= static_cast<std::size_t>(fed_) + 1; });
  }

  milliseconds wait_ = kWait;
  EndpointStandIn one{[this](Socket& s, const HttpRequest& r, int) { return React(s, r); }};
  EndpointStandIn two{[this](Socket& s, const HttpRequest& r, int) { return React(s, r); }};
  int fed_ = 0;
  std::atomic<bool> told_once_{false};

 private:
  bool React(Socket& socket, const HttpRequest&) {
    const std::lock_guard lock(mutex_);
    if (!told_once_) {
      told_ = Clock::now();
      told_once_ = true;
      return socket.Write(Answer(429, "X-Retry-In-Ms: " + std::to_string(wait_.count()) + "\r\n"));
    }
    calls_.push_back(Clock::now());
    return socket.Write(Answer(200));
  }

  std::mutex mutex_;
  Clock::time_point told_;
  std::vector<Clock::time_point> calls_;
};

}  // namespace indigosaddle::testing
