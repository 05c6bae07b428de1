// The built program against stand-ins: its behaviour towards clients and endpoints.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

TEST_F(NodeTest, MessageIsDeliveredUnchanged) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  const std::string body("\0\r\n*1\r\n$5", 9);
  EXPECT_EQ(Enqueue("9b1f03aa5c7e2d41", "c=keyed,d=8000,k=5c0f6e1a,dest=7", body), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("9b1f03aa5c7e2d41") == 1; }));
  const HttpRequest call = endpoint.calls()[0];
  EXPECT_EQ(call.line, "POST /hook HTTP/1.1");
  EXPECT_EQ(call.headers.at("idempotency-key"), "5c0f6e1a");
  EXPECT_EQ(call.headers.at("x-expires-in").back(), 'm');
  EXPECT_EQ(call.body, body);
  EXPECT_TRUE(platform.notices().empty());
}

// A connection is reused only after it has been silent for a while.
TEST_F(NodeTest, ConnectionsAreReusedForLaterCalls) {
  constexpr int kMessages = 10;
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  for (int burst = 0; burst < 3; ++burst) {
    for (int i = 0; i < kMessages; ++i) {
      const std::string id = "m" + std::to_string(burst) + "-" + std::to_string(i);
      ASSERT_EQ(Enqueue(id, "c=safe,d=8000,dest=7"), "+OK");
      ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor(id) == 1; }));
    }
    EXPECT_EQ(endpoint.server().accepted, kMessages);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  }
}

// One row of the outcome table: the answer to the first call, and the result of an unsafe message.
struct OutcomeCase {
  const char* name;
  EndpointStandIn::React first_answer;
  enum { kDeliveredBySecondCall, kFailedAfterFirstCall, kNoFurtherCall } result;
};

void PrintTo(const OutcomeCase& outcome_case, std::ostream* out) { *out << outcome_case.name; }

class OutcomeTable : public NodeTest, public ::testing::WithParamInterface<OutcomeCase> {};

TEST_P(OutcomeTable, OfAnUnsafeMessage) {
  const OutcomeCase& outcome_case = GetParam();
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest& r, int number) {
    return number == 1 ? outcome_case.first_answer(s, r, number) : s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("m", "c=unsafe,d=60000,dest=7"), "+OK");
  if (outcome_case.result == OutcomeCase::kDeliveredBySecondCall) {
    ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 2; }));
  } else if (outcome_case.result == OutcomeCase::kFailedAfterFirstCall) {
    ASSERT_TRUE(Eventually([&] { return HasNotice("m", "failed"); }));
  } else {
    ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  }
  Settle();
  EXPECT_EQ(endpoint.CallsFor("m"), outcome_case.result == OutcomeCase::kDeliveredBySecondCall ? 2 : 1);
  EXPECT_EQ(platform.notices().size(), outcome_case.result == OutcomeCase::kFailedAfterFirstCall ? 1u : 0u);
}

EndpointStandIn::React AnswerWith(std::string text) {
  return [text = std::move(text)](Socket& s, const HttpRequest&, int) { return s.Write(text); };
}

INSTANTIATE_TEST_SUITE_P(
    EachRow, OutcomeTable,
    ::testing::Values(
        OutcomeCase{"error", AnswerWith(Answer(500)), OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"told_to_wait", AnswerWith(Answer(429, "X-Retry-In-Ms: 50\r\n")),
                    OutcomeCase::kDeliveredBySecondCall},
        OutcomeCase{"turned_away", AnswerWith(Answer(503)), OutcomeCase::kDeliveredBySecondCall},
        OutcomeCase{"no_slot", AnswerWith(Answer(503, "X-No-Slot: 1\r\n")),
                    OutcomeCase::kDeliveredBySecondCall},
        OutcomeCase{"no_attempts_left", AnswerWith(Answer(504)), OutcomeCase::kDeliveredBySecondCall},
        OutcomeCase{"over", AnswerWith(Answer(410)), OutcomeCase::kNoFurtherCall},
        OutcomeCase{"other_status", AnswerWith(Answer(404)), OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"unreadable", AnswerWith("rubbish\r\n\r\n"), OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"body_too_long",
                    AnswerWith("HTTP/1.1 500 X\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x')),
                    OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"ended", [](Socket&, const HttpRequest&, int) { return false; },
                    OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"reset",
                    [](Socket& s, const HttpRequest&, int) {
                      s.Reset();
                      return false;
                    },
                    OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"ended_mid_answer",
                    [](Socket& s, const HttpRequest&, int) {
                      s.Write("HTTP/1.1 503 X\r\nX-Ret");
                      return false;
                    },
                    OutcomeCase::kFailedAfterFirstCall},
        OutcomeCase{"delivered_by_its_first_line",
                    [](Socket& s, const HttpRequest&, int) {
                      s.Write("HTTP/1.1 200 OK\r\nX-");
                      return false;
                    },
                    OutcomeCase::kNoFurtherCall},
        OutcomeCase{"delivered_without_a_length",
                    [](Socket& s, const HttpRequest&, int) {
                      s.Write("HTTP/1.1 200 OK\r\n\r\n");
                      return Hang(s);
                    },
                    OutcomeCase::kNoFurtherCall},
        OutcomeCase{"timed_out", [](Socket& s, const HttpRequest&, int) { return Hang(s); },
                    OutcomeCase::kFailedAfterFirstCall}),
    [](const auto& outcome_case) { return std::string(outcome_case.param.name); });

TEST_F(NodeTest, CallOverARefusedConnectionHasNotRun) {
  int port = 0;
  { const Socket gone = Socket::Listen(port); }
  platform.Set(PlatformStandIn::Member("s-1", "127.0.0.1:" + std::to_string(port), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("m", "c=unsafe,d=60000,dest=7"), "+OK");
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
  EXPECT_TRUE(platform.notices().empty());
}

TEST_F(NodeTest, MalformedCommandsAreAnsweredAndOtherClientsServed) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  ClientStandIn other(node.port);
  EXPECT_EQ(other.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  ClientStandIn client(node.port);
  EXPECT_EQ(client.Ask(ClientStandIn::Command({"GET", "x"})).substr(0, 4), "-ERR");
  EXPECT_EQ(client.Ask(ClientStandIn::Enqueue("m", "c=nothing,d=1000,dest=7")), "-ERR unknown class");
  EXPECT_EQ(client.Ask(ClientStandIn::Enqueue("m", "c=safe,t=nobody,d=1000,dest=7")), "-ERR unknown tenant");
  EXPECT_EQ(client.Ask(ClientStandIn::Enqueue("m", "c=safe,dest=7")).substr(0, 4), "-ERR");
  EXPECT_EQ(client.Ask(ClientStandIn::Command({"ping"})), "+PONG");  // the command stream is still in step
  EXPECT_EQ(client.Ask("*1\r\n$70000\r\n").substr(0, 4), "-ERR");
  EXPECT_EQ(client.ReadLine(), "");  // closed
  EXPECT_EQ(other.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  Settle();
}

TEST_F(NodeTest, PipelinedCommandsInSingleBytesAreAnsweredInOrder) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  const std::string bytes = ClientStandIn::Command({"PING"}) +
                            ClientStandIn::Enqueue("a", "c=safe,d=60000,dest=99") +
                            ClientStandIn::Command({"PING", "x"}) + ClientStandIn::Command({"NO"}) +
                            ClientStandIn::Enqueue("b", "c=safe,d=60000,dest=99");
  ClientStandIn client(node.port);
  for (char c : bytes) ASSERT_TRUE(client.Write(std::string_view(&c, 1)));
  const std::vector<std::string> wanted = {"+PONG", "+OK", "$1", "x", "-ERR unknown command", "+OK"};
  for (const std::string& line : wanted) EXPECT_EQ(client.ReadLine(), line);
  EXPECT_TRUE(Eventually([&] { return settler.CallsFor("a") == 1 && settler.CallsFor("b") == 1; }));
}

TEST_F(NodeTest, MessagesAboveTheOpenLimitGetBusy) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  node.config["settings"]["caps"]["maxOpen"] = 3;
  ASSERT_TRUE(node.Start());
  std::multiset<std::string> answers;
  for (int i = 0; i < 6; ++i)
    answers.insert(Enqueue("m" + std::to_string(i), "c=unsafe,d=60000,dest=7").substr(0, 5));
  EXPECT_GE(answers.count("-BUSY"), 3u);
  EXPECT_GE(answers.count("+OK"), 1u);
}

TEST_F(NodeTest, FullJournalMeansBusyUntilItHasSpace) {
  std::atomic<bool> hang{true};
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest&, int) {
    while (hang) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  node.config["limits"]["disk_mb"] = 0.1;
  ASSERT_TRUE(node.Start());
  const std::string body(10000, 'x');
  int accepted = 0;
  for (int i = 0; i < 10; ++i)
    accepted += Enqueue("m" + std::to_string(i), "c=safe,d=60000,dest=7", body) == "+OK";
  EXPECT_GE(accepted, 1);
  EXPECT_LE(accepted, 4);
  hang = false;
  EXPECT_TRUE(Eventually([&] { return Enqueue("later", "c=safe,d=60000,dest=7", body) == "+OK"; }));
  std::uintmax_t on_disk = 0;
  for (const auto& file : std::filesystem::directory_iterator(node.folder + "/state"))
    on_disk += file.file_size();
  EXPECT_LE(on_disk, 100000u);
}

TEST_F(NodeTest, ClientThatClosesBeforeItsAnswerWithdrawsItsMessage) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  {
    ClientStandIn client(node.port);
    ASSERT_EQ(client.Ask(ClientStandIn::Command({"PING"})), "+PONG");
    node.Signal(SIGSTOP);  // so that the node reads the command and the end of the connection together
    ASSERT_TRUE(client.Write(ClientStandIn::Enqueue("gone", "c=unsafe,d=60000,dest=7")));
  }
  node.Signal(SIGCONT);
  Settle();
  EXPECT_EQ(endpoint.CallsFor("gone"), 0);
  EXPECT_TRUE(platform.notices().empty());
}

}  // namespace
}  // namespace indigosaddle::testing
