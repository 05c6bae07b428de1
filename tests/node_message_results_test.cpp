// Results of messages at the built node. Each test waits for an observed event before its next step: a byte
// read, a record on the disk, a state reached (docs/design/005).
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// A listener whose accept queue is full, so that connections to it are not established.
class UnacceptingListener {
 public:
  UnacceptingListener() : listener_(Socket::Listen(port_)) {
    listen(listener_.get(), 0);
    sockaddr_in loopback{};
    loopback.sin_family = AF_INET;
    loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    loopback.sin_port = htons(static_cast<std::uint16_t>(port_));
    for (int i = 0; i < 4; ++i) {
      pending_connections_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      connect(pending_connections_.back().get(), reinterpret_cast<sockaddr*>(&loopback), sizeof loopback);
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int port_ = 0;
  Socket listener_;
  std::vector<Socket> pending_connections_;
};

class MessageResults : public NodeTest {
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
  static std::string OrderedCommand(const std::string& id, const std::string& key,
                                    const std::string& fields) {
    return ClientStandIn::Command({"ENQUEUE", key, id, fields, "body"});
  }
};

// The process is killed while a call waits for its connection: no byte has been sent, so that the next
// process tries even an unsafe message. Guards against a recorded attempt that counts as one that may have
// run, so that the message fails without having been tried.
TEST_F(MessageResults, UnsafeMessageIsTriedAfterAKillBeforeItsConnectionWasUp) {
  const UnacceptingListener listener;
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("not-up-yet", listener.address(), 7));
  node.config["settings"]["caps"]["dialTimeout"] = 60000.0;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=60000,dest=7"));
  ASSERT_TRUE(JournalHas("not-up-yet"));  // the call is decided and recorded
  node.Kill(SIGKILL);
  platform.Set(PlatformStandIn::Member("not-up-yet", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  EXPECT_TRUE(platform.notices().empty());
}

// The opposite case: once a byte of the call may have been sent, the call may have run and is not repeated.
TEST_F(MessageResults, UnsafeMessageFailsAfterAKillWithItsCallWritten) {
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

// A notice that is not answered is repeated on another connection while it is still in time: 300 ms after the
// message's deadline it is lost. Guards against repeats that come only once a second.
TEST_F(MessageResults, UnansweredNoticeIsRepeatedSoon) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  platform.IgnoreNotices(1);
  ASSERT_TRUE(EnqueueOnceListed("m", "c=unsafe,d=300,dest=7"));
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() == 1; }));
  const auto ignored_at = Clock::now();
  ASSERT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  EXPECT_LT(Clock::now() - ignored_at, milliseconds(800));  // 120 ms, with tolerance for a slow machine
}

// A 200 just before a message's deadline may be too late by its client's clock, so that the platform gets a
// notice as well. Without one, such a message was lost.
TEST_F(MessageResults, DeliveryJustBeforeTheDeadlineAlsoSendsANotice) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    std::this_thread::sleep_for(milliseconds(975));  // of a deadline of 1,000 ms
    return s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  // The attempt timeout is the time left until the deadline.
  node.config["settings"]["classes"][2]["aim"] = 2000.0;
  ASSERT_TRUE(node.Start());
  Settle();
  ASSERT_EQ(Enqueue("m", "c=unsafe,d=1000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  EXPECT_EQ(endpoint.CallsFor("m"), 1);
}

// A message's deadline counts from the time its client sends it: for a command that arrives slowly, from the
// first byte.
TEST_F(MessageResults, DeadlineRunsFromTheFirstByteOfTheCommand) {
  ASSERT_TRUE(node.Start());
  const std::string command = ClientStandIn::Enqueue("m", "c=safe,d=300,dest=7");
  ClientStandIn client(node.port);
  ASSERT_TRUE(client.Write(command.substr(0, 5)));
  std::this_thread::sleep_for(milliseconds(400));
  EXPECT_TRUE(client.Ask(command.substr(5)).starts_with("-BUSY"));  // its deadline has passed
}

// The order key is the command's first argument. The next message of a key waits until the platform has been
// notified of the previous result, not only until the result is decided.
TEST_F(MessageResults, NextMessageOfAnOrderKeyWaitsForThePreviousNotice) {
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
  ASSERT_EQ(client.Ask(OrderedCommand("first", "00aa", "c=ordered,k=a,d=500,dest=1")), "+OK");
  ASSERT_EQ(client.Ask(OrderedCommand("second", "00aa", "c=ordered,k=b,d=60000,dest=2")), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("first") == 1; }));
  hang = false;
  // The first message has a result that the platform has not accepted yet.
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() >= 3; }));
  Settle("later");
  EXPECT_EQ(endpoint.CallsFor("second"), 0);
  platform.SetNoticeStatus(204);
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("second") == 1; }));
  EXPECT_TRUE(HasNotice("first", "returned"));
}

// An order key of zeros means that the message has none, so that messages do not wait for each other.
TEST_F(MessageResults, OrderKeyOfZerosMeansNoKey) {
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
  ASSERT_EQ(client.Ask(OrderedCommand("first", "0000000000000000", "c=ordered,k=a,d=60000,dest=1")), "+OK");
  ASSERT_EQ(client.Ask(OrderedCommand("second", "0000000000000000", "c=ordered,k=b,d=60000,dest=2")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("second") == 1; }));
}

// Idle clients use all client connections while discovery is down, in a process that has far fewer file
// descriptors than its configuration says. The endpoint list, calls and notices still get theirs.
TEST_F(MessageResults, IdleClientsLeaveDescriptorsForDiscoveryAndCalls) {
  EndpointStandIn endpoint, hung([](Socket&s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  platform.Set(PlatformStandIn::Member("s-2", hung.address(), 8));
  platform.Down(true);
  ASSERT_TRUE(node.Start(100));
  std::vector<Socket> idle_connections;
  for (int i = 0; i < 200; ++i) idle_connections.push_back(Socket::Connect(node.port));
  // An idle client was evicted.
  EXPECT_EQ(ClientStandIn(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG");
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
