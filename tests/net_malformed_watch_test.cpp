// What discovery says that is not what was asked, or not known whole: the whole list is asked for, and until
// one can be read the list counts as outdated in time.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "net/discovery.h"
#include "net/list_clock.h"
#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Said(int version, const char* whole, const std::string& hosts = "") {
  return "{\"seq\":" + std::to_string(version) + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
}
std::string Body(const std::string& list) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}
const std::string kOdd = R"({"host":"s-1","dial":"127.0.0.1:9","block":3,"health":"?"})";

// Discovery by a script: the text of each whole list and of each watch's first line, by their number; the
// last of each is said again.
class OddWatch : public ::testing::Test, private net::Discovery::Handler {
 protected:
  void Run(std::vector<std::string> lists, std::vector<std::string> lines, const std::function<bool()>& over,
           milliseconds patience = seconds(5)) {
    HttpServer server([&, this](Socket& socket, const HttpRequest& request) {
      const bool watch = request.line.find("watch=1") != std::string::npos;
      std::atomic<int>& count = watch ? watches_ : lists_;
      const std::vector<std::string>& said = watch ? lines : lists;
      const std::string& text = said[std::min(static_cast<std::size_t>(count++), said.size() - 1)];
      if (watch) std::this_thread::sleep_for(before_line_);
      socket.Write(watch ? kWatchHead + Chunk(text) : Body(text));
      return true;
    });
    net::Loop loop;
    now_ = [&] { return loop.Now(); };
    net::Discovery discovery(loop, *this, server.address(), net::RequestPacingFor(1, Micros(0)), 1);
    discovery.Start();
    const auto give_up = Clock::now() + patience;
    net::Timer look(loop,
                    [&] { over() || Clock::now() > give_up ? loop.Stop() : look.Start(milliseconds(5)); });
    look.Start(milliseconds(5));
    loop.Run();
    server.Stop();
  }

  std::atomic<int> lists_{0}, watches_{0};
  std::vector<net::MemberListUpdate> news_;
  milliseconds before_line_{0};
  Micros outdated_from_ = Micros::max(), listed_at_{0};

 private:
  void OnMembers(net::MemberListUpdate news) override {
    news_.push_back(std::move(news));
    listed_at_ = now_();
  }
  void OnWatchLost(std::string_view, Micros outdated_from) override { outdated_from_ = outdated_from; }

  std::function<Micros()> now_;
};

// A change with an entry that can't be read was taken for all that changed, and the list was never asked for.
TEST_F(OddWatch, AChangeOfWhichAPartIsNotKnownIsFollowedByTheWholeList) {
  Run({Said(41, "true"), Said(43, "true")}, {Said(42, "false", kOdd), Said(44, "false")},
      [this] { return news_.size() >= 4; });
  ASSERT_EQ(news_.size(), 4u);
  EXPECT_EQ(news_[1].unreadable, std::vector<std::string>{"s-1"});  // told at once
  EXPECT_TRUE(news_[2].whole);
  EXPECT_EQ(news_[3].version, 44u);
  EXPECT_EQ(lists_, 2);
}

// A whole list has it all: an odd entry in it must not have the list asked for again and again.
TEST_F(OddWatch, AWholeListWithAnOddEntryIsUsedAndNotAskedForAgain) {
  Run(
      {Said(41, "true", kOdd)}, {Said(42, "false")}, [] { return false; }, seconds(1));
  ASSERT_EQ(news_.size(), 2u);
  EXPECT_EQ(lists_, 1);
  EXPECT_EQ(watches_, 1);
}

// An older change than the list that is held was used: it may say Ready of what drains since.
TEST_F(OddWatch, AChangeThatIsOlderThanTheListIsNotUsed) {
  Run({Said(41, "true"), Said(43, "true")}, {Said(40, "false"), Said(44, "false")},
      [this] { return news_.size() >= 3; });
  ASSERT_GE(news_.size(), 3u);
  EXPECT_EQ(news_[1].version, 43u);
  EXPECT_EQ(news_[2].version, 44u);
}

// A part, where the whole list was asked for, was taken for the whole: what changed before it never came.
TEST_F(OddWatch, APartWhereTheWholeListWasAskedForIsNotTheWhole) {
  Run({Said(41, "false"), Said(42, "true")}, {Said(43, "false")}, [this] { return watches_ > 0; });
  EXPECT_EQ(lists_, 2);
  ASSERT_GE(news_.size(), 2u);
  EXPECT_TRUE(news_[1].whole);
}

// Discovery that answers what can't be read was taken for one out of reach: the list never counted as
// outdated, and drains were missed for as long as that lasted.
TEST_F(OddWatch, AListThatStaysUnreadableIsOutdatedInTime) {
  Run({Said(41, "true"), "rubbish"}, {"rubbish\n"}, [this] { return lists_ >= 3; });
  EXPECT_LT(outdated_from_, Micros::max());
  EXPECT_EQ(news_.size(), 1u);
}

// A line that can't be read confirmed the list that it may have changed: the list counted as sure until then.
TEST_F(OddWatch, ALineThatCantBeReadConfirmsNothing) {
  before_line_ = milliseconds(800);
  Run({Said(41, "true"), "rubbish"}, {"rubbish\n"}, [this] { return outdated_from_ < Micros::max(); });
  EXPECT_LT(outdated_from_, listed_at_ + net::kListChangeDeadline);
}

}  // namespace
}  // namespace indigosaddle::testing
