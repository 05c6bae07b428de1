// Clients' connections at the limits of the process, against bare sockets in one thread (docs/design/005).
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <cerrno>
#include <memory>
#include <string>

#include "net/resp_server.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

// No descriptor above those that are open can be had while it lives.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int free = dup(0);
    close(free);
    const rlimit none{static_cast<rlim_t>(free), before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

class RespEndings : public ::testing::Test, private net::RespServer::Handler {
 protected:
  void Serve(std::size_t places) {
    net::RespServer::Handler& handler = *this;
    server = std::make_unique<net::RespServer>(loop, handler,
                                               net::RespServer::Limits{places, std::size_t{1024} * 1024});
    ASSERT_EQ(server->Listen("127.0.0.1:0"), 0);
    // One comes and goes: UBSan's first look at a type needs a descriptor, which a test may have taken away.
    {
      const Socket first = Connect();
      ASSERT_TRUE(first.Write(kPing));
      ASSERT_EQ(Next(first), "+PONG\r\n");
    }
    for (int step = 0; step < 1000 && server->connections() > 0; ++step) Step(1);
    ASSERT_EQ(server->connections(), 0u);
    Step();  // and its descriptor is given back
  }
  ~RespEndings() override {
    server.reset();
    uv_run(loop.raw(), UV_RUN_NOWAIT);
  }
  Socket Connect() {
    const std::string at = server->address();
    return Socket::Connect(std::stoi(at.substr(at.find(':') + 1)));
  }
  void Step(int steps = 5) {
    for (int step = 0; step < steps; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  }
  // What comes next: bytes, "ended" orderly, "reset", or "nothing".
  std::string Next(const Socket& socket, int milliseconds_at_most = 1000) {
    char bytes[256];
    for (int step = 0; step < milliseconds_at_most; ++step) {
      Step(1);
      const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (count > 0) return {bytes, static_cast<std::size_t>(count)};
      if (count == 0) return "ended";
      if (errno != EAGAIN) return "reset";
      std::this_thread::sleep_for(milliseconds(1));
    }
    return "nothing";
  }

  net::Loop loop;
  std::unique_ptr<net::RespServer> server;

 private:
  void OnEnqueue(std::uint64_t, std::uint64_t, net::Enqueue) override {}
  void OnClientClosed(std::uint64_t, net::ClientCloseReason, std::uint64_t, Micros) override {}
  bool May(Action) override { return true; }
  void Did(Action) override {}
};

// The system has no descriptor left, whatever the limits say: an idle client's is the new one's.
TEST_F(RespEndings, OutOfDescriptorsAnIdleClientGivesWay) {
  Serve(100);
  const Socket idle = Connect(), fresh = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(Next(idle), "+PONG\r\n");
  ASSERT_TRUE(fresh.Write(kPing));
  ASSERT_EQ(Next(fresh), "+PONG\r\n");
  const Socket last = Connect();
  ASSERT_TRUE(last.Write(kPing));
  std::string reply;
  {
    const NoDescriptors none;
    reply = Next(last);
  }
  EXPECT_EQ(reply, "+PONG\r\n");
}

// Nobody gives way: who waits is neither reset nor spun on, and is served once a descriptor is there.
TEST_F(RespEndings, OutOfDescriptorsWithNobodyToGiveWayWhoWaitsIsServedLater) {
  Serve(100);
  const Socket waits = Connect();
  ASSERT_TRUE(waits.Write(kPing));
  std::string meanwhile;
  {
    const NoDescriptors none;
    meanwhile = Next(waits, 100);
  }
  EXPECT_EQ(meanwhile, "nothing");
  EXPECT_EQ(Next(waits), "+PONG\r\n");
}

// The same while the listener closes: who is in its queue gets the place of one that gives way.
TEST_F(RespEndings, OutOfDescriptorsWhileTheListenerCloses) {
  Serve(100);
  const Socket idle = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(Next(idle), "+PONG\r\n");
  const Socket queued = Connect();
  ASSERT_TRUE(queued.Write(kPing));
  std::string reply;
  {
    const NoDescriptors none;
    server->StopListening();
    reply = Next(queued);
  }
  EXPECT_EQ(reply, "+PONG\r\n");
}

// A client that lingers behind its last reply gives way first, but not over bytes that nobody has read: a
// reset could cost it that reply.
TEST_F(RespEndings, WhoLingersIsNotClosedOverUnreadBytes) {
  Serve(1);
  const Socket lingers = Connect();
  ASSERT_TRUE(lingers.Write("rubbish\r\n"));
  for (int step = 0; step < 50; ++step) {
    Step(1);
    std::this_thread::sleep_for(milliseconds(1));
  }
  const Socket fresh = Connect();
  ASSERT_TRUE(fresh.Write(kPing));
  ASSERT_TRUE(lingers.Write("more\r\n"));  // unread as the loop finds the new client
  EXPECT_EQ(Next(fresh), "+PONG\r\n");
  EXPECT_TRUE(Next(lingers).starts_with("-ERR"));
  EXPECT_EQ(Next(lingers), "ended");
}

// A client that is closed for its quiet finds the end of the stream first, and what crosses it is read and
// dropped: closed at once, a command in that instant turned the end into a reset.
TEST_F(RespEndings, ACommandThatCrossesAnIdleCloseFindsAnOrderlyEnd) {
  Serve(2);  // over a quarter of the places taken: quiet clients are let go
  const Socket quiet = Connect();
  ASSERT_TRUE(quiet.Write(kPing));
  ASSERT_EQ(Next(quiet), "+PONG\r\n");
  ASSERT_EQ(Next(quiet), "ended");
  ASSERT_TRUE(quiet.Write(kPing));
  Step();
  pollfd state{quiet.get(), 0, 0};
  poll(&state, 1, 0);
  EXPECT_EQ(state.revents & (POLLERR | POLLHUP), 0) << "reset";
  for (int step = 0; step < 1000 && server->connections() > 0; ++step) {
    Step(1);
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_EQ(server->connections(), 0u);  // and does not linger for long
}

// Guards against a request that is written between the node's decision to end a resting connection and the
// end on the wire: its client would take it for read.
TEST_F(RespEndings, TheEndLeavesAsItIsDecidedNotInALaterPass) {
  Serve(100);
  const Socket resting = Connect();
  ASSERT_TRUE(resting.Write(kPing));
  ASSERT_EQ(Next(resting), "+PONG\r\n");
  server->DisconnectIdle(false);  // and the loop does not turn
  char byte = 0;
  EXPECT_EQ(recv(resting.get(), &byte, 1, MSG_DONTWAIT), 0);
}

// Guards against a reset of who lingers: a node that was held up closes it for its time before it reads.
TEST_F(RespEndings, WhoLingeredThroughAHoldUpIsNotReset) {
  Serve(100);
  const Socket resting = Connect();
  ASSERT_TRUE(resting.Write(kPing));
  ASSERT_EQ(Next(resting), "+PONG\r\n");
  server->DisconnectIdle(false);
  ASSERT_EQ(Next(resting), "ended");
  std::this_thread::sleep_for(milliseconds(150));  // less than it may linger: then held up
  Step();
  std::this_thread::sleep_for(milliseconds(150));
  ASSERT_TRUE(resting.Write(kPing));
  for (int step = 0; step < 500 && server->connections() > 0; ++step)
    Step(1), std::this_thread::sleep_for(milliseconds(1));
  ASSERT_EQ(server->connections(), 0u);
  Step();
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(resting.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  EXPECT_EQ(error, 0) << "reset";
}

}  // namespace
}  // namespace indigosaddle::testing
