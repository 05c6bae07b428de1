// Updates from discovery that are incomplete, unreadable or not what was requested: the node requests the
// whole list, and until it gets a readable one, its list becomes outdated at the deadline.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "brain/list_validity.h"
#include "net/discovery.h"
#include "stand_ins.h"
#include "watch_bytes.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ListJson(int version, const char* whole, const std::string& hosts = "") {
  return "{\"seq\":" + std::to_string(version) + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
}
std::string ListResponse(const std::string& list) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}
const std::string kMalformedEntry = R"({"host":"s-1","dial":"127.0.0.1:9","block":3,"health":"?"})";

// A scripted discovery. The n-th list request gets the n-th of `lists`, and the n-th watch the n-th of
// `lines` as its first line; the last of each repeats.
class MalformedUpdates : public ::testing::Test, private net::DiscoveryClient::Handler {
 protected:
  static bool IsWatch(const HttpRequest& request) {
    return request.line.find("watch=1") != std::string::npos;
  }
  void RunDiscovery(std::vector<std::string> lists, std::vector<std::string> lines,
                    const std::function<bool()>& done, milliseconds timeout = seconds(5)) {
    const auto answer = [&, this](Socket& socket, const HttpRequest& request) {
      const bool watch = IsWatch(request);
      std::atomic<int>& count = watch ? watch_requests_ : list_requests_;
      const std::vector<std::string>& script = watch ? lines : lists;
      const std::string& text = script[std::min(static_cast<std::size_t>(count++), script.size() - 1)];
      if (watch) std::this_thread::sleep_for(delay_before_line_);
      socket.Write(watch ? kWatchHead + Chunk(text) : ListResponse(text));
      return true;
    };
    RunDiscoveryThat(answer, done, timeout);
  }
  // Answers the first list request; each later one, and each watch, is answered by `fault`, which returns
  // whether the connection stays open.
  void RunDiscoveryThatFails(const std::function<bool(Socket&)>& fault, const std::function<bool()>& done,
                             milliseconds timeout = seconds(5)) {
    const auto answer = [&, this](Socket& socket, const HttpRequest& request) {
      if (!IsWatch(request) && list_requests_++ == 0) return socket.Write(ListResponse(ListJson(41, "true")));
      ++watch_requests_;
      return fault(socket);
    };
    RunDiscoveryThat(answer, done, timeout);
  }
  void RunDiscoveryThat(const HttpServer::Handler& answer, const std::function<bool()>& done,
                        milliseconds timeout) {
    HttpServer server(answer);
    net::Loop loop;
    now_ = [&] { return loop.Now(); };
    net::DiscoveryClient discovery(loop, *this, server.address(), net::RequestPacingFor(1, Micros(0)), 1);
    discovery.Start();
    const auto deadline = Clock::now() + timeout;
    net::Timer poll_timer(
        loop, [&] { done() || Clock::now() > deadline ? loop.Stop() : poll_timer.Start(milliseconds(5)); });
    poll_timer.Start(milliseconds(5));
    loop.Run();
    server.Stop();
  }

  std::atomic<int> list_requests_{0}, watch_requests_{0};
  std::vector<net::MemberListUpdate> updates_;
  milliseconds delay_before_line_{0};
  ListValidity validity_{Micros(0)};
  Micros last_update_at_{0};

 private:
  void OnMembers(net::MemberListUpdate update) override {
    updates_.push_back(std::move(update));
    last_update_at_ = now_();
  }
  void OnListConfirmed() override { validity_.OnConfirmed(ListValidity::Address::kInUse, now_()); }
  void OnWatchLost(std::string_view, const ListRequestFailure& failure) override {
    validity_.OnFailure(ListValidity::Address::kInUse, failure);
  }

  std::function<Micros()> now_;
};

// Guards against treating a change with an unreadable entry as complete and never requesting the whole list.
TEST_F(MalformedUpdates, AnIncompleteChangeIsFollowedByTheWholeList) {
  RunDiscovery({ListJson(41, "true"), ListJson(43, "true")},
               {ListJson(42, "false", kMalformedEntry), ListJson(44, "false")},
               [this] { return updates_.size() >= 4; });
  ASSERT_EQ(updates_.size(), 4u);
  EXPECT_EQ(updates_[1].unreadable, std::vector<std::string>{"s-1"});  // reported at once
  EXPECT_TRUE(updates_[2].whole);
  EXPECT_EQ(updates_[3].version, 44u);
  EXPECT_EQ(list_requests_, 2);
}

// A malformed entry in a whole list must not cause endless requests: another whole list would hold no more.
TEST_F(MalformedUpdates, AWholeListWithAMalformedEntryIsUsedAndNotRequestedAgain) {
  RunDiscovery(
      {ListJson(41, "true", kMalformedEntry)}, {ListJson(42, "false")}, [] { return false; }, seconds(1));
  ASSERT_EQ(updates_.size(), 2u);
  EXPECT_EQ(list_requests_, 1);
  EXPECT_EQ(watch_requests_, 1);
}

// Guards against using a change older than the known list: it may say Ready of an endpoint that drains since.
TEST_F(MalformedUpdates, AChangeOlderThanTheListIsIgnored) {
  RunDiscovery({ListJson(41, "true"), ListJson(43, "true")}, {ListJson(40, "false"), ListJson(44, "false")},
               [this] { return updates_.size() >= 3; });
  ASSERT_GE(updates_.size(), 3u);
  EXPECT_EQ(updates_[1].version, 43u);
  EXPECT_EQ(updates_[2].version, 44u);
}

// Guards against taking a change for the whole list that was requested: earlier changes were never received.
TEST_F(MalformedUpdates, AChangeInAnswerToAListRequestIsNotTheWholeList) {
  RunDiscovery({ListJson(41, "false"), ListJson(42, "true")}, {ListJson(43, "false")},
               [this] { return watch_requests_ > 0; });
  EXPECT_EQ(list_requests_, 2);
  ASSERT_GE(updates_.size(), 2u);
  EXPECT_TRUE(updates_[1].whole);
}

// Guards against treating unreadable answers like an unreachable discovery: the list then never counted as
// outdated, and drains were missed for as long as that lasted.
TEST_F(MalformedUpdates, AListThatStaysUnreadableBecomesOutdated) {
  RunDiscovery({ListJson(41, "true"), "rubbish"}, {"rubbish\n"}, [this] { return list_requests_ >= 3; });
  EXPECT_LT(validity_.outdated_from(), Micros::max());
  EXPECT_EQ(updates_.size(), 1u);
}

// Guards against an unreadable line that confirms the list: the line may have contained a change, but the
// list counted as current until then.
TEST_F(MalformedUpdates, AnUnreadableLineDoesNotConfirmTheList) {
  delay_before_line_ = milliseconds(800);
  RunDiscovery({ListJson(41, "true"), "rubbish"}, {"rubbish\n"},
               [this] { return validity_.outdated_from() < Micros::max(); });
  EXPECT_LT(validity_.outdated_from(), last_update_at_ + kListChangeDeadline);
}

// Guards against treating a response that never becomes a list like an unreachable discovery: it can be
// reached, and the list never counted as outdated.
TEST_F(MalformedUpdates, AResponseThatTricklesLimitsTheList) {
  const auto trickle = [](Socket& socket) {
    socket.Write(kWatchHead);
    for (int byte = 0; byte < 50 && socket.Write(Chunk("{")); ++byte)
      std::this_thread::sleep_for(milliseconds(100));
    return false;
  };
  RunDiscoveryThatFails(trickle, [this] { return validity_.outdated_from() < Micros::max(); });
  EXPECT_LT(validity_.outdated_from(), last_update_at_ + kListChangeDeadline);
}

TEST_F(MalformedUpdates, AResponseThatBreaksOffLimitsTheList) {
  const auto break_off = [](Socket& socket) {
    return socket.Write(kWatchHead + Chunk("{\"seq\":42,")), false;
  };
  RunDiscoveryThatFails(break_off, [this] { return validity_.outdated_from() < Micros::max(); });
  EXPECT_LT(validity_.outdated_from(), last_update_at_ + kListChangeDeadline);
}

TEST_F(MalformedUpdates, AWatchThatEndsWithoutALineLimitsTheList) {
  const auto end = [](Socket& socket) { return socket.Write(kWatchHead + "0\r\n\r\n"); };
  RunDiscoveryThatFails(end, [this] { return validity_.outdated_from() < Micros::max(); });
  EXPECT_LT(validity_.outdated_from(), last_update_at_ + kListChangeDeadline);
}

// An agent that is down may accept a request, or begin its answer, and be silent: it has nothing to tell.
TEST_F(MalformedUpdates, ASilentOrClosedConnectionDoesNotLimitTheList) {
  int requests = 0;
  const auto silence = [&](Socket& socket) {
    if (++requests % 3 == 0) return false;
    if (requests % 3 == 1) socket.Write(kWatchHead);
    return Hang(socket);
  };
  RunDiscoveryThatFails(
      silence, [this] { return watch_requests_ >= 4; }, seconds(15));
  EXPECT_GE(watch_requests_, 4);
  EXPECT_EQ(validity_.outdated_from(), Micros::max());
}

}  // namespace
}  // namespace indigosaddle::testing
