// A silent watch counts as broken, and the node must know a change that it misses within 6 s. So the time
// from its last byte to a new watch on a new connection stays well below that, with time for the new watch's
// answer. Runs against a stand-in of discovery on loopback.
#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "net/discovery.h"
#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kChangeDeadline(6000);
constexpr milliseconds kAnswerAllowance(750);

// Discovery sends a whole list, indented and three bytes at a time, then a first watch that `first`
// writes and that falls silent afterwards. Records when it fell silent and when the next watch was requested.
class WatchSilence : public ::testing::Test, private net::DiscoveryClient::Handler {
 protected:
  using WatchScript = std::function<void(Socket&)>;

  // The time from the last byte of the first watch to the head of the next request.
  milliseconds TimeToNextWatch(const WatchScript& first) {
    HttpServer server([&](Socket& socket, const HttpRequest& request) {
      if (request.line.find("watch=1") == std::string::npos) {
        const std::string list =
            "{\n  \"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"h1\",\n      "
            "\"dial\": "
            "\"127.0.0.1:9\",\n      \"site\": \"s\",\n      \"class\": \"c\",\n      \"block\": 7,\n      "
            "\"health\": \"Ready\"\n    }\n  ]\n}\n";
        const std::string whole =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        for (std::size_t offset = 0; offset < whole.size(); offset += 3)
          socket.Write(whole.substr(offset, 3));
        return true;
      }
      const std::lock_guard lock(mutex_);
      if (++watches_ == 1) {
        first(socket);
        silent_since_ = Clock::now();
      } else {
        next_watch_at_ = Clock::now();
        socket.Write(kWatchHead + Chunk("\n"));
      }
      return true;  // the connection stays open
    });
    net::Loop loop;
    net::DiscoveryClient discovery(loop, *this, server.address(), net::RequestPacingFor(1, Micros(0)), 1);
    discovery.Start();
    net::Timer poll_timer(loop, [&] {
      const std::lock_guard lock(mutex_);
      next_watch_at_ > Clock::time_point() || Clock::now() > deadline_ ? loop.Stop()
                                                                       : poll_timer.Start(milliseconds(5));
    });
    poll_timer.Start(milliseconds(5));
    loop.Run();
    server.Stop();
    EXPECT_EQ(max_members_, 1u);  // the indented list was read
    EXPECT_GT(next_watch_at_, Clock::time_point()) << "no second watch";
    return std::chrono::duration_cast<milliseconds>(next_watch_at_ - silent_since_);
  }

 private:
  void OnMembers(net::MemberListUpdate update) override {
    max_members_ = std::max(max_members_, update.members.size());
  }
  void OnListConfirmed() override {}
  void OnWatchLost(std::string_view, const ListRequestFailure&) override {}

  std::mutex mutex_;
  int watches_ = 0;
  std::size_t max_members_ = 0;
  Clock::time_point silent_since_, next_watch_at_, deadline_ = Clock::now() + seconds(30);
};

TEST_F(WatchSilence, AfterSeveralLines) {
  const auto duration = TimeToNextWatch([](Socket& socket) {
    socket.Write(kWatchHead);
    for (int i = 0; i < 3; ++i) {
      socket.Write(Chunk("\n"));
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  EXPECT_LT(duration, kChangeDeadline - kAnswerAllowance);
  EXPECT_GT(duration, seconds(3));  // a line that comes a second late does not count as silence
}

TEST_F(WatchSilence, FromTheStart) {
  EXPECT_LT(TimeToNextWatch([](Socket&) {}), kChangeDeadline - kAnswerAllowance);
}

TEST_F(WatchSilence, InTheMiddleOfAChunk) {
  const auto duration = TimeToNextWatch([](Socket& socket) {
    const std::string line =
        "{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"h1\",\"block\":7,\"health\":\"Gone\"}]}\n";
    const std::string chunk = Chunk(line);
    socket.Write(kWatchHead + chunk.substr(0, chunk.size() / 2));
  });
  EXPECT_LT(duration, kChangeDeadline - kAnswerAllowance);
}

}  // namespace
}  // namespace indigosaddle::testing
