// A call pool against one endpoint that a test plays by hand.
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

class CallEndings : public ::testing::Test {
 protected:
  CallEndings()
      : listener(Socket::Listen(port)),
        pool(
            loop, {seconds(30), seconds(60), 16},
            [this](std::uint64_t) {
              std::this_thread::sleep_for(late);
              ++asked;
              return allowed ? net::CallPool::StartPermit(last_byte_by) : std::nullopt;
            },
            [this](const net::CallResult& result) {
              results.push_back(result);
              if (on_end) on_end();
              loop.Stop();
            }) {}
  ~CallEndings() override { uv_run(loop.raw(), UV_RUN_NOWAIT); }

  void Start(Micros timeout = seconds(60)) {
    pool.Start({++serial, "127.0.0.1:" + std::to_string(port), "s-1", "m", "", "body", timeout});
  }
  Socket Accept() {
    Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    ReadCall(socket);
    return socket;
  }
  void ReadCall(const Socket& socket) {
    taken.clear();
    for (int step = 0; step < 10000 && taken.find("\r\n\r\nbody") == std::string::npos; ++step) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      char bytes[4096];
      const ssize_t count = recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (count > 0) taken.append(bytes, static_cast<std::size_t>(count));
    }
    ASSERT_NE(taken.find("\r\n\r\nbody"), std::string::npos);
  }
  // Past the silence behind which a connection is used again.
  void Settle() {
    const auto end = Clock::now() + ConnectionLifecycle::kQuietPeriod + milliseconds(5);
    while (Clock::now() < end)
      uv_run(loop.raw(), UV_RUN_NOWAIT), std::this_thread::sleep_for(milliseconds(5));
  }
  AttemptResult RunToAnEnd() {
    const std::size_t before = results.size();
    while (results.size() == before) loop.Run();
    return results.back().attempt_result;
  }
  // Whether the node's side of the connection is closed at this instant.
  static bool Closed(const Socket& socket) {
    char byte = 0;
    const ssize_t count = recv(socket.get(), &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  net::Loop loop;
  int port = 0, asked = 0;
  bool allowed = true;
  Micros last_byte_by = Micros::max();
  milliseconds late{0};  // a call's connection, beside what it takes
  std::string taken;     // the latest call, as its endpoint had it
  Socket listener;
  std::function<void()> on_end;
  std::vector<net::CallResult> results;
  std::uint64_t serial = 0;
  net::CallPool pool;
};

}  // namespace indigosaddle::testing
