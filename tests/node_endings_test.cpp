// Endings at the built node, each ordered by what was seen: a byte read, a record on the disk, a state
// reached (docs/design/005).
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

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

class NodeEndings : public NodeTest {
 protected:
  bool JournalHas(const std::string& text) {
    return Eventually([&] {
      std::ifstream file(node.folder + "/state/journal", std::ios::binary);
      std::ostringstream bytes;
      bytes << file.rdbuf();
      return bytes.str().find(text) != std::string::npos;
    });
  }
  void AddOrderedClass() {
    Json ordered = node.config["settings"]["classes"][0];
    ordered["name"] = "ordered";
    ordered["sequential"] = true;
    node.config["settings"]["classes"].push_back(ordered);
  }
  static std::string Ordered(const std::string& id, const std::string& key, const std::string& names) {
    return ClientStandIn::Command({"ENQUEUE", key, id, names, "body"});
  }
};

// Killed while a call waits for its connection: nothing of it has left, so that even an unsafe message is
// tried by the next process. Its attempt was on record as one that may have run, and it was failed untried.
TEST_F(NodeEndings, KilledBeforeItsConnectionWasUpAnUnsafeMessageIsStillTried) {
  const NeverUp never;
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("not-up-yet", never.address(), 7));
  node.config["settings"]["caps"]["dialTimeout"] = 60000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=60000,dest=7"));
  ASSERT_TRUE(JournalHas("not-up-yet"));  // the call is decided and on record
  node.Kill(SIGKILL);
  platform.Set(PlatformStandIn::Member("not-up-yet", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  EXPECT_TRUE(platform.notices().empty());
}

// And the other way round: once a byte of it may have left it may have run, and is not sent again.
TEST_F(NodeEndings, KilledWithItsCallWrittenAnUnsafeMessageIsFailed) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  node.Kill(SIGKILL);
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  EXPECT_EQ(endpoint.CallsFor("m"), 1);
}

// A notice whose connection says nothing is told on another one while it is still in time: 300 ms after the
// message's time it is lost. It was asked for once a second.
TEST_F(NodeEndings, ANoticeThatIsNotAnsweredIsToldAgainSoon) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  platform.IgnoreNotices(1);
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=300,dest=7"));
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() == 1; }));
  const auto ignored = Clock::now();
  ASSERT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  EXPECT_LT(Clock::now() - ignored, milliseconds(800));  // 120 ms, with room for a slow machine
}

// A 200 in the last moment of a message's time: by its client's clock it may have come too late, so the
// platform is told an end as well. With nothing told, such a message was lost.
TEST_F(NodeEndings, ADeliveryInTheLastMomentIsToldAsWell) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    std::this_thread::sleep_for(milliseconds(975));  // of 1,000
    return s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  node.config["settings"]["classes"][2]["aim"] = 2000.0;  // its time-out is what is left of its time
  ASSERT_TRUE(node.Start());
  Settle();
  ASSERT_EQ(Enqueue("m", "c=unsafe,d=1000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  EXPECT_EQ(endpoint.CallsFor("m"), 1);
}

// A message's time runs from its client's sending: of a command that comes slowly, from its first byte.
TEST_F(NodeEndings, ACommandsTimeRunsFromItsFirstByte) {
  ASSERT_TRUE(node.Start());
  const std::string command = ClientStandIn::Enqueue("m", "c=safe,d=300,dest=7");
  ClientStandIn client(node.port);
  ASSERT_TRUE(client.Write(command.substr(0, 5)));
  std::this_thread::sleep_for(milliseconds(400));
  EXPECT_TRUE(client.Ask(command.substr(5)).starts_with("-BUSY"));  // its time is over
}

// The key of the order is the command's first word. What is behind it in its key waits until the end before
// it has been told to the platform, not only decided.
TEST_F(NodeEndings, AKeysNextMessageWaitsForTheNoticeBeforeIt) {
  std::atomic<bool> hang{true};
  EndpointStandIn endpoint(
      [&](Socket& s, const HttpRequest&, int) { return hang ? Hang(s) : s.Write(Answer(200)); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 1));
  platform.Set(PlatformStandIn::Member("s-2", endpoint.address(), 2));
  ListSettler();
  AddOrderedClass();
  ASSERT_TRUE(node.Start());
  Settle();
  platform.SetNoticeStatus(503);
  ClientStandIn client(node.port);
  ASSERT_EQ(client.Ask(Ordered("first", "00aa", "c=ordered,k=a,d=500,dest=1")), "+OK");
  ASSERT_EQ(client.Ask(Ordered("second", "00aa", "c=ordered,k=b,d=60000,dest=2")), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("first") == 1; }));
  hang = false;
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() >= 3; }));  // ended, and not told yet
  Settle("later");
  EXPECT_EQ(endpoint.CallsFor("second"), 0);
  platform.SetNoticeStatus(204);
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("second") == 1; }));
  EXPECT_TRUE(HasNotice("first", "returned"));
}

// A key of zeros is none.
TEST_F(NodeEndings, ZerosAreNoKey) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest& r, int) {
    return r.headers.at("x-trace-id") == "first" ? Hang(s) : s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 1));
  platform.Set(PlatformStandIn::Member("s-2", endpoint.address(), 2));
  ListSettler();
  AddOrderedClass();
  ASSERT_TRUE(node.Start());
  Settle();
  ClientStandIn client(node.port);
  ASSERT_EQ(client.Ask(Ordered("first", "0000000000000000", "c=ordered,k=a,d=60000,dest=1")), "+OK");
  ASSERT_EQ(client.Ask(Ordered("second", "0000000000000000", "c=ordered,k=b,d=60000,dest=2")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("second") == 1; }));
}

// Idle clients take every place while discovery is down, at a process that has far fewer descriptors than its
// configuration says. The list, calls and notices have theirs all the same.
TEST_F(NodeEndings, IdleClientsTakeNoDescriptorFromTheListNorFromCalls) {
  EndpointStandIn endpoint, hung([](Socket&s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  platform.Set(PlatformStandIn::Member("s-2", hung.address(), 8));
  platform.Down(true);
  ASSERT_TRUE(node.Start(100));
  std::vector<Socket> idle;
  for (int i = 0; i < 200; ++i) idle.push_back(Socket::Connect(node.port));
  EXPECT_EQ(ClientStandIn(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG");  // one gave way
  platform.Down(false);
  ASSERT_TRUE(EnqueueOnceListed("m", "c=safe,d=60000,dest=7"));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  ASSERT_TRUE(EnqueueOnceListed("late", "c=unsafe,d=300,dest=8"));
  EXPECT_TRUE(Eventually([&] { return HasNotice("late", "failed"); }));
  EXPECT_EQ(node.log().find("too many open files"), std::string::npos);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
