// Timers that are stopped, destroyed or restarted and streams that are closed while an event is still pending
// (docs/design/005).
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "net/loop.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;

void RunLoopPass(net::Loop& loop) { uv_run(loop.raw(), UV_RUN_NOWAIT); }

TEST(TimerLifetime, ATimerMayBeDestroyedByItsCallback) {
  net::Loop loop;
  int fired = 0;
  std::unique_ptr<net::Timer> timer;
  timer = std::make_unique<net::Timer>(loop, [&] {
    ++fired;
    timer.reset();
  });
  timer->Start(Micros(0));
  for (int pass = 0; pass < 3; ++pass) RunLoopPass(loop);
  EXPECT_EQ(fired, 1);
}

// Two timers expire in one pass, and the first stops or destroys the second: the second must not fire.
TEST(TimerLifetime, ATimerStoppedOrDestroyedInThePassDoesNotFire) {
  for (const bool destroyed : {false, true}) {
    net::Loop loop;
    int fired = 0;
    std::unique_ptr<net::Timer> first, second;
    second = std::make_unique<net::Timer>(loop, [&] { ++fired; });
    first = std::make_unique<net::Timer>(loop, [&] { destroyed ? second.reset() : second->Stop(); });
    first->Start(milliseconds(1));
    second->Start(milliseconds(2));
    std::this_thread::sleep_for(milliseconds(20));  // the loop is stalled
    for (int pass = 0; pass < 3; ++pass) RunLoopPass(loop);
    EXPECT_EQ(fired, 0) << destroyed;
  }
}

// A timer that its callback restarts fires in a later pass, not endlessly within the same one.
TEST(TimerLifetime, ARestartedTimerFiresInALaterPass) {
  net::Loop loop;
  int fired = 0;
  std::unique_ptr<net::Timer> timer;
  timer = std::make_unique<net::Timer>(loop, [&] {
    ++fired;
    timer->Start(Micros(0));
  });
  timer->Start(Micros(0));
  RunLoopPass(loop);
  EXPECT_LE(fired, 1);
  for (int pass = 0; pass < 5; ++pass) {
    std::this_thread::sleep_for(milliseconds(3));
    RunLoopPass(loop);
  }
  EXPECT_GE(fired, 3);
}

// Records what a stream reports.
class RecordingListener : public net::Stream::Listener {
 public:
  void OnConnected(int error) override { connected = error == 0; }
  void OnBytes(std::string_view bytes) override { text += bytes; }
  void OnEnd(int) override { ++ends; }
  bool connected = false;
  std::string text;
  int ends = 0;
};

// A closed stream reports neither the unread bytes nor the end of the connection, and its object may live on.
TEST(StreamLifetime, AClosedStreamReportsNothing) {
  net::Loop loop;
  int port = 0;
  const Socket listener = Socket::Listen(port);
  RecordingListener recorder;
  net::Stream stream(loop, recorder);
  ASSERT_EQ(stream.Connect("127.0.0.1:" + std::to_string(port)), 0);
  Socket peer(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  for (int pass = 0; pass < 100 && !recorder.connected; ++pass) RunLoopPass(loop);
  ASSERT_TRUE(recorder.connected);
  ASSERT_EQ(stream.StartReading(), 0);
  ASSERT_TRUE(peer.Write("unread"));
  peer.Close();
  stream.Close();
  for (int pass = 0; pass < 5; ++pass) RunLoopPass(loop);
  EXPECT_EQ(recorder.text, "");
  EXPECT_EQ(recorder.ends, 0);
}

// Before a timeout is acted on, bytes that have already arrived are read.
TEST(StreamLifetime, UnreadBytesRestartATimer) {
  net::Loop loop;
  int port = 0, fired = 0;
  const Socket listener = Socket::Listen(port);
  RecordingListener recorder;
  net::Stream stream(loop, recorder);
  std::unique_ptr<net::Timer> timer;
  std::string text_at_timeout;
  timer = std::make_unique<net::Timer>(loop, [&] {
    ++fired;
    if (!net::RestartIfUnread(*timer, stream)) {
      text_at_timeout = recorder.text;
      loop.Stop();
    }
  });
  ASSERT_EQ(stream.Connect("127.0.0.1:" + std::to_string(port)), 0);
  const Socket peer(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  for (int pass = 0; pass < 100 && !recorder.connected; ++pass) RunLoopPass(loop);
  ASSERT_EQ(stream.StartReading(), 0);
  timer->Start(milliseconds(5));
  std::this_thread::sleep_for(milliseconds(20));  // the loop is stalled, and bytes arrive meanwhile
  ASSERT_TRUE(peer.Write("in time"));
  loop.Run();
  EXPECT_EQ(text_at_timeout, "in time");
  EXPECT_GE(fired, 2);
}

}  // namespace
}  // namespace indigosaddle::testing
