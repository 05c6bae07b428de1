// Calls to an endpoint that does not read, so that bytes stay in this machine's send buffer.
//
// A repeat after its idempotency key has expired must not be sent, nor any call that has its result already.
// After an orderly close the system would still send the rest once the endpoint reads again, and the call
// would run after its result was reported.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "net/call_pool.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using state::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

class UnreadRequest : public ::testing::Test {
 protected:
  // Fits into the node's send buffer but not into the endpoint's receive buffer.
  static constexpr std::size_t kBodyBytes = 8000;
  static constexpr int kReceiveBufferBytes = 1;  // the system raises it to its minimum

  UnreadRequest()
      : listener(Socket::Listen(port)),
        pool(
            loop, {seconds(30), seconds(60), 16},
            [this](std::uint64_t) {
              return net::CallPool::StartPermit(
                  last_byte_within == Micros::max() ? Micros::max() : loop.Now() + last_byte_within);
            },
            [this](const net::CallResult& result) {
              attempt_result = result.attempt_result;
              loop.Stop();
            }) {
    setsockopt(listener.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  }

  // Runs one call. The endpoint reads nothing until the call has its result, then everything that arrives.
  void RunCall(Micros timeout) {
    pool.Start(
        {1, "127.0.0.1:" + std::to_string(port), "s-1", "m", "k", std::string(kBodyBytes, 'b'), timeout});
    const auto started_at = Clock::now();
    loop.Run();
    call_duration = Clock::now() - started_at;
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    const Socket socket(accept(listener.get(), nullptr, nullptr));
    for (std::string more = socket.Read(seconds(5)); !more.empty(); more = socket.Read(seconds(5)))
      received_bytes += more.size();
  }

  net::Loop loop;
  int port = 0;
  Socket listener;
  Micros last_byte_within = Micros::max();
  std::optional<AttemptResult> attempt_result;
  std::size_t received_bytes = 0;
  Clock::duration call_duration{};
  net::CallPool pool;
};

TEST_F(UnreadRequest, LastByteIsNotSentAfterTheTimeout) {
  RunCall(milliseconds(200));
  EXPECT_EQ(attempt_result, AttemptResult::kTimedOut);
  EXPECT_GT(received_bytes, 0u);
  EXPECT_LT(received_bytes, kBodyBytes);
}

TEST_F(UnreadRequest, LastByteIsNotSentAfterItsOwnDeadline) {
  last_byte_within = milliseconds(150);
  RunCall(seconds(20));
  // All bytes were given to the system: the call may have run.
  EXPECT_EQ(attempt_result, AttemptResult::kBrokenAfterSent);
  EXPECT_LT(call_duration, seconds(5));
  EXPECT_LT(received_bytes, kBodyBytes);
}

}  // namespace
}  // namespace indigosaddle::testing
