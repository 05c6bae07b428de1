// Ends of clients' connections at the built node: what crosses them, an emptied node's clients, commands that
// stop half way, and calls that hang over a whole stop.
#include <gtest/gtest.h>

#include <csignal>

#include "operators_calls.h"
#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Leaving : public NodeTest {
 protected:
  Leaving() : control_(FreePort()) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    node.config["control"] = "127.0.0.1:" + std::to_string(control_);
  }
  void Quiesce() const {
    const Socket socket = Socket::Connect(control_);
    ASSERT_TRUE(socket.Write("POST /admin/quiesce HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"));
    ASSERT_TRUE(socket.Read().starts_with("HTTP/1.1 200"));
  }
  static std::string Message(const std::string& id) {
    return ClientStandIn::Enqueue(id, "c=unsafe,d=20000,dest=7");
  }
  // A client that rests until the node ends its connection, and sends a message on it in that instant.
  void ExpectNotSentOn(ClientStandIn& resting) {
    EXPECT_EQ(resting.ReadLine(), "");  // its end has come
    resting.Write(Message("crossed"));
    EXPECT_EQ(resting.ReadLine(), "");
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_EQ(endpoint.CallsFor("crossed"), 0) << "read behind the end and sent on";
    EXPECT_TRUE(platform.notices().empty());
  }

  EndpointStandIn endpoint;
  int control_;
};

// Guards against a request that is sent on though its client was told by the end of its connection that it
// was not read, and sends it once more: at a planned stop.
TEST_F(Leaving, WhatComesBehindTheEndOfARestingConnectionIsNotSentOnAtAStop) {
  ASSERT_TRUE(node.Start());
  ClientStandIn resting(node.port);
  ASSERT_EQ(resting.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  node.Signal(SIGTERM);
  ExpectNotSentOn(resting);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(endpoint.CallsFor("crossed"), 0);
}

// The same where the node is emptied.
TEST_F(Leaving, WhatComesBehindTheEndOfARestingConnectionIsNotSentOnWhileEmptied) {
  ASSERT_TRUE(node.Start());
  ClientStandIn resting(node.port);
  ASSERT_EQ(resting.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  Quiesce();
  ExpectNotSentOn(resting);
}

// The same where it is closed for its quiet, in a crowd.
TEST_F(Leaving, WhatComesBehindTheEndOfARestingConnectionIsNotSentOnInACrowd) {
  node.config["limits"]["sockets"] = 96;
  ASSERT_TRUE(node.Start(96));
  std::vector<ClientStandIn> crowd;
  for (int i = 0; i < 20; ++i)
    ASSERT_EQ(crowd.emplace_back(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG");
  const auto ended = [&]() -> ClientStandIn* {
    for (ClientStandIn& client : crowd) {
      pollfd wait{client.socket().get(), POLLIN, 0};
      if (poll(&wait, 1, 0) == 1) return &client;
    }
    return nullptr;
  };
  ASSERT_TRUE(Eventually([&] { return ended() != nullptr; }));
  ExpectNotSentOn(*ended());
}

// Guards against a connection that an emptied node keeps: of a client that goes on asking, and of one that
// has never asked. Each request read has its answer, and what crosses the end is not sent on.
TEST_F(Leaving, AnEmptiedNodeLetsGoWhoGoesOnAskingAndWhoNeverAsks) {
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("first", "c=unsafe,d=20000,dest=7"));
  ClientStandIn busy(node.port), mute(node.port), paused(node.port);
  ASSERT_EQ(busy.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  ASSERT_EQ(paused.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  Quiesce();
  const auto since = Clock::now();
  std::string crossed;
  int answered = 0;
  for (int i = 0; crossed.empty() && Clock::now() - since < seconds(6); ++i) {
    const std::string id = "busy-" + std::to_string(i);
    busy.Ask(Message(id)).empty() ? void(crossed = id) : void(++answered);
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_LT(Clock::now() - since, seconds(4)) << "a busy client is kept";
  EXPECT_EQ(mute.ReadLine(), "");
  EXPECT_EQ(paused.ReadLine(), "");
  EXPECT_LT(Clock::now() - since, seconds(4)) << "an idle client is kept";
  for (int i = 0; i < answered; ++i) {
    const std::string id = "busy-" + std::to_string(i);
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) == 1; })) << id;
  }
  EXPECT_EQ(endpoint.CallsFor(crossed), 0) << "read behind the end and sent on";
  EXPECT_NE(ClientStandIn(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG");
  EXPECT_FALSE(node.Ended());
}

// Guards against a client that stops within a command and is kept for longer than the 3 s that it is owed.
TEST_F(Leaving, WhoStopsWithinACommandHasAnErrorOrTheEndInThreeSeconds) {
  ASSERT_TRUE(node.Start());
  const std::string whole = Message("half");
  std::vector<std::string> texts = {"*", "*5\r\n", "*5\r\n$7\r\nENQ", "*5\r\n$7\r\nENQUEUE\r\n$65536\r\nx"};
  for (std::size_t cut = 1; cut < whole.size(); cut += 7) texts.push_back(whole.substr(0, cut));
  std::vector<ClientStandIn> clients;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    clients.emplace_back(node.port);
    if (i % 2 == 0) {  // behind an answer
      ASSERT_EQ(clients.back().Ask(ClientStandIn::Command({"PING"})), "+PONG");
    }
    ASSERT_TRUE(clients.back().Write(texts[i]));
  }
  const auto stopped = Clock::now();
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const std::string reply = clients[i].ReadLine();
    EXPECT_TRUE(reply.empty() || reply.starts_with("-")) << texts[i] << reply;
  }
  EXPECT_LE(Clock::now() - stopped, milliseconds(3050));
  EXPECT_EQ(endpoint.CallsFor("half"), 0);
}

// Guards against what a hung endpoint leaves over a whole stop: no unsafe message again, none without an end.
TEST_F(Leaving, CallsThatHangOverAStopHaveTheirEndsInTheNextProcess) {
  std::atomic<bool> hang{true};
  EndpointStandIn hung(
      [&](Socket& s, const HttpRequest&, int) { return hang ? Hang(s) : s.Write(Answer(200)); });
  const std::vector<std::string> names = {"safe", "keyed", "unsafe"};
  for (int i = 0; i < 3; ++i)
    platform.Set(PlatformStandIn::Member("h-" + std::to_string(i), hung.address(), 20 + i));
  for (auto& one : node.config["settings"]["classes"]) one["aim"] = 30000.0;  // no time-out before the end
  ASSERT_TRUE(node.Start());
  for (int i = 0; i < 3; ++i) {
    const std::string& name = names[static_cast<std::size_t>(i)];
    ASSERT_TRUE(EnqueueOnceListed(name, "c=" + name + ",k=a,d=60000,dest=" + std::to_string(20 + i)));
    ASSERT_TRUE(Eventually([&] { return hung.CallsFor(name) == 1; }));
  }
  const auto told = Clock::now();
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_LT(Clock::now() - told, milliseconds(3700));
  hang = false;
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return HasNotice("unsafe", "failed"); }));
  EXPECT_TRUE(Eventually([&] { return hung.CallsFor("safe") == 2 && hung.CallsFor("keyed") == 2; }));
  EXPECT_EQ(hung.CallsFor("unsafe"), 1);
  EXPECT_EQ(platform.notices().size(), 1U);
}

}  // namespace
}  // namespace indigosaddle::testing
