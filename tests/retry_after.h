// Fixture of a built node and a destination with two endpoints that answers its first call with a
// Retry-After.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRetryAfter(1500);
constexpr milliseconds kReadAllowance(100);  // a call this soon may have left before the answer was read

// The first call to either endpoint is answered by 429 with a Retry-After, all others by 200.
class RetryAfterTest : public NodeTest {
 protected:
  RetryAfterTest() {
    platform.Set(PlatformStandIn::Member("s-1", first_endpoint.address(), 7));
    platform.Set(PlatformStandIn::Member("s-2", second_endpoint.address(), 7));
    ListSettler();
  }
  // The times of all calls after the first, from when the answer with the Retry-After was written.
  std::vector<milliseconds> CallsSinceRetryAfter() {
    const std::lock_guard lock(mutex_);
    std::vector<milliseconds> since;
    for (const Clock::time_point at : calls_)
      since.push_back(std::chrono::duration_cast<milliseconds>(at - retry_after_sent_at_));
    return since;
  }
  void ExpectNoCallsDuring(milliseconds wait) {
    for (const milliseconds since : CallsSinceRetryAfter())
      EXPECT_FALSE(since > kReadAllowance && since < wait)
          << "a call " << since.count() << " ms after the answer";
  }
  void StartAndReceiveRetryAfter() {
    ASSERT_TRUE(node.Start());
    ASSERT_TRUE(EnqueueOnceListed("first", "c=unsafe,d=60000,dest=7"));
    ASSERT_TRUE(Eventually([&] { return retry_after_sent_.load(); }));
  }
  // Enqueues a message every 40 ms for `span`, safe and unsafe ones in turn.
  void EnqueueFor(milliseconds span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      const std::string id = "m" + std::to_string(++enqueued_);
      EXPECT_EQ(Enqueue(id, enqueued_ % 2 == 0 ? "c=unsafe,d=60000,dest=7" : "c=safe,d=60000,dest=7"), "+OK");
      std::this_thread::sleep_for(milliseconds(40));
    }
  }
  // Waits until the endpoints have had as many calls after the first as there are messages.
  bool AllAnswered() {
    return Eventually(
        [&] { return CallsSinceRetryAfter().size() >= static_cast<std::size_t>(enqueued_) + 1; });
  }

  milliseconds retry_after_ = kRetryAfter;
  EndpointStandIn first_endpoint{[this](Socket& s, const HttpRequest& r, int) { return Respond(s, r); }};
  EndpointStandIn second_endpoint{[this](Socket& s, const HttpRequest& r, int) { return Respond(s, r); }};
  int enqueued_ = 0;
  std::atomic<bool> retry_after_sent_{false};

 private:
  bool Respond(Socket& socket, const HttpRequest&) {
    const std::lock_guard lock(mutex_);
    if (!retry_after_sent_) {
      retry_after_sent_at_ = Clock::now();
      retry_after_sent_ = true;
      return socket.Write(Answer(429, "X-Retry-In-Ms: " + std::to_string(retry_after_.count()) + "\r\n"));
    }
    calls_.push_back(Clock::now());
    return socket.Write(Answer(200));
  }

  std::mutex mutex_;
  Clock::time_point retry_after_sent_at_;
  std::vector<Clock::time_point> calls_;
};

}  // namespace indigosaddle::testing
