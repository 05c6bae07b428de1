// Daily operation of the built program: the operators' HTTP address, the statistics, quiescing behind a load
// balancer, and a process that replaces another on the same address and state folder.
#include <gtest/gtest.h>

#include <csignal>
#include <string>

#include "operators_calls.h"
#include "stand_ins.h"
#include "successor.h"

namespace indigosaddle::testing {
namespace {

std::string Ping(int port) { return ClientStandIn(port).Ask(ClientStandIn::Command({"PING"})); }

class OperationsTest : public NodeTest {
 protected:
  OperationsTest() : operators_port(FreePort()) {
    node.config["control"] = "127.0.0.1:" + std::to_string(operators_port);
  }
  int operators_port;
};

TEST_F(OperationsTest, HealthReportsReadyAndOtherPathsAreErrors) {
  ASSERT_TRUE(node.Start());
  EXPECT_EQ(Call(operators_port, "GET", "/admin/health"), std::make_pair(200, std::string("ready\n")));
  EXPECT_EQ(Call(operators_port, "GET", "/admin/nothing").first, 404);
  EXPECT_EQ(Call(operators_port, "GET", "/admin/quiesce").first, 405);  // commands require POST
  EXPECT_EQ(Ping(node.port), "+PONG");
}

TEST_F(OperationsTest, SilentClientsDoNotBlockOthers) {
  ASSERT_TRUE(node.Start());
  std::vector<Socket> silent_clients;
  for (int i = 0; i < 40; ++i) silent_clients.push_back(Socket::Connect(operators_port));
  EXPECT_EQ(Call(operators_port, "GET", "/admin/health").first, 200);
  Socket malformed_request = Socket::Connect(operators_port);
  ASSERT_TRUE(malformed_request.Write("\x01\x02 not http\r\n\r\n"));
  EXPECT_EQ(malformed_request.Read().rfind("HTTP/1.1 400", 0), 0U);
}

// Bytes that a client sends after its request are discarded, and the answer still arrives completely and ends
// with an orderly close. Guards against a close with unread bytes, which reset the connection and lost the
// answer.
TEST_F(OperationsTest, RequestFollowedByExtraBytesGetsItsWholeAnswerAndAnOrderlyClose) {
  ASSERT_TRUE(node.Start());
  const std::string expected_body = Call(operators_port, "GET", "/admin/stats").second;
  for (const std::size_t extra_bytes : {1, 100, 60000}) {
    const Socket caller = Socket::Connect(operators_port);
    ASSERT_TRUE(
        caller.Write("GET /admin/stats HTTP/1.1\r\nHost: node\r\n\r\n" + std::string(extra_bytes, 'x')));
    std::string bytes;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(caller.get(), buffer, sizeof buffer, 0)) > 0) {
      bytes.append(buffer, static_cast<std::size_t>(count));
      caller.Write("more");  // while the answer arrives
    }
    EXPECT_EQ(count, 0) << "connection reset after extra bytes: " << extra_bytes;
    EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200"));
    EXPECT_EQ(std::count(bytes.begin(), bytes.end(), '\n'),
              std::count(expected_body.begin(), expected_body.end(), '\n') + 6);
  }
}

TEST_F(OperationsTest, StatisticsCountByClassFromTheStart) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle("one");
  Settle("two");
  // No endpoint is listed for 7: the message is rejected at admission.
  ASSERT_EQ(Enqueue("nowhere", "c=unsafe,d=50,dest=7").rfind("-BUSY", 0), 0U);
  const std::string statistics = Call(operators_port, "GET", "/admin/stats").second;
  EXPECT_NE(statistics.find("app.downstream_requests.safe.completed:2|c\n"), std::string::npos) << statistics;
  EXPECT_NE(statistics.find("app.downstream_requests.unsafe.rejected:1|c\n"), std::string::npos)
      << statistics;
  EXPECT_NE(statistics.find("app.downstream_requests.keyed.completed:0|c\n"), std::string::npos)
      << statistics;
  EXPECT_NE(statistics.find("app.upstream_requests:2|c\n"), std::string::npos) << statistics;
  EXPECT_NE(statistics.find("app.pending:0|g\n"), std::string::npos) << statistics;
  EXPECT_NE(statistics.find("app.members:1|g\n"), std::string::npos) << statistics;
  EXPECT_NE(statistics.find("app.config_reloads:0|c\n"), std::string::npos) << statistics;
}

TEST_F(OperationsTest, ReloadsAndRejectedFilesAreCounted) {
  ASSERT_TRUE(node.Start());
  node.Signal(SIGHUP);
  ASSERT_TRUE(Eventually([&] {
    return Call(operators_port, "GET", "/admin/stats").second.find("app.config_reloads:1|c") !=
           std::string::npos;
  }));
  node.WriteConfig("{\"name\": ");  // truncated
  node.Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] {
    return Call(operators_port, "GET", "/admin/stats").second.find("app.config_reload_errors:1|c") !=
           std::string::npos;
  }));
}

TEST_F(OperationsTest, QuiescedNodeFailsPingAndClosesClientsUntilResumed) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  ClientStandIn idle(node.port);
  ASSERT_EQ(idle.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  EXPECT_EQ(Call(operators_port, "POST", "/admin/quiesce").first, 200);
  EXPECT_NE(Ping(node.port), "+PONG");
  EXPECT_EQ(Call(operators_port, "GET", "/admin/health").first, 503);
  // The connection of a client that is idle between requests is closed.
  const auto quiesced_at = Clock::now();
  EXPECT_TRUE(idle.socket().Read(std::chrono::milliseconds(3000)).empty());
  EXPECT_LT(Clock::now() - quiesced_at, std::chrono::seconds(2));
  // Messages that arrive meanwhile are still accepted and delivered.
  Settle("meanwhile");
  EXPECT_EQ(Call(operators_port, "POST", "/admin/resume").first, 200);
  EXPECT_EQ(Ping(node.port), "+PONG");
  EXPECT_EQ(Call(operators_port, "GET", "/admin/health").first, 200);
}

class SuccessorTest : public OperationsTest {
 protected:
  SuccessorTest() : successor(platform.address()) {}
  void StartSuccessor() {
    ConfigureAsSuccessor(successor, node);
    successor.config["control"] = "127.0.0.1:" + std::to_string(FreePort());
    ASSERT_TRUE(successor.Start());
    ASSERT_NE(successor.log().find("journal.shared"), std::string::npos);
  }
  bool HasTakenOver() { return successor.log().find("journal.taken_over") != std::string::npos; }
  NodeProcess successor;
};

TEST_F(SuccessorTest, ResumesPendingMessagesOfAPredecessorThatEndsAtOnce) {
  ASSERT_TRUE(node.Start());
  // No endpoint is listed for 7 yet: the message stays pending.
  ASSERT_EQ(Enqueue("left", "c=safe,d=60000,dest=7"), "+OK");
  ClientStandIn idle(node.port);
  ASSERT_EQ(idle.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  StartSuccessor();
  const auto stopped_at = Clock::now();
  node.Signal(SIGTERM);
  EXPECT_TRUE(idle.socket().Read().empty());
  EXPECT_EQ(node.Wait(), 0);
  // Without a successor the stop takes at least 3 s.
  EXPECT_LT(Clock::now() - stopped_at, std::chrono::seconds(2));
  ASSERT_TRUE(Eventually([&] { return HasTakenOver(); }));
  EXPECT_EQ(Ping(successor.port), "+PONG");
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("seven", endpoint.address(), 7));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("left") == 1; }));
  // The successor's own messages are delivered as well.
  ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue("new", "c=safe,d=60000,dest=7")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("new") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("left"), 1);
}

TEST_F(SuccessorTest, StartsNoCallWhileThePredecessorsCallsAreInFlight) {
  EndpointStandIn endpoint([](Socket& socket, const HttpRequest&, int) { return Hang(socket); });
  platform.Set(PlatformStandIn::Member("seven", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("out", "c=safe,d=60000,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("out") == 1; }));
  StartSuccessor();
  node.Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node.log().find("stopping") != std::string::npos; }));
  ASSERT_EQ(ClientStandIn(successor.port).Ask(ClientStandIn::Enqueue("new", "c=safe,d=60000,dest=7")), "+OK");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(endpoint.CallsFor("new"), 0);
  EXPECT_FALSE(HasTakenOver());
  // A predecessor that does not end delays the successor's calls only briefly.
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("new") == 1; }));
  EXPECT_EQ(node.Wait(), 0);
}

TEST_F(SuccessorTest, ThirdProcessIsRejected) {
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
