// The clients' server against bare sockets, in one thread: what a client does between two steps of the loop
// has happened by the next.
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
  std::string ReadAfterSteps(const Socket& socket) {
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

// Closing a listener resets what it had not accepted: a client whose request is under way would lose it.
TEST_F(RespServerTest, WhoConnectedBeforeTheListenerClosedIsServed) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  std::vector<Socket> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(Connect());
    ASSERT_TRUE(clients.back().Write("*1\r\n$4\r\nPING\r\n"));
  }
  server.StopListening();  // the loop has not turned since
  for (const Socket& client : clients) EXPECT_EQ(ReadAfterSteps(client), "+PONG\r\n");
  EXPECT_EQ(server.connections(), clients.size());
}

// A client whose next command crosses the node's leaving finds its last reply and an orderly end. Closed at
// once, the crossing bytes turned the end into a reset.
TEST_F(RespServerTest, WhoSendsAsTheNodeLeavesFindsAnOrderlyEnd) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  const Socket client = Connect();
  ASSERT_TRUE(client.Write("*1\r\n$4\r\nPING\r\n"));
  ASSERT_EQ(ReadAfterSteps(client), "+PONG\r\n");
  EXPECT_FALSE(server.DisconnectIdle(false));
  ASSERT_TRUE(client.Write("*1\r\n$4\r\nPING\r\n"));  // before the close is done
  for (int step = 0; step < 5; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  char byte = 0;
  EXPECT_EQ(recv(client.get(), &byte, 1, MSG_DONTWAIT), 0);
  EXPECT_EQ(send(client.get(), "x", 1, MSG_NOSIGNAL), 1);  // nor has it been reset since
  for (int step = 0; step < 400 && server.connections() > 0; ++step) {
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(server.connections(), 0u);  // it does not wait for the client for ever
}

// Once the node leaves, a connection ends with its next reply: nothing can be sent on it that is not read.
TEST_F(RespServerTest, ALeavingNodeEndsAConnectionWithItsNextReply) {
  ASSERT_EQ(server.Listen("127.0.0.1:0"), 0);
  const Socket busy = Connect();
  ASSERT_TRUE(busy.Write("*1\r\n$4\r\n"));  // in the middle of a command
  for (int step = 0; step < 5; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  EXPECT_FALSE(server.DisconnectIdle(true));
  ASSERT_TRUE(busy.Write("PING\r\n"));
  EXPECT_EQ(ReadAfterSteps(busy), "+PONG\r\n");
  EXPECT_EQ(ReadAfterSteps(busy), "ended");
}

}  // namespace
}  // namespace indigosaddle::testing
