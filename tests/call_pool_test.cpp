// The pool of calls' connections against a bare socket, in one thread: what the other side does between two
// steps of the loop has happened by the next.
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

  void Start(const std::string& host) {
    pool.Start(
        {++serial, "127.0.0.1:" + std::to_string(port), host, "m", "", "body", std::chrono::seconds(60)});
  }
  // The other side of the next connection, its request read.
  Socket Accept() {
    Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    while (Take(socket).find("\r\n\r\nbody") == std::string::npos) uv_run(loop.raw(), UV_RUN_NOWAIT);
    return socket;
  }
  std::string& Take(const Socket& socket) {
    char bytes[4096];
    const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) taken.append(bytes, static_cast<std::size_t>(count));
    return taken;
  }
  // Past the silence behind which a connection is used again.
  void Settle() {
    const auto end = Clock::now() + ConnectionLifecycle::kQuietPeriod + milliseconds(5);
    while (Clock::now() < end)
      uv_run(loop.raw(), UV_RUN_NOWAIT), std::this_thread::sleep_for(milliseconds(5));
  }
  void RunToAnEnd() {
    const std::size_t before = results.size();
    while (results.size() == before) loop.Run();
  }

  net::Loop loop;
  int port = 0;
  Socket listener;
  std::vector<net::CallResult> results;
  std::uint64_t serial = 0;
  std::string taken;
  net::CallPool pool;
};

TEST_F(CallPoolTest, AConnectionIsUsedAgainOnceItWasSilent) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunToAnEnd();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);  // at once: a copy of that answer may still come
  Settle();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
}

// A second copy right behind a good answer would be taken for the next call's.
TEST_F(CallPoolTest, NotOneOnWhichSomethingLies) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunToAnEnd();
  Settle();
  ASSERT_TRUE(socket.Write(Answer(200)));  // not read yet when the next call begins
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
  EXPECT_EQ(results.size(), 1u);
}

TEST_F(CallPoolTest, NotOneOfAnotherEndpointAtTheSameAddress) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunToAnEnd();
  Settle();
  Start("s-2");
  EXPECT_EQ(pool.opened(), 2u);
}

// The head settles the call; the connection serves again once the body is in.
// A node that was held up past a call's time finds the answer there and takes it.
TEST_F(CallPoolTest, AnAnswerThatLiesUnreadIsReadBeforeItsCallIsGivenUp) {
  pool.Start({++serial, "127.0.0.1:" + std::to_string(port), "s-1", "m", "", "body", milliseconds(300)});
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  std::this_thread::sleep_for(milliseconds(400));
  RunToAnEnd();
  EXPECT_EQ(results.back().attempt_result, state::AttemptResult::kDelivered);
}

TEST_F(CallPoolTest, ABodyThatIsStillComingHoldsUpOnlyItsConnection) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
  RunToAnEnd();
  EXPECT_EQ(results.back().attempt_result, state::AttemptResult::kDelivered);
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
  Socket second = Accept();
  ASSERT_TRUE(socket.Write("body"));
  Settle();
  Start("s-1");
  EXPECT_EQ(pool.opened(), 2u);
}

TEST_F(CallPoolTest, ABodyThatNeverEndsCostsItsConnection) {
  Start("s-1");
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"));
  RunToAnEnd();
  EXPECT_EQ(pool.connections(), 1u);
  const auto end = Clock::now() + kPatience;
  while (pool.connections() > 0 && Clock::now() < end) uv_run(loop.raw(), UV_RUN_ONCE);
  EXPECT_EQ(pool.connections(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
