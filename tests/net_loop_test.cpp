// Timers and streams at their ends: what may be owed in the instant in which one is stopped, destroyed or
// closed (docs/design/005).
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "net/loop.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;

void Pass(net::Loop& loop) { uv_run(loop.raw(), UV_RUN_NOWAIT); }

TEST(TimerEndings, ATimerMayBeDestroyedByWhatItDoes) {
  net::Loop loop;
  int due = 0;
  std::unique_ptr<net::Timer> timer;
  timer = std::make_unique<net::Timer>(loop, [&] { ++due, timer.reset(); });
  timer->Start(Micros(0));
  for (int pass = 0; pass < 3; ++pass) Pass(loop);
  EXPECT_EQ(due, 1);
}

// Two are due in one pass, and the first ends the second: it says nothing more.
TEST(TimerEndings, ATimerThatIsStoppedOrDestroyedInItsPassIsNotDue) {
  for (const bool destroyed : {false, true}) {
    net::Loop loop;
    int due = 0;
    std::unique_ptr<net::Timer> first, second;
    second = std::make_unique<net::Timer>(loop, [&] { ++due; });
    first = std::make_unique<net::Timer>(loop, [&] { destroyed ? second.reset() : second->Stop(); });
    first->Start(milliseconds(1));
    second->Start(milliseconds(2));
    std::this_thread::sleep_for(milliseconds(20));  // the loop was held up
    for (int pass = 0; pass < 3; ++pass) Pass(loop);
    EXPECT_EQ(due, 0) << destroyed;
  }
}

// A timer that is started again by what it does comes once more, and not within the same pass for ever.
TEST(TimerEndings, ATimerThatIsStartedAgainComesWithALaterPass) {
  net::Loop loop;
  int due = 0;
  std::unique_ptr<net::Timer> timer;
  timer = std::make_unique<net::Timer>(loop, [&] { ++due, timer->Start(Micros(0)); });
  timer->Start(Micros(0));
  Pass(loop);
  EXPECT_LE(due, 1);
  for (int pass = 0; pass < 5; ++pass) {
    std::this_thread::sleep_for(milliseconds(3));
    Pass(loop);
  }
  EXPECT_GE(due, 3);
}

class Heard : public net::Stream::Listener {
 public:
  void OnConnected(int error) override { connected = error == 0; }
  void OnBytes(std::string_view bytes) override { text += bytes; }
  void OnEnd(int) override { ++ends; }
  bool connected = false;
  std::string text;
  int ends = 0;
};

// A stream that is closed says nothing of the bytes and the end that lay there, and may be kept.
TEST(StreamEndings, AClosedStreamSaysNothingMore) {
  net::Loop loop;
  int port = 0;
  const Socket listener = Socket::Listen(port);
  Heard heard;
  net::Stream stream(loop, heard);
  ASSERT_EQ(stream.Connect("127.0.0.1:" + std::to_string(port)), 0);
  Socket peer(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  for (int pass = 0; pass < 100 && !heard.connected; ++pass) Pass(loop);
  ASSERT_TRUE(heard.connected);
  ASSERT_EQ(stream.StartReading(), 0);
  ASSERT_TRUE(peer.Write("unread"));
  peer.Close();
  stream.Close();
  for (int pass = 0; pass < 5; ++pass) Pass(loop);
  EXPECT_EQ(heard.text, "");
  EXPECT_EQ(heard.ends, 0);
}

// What a timer is about to give up is read first where it lies there.
TEST(StreamEndings, UnreadBytesPutATimerOff) {
  net::Loop loop;
  int port = 0, due = 0;
  const Socket listener = Socket::Listen(port);
  Heard heard;
  net::Stream stream(loop, heard);
  std::unique_ptr<net::Timer> timer;
  std::string at_last;
  timer = std::make_unique<net::Timer>(loop, [&] {
    ++due;
    if (!net::RestartIfUnread(*timer, stream)) at_last = heard.text, loop.Stop();
  });
  ASSERT_EQ(stream.Connect("127.0.0.1:" + std::to_string(port)), 0);
  const Socket peer(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  for (int pass = 0; pass < 100 && !heard.connected; ++pass) Pass(loop);
  ASSERT_EQ(stream.StartReading(), 0);
  timer->Start(milliseconds(5));
  std::this_thread::sleep_for(milliseconds(20));  // the loop is held up, and bytes come meanwhile
  ASSERT_TRUE(peer.Write("in time"));
  loop.Run();
  EXPECT_EQ(at_last, "in time");
  EXPECT_GE(due, 2);
}

}  // namespace
}  // namespace indigosaddle::testing
