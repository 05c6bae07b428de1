// Answers to notices that do not confirm that the platform accepted them: the notices are sent again.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "net/notices.h"
#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class NoticeAnswers : public ::testing::Test, private net::Notices::Handler {
 protected:
  // Posts one notice. Each post gets the next of `answers`, and its connection is closed; the last answer
  // repeats.
  void PostAndAnswer(const std::vector<std::string>& answers) {
    HttpServer server([&, this](Socket& socket, const HttpRequest&) {
      const std::size_t post = static_cast<std::size_t>(posts_++);
      socket.Write(answers[std::min(post, answers.size() - 1)]);
      return false;
    });
    net::Loop loop;
    net::Notices notices(loop, *this, server.address());
    notices.Post({{7, net::FormatFailedNotice("a")}});
    const auto deadline = Clock::now() + std::chrono::seconds(10);
    net::Timer poll_timer(loop, [&] {
      !accepted_serials_.empty() || Clock::now() > deadline ? loop.Stop()
                                                            : poll_timer.Start(std::chrono::milliseconds(5));
    });
    poll_timer.Start(std::chrono::milliseconds(5));
    loop.Run();
    notices.Close();
    server.Stop();
  }

  std::atomic<int> posts_{0};
  std::vector<std::uint64_t> accepted_serials_;
  int unreadable_count_ = 0;

 private:
  void OnNoticesAccepted(const std::vector<std::uint64_t>& serials) override { accepted_serials_ = serials; }
  void OnNoticeUnreadable(std::string_view) override { ++unreadable_count_; }
};

// Guards against a lost message: its notice counted as accepted although the platform did not accept it.
TEST_F(NoticeAnswers, OnlyACompleteSuccessAnswerAcceptsANotice) {
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
  PostAndAnswer(answers);
  EXPECT_EQ(posts_, static_cast<int>(answers.size()));
  EXPECT_EQ(accepted_serials_, std::vector<std::uint64_t>{7});
  EXPECT_EQ(unreadable_count_, 0);
}

}  // namespace
}  // namespace indigosaddle::testing
