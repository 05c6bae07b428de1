// The built program with malformed or incomplete input: endpoint lists, commands and operators' requests.
#include <gtest/gtest.h>

#include <string>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class MalformedInput : public NodeTest {};

// Guards against an unreadable entry in a change that leaves its endpoint ready. The node requests the
// complete list at once, and uses the endpoint again once its entry is readable.
TEST_F(MalformedInput, EndpointWithAMalformedEntryGetsNoCallsUntilItIsReadable) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle();
  const int lists_before = platform.whole_lists();
  auto malformed = PlatformStandIn::Member("s-1", endpoint.address(), 7);
  malformed.erase("health");
  platform.Set(malformed);
  EXPECT_TRUE(Eventually([&] { return platform.whole_lists() > lists_before; }));
  ClientStandIn client(node.port);
  ASSERT_EQ(client.Ask(ClientStandIn::Enqueue("held", "c=safe,d=60000,dest=7")), "+OK");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(endpoint.CallsFor("held"), 0);
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("held") == 1; }));
}

// A contradictory command is rejected, and no call is made for it.
TEST_F(MalformedInput, CommandWithADuplicateDestinationIsRejected) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle();
  ClientStandIn client(node.port);
  EXPECT_EQ(client.Ask(ClientStandIn::Enqueue("twice", "c=safe,d=60000,dest=8,dest=7")),
            "-ERR dest is given twice");
  ASSERT_EQ(client.Ask(ClientStandIn::Enqueue("once", "c=safe,d=60000,dest=7")), "+OK");
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("once") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("twice"), 0);
}

// An incomplete operators' request, or one with another method, has no effect.
TEST_F(MalformedInput, PartialRequestAtTheOperatorsAddressHasNoEffect) {
  int operators_port = 0;
  Socket::Listen(operators_port).Close();
  node.config["control"] = "127.0.0.1:" + std::to_string(operators_port);
  ASSERT_TRUE(node.Start());
  for (const std::string partial_request :
       {"POST /admin/quiesce HTTP/1.1\r\n", "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\n",
        "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\n\r\nab",
        "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\nContent-Length: -1\r\n\r\n",
        "POST /admin/quiesc HTTP/1.1\r\nHost: n\r\n\r\n", "post /admin/quiesce HTTP/1.1\r\nHost: n\r\n\r\n",
        "GET /admin/quiesce HTTP/1.1\r\nHost: n\r\n\r\n", "POST  HTTP/1.1\r\nHost: n\r\n\r\n",
        "POST /admin/quiesce/ HTTP/1.1\r\nHost: n\r\n\r\n"}) {
    Socket socket = Socket::Connect(operators_port);
    ASSERT_TRUE(socket.Write(partial_request));
    shutdown(socket.get(), SHUT_WR);
    socket.Read();
    EXPECT_EQ(ClientStandIn(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG") << partial_request;
  }
}

}  // namespace
}  // namespace indigosaddle::testing
