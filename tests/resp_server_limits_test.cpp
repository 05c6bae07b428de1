// Client connections when the process runs out of descriptors and while they are closed, against plain
// sockets in one thread (docs/design/005).
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

// Lowers the descriptor limit during its lifetime so that no further descriptor can be opened.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    getrlimit(RLIMIT_NOFILE, &previous_limit_);
    const int free = dup(0);
    close(free);
    const rlimit no_descriptors{static_cast<rlim_t>(free), previous_limit_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &no_descriptors);
  }
  ~DescriptorExhaustion() { setrlimit(RLIMIT_NOFILE, &previous_limit_); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

 private:
  rlimit previous_limit_{};
};

class RespServerLimits : public ::testing::Test, private net::RespServer::Handler {
 protected:
  // Starts a server for at most `max_clients` clients.
  void StartServer(std::size_t max_clients) {
    net::RespServer::Handler& handler = *this;
    server = std::make_unique<net::RespServer>(
        loop, handler, net::RespServer::Limits{max_clients, std::size_t{1024} * 1024});
    ASSERT_EQ(server->Listen("127.0.0.1:0"), 0);
    // One client connects and leaves first: UBSan's first check of a type needs a descriptor, and a test may
    // have exhausted them.
    {
      const Socket first = Connect();
      ASSERT_TRUE(first.Write(kPing));
      ASSERT_EQ(NextEvent(first), "+PONG\r\n");
    }
    for (int step = 0; step < 1000 && server->connections() > 0; ++step) RunLoopPasses(1);
    ASSERT_EQ(server->connections(), 0u);
    RunLoopPasses();  // its descriptor is released, too
  }
  ~RespServerLimits() override {
    server.reset();
    uv_run(loop.raw(), UV_RUN_NOWAIT);
  }
  Socket Connect() {
    const std::string at = server->address();
    return Socket::Connect(std::stoi(at.substr(at.find(':') + 1)));
  }
  void RunLoopPasses(int steps = 5) {
    for (int step = 0; step < steps; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  }
  // What the client gets next: bytes, "ended" after an orderly close, "reset", or "nothing".
  std::string NextEvent(const Socket& socket, int milliseconds_at_most = 1000) {
    char bytes[256];
    for (int step = 0; step < milliseconds_at_most; ++step) {
      RunLoopPasses(1);
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

// The system has no descriptor left although the client limit is not reached: an idle client is evicted for
// the new one.
TEST_F(RespServerLimits, WithoutDescriptorsAnIdleClientIsEvicted) {
  StartServer(100);
  const Socket idle = Connect(), fresh = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(NextEvent(idle), "+PONG\r\n");
  ASSERT_TRUE(fresh.Write(kPing));
  ASSERT_EQ(NextEvent(fresh), "+PONG\r\n");
  const Socket last = Connect();
  ASSERT_TRUE(last.Write(kPing));
  std::string reply;
  {
    const DescriptorExhaustion exhaustion;
    reply = NextEvent(last);
  }
  EXPECT_EQ(reply, "+PONG\r\n");
}

// No client can be evicted: a waiting client is neither reset nor polled for in a busy loop, and is served
// once a descriptor is free.
TEST_F(RespServerLimits, WithoutDescriptorsOrIdleClientsANewClientIsServedLater) {
  StartServer(100);
  const Socket waiting = Connect();
  ASSERT_TRUE(waiting.Write(kPing));
  std::string meanwhile;
  {
    const DescriptorExhaustion exhaustion;
    meanwhile = NextEvent(waiting, 100);
  }
  EXPECT_EQ(meanwhile, "nothing");
  EXPECT_EQ(NextEvent(waiting), "+PONG\r\n");
}

// The same while the listener closes: a client in its queue gets the descriptor of an evicted one.
TEST_F(RespServerLimits, WithoutDescriptorsAQueuedClientIsServedAsTheListenerCloses) {
  StartServer(100);
  const Socket idle = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(NextEvent(idle), "+PONG\r\n");
  const Socket queued = Connect();
  ASSERT_TRUE(queued.Write(kPing));
  std::string reply;
  {
    const DescriptorExhaustion exhaustion;
    server->StopListening();
    reply = NextEvent(queued);
  }
  EXPECT_EQ(reply, "+PONG\r\n");
}

// A lingering client, which has got its last reply, is evicted first, but not while it has unread bytes:
// closing then causes a reset, which could cost it that reply.
TEST_F(RespServerLimits, ALingeringClientWithUnreadBytesIsNotReset) {
  StartServer(1);
  const Socket lingering = Connect();
  ASSERT_TRUE(lingering.Write("rubbish\r\n"));
  for (int step = 0; step < 50; ++step) {
    RunLoopPasses(1);
    std::this_thread::sleep_for(milliseconds(1));
  }
  const Socket fresh = Connect();
  ASSERT_TRUE(fresh.Write(kPing));
  ASSERT_TRUE(lingering.Write("more\r\n"));  // still unread when the loop accepts the new client
  EXPECT_EQ(NextEvent(fresh), "+PONG\r\n");
  EXPECT_TRUE(NextEvent(lingering).starts_with("-ERR"));
  EXPECT_EQ(NextEvent(lingering), "ended");
}

// A client that is closed for idleness gets an orderly end of the stream, and commands that it sends
// meanwhile are read and dropped. When its connection was closed fully at once, such a command caused a
// reset.
TEST_F(RespServerLimits, ACommandDuringAnIdleCloseCausesNoReset) {
  StartServer(2);  // more than a quarter of the client limit is used: idle clients are disconnected
  const Socket idle = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(NextEvent(idle), "+PONG\r\n");
  ASSERT_EQ(NextEvent(idle), "ended");
  ASSERT_TRUE(idle.Write(kPing));
  RunLoopPasses();
  pollfd state{idle.get(), 0, 0};
  poll(&state, 1, 0);
  EXPECT_EQ(state.revents & (POLLERR | POLLHUP), 0) << "reset";
  for (int step = 0; step < 1000 && server->connections() > 0; ++step) {
    RunLoopPasses(1);
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_EQ(server->connections(), 0u);  // lingering ends soon
}

// Guards against a request that is written between the node's decision to close an idle connection and the
// close on the wire: its client would assume that the request was read.
TEST_F(RespServerLimits, AnIdleConnectionIsClosedAtOnceNotInALaterPass) {
  StartServer(100);
  const Socket idle = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(NextEvent(idle), "+PONG\r\n");
  server->DisconnectIdle(false);  // without a further loop pass
  char byte = 0;
  EXPECT_EQ(recv(idle.get(), &byte, 1, MSG_DONTWAIT), 0);
}

// Guards against a reset of a lingering client: after a stall the node closed it for its expired linger time
// before reading its bytes.
TEST_F(RespServerLimits, ALingeringClientIsNotResetAfterAStall) {
  StartServer(100);
  const Socket idle = Connect();
  ASSERT_TRUE(idle.Write(kPing));
  ASSERT_EQ(NextEvent(idle), "+PONG\r\n");
  server->DisconnectIdle(false);
  ASSERT_EQ(NextEvent(idle), "ended");
  std::this_thread::sleep_for(milliseconds(150));  // less than the linger time; then the process stalls
  RunLoopPasses();
  std::this_thread::sleep_for(milliseconds(150));
  ASSERT_TRUE(idle.Write(kPing));
  for (int step = 0; step < 500 && server->connections() > 0; ++step) {
    RunLoopPasses(1);
    std::this_thread::sleep_for(milliseconds(1));
  }
  ASSERT_EQ(server->connections(), 0u);
  RunLoopPasses();
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(idle.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  EXPECT_EQ(error, 0) << "reset";
}

}  // namespace
}  // namespace indigosaddle::testing
