// Answers to notices that say less than that the platform has them: the notices are told again.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "net/notices.h"
#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class OddNotices : public ::testing::Test, private net::Notices::Handler {
 protected:
  // Posts one notice; the answers come in order, each on a connection that then ends, the last from then on.
  void Run(const std::vector<std::string>& answers) {
    HttpServer server([&, this](Socket& socket, const HttpRequest&) {
      const std::size_t post = static_cast<std::size_t>(posts_++);
      socket.Write(answers[std::min(post, answers.size() - 1)]);
      return false;
    });
    net::Loop loop;
    net::Notices notices(loop, *this, server.address());
    notices.Post({{7, net::FormatFailedNotice("a")}});
    const auto give_up = Clock::now() + std::chrono::seconds(10);
    net::Timer look(loop, [&] {
      !taken_.empty() || Clock::now() > give_up ? loop.Stop() : look.Start(std::chrono::milliseconds(5));
    });
    look.Start(std::chrono::milliseconds(5));
    loop.Run();
    notices.Close();
    server.Stop();
  }

  std::atomic<int> posts_{0};
  std::vector<std::uint64_t> taken_;
  int unreadable_ = 0;

 private:
  void OnNoticesAccepted(const std::vector<std::uint64_t>& serials) override { taken_ = serials; }
  void OnNoticeUnreadable(std::string_view) override { ++unreadable_; }
};

// A message whose notice counts as taken, and is not, is lost.
TEST_F(OddNotices, OnlyAWholeAnswerThatSaysSoTakesANotice) {
  const std::vector<std::string> answers = {"",
                                            "HTTP/1.1 204",
                                            "HTTP/1.1 204 No Content\r\n",
                                            "HTTP/1.1 0204 No Content\r\n\r\n",
                                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
                                            "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n",
                                            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                                            "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
                                            "HTTP/1.1 100 Continue\r\n\r\n",
                                            "rubbish\r\n\r\n",
                                            "HTTP/1.1 204 No Content\r\n\r\n"};
  Run(answers);
  EXPECT_EQ(posts_, static_cast<int>(answers.size()));
  EXPECT_EQ(taken_, std::vector<std::uint64_t>{7});
  EXPECT_EQ(unreadable_, 0);
}

}  // namespace
}  // namespace indigosaddle::testing
