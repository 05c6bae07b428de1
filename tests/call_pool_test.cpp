// Reuse of connections by the call pool, against a plain socket in one thread: whatever the other side does
// between two passes of the loop is visible in the next pass.
#include "net/call_pool.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;

class CallPoolTest : public ::testing::Test {
 protected:
  CallPoolTest()
      : listener(Socket::Listen(port)),
        pool(
            loop, {std::chrono::seconds(30), std::chrono::seconds(60), 16},
            [](std::uint64_t) { return net::CallPool::StartPermit(Micros::max()); },
            [this](const net::CallResult& result) {
              results.push_back(result);
              loop.Stop();
            }) {}

  void Start(const std::string& endpoint) {
    pool.Start(
        {++serial, "127.0.0.1:" + std::to_string(port), endpoint, "m", "", "body", std::chrono::seconds(60)});
  }
  // Accepts the pool's next connection and reads the whole request from it.
  Socket Accept() {
    Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    while (ReadAvailable(socket).find("\r\n\r\nbody") == std::string::npos) uv_run(loop.raw(), UV_RUN_NOWAIT);
    return socket;
  }
  std::string& ReadAvailable(const Socket& socket) {
    char bytes[4096];
    const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) received_request.append(bytes, static_cast<std::size_t>(count));
    return received_request;
  }
  // Runs the loop past the quiet period after which the pool reuses a connection.
  void WaitUntilReusable() {
    const auto end = Clock::now() + ConnectionLifecycle::kQuietPeriod + milliseconds(5);
    while (Clock::now() < end) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  void RunUntilResult() {
    const std::size_t before = results.size();
    while (results.size() == before) loop.Run();
  }

  net::Loop loop;
  int port = 0;
  Socket listener;
  std::vector<net::CallResult> results;
  std::uint64_t serial = 0;
  std::string received_request;
  net::CallPool pool;
};

TEST_F(CallPoolTest, AConnectionIsReusedAfterItsQuietPeriod) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunUntilResult();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);  // not reused at once: a duplicate of that answer may still come
  WaitUntilReusable();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
}

// A duplicate right after a good answer would be taken for the next call's answer.
TEST_F(CallPoolTest, AConnectionWithUnreadDataIsNotReused) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunUntilResult();
  WaitUntilReusable();
  ASSERT_TRUE(socket.Write(Answer(200)));  // not read yet when the next call begins
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
  EXPECT_EQ(results.size(), 1u);
}

TEST_F(CallPoolTest, AConnectionIsNotReusedForAnotherEndpointAtTheSameAddress) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunUntilResult();
  WaitUntilReusable();
  Start("s-2");
  EXPECT_EQ(pool.opened(), 2u);
}

// A node that stalled past a call's timeout finds the answer unread and uses it.
TEST_F(CallPoolTest, AnUnreadAnswerIsReadBeforeItsCallTimesOut) {
  pool.Start({++serial, "127.0.0.1:" + std::to_string(port), "s-1", "m", "", "body", milliseconds(300)});
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  std::this_thread::sleep_for(milliseconds(400));
  RunUntilResult();
  EXPECT_EQ(results.back().attempt_result, state::AttemptResult::kDelivered);
}

// The head of the answer completes the call; the connection is reused once the body has arrived.
TEST_F(CallPoolTest, AnIncompleteBodyDelaysOnlyItsConnection) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
  RunUntilResult();
  EXPECT_EQ(results.back().attempt_result, state::AttemptResult::kDelivered);
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
  Socket second = Accept();
  ASSERT_TRUE(socket.Write("body"));
  WaitUntilReusable();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
}

TEST_F(CallPoolTest, ABodyThatNeverEndsClosesItsConnection) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"));
  RunUntilResult();
  EXPECT_EQ(pool.connections(), 1u);
  const auto end = Clock::now() + kWaitLimit;
  while (pool.connections() > 0 && Clock::now() < end) uv_run(loop.raw(), UV_RUN_ONCE);
  EXPECT_EQ(pool.connections(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
