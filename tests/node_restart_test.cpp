// The built program against stand-ins: endpoint lists, deadlines, restarts and shortages of resources.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;

TEST_F(NodeTest, ExpiredMessageSendsANoticeUntilThePlatformAcceptsIt) {
  platform.SetNoticeStatus(500);
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("late", "c=unsafe,d=200,dest=7"), "+OK");  // no endpoint is listed
  ASSERT_TRUE(Eventually([&] { return platform.notice_posts() >= 2; }));
  node.Kill(SIGKILL);  // the notice is still pending: the next process sends it again
  platform.SetNoticeStatus(204);
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return platform.notices().contains("late"); }));
  EXPECT_EQ(platform.notices()["late"].size(), 1u);
}

TEST_F(NodeTest, DrainingEndpointGetsNoNewCalls) {
  EndpointStandIn draining, ready;
  platform.Set(PlatformStandIn::Member("s-1", draining.address(), 7));
  platform.Set(PlatformStandIn::Member("s-2", ready.address(), 8));
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("before", "c=safe,d=60000,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return draining.CallsFor("before") == 1; }));
  platform.Set(PlatformStandIn::Member("s-1", draining.address(), 7, "Terminating"));
  platform.Set(PlatformStandIn::Member("s-3", ready.address(), 9));
  // Destination 9 is listed after the drain: once its message is accepted, the drain has arrived.
  ASSERT_TRUE(EnqueueOnceListed("told", "c=safe,d=60000,dest=9"));
  ASSERT_TRUE(Eventually([&] { return ready.CallsFor("told") == 1; }));
  ASSERT_EQ(Enqueue("after", "c=unsafe,d=500,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return platform.notices().contains("after"); }));
  EXPECT_EQ(draining.CallsFor("after"), 0);
}

TEST_F(NodeTest, ServesWhileDiscoveryIsDownAndRecovers) {
  EndpointStandIn first, second;
  platform.Set(PlatformStandIn::Member("s-1", first.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return platform.watches() == 1; }));
  platform.EndWatches();
  platform.Down(true);
  ASSERT_EQ(Enqueue("meanwhile", "c=safe,d=60000,dest=7"), "+OK");  // the last list stays in use
  EXPECT_TRUE(Eventually([&] { return first.CallsFor("meanwhile") == 1; }));
  platform.Down(false);
  platform.Set(PlatformStandIn::Member("s-2", second.address(), 8));
  ASSERT_TRUE(EnqueueOnceListed("news", "c=safe,d=60000,dest=8"));
  EXPECT_TRUE(Eventually([&] { return second.CallsFor("news") == 1; }));
}

TEST_F(NodeTest, StartWithoutDiscoveryUsesTheKnownList) {
  EndpointStandIn endpoint;
  platform.Down(true);
  node.config["known"] = {{"seq", 41},
                          {"whole", true},
                          {"hosts", Json::array({PlatformStandIn::Member("s-1", endpoint.address(), 7)})}};
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("m", "c=safe,d=60000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("m") == 1; }));
}

// With 100 nodes and lists on request, a rejected request is repeated after 2 to 4 s here; a single node
// would repeat it five times in the first 1.5 s. The known list is used meanwhile, and only changes are
// requested.
TEST_F(NodeTest, RequestsToARejectingDiscoveryBackOffWithTheFleetSize) {
  EndpointStandIn known, added;
  platform.Set(PlatformStandIn::Member("s-1", known.address(), 7));
  node.config["known"] = {{"seq", 2},
                          {"whole", true},
                          {"hosts", Json::array({PlatformStandIn::Member("s-1", known.address(), 7)})}};
  node.config["settings"]["discovery"] = "on_request";
  node.config["settings"]["balancers"] = 100;
  node.config["settings"]["guarantees"]["mustAskIn"] = 2000;
  platform.SetListStatus(503);
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return platform.refused_lists() == 1; }));
  ASSERT_EQ(Enqueue("m", "c=safe,d=60000,dest=7"), "+OK");
  EXPECT_TRUE(Eventually([&] { return known.CallsFor("m") == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(platform.refused_lists(), 1);
  platform.Set(PlatformStandIn::Member("s-2", added.address(), 8));
  platform.SetListStatus(200);
  ASSERT_TRUE(EnqueueOnceListed("news", "c=safe,d=60000,dest=8"));
  EXPECT_TRUE(Eventually([&] { return added.CallsFor("news") == 1; }));
  EXPECT_EQ(platform.whole_lists(), 0);
}

TEST_F(NodeTest, EachClassGetsItsResultAfterAKillWithCallsInFlight) {
  std::atomic<bool> hang{true};
  EndpointStandIn endpoint(
      [&](Socket& s, const HttpRequest&, int) { return hang ? Hang(s) : s.Write(Answer(200)); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 1));
  platform.Set(PlatformStandIn::Member("s-2", endpoint.address(), 2));
  platform.Set(PlatformStandIn::Member("s-3", endpoint.address(), 3));
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("safe", "c=safe,d=60000,dest=1"), "+OK");
  ASSERT_EQ(Enqueue("keyed", "c=keyed,d=60000,k=key,dest=2"), "+OK");
  ASSERT_EQ(Enqueue("unsafe", "c=unsafe,d=60000,dest=3"), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.calls().size() == 3; }));
  node.Kill(SIGKILL);
  hang = false;
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return HasNotice("unsafe", "failed"); }));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("safe") == 2 && endpoint.CallsFor("keyed") == 2; }));
  EXPECT_EQ(endpoint.CallsFor("unsafe"), 1);
  for (const HttpRequest& call : endpoint.calls()) {
    if (call.headers.at("x-trace-id") != "keyed") continue;
    EXPECT_EQ(call.headers.at("idempotency-key"), "key");
  }
}

TEST_F(NodeTest, DeliveredMessagesAreNotRepeatedAfterARestart) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  for (int i = 0; i < 10; ++i) ASSERT_EQ(Enqueue("m" + std::to_string(i), "c=safe,d=60000,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.calls().size() == 10; }));
  Settle();
  ASSERT_TRUE(Eventually([&] {  // the last results are recorded in the journal
    return std::filesystem::exists(node.folder + "/state/journal");
  }));
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  Settle("again");
  EXPECT_EQ(endpoint.calls().size(), 10u);
  EXPECT_TRUE(platform.notices().empty());
}

TEST_F(NodeTest, NoAcceptedMessageIsLostByAStopUnderLoad) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return s.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  std::set<std::string> accepted_ids;
  ClientStandIn client(node.port);
  for (int i = 0; i < 30; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (client.Ask(ClientStandIn::Enqueue(id, "c=keyed,d=60000,dest=7")) == "+OK") accepted_ids.insert(id);
    if (i == 10) node.Signal(SIGTERM);
  }
  EXPECT_GT(accepted_ids.size(), 20u);  // connected clients are still served
  EXPECT_EQ(client.ReadLine(), "");     // until the node closes the connection
  EXPECT_EQ(node.Wait(), 0);
  ASSERT_TRUE(node.Start());
  for (const std::string& id : accepted_ids) {
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) >= 1 || platform.notices().contains(id); }))
        << id;
  }
}

TEST_F(NodeTest, CorruptJournalIsReportedAndReplaced) {
  std::ofstream(node.folder + "/state/journal") << "rubbish";
  ListSettler();
  ASSERT_TRUE(node.Start());
  EXPECT_NE(node.log().find("not a journal"), std::string::npos);
  Settle();
}

TEST_F(NodeTest, ServesWhileShortOfDescriptors) {
  ListSettler();
  node.config["limits"]["sockets"] = 96;
  ASSERT_TRUE(node.Start(96));
  std::vector<ClientStandIn> clients;
  for (int i = 0; i < 120; ++i) clients.emplace_back(node.port);
  ClientStandIn late(node.port);
  EXPECT_EQ(late.Ask(ClientStandIn::Command({"PING"})), "+PONG");
  Settle();
  EXPECT_FALSE(node.Ended());
}

TEST_F(NodeTest, ClientsWithUnfinishedCommandsAreEvictedForANewClient) {
  node.config["limits"]["sockets"] = 96;
  ASSERT_TRUE(node.Start());
  std::vector<ClientStandIn> clients;
  for (int i = 0; i < 40; ++i) ASSERT_TRUE(clients.emplace_back(node.port).Write("*5\r\n$7\r\nENQ"));
  ClientStandIn late(node.port);
  EXPECT_EQ(late.Ask(ClientStandIn::Command({"PING"})), "+PONG");
}

TEST_F(NodeTest, MessagesOfAnOrderKeyKeepTheirOrderAcrossARestart) {
  std::atomic<bool> hang{true};
  EndpointStandIn endpoint(
      [&](Socket& s, const HttpRequest&, int) { return hang ? Hang(s) : s.Write(Answer(200)); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  for (Json& message_class : node.config["settings"]["classes"]) message_class["sequential"] = true;
  ASSERT_TRUE(node.Start());
  const std::vector<std::string> ids = {"a", "b", "c", "d"};
  for (const std::string& id : ids)
    ASSERT_EQ(Enqueue(id, "c=keyed,k=" + id + ",d=60000,thread=t1,dest=7"), "+OK");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("a") == 1; }));
  node.Kill(SIGKILL);
  EXPECT_EQ(endpoint.calls().size(), 1u);  // the others waited for the first
  hang = false;
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return endpoint.calls().size() == 5; }));
  std::vector<std::string> order;
  for (const HttpRequest& call : endpoint.calls()) order.push_back(call.headers.at("x-trace-id"));
  EXPECT_EQ(order, (std::vector<std::string>{"a", "a", "b", "c", "d"}));
}

TEST_F(NodeTest, SlowReaderIsThrottledAndOthersAreServed) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  ClientStandIn slow(node.port);
  fcntl(slow.socket().get(), F_SETFL, O_NONBLOCK);
  std::string commands;
  for (int i = 0; i < 1000; ++i) commands += ClientStandIn::Command({"PING", std::string(200, 'x')});
  for (int i = 0; i < 200; ++i) slow.Write(commands);  // until the node stops reading
  Settle();
}

TEST(NodeStart, InvalidConfigurationLogsOneLineAndExitsNonZero) {
  NodeProcess node("127.0.0.1:1");
  node.config["listen"] = "nowhere";
  EXPECT_FALSE(node.Start());
  EXPECT_EQ(node.Wait(), 2);
  const std::string log = node.log();
  EXPECT_NE(log.find("listen"), std::string::npos);
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
}

}  // namespace
}  // namespace indigosaddle::testing
