// A call pool connected to one endpoint whose side of the connection the test drives by hand.
#pragma once

#include <gtest/gtest.h>

#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "net/call_pool.h"
#include "sockets.h"

namespace indigosaddle::testing {

using state::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs the pool and the endpoint in one thread: whatever the endpoint does between two passes of the loop is
// visible to the pool in the next pass.
class CallPoolFixture : public ::testing::Test {
 protected:
  CallPoolFixture()
      : listener(Socket::Listen(port)),
        pool(
            loop, {seconds(30), seconds(60), 16},
            [this](std::uint64_t) {
              std::this_thread::sleep_for(connect_delay);
              ++permit_requests;
              return start_allowed ? net::CallPool::StartPermit(last_byte_by) : std::nullopt;
            },
            [this](const net::CallResult& result) {
              results.push_back(result);
              if (on_result) on_result();
              loop.Stop();
            }) {}
  ~CallPoolFixture() override { uv_run(loop.raw(), UV_RUN_NOWAIT); }

  void Start(Micros timeout = seconds(60)) {
    pool.Start({++serial, "127.0.0.1:" + std::to_string(port), "s-1", "m", "", "body", timeout});
  }
  // Accepts the pool's next connection and reads the whole request from it.
  Socket Accept() {
    Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    ReadRequest(socket);
    return socket;
  }
  // Runs the loop until one whole request has been read from `socket` into `received_request`.
  void ReadRequest(const Socket& socket) {
    received_request.clear();
    for (int step = 0; step < 10000 && received_request.find("\r\n\r\nbody") == std::string::npos; ++step) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      char bytes[4096];
      const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (count > 0) received_request.append(bytes, static_cast<std::size_t>(count));
    }
    ASSERT_NE(received_request.find("\r\n\r\nbody"), std::string::npos);
  }
  // Runs the loop past the quiet period after which the pool reuses a connection.
  void WaitUntilReusable() {
    const auto end = Clock::now() + ConnectionLifecycle::kQuietPeriod + milliseconds(5);
    while (Clock::now() < end) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  // Runs the loop until the next call has its result, and returns it.
  AttemptResult RunUntilResult() {
    const std::size_t before = results.size();
    while (results.size() == before) loop.Run();
    return results.back().attempt_result;
  }
  // Whether the pool has already closed its side of the connection; does not wait.
  static bool IsClosed(const Socket& socket) {
    char byte = 0;
    const ssize_t count = recv(socket.get(), &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  net::Loop loop;
  int port = 0, permit_requests = 0;
  bool start_allowed = true;
  Micros last_byte_by = Micros::max();
  milliseconds connect_delay{0};  // extra delay before a call may start on its new connection
  std::string received_request;   // the latest request as the endpoint read it
  Socket listener;
  std::function<void()> on_result;
  std::vector<net::CallResult> results;
  std::uint64_t serial = 0;
  net::CallPool pool;
};

}  // namespace indigosaddle::testing
