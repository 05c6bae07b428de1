// The built program as operators run it daily: the HTTP address, the figures, emptying for a front, and a
// process that replaces another on the same address and state folder.
#include <gtest/gtest.h>

#include <csignal>
#include <string>

#include "operators_calls.h"
#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

std::string Ping(int port) { return ClientStandIn(port).Ask(ClientStandIn::Command({"PING"})); }

class OpsTest : public NodeTest {
 protected:
  OpsTest() : control(FreePort()) { node.config["control"] = "127.0.0.1:" + std::to_string(control); }
  int control;
};

TEST_F(OpsTest, HealthSaysReadyAndOtherPathsAreNamed) {
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(Call(control, "GET", "/admin/health"), std::make_pair(200, std::string("ready\n")));
  EXPECT_EQ(Call(control, "GET", "/admin/nothing").first, 404);
  EXPECT_EQ(Call(control, "GET", "/admin/quiesce").first, 405);  // a command is a POST
  EXPECT_EQ(Ping(node.port), "+PONG");
}

TEST_F(OpsTest, ACallerThatSaysNothingKeepsNoOtherOut) {
  ASSERT_TRUE(node.Start());
  std::vector<Socket> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(Socket::Connect(control));
  EXPECT_EQ(Call(control, "GET", "/admin/health").first, 200);
  Socket garbled = Socket::Connect(control);
  ASSERT_TRUE(garbled.Write("\x01\x02 not http\r\n\r\n"));
  EXPECT_EQ(garbled.Read().rfind("HTTP/1.1 400", 0), 0U);
}

// What a caller sends behind its call is dropped unread by the operators' part, and the answer is whole all
// the same, with an orderly end behind it: closed over those bytes, the connection was reset and the answer
// lost.
TEST_F(OpsTest, ACallWithBytesBehindItHasItsWholeAnswerAndAnOrderlyEnd) {
  ASSERT_TRUE(node.Start());
  const std::string whole = Call(control, "GET", "/admin/stats").second;
  for (const std::size_t behind : {1, 100, 60000}) {
    const Socket caller = Socket::Connect(control);
    ASSERT_TRUE(caller.Write("GET /admin/stats HTTP/1.1\r\nHost: node\r\n\r\n" + std::string(behind, 'x')));
    std::string bytes;
    char space[4096];
    ssize_t count = 0;
    while ((count = recv(caller.get(), space, sizeof space, 0)) > 0) {
      bytes.append(space, static_cast<std::size_t>(count));
      caller.Write("more");  // as the answer comes
    }
    EXPECT_EQ(count, 0) << "reset behind " << behind;
    EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200"));
    EXPECT_EQ(std::count(bytes.begin(), bytes.end(), '\n'), std::count(whole.begin(), whole.end(), '\n') + 6);
  }
}

TEST_F(OpsTest, TheFiguresCountByClassFromTheStart) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle("one");
  Settle("two");
  // No endpoint is listed for 7: the message is refused at the door.
  ASSERT_EQ(Enqueue("nowhere", "c=unsafe,d=50,dest=7").rfind("-BUSY", 0), 0U);
  const std::string figures = Call(control, "GET", "/admin/stats").second;
  EXPECT_NE(figures.find("app.downstream_requests.safe.completed:2|c\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.downstream_requests.unsafe.rejected:1|c\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.downstream_requests.keyed.completed:0|c\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.upstream_requests:2|c\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.pending:0|g\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.members:1|g\n"), std::string::npos) << figures;
  EXPECT_NE(figures.find("app.config_reloads:0|c\n"), std::string::npos) << figures;
}

TEST_F(OpsTest, ReloadsAndRefusedFilesAreCounted) {
  ASSERT_TRUE(node.Start());
  node.Signal(SIGHUP);
  ASSERT_TRUE(Eventually([&] {
    return Call(control, "GET", "/admin/stats").second.find("app.config_reloads:1|c") != std::string::npos;
  }));
  node.WriteConfig("{\"name\": ");  // cut off
  node.Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] {
    return Call(control, "GET", "/admin/stats").second.find("app.config_reload_errors:1|c") !=
           std::string::npos;
  }));
}

TEST_F(OpsTest, QuiescedPingSaysNoClientsAreLetGoAndResumeBringsItBack) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  ClientStandIn idle(node.port);
  ASSERT_EQ(idle.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  EXPECT_EQ(Call(control, "POST", "/admin/quiesce").first, 200);
  EXPECT_NE(Ping(node.port), "+PONG");
  EXPECT_EQ(Call(control, "GET", "/admin/health").first, 503);
  // A client that stands between requests is let go; it sees the connection end.
  const auto since = Clock::now();
  EXPECT_TRUE(idle.socket().Read(std::chrono::milliseconds(3000)).empty());
  EXPECT_LT(Clock::now() - since, std::chrono::seconds(2));
  // What comes meanwhile is still taken and delivered.
  Settle("meanwhile");
  EXPECT_EQ(Call(control, "POST", "/admin/resume").first, 200);
  EXPECT_EQ(Ping(node.port), "+PONG");
  EXPECT_EQ(Call(control, "GET", "/admin/health").first, 200);
}

class SuccessorTest : public OpsTest {
 protected:
  SuccessorTest() : successor(platform.address()) {}
  void StartSuccessor() {
    successor.config = node.config;
    successor.config["listen"] = "127.0.0.1:" + std::to_string(node.port);
    successor.config["control"] = "127.0.0.1:" + std::to_string(FreePort());
    successor.shared_state = node.folder + "/state";
    ASSERT_TRUE(successor.Start());
    ASSERT_NE(successor.log().find("journal.shared"), std::string::npos);
  }
  bool TakenOver() { return successor.log().find("journal.taken_over") != std::string::npos; }
  NodeProcess successor;
};

TEST_F(SuccessorTest, ResumesWhatTheOldOneLeftWhichEndsAtOnce) {
  ASSERT_TRUE(node.Start());
  // Nothing is listed for 7 yet: the message stays open.
  ASSERT_EQ(Enqueue("left", "c=safe,d=60000,dest=7"), "+OK");
  ClientStandIn idle(node.port);
  ASSERT_EQ(idle.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  StartSuccessor();
  const auto since = Clock::now();
  node.Signal(SIGTERM);
  EXPECT_TRUE(idle.socket().Read().empty());
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_LT(Clock::now() - since, std::chrono::seconds(2));  // 3 s and more without a successor
  ASSERT_TRUE(Eventually([&] { return TakenOver(); }));
  EXPECT_EQ(Ping(successor.port), "+PONG");
  EndpointStandIn seven;
  platform.Set(PlatformStandIn::Member("seven", seven.address(), 7));
  EXPECT_TRUE(Eventually([&] { return seven.CallsFor("left") == 1; }));
  // The successor's own messages go on beside it.
  ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue("new", "c=safe,d=60000,dest=7")), "+OK");
  EXPECT_TRUE(Eventually([&] { return seven.CallsFor("new") == 1; }));
  EXPECT_EQ(seven.CallsFor("left"), 1);
}

TEST_F(SuccessorTest, BeginsNoCallWhileTheOldOnesAreOut) {
  EndpointStandIn seven([](Socket& socket, const HttpRequest&, int) { return Hang(socket); });
  platform.Set(PlatformStandIn::Member("seven", seven.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("out", "c=safe,d=60000,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return seven.CallsFor("out") == 1; }));
  StartSuccessor();
  node.Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node.log().find("stopping") != std::string::npos; }));
  ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue("new", "c=safe,d=60000,dest=7")), "+OK");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(seven.CallsFor("new"), 0);
  EXPECT_FALSE(TakenOver());
  // A predecessor that stays holds nothing up for long.
  EXPECT_TRUE(Eventually([&] { return seven.CallsFor("new") == 1; }));
  EXPECT_EQ(node.Wait(), 0);
}

TEST_F(SuccessorTest, AThirdProcessIsRefused) {
  ASSERT_TRUE(node.Start());
  StartSuccessor();
  NodeProcess third(platform.address());
  third.config = successor.config;
  third.config["control"] = "127.0.0.1:" + std::to_string(FreePort());
  third.shared_state = node.folder + "/state";
  EXPECT_FALSE(third.Start());
  EXPECT_EQ(third.Wait(), 1);
  EXPECT_NE(third.log().find("two processes serve from it already"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing
