// The server for clients against plain sockets, in one thread: whatever a client does between two passes of
// the loop is visible in the next pass.
#include "net/resp_server.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "sockets.h"

namespace indigosaddle::testing {
namespace {

class RespServerTest : public ::testing::Test, private net::RespServer::Handler {
 protected:
  RespServerTest() : server(loop, *this, {100, std::size_t{1024} * 1024}) {}
  ~RespServerTest() override { uv_run(loop.raw(), UV_RUN_NOWAIT); }

  Socket Connect() {
    const std::string at = server.address();
    return Socket::Connect(std::stoi(at.substr(at.find(':') + 1)));
  }
  // Runs the loop until `socket` gets bytes; "ended" if it is closed, "nothing" after a second.
  std::string RunLoopUntilRead(const Socket& socket) {
    char bytes[256];
    for (int step = 0; step < 1000; ++step) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (count > 0) return {bytes, static_cast<std::size_t>(count)};
      if (count == 0 || errno != EAGAIN) return "ended";
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return "nothing";
  }

  net::Loop loop;
  net::RespServer server;

 private:
  void OnEnqueue(std::uint64_t, std::uint64_t, net::Enqueue) override {}
  void OnClientClosed(std::uint64_t, net::ClientCloseReason, std::uint64_t, Micros) override {}
  bool May(Action) override { return true; }
  void Did(Action) override {}
};

// Closing a listener resets the connections in its queue: a client that has sent a request would lose it.
TEST_F(RespServerTest, ClientsThatConnectedBeforeTheListenerClosedAreServed) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  std::vector<Socket> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(Connect());
    ASSERT_TRUE(clients.back().Write("*1\r\n$4\r\nPING\r\n"));
  }
  server.StopListening();  // no loop pass since the clients connected
  for (const Socket& client : clients) EXPECT_EQ(RunLoopUntilRead(client), "+PONG\r\n");
  EXPECT_EQ(server.connections(), clients.size());
}

// A client that sends a command while the node shuts down gets its last reply and an orderly close. When the
// connection was closed fully at once, the command caused a reset.
TEST_F(RespServerTest, AClientThatSendsDuringShutdownGetsAnOrderlyClose) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  const Socket client = Connect();
  ASSERT_TRUE(client.Write("*1\r\n$4\r\nPING\r\n"));
  ASSERT_EQ(RunLoopUntilRead(client), "+PONG\r\n");
  EXPECT_FALSE(server.DisconnectIdle(false));
  ASSERT_TRUE(client.Write("*1\r\n$4\r\nPING\r\n"));  // before the close is complete
  for (int step = 0; step < 5; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  char byte = 0;
  EXPECT_EQ(recv(client.get(), &byte, 1, MSG_DONTWAIT), 0);
  EXPECT_EQ(send(client.get(), "x", 1, MSG_NOSIGNAL), 1);  // not reset either
  for (int step = 0; step < 400 && server.connections() > 0; ++step) {
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(server.connections(), 0u);  // the server does not wait for the client indefinitely
}

// During shutdown a connection is closed after its next reply, so that no command on it stays unread.
TEST_F(RespServerTest, DuringShutdownAConnectionIsClosedAfterItsNextReply) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  const Socket busy = Connect();
  ASSERT_TRUE(busy.Write("*1\r\n$4\r\n"));  // in the middle of a command
  for (int step = 0; step < 5; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  EXPECT_FALSE(server.DisconnectIdle(true));
  ASSERT_TRUE(busy.Write("PING\r\n"));
  EXPECT_EQ(RunLoopUntilRead(busy), "+PONG\r\n");
  EXPECT_EQ(RunLoopUntilRead(busy), "ended");
}

}  // namespace
}  // namespace indigosaddle::testing
