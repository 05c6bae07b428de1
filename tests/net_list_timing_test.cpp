// The time from discovery being reachable again to the node's next list update, after each kind of failure
// (docs/design/005). A stand-in on loopback produces each failure; the bound leaves time for the answer.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>

#include "brain/list_validity.h"
#include "net/discovery.h"
#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ChangeLine(int version) {
  return "{\"seq\":" + std::to_string(version) + ",\"whole\":false,\"hosts\":[]}\n";
}
std::string WholeListResponse(int version) {
  const std::string list = "{\"seq\":" + std::to_string(version) + ",\"whole\":true,\"hosts\":[]}\n";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

// The first request of one kind (a list or a watch) fails; after it discovery works. The measured time runs
// from the start of that request to the next update. The start is the latest time at which discovery may have
// come back without answering this request.
class ListTiming : public ::testing::Test, private net::DiscoveryClient::Handler {
 protected:
  using Fault = std::function<void(Socket&)>;

  // `fault` writes what the failing request gets, a watch or a list request. `pace` is by default that of a
  // single node; with `known_version` the node starts with a list of that version.
  milliseconds TimeToNextUpdate(bool fault_in_watch, const Fault& fault, const net::RequestPacing& pace = {},
                                std::optional<std::uint64_t> known_version = std::nullopt) {
    HttpServer server([&](Socket& socket, const HttpRequest& request) {
      const bool watch = request.line.find("watch=1") != std::string::npos;
      if (watch == fault_in_watch && !fault_done_.exchange(true)) {
        faulty_request_at_ = Clock::now();
        fault(socket);
        return socket.open();  // the connection stays open unless it was reset
      }
      if (watch) {
        socket.Write(kWatchHead + Chunk(ChangeLine(50)));
      } else {
        socket.Write(WholeListResponse(41));
      }
      return true;
    });
    net::Loop loop;
    const net::RequestPacing single_node = net::RequestPacingFor(1, Micros(0));
    net::DiscoveryClient discovery(loop, *this, server.address(),
                                   pace.max_retry_delay > Micros(0) ? pace : single_node, 1);
    discovery.Start(known_version);
    const auto deadline = Clock::now() + seconds(20);
    net::Timer poll_timer(loop, [&] {
      (fault_done_ && update_at_ > Clock::time_point()) || Clock::now() > deadline
          ? loop.Stop()
          : poll_timer.Start(milliseconds(5));
    });
    poll_timer.Start(milliseconds(5));
    loop.Run();
    server.Stop();
    EXPECT_GT(update_at_, Clock::time_point()) << "no list update";
    return std::chrono::duration_cast<milliseconds>(update_at_ - faulty_request_at_.load());
  }
  net::DiscoveryClient::Handler& handler() { return *this; }
  // Time for an answer on a busy machine.
  static constexpr milliseconds kAnswerAllowance{1000};
  static constexpr milliseconds kBound =
      std::chrono::duration_cast<milliseconds>(kListChangeDeadline) - kAnswerAllowance;

 private:
  void OnMembers(net::MemberListUpdate) override {
    if (fault_done_ && update_at_ == Clock::time_point()) update_at_ = Clock::now();
  }
  void OnListConfirmed() override {}
  void OnWatchLost(std::string_view, const ListRequestFailure&) override {}

  std::atomic<bool> fault_done_{false};
  std::atomic<Clock::time_point> faulty_request_at_{Clock::time_point()};
  Clock::time_point update_at_;
};

TEST_F(ListTiming, AnUnansweredListRequest) {
  EXPECT_LT(TimeToNextUpdate(false, [](Socket&) {}), kBound);
}

TEST_F(ListTiming, AHeadWithoutABody) {
  EXPECT_LT(
      TimeToNextUpdate(false, [](Socket& s) { s.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"); }),
      kBound);
}

TEST_F(ListTiming, AnUnansweredWatch) {
  EXPECT_LT(TimeToNextUpdate(true, [](Socket&) {}), kBound);
}

TEST_F(ListTiming, AWatchWithAHeadAndNoLine) {
  EXPECT_LT(TimeToNextUpdate(true, [](Socket& s) { s.Write(kWatchHead); }), kBound);
}

// Bytes that complete no line do not confirm the list, however steadily they arrive.
TEST_F(ListTiming, ALineSentByteByByte) {
  const auto duration = TimeToNextUpdate(true, [](Socket& s) {
    s.Write(kWatchHead);
    const std::string line = ChangeLine(42);
    for (std::size_t i = 0; i < 40; ++i) {
      if (!s.Write(Chunk(line.substr(i % (line.size() - 1), 1)))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(duration, kBound);
}

TEST_F(ListTiming, AWholeListSentByteByByte) {
  const auto duration = TimeToNextUpdate(false, [](Socket& s) {
    const std::string answer = WholeListResponse(41);
    for (std::size_t i = 0; i < 40; ++i) {
      if (!s.Write(answer.substr(i, 1))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(duration, kBound);
}

// Lines within a JSON object that never ends do not confirm the list either.
TEST_F(ListTiming, AnIndentedObjectThatNeverEnds) {
  const auto duration = TimeToNextUpdate(true, [](Socket& s) {
    s.Write(kWatchHead + Chunk("{\n"));
    for (int i = 0; i < 40; ++i) {
      if (!s.Write(Chunk("  \n"))) return;
      std::this_thread::sleep_for(milliseconds(250));
    }
  });
  EXPECT_LT(duration, kBound);
}

// 503 in a fleet of 300 nodes that request their lists: the node retries within 4 s.
TEST_F(ListTiming, RefusedInALargeFleet) {
  const auto duration = TimeToNextUpdate(
      true, [](Socket& s) { s.Write(Answer(503)); }, net::RequestPacingFor(300, seconds(10)), 41);
  EXPECT_LT(duration, kBound);
}

// A watch that ended for all nodes at once is requested again within 2 s.
TEST_F(ListTiming, WatchResetInALargeFleet) {
  const auto duration = TimeToNextUpdate(
      true, [](Socket& s) { s.Reset(); }, net::RequestPacingFor(300, seconds(10)), 41);
  EXPECT_LT(duration, seconds(3));
}

// Two failures in a row: an established watch falls silent, and the next request is not answered. A change
// can have been missed from the last line on. Within 6 s of it, by when the node must know a change, a third
// request must have been sent, with time left for its answer.
TEST_F(ListTiming, ASilentWatchFollowedByAnUnansweredRequest) {
  std::atomic<int> watches{0};
  std::atomic<Clock::time_point> last_line{Clock::time_point()}, third{Clock::time_point()};
  HttpServer server([&](Socket& socket, const HttpRequest& request) {
    if (request.line.find("watch=1") == std::string::npos) return socket.Write(WholeListResponse(41));
    const int number = ++watches;
    if (number == 1) {
      socket.Write(kWatchHead + Chunk(ChangeLine(42)));
      last_line = Clock::now();
    } else if (number == 3) {
      third = Clock::now();
    }
    return true;
  });
  net::Loop loop;
  net::DiscoveryClient discovery(loop, handler(), server.address(), net::RequestPacingFor(1, Micros(0)), 1);
  discovery.Start();
  const auto deadline = Clock::now() + seconds(20);
  net::Timer poll_timer(loop, [&] {
    third.load() > Clock::time_point() || Clock::now() > deadline ? loop.Stop()
                                                                  : poll_timer.Start(milliseconds(5));
  });
  poll_timer.Start(milliseconds(5));
  loop.Run();
  server.Stop();
  ASSERT_GT(third.load(), Clock::time_point()) << "no third watch";
  EXPECT_LT(third.load() - last_line.load(), kListChangeDeadline - milliseconds(500));
}

// An indented object on several lines is one change, and no reason to request the whole list again.
TEST_F(ListTiming, AnIndentedChangeIsAccepted) {
  const auto duration = TimeToNextUpdate(true, [](Socket& s) {
    s.Write(kWatchHead + Chunk("{\n  \"seq\": 42,\n  \"whole\": false,\n") +
            Chunk("  \"hosts\": [\n  ]\n}\n"));
  });
  EXPECT_LT(duration, seconds(1));
}

}  // namespace
}  // namespace indigosaddle::testing
