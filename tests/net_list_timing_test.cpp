// The list's clock, path by path (docs/design/005): from the instant in which discovery can be reached again
// to its list, whatever came before. Each path is played by a stand-in on loopback; the bound leaves room for
// the answer.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>

#include "net/discovery.h"
#include "net/list_clock.h"
#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Line(int version) {
  return "{\"seq\":" + std::to_string(version) + ",\"whole\":false,\"hosts\":[]}\n";
}
std::string Whole(int version) {
  const std::string list = "{\"seq\":" + std::to_string(version) + ",\"whole\":true,\"hosts\":[]}\n";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

// The first request of a kind (a list, or a watch) is played badly; from its end on discovery is well. What
// is measured runs from the beginning of that request, the latest instant at which discovery may have come
// back without this request's being answered, to the next news.
class ListPaths : public ::testing::Test, private net::Discovery::Handler {
 protected:
  using Play = std::function<void(Socket&)>;

  milliseconds UntilTheNextNews(bool bad_watch, const Play& bad, const net::RequestPacing& pace = {},
                                std::optional<std::uint64_t> held = std::nullopt) {
    HttpServer server([&](Socket& socket, const HttpRequest& request) {
      const bool watch = request.line.find("watch=1") != std::string::npos;
      if (watch == bad_watch && !played_.exchange(true)) {
        began_ = Clock::now();
        bad(socket);
        return socket.open();  // it stays so where it was not reset
      }
      if (watch) {
        socket.Write(kWatchHead + Chunk(Line(50)));
      } else {
        socket.Write(Whole(41));
      }
      return true;
    });
    net::Loop loop;
    const net::RequestPacing alone = net::RequestPacingFor(1, Micros(0));
    net::Discovery discovery(loop, *this, server.address(), pace.max_retry_delay > Micros(0) ? pace : alone,
                             1);
    discovery.Start(held);
    const auto give_up = Clock::now() + seconds(20);
    net::Timer look(loop, [&] {
      (played_ && news_after_ > Clock::time_point()) || Clock::now() > give_up ? loop.Stop()
                                                                               : look.Start(milliseconds(5));
    });
    look.Start(milliseconds(5));
    loop.Run();
    server.Stop();
    EXPECT_GT(news_after_, Clock::time_point()) << "no news";
    return std::chrono::duration_cast<milliseconds>(news_after_ - began_.load());
  }
  net::Discovery::Handler& handler() { return *this; }
  // What an answer takes that the machine is slow to give.
  static constexpr milliseconds kRoom{1000};
  static constexpr milliseconds kBound =
      std::chrono::duration_cast<milliseconds>(net::kListChangeDeadline) - kRoom;

 private:
  void OnMembers(net::MemberListUpdate) override {
    if (played_ && news_after_ == Clock::time_point()) news_after_ = Clock::now();
  }
  void OnWatchLost(std::string_view, Micros) override {}

  std::atomic<bool> played_{false};
  std::atomic<Clock::time_point> began_{Clock::time_point()};
  Clock::time_point news_after_;
};

TEST_F(ListPaths, AWholeListThatIsNotAnswered) {
  EXPECT_LT(UntilTheNextNews(false, [](Socket&) {}), kBound);
}

TEST_F(ListPaths, AHeadWithoutABody) {
  EXPECT_LT(
      UntilTheNextNews(false, [](Socket& s) { s.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"); }),
      kBound);
}

TEST_F(ListPaths, AWatchThatIsNotAnswered) {
  EXPECT_LT(UntilTheNextNews(true, [](Socket&) {}), kBound);
}

TEST_F(ListPaths, AWatchWithAHeadAndNoLine) {
  EXPECT_LT(UntilTheNextNews(true, [](Socket& s) { s.Write(kWatchHead); }), kBound);
}

// Bytes that complete nothing are no sign of life, however steadily they come.
TEST_F(ListPaths, ALineThatTricklesByteByByte) {
  const auto took = UntilTheNextNews(true, [](Socket& s) {
    s.Write(kWatchHead);
    const std::string line = Line(42);
    for (std::size_t i = 0; i < 40; ++i) {
      if (!s.Write(Chunk(line.substr(i % (line.size() - 1), 1)))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(took, kBound);
}

TEST_F(ListPaths, AWholeListThatTricklesByteByByte) {
  const auto took = UntilTheNextNews(false, [](Socket& s) {
    const std::string answer = Whole(41);
    for (std::size_t i = 0; i < 40; ++i) {
      if (!s.Write(answer.substr(i, 1))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(took, kBound);
}

// Lines of an object that has begun complete nothing either.
TEST_F(ListPaths, AnIndentedObjectThatNeverEnds) {
  const auto took = UntilTheNextNews(true, [](Socket& s) {
    s.Write(kWatchHead + Chunk("{\n"));
    for (int i = 0; i < 40; ++i) {
      if (!s.Write(Chunk("  \n"))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(took, kBound);
}

// 503 at the size of a fleet of 300 with lists on request: asked again within 4 s.
TEST_F(ListPaths, RefusedInALargeFleet) {
  const auto took = UntilTheNextNews(
      true, [](Socket& s) { s.Write(Answer(503)); }, net::RequestPacingFor(300, seconds(10)), 41);
  EXPECT_LT(took, kBound);
}

// A watch that ended for all of them in one instant is asked for within 2 s.
TEST_F(ListPaths, EndedInALargeFleet) {
  const auto took = UntilTheNextNews(
      true, [](Socket& s) { s.Reset(); }, net::RequestPacingFor(300, seconds(10)), 41);
  EXPECT_LT(took, seconds(3));
}

// Two failures in a row: a standing watch falls silent, and the request behind it is not answered. From the
// last line on, the latest instant from which a change can have been missed, a third one has its answer
// within the 6 s after which a change counts as told.
TEST_F(ListPaths, AWatchThatFallsSilentAndThenARequestThatIsNotAnswered) {
  std::atomic<int> watches{0};
  std::atomic<Clock::time_point> last_line{Clock::time_point()}, third{Clock::time_point()};
  HttpServer server([&](Socket& socket, const HttpRequest& request) {
    if (request.line.find("watch=1") == std::string::npos) return socket.Write(Whole(41));
    const int number = ++watches;
    if (number == 1) {
      socket.Write(kWatchHead + Chunk(Line(42)));
      last_line = Clock::now();
    } else if (number == 3) {
      third = Clock::now();
    }
    return true;
  });
  net::Loop loop;
  net::Discovery discovery(loop, handler(), server.address(), net::RequestPacingFor(1, Micros(0)), 1);
  discovery.Start();
  const auto give_up = Clock::now() + seconds(20);
  net::Timer look(loop, [&] {
    third.load() > Clock::time_point() || Clock::now() > give_up ? loop.Stop() : look.Start(milliseconds(5));
  });
  look.Start(milliseconds(5));
  loop.Run();
  server.Stop();
  ASSERT_GT(third.load(), Clock::time_point()) << "no third watch";
  EXPECT_LT(third.load() - last_line.load(), net::kListChangeDeadline - milliseconds(500));
}

// An object that comes indented, on several lines, is one change, and no reason to ask for the whole list
// anew.
TEST_F(ListPaths, AnIndentedChangeIsRead) {
  const auto took = UntilTheNextNews(true, [](Socket& s) {
    s.Write(kWatchHead + Chunk("{\n  \"seq\": 42,\n  \"whole\": false,\n") +
            Chunk("  \"hosts\": [\n  ]\n}\n"));
  });
  EXPECT_LT(took, seconds(1));
}

}  // namespace
}  // namespace indigosaddle::testing
