// Calls to an endpoint that does not read: bytes wait in this machine for as long as it likes.
//
// What may not be sent later must not leave later: a repeat behind its key's life, or any call that is over.
// Closed in order, the system would send the rest once the endpoint reads again, and the call would run
// behind its end.
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

class UnreadCall : public ::testing::Test {
 protected:
  static constexpr std::size_t kBody = 8000;  // fits this side's buffer, and not the endpoint's
  static constexpr int kReceiveBuffer = 1;    // bytes asked for: the system gives its least

  UnreadCall()
      : listener(Socket::Listen(port)),
        pool(
            loop, {seconds(30), seconds(60), 16},
            [this](std::uint64_t) {
              return net::CallPool::StartPermit(
                  last_byte_within == Micros::max() ? Micros::max() : loop.Now() + last_byte_within);
            },
            [this](const net::CallResult& result) {
              ended = result.attempt_result;
              loop.Stop();
            }) {
    setsockopt(listener.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
  }

  // One call; the endpoint reads nothing until it is over, then all that comes.
  void Play(Micros timeout) {
    pool.Start({1, "127.0.0.1:" + std::to_string(port), "s-1", "m", "k", std::string(kBody, 'b'), timeout});
    const auto began = Clock::now();
    loop.Run();
    took = Clock::now() - began;
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    const Socket socket(accept(listener.get(), nullptr, nullptr));
    for (std::string more = socket.Read(seconds(5)); !more.empty(); more = socket.Read(seconds(5)))
      came += more.size();
  }

  net::Loop loop;
  int port = 0;
  Socket listener;
  Micros last_byte_within = Micros::max();
  std::optional<AttemptResult> ended;
  std::size_t came = 0;
  Clock::duration took{};
  net::CallPool pool;
};

TEST_F(UnreadCall, ItsLastByteDoesNotLeaveBehindItsTimeOut) {
  Play(milliseconds(200));
  EXPECT_EQ(ended, AttemptResult::kTimedOut);
  EXPECT_GT(came, 0u);
  EXPECT_LT(came, kBody);
}

TEST_F(UnreadCall, ItsLastByteDoesNotLeaveBehindTheInstantThatBindsIt) {
  last_byte_within = milliseconds(150);
  Play(seconds(20));
  EXPECT_EQ(ended, AttemptResult::kBrokenAfterSent);  // all handed over: it may have run
  EXPECT_LT(took, seconds(5));
  EXPECT_LT(came, kBody);
}

}  // namespace
}  // namespace indigosaddle::testing
