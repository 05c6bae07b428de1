// Rule on duplicates at the built node, at the edges of what a class allows: a process that is held up near
// the end of a key's life, a key that one zone alone knows, a connection that does not come up.
#include <gtest/gtest.h>

#include <csignal>
#include <mutex>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class Repeats : public NodeTest {
 protected:
  // Every call runs, and ends in an error.
  bool Fails(Socket& socket, const HttpRequest& request) {
    {
      const std::lock_guard lock(mutex_);
      calls_[request.headers.at("x-trace-id")].push_back(Clock::now());
    }
    return socket.Write(Answer(500));
  }
  // Stops the process for 0.15 s again and again, until `over`.
  void HoldUpUntil(const std::atomic<bool>& over) const {
    while (!over) {
      node.Signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(150));
      node.Signal(SIGCONT);
      std::this_thread::sleep_for(milliseconds(37));
    }
  }
  std::mutex mutex_;
  std::map<std::string, std::vector<Clock::time_point>> calls_;
};

// Guards against a repeat behind its key's life: decided inside it, and written 0.15 s later.
TEST_F(Repeats, HeldUpNearAKeysEndNoneComesBehindIt) {
  constexpr milliseconds kLife(1000), kSlack(50);
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
  for (int i = 0; i < 8; ++i) {
    endpoints.push_back(std::make_unique<EndpointStandIn>(
        [this](Socket& s, const HttpRequest& r, int) { return Fails(s, r); }));
    platform.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(), 10 + i));
  }
  node.config["settings"]["classes"][0]["keyTtl"] = 1000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=safe,d=500,dest=10"));
  std::atomic<bool> over{false};
  std::thread holder([&] { HoldUpUntil(over); });
  int taken = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "m" + std::to_string(i);
    taken += Enqueue(id, "c=keyed,k=" + id + ",d=20000,dest=" + std::to_string(10 + i % 8)) == "+OK" ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(60));
  }
  std::this_thread::sleep_for(milliseconds(2000));
  over = true;
  holder.join();
  EXPECT_GT(taken, 30);
  std::size_t repeats = 0;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, calls] : calls_) {
    if (id == "first") continue;
    repeats += calls.size() - 1;
    for (const Clock::time_point at : calls)
      EXPECT_LE(at - calls.front(), kLife + kSlack) << id << " was called behind its key's life";
  }
  EXPECT_GT(repeats, 20U);
}

// Guards against a message that may have run in one zone and is sent to another, or handed back, though only
// the first knows its key.
TEST_F(Repeats, AKeyThatOneZoneKnowsIsUsedThereAloneAndNeverHandedBack) {
  EndpointStandIn near([this](Socket& s, const HttpRequest& r, int) { return Fails(s, r); });
  EndpointStandIn far([this](Socket& s, const HttpRequest&, int) { return s.Write(Answer(200)); });
  node.config["settings"]["zones"] = {"z", "y"};
  node.config["settings"]["familyInfo"]["zoneFee"] = {0.0, 0.0};
  node.config["settings"]["classes"][0]["group"] = "zone";
  platform.Set(PlatformStandIn::Member("s-1", near.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=keyed,k=a,d=3000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return near.CallsFor("m") >= 1; }));
  Json other = PlatformStandIn::Member("s-2", far.address(), 7);
  other["site"] = "y";
  platform.Set(PlatformStandIn::Member("s-1", near.address(), 7, "Terminating"));
  platform.Set(other);
  ASSERT_TRUE(Eventually([&] { return platform.notices().contains("m"); }));
  EXPECT_TRUE(HasNotice("m", "failed")) << "handed back though it may have run";
  EXPECT_EQ(far.CallsFor("m"), 0);
  ASSERT_TRUE(EnqueueOnceListed("new", "c=keyed,k=b,d=20000,dest=7"));
  EXPECT_TRUE(Eventually([&] { return far.CallsFor("new") == 1; }));
}

// A listener whose queue is full: connections to it do not come up.
class NeverUp {
 public:
  NeverUp() : listener_(Socket::Listen(port_)) {
    listen(listener_.get(), 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(port_));
    for (int i = 0; i < 4; ++i) {
      waiting_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      connect(waiting_.back().get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int port_ = 0;
  Socket listener_;
  std::vector<Socket> waiting_;
};

// Guards against a message that is failed, or waits for its whole time, since a connection did not come up.
TEST_F(Repeats, AConnectionThatIsNotUpInTheSettingsTimeHasRunNothing) {
  const NeverUp never;
  EndpointStandIn good;
  platform.Set(PlatformStandIn::Member("s-1", never.address(), 7));
  node.config["settings"]["caps"]["dialTimeout"] = 300.0;
  for (auto& one : node.config["settings"]["classes"]) one["aim"] = 30000.0;  // a call's own time is longer
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=30000,dest=7"));
  std::this_thread::sleep_for(milliseconds(150));  // its call waits for its connection
  platform.Set(PlatformStandIn::Member("s-1", never.address(), 7, "Terminating"));
  platform.Set(PlatformStandIn::Member("s-2", good.address(), 7));
  const auto since = Clock::now();
  ASSERT_TRUE(Eventually([&] { return good.CallsFor("m") == 1; }));
  EXPECT_LT(Clock::now() - since, seconds(8));
  EXPECT_TRUE(platform.notices().empty());
}

}  // namespace
}  // namespace indigosaddle::testing
