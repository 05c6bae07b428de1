// The list's clock (STANDING): a watch that has fallen silent is broken, and what it misses counts as told 6
// s later. So the time from its last byte to a new watch, on a new connection, is bounded well under that,
// with room for the new one's answer. Against a stand-in of discovery on loopback.
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

constexpr milliseconds kToldAfter(6000);
constexpr milliseconds kRoomForAnswer(750);

// Plays a whole list, indented and a few bytes at a time, then a first watch that `first` plays and that
// falls silent after it; notes when it did and when the next watch came.
class SilentWatch : public ::testing::Test, private net::Discovery::Handler {
 protected:
  using Play = std::function<void(Socket&)>;

  // The time from the last byte of the first watch to the head of the next request.
  milliseconds SilenceUntilTheNext(const Play& first) {
    HttpServer server([&](Socket& socket, const HttpRequest& request) {
      if (request.line.find("watch=1") == std::string::npos) {
        const std::string list =
            "{\n  \"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"h1\",\n      "
            "\"dial\": "
            "\"127.0.0.1:9\",\n      \"site\": \"s\",\n      \"class\": \"c\",\n      \"block\": 7,\n      "
            "\"health\": \"Ready\"\n    }\n  ]\n}\n";
        const std::string whole =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        for (std::size_t at = 0; at < whole.size(); at += 3) socket.Write(whole.substr(at, 3));
        return true;
      }
      const std::lock_guard lock(mutex_);
      if (++watches_ == 1) {
        first(socket);
        silent_from_ = Clock::now();
      } else {
        again_ = Clock::now();
        socket.Write(kWatchHead + Chunk("\n"));
      }
      return true;  // the connection stays open
    });
    net::Loop loop;
    net::Discovery discovery(loop, *this, server.address(), net::RequestPacingFor(1, Micros(0)), 1);
    discovery.Start();
    net::Timer look(loop, [&] {
      const std::lock_guard lock(mutex_);
      again_ > Clock::time_point() || Clock::now() > end_ ? loop.Stop() : look.Start(milliseconds(5));
    });
    look.Start(milliseconds(5));
    loop.Run();
    server.Stop();
    EXPECT_EQ(members_, 1u);  // the indented list was read
    EXPECT_GT(again_, Clock::time_point()) << "no second watch";
    return std::chrono::duration_cast<milliseconds>(again_ - silent_from_);
  }

 private:
  void OnMembers(net::MemberListUpdate news) override { members_ = std::max(members_, news.members.size()); }
  void OnWatchLost(std::string_view, Micros) override {}

  std::mutex mutex_;
  int watches_ = 0;
  std::size_t members_ = 0;
  Clock::time_point silent_from_, again_, end_ = Clock::now() + seconds(30);
};

TEST_F(SilentWatch, AfterAWhileOfLines) {
  const auto took = SilenceUntilTheNext([](Socket& socket) {
    socket.Write(kWatchHead);
    for (int i = 0; i < 3; ++i) {
      socket.Write(Chunk("\n"));
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  EXPECT_LT(took, kToldAfter - kRoomForAnswer);
  EXPECT_GT(took, seconds(3));  // a line that is a second late is no silence
}

TEST_F(SilentWatch, FromItsStart) {
  EXPECT_LT(SilenceUntilTheNext([](Socket&) {}), kToldAfter - kRoomForAnswer);
}

TEST_F(SilentWatch, InTheMiddleOfAChunk) {
  const auto took = SilenceUntilTheNext([](Socket& socket) {
    const std::string line =
        "{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"h1\",\"block\":7,\"health\":\"Gone\"}]}\n";
    const std::string chunk = Chunk(line);
    socket.Write(kWatchHead + chunk.substr(0, chunk.size() / 2));
  });
  EXPECT_LT(took, kToldAfter - kRoomForAnswer);
}

}  // namespace
}  // namespace indigosaddle::testing
