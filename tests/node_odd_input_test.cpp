// The built program on input that lacks a part or has an odd one: lists, commands, operators' requests.
#include <gtest/gtest.h>

#include <string>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class NodeOddInput : public NodeTest {};

// A change of which an entry could not be read left its endpoint ready. The whole list, asked for at once,
// has it right again, and the endpoint is used as before.
TEST_F(NodeOddInput, AnEndpointWithAnOddEntryGetsNothingNewUntilItCanBeRead) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle();
  const int lists = platform.whole_lists();
  auto odd = PlatformStandIn::Member("s-1", endpoint.address(), 7);
  odd.erase("health");
  platform.Set(odd);
  EXPECT_TRUE(Eventually([&] { return platform.whole_lists() > lists; }));
  ClientStandIn client(node.port);
  ASSERT_EQ(client.Ask(ClientStandIn::Enqueue("held", "c=safe,d=60000,dest=7")), "+OK");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(endpoint.CallsFor("held"), 0);
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("held") == 1; }));
}

// A command that can't be believed is refused, and nothing is sent for it.
TEST_F(NodeOddInput, ACommandWithADestinationGivenTwiceIsRefused) {
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

// Half an operator's request, or one by another method, is no command.
TEST_F(NodeOddInput, HalfARequestAtTheOperatorsAddressDoesNothing) {
  int control = 0;
  Socket::Listen(control).Close();
  node.config["control"] = "127.0.0.1:" + std::to_string(control);
  ASSERT_TRUE(node.Start());
  for (const std::string half :
       {"POST /admin/quiesce HTTP/1.1\r\n", "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\n",
        "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\n\r\nab",
        "POST /admin/quiesce HTTP/1.1\r\nHost: n\r\nContent-Length: -1\r\n\r\n",
        "POST /admin/quiesc HTTP/1.1\r\nHost: n\r\n\r\n", "post /admin/quiesce HTTP/1.1\r\nHost: n\r\n\r\n",
        "GET /admin/quiesce HTTP/1.1\r\nHost: n\r\n\r\n", "POST  HTTP/1.1\r\nHost: n\r\n\r\n",
        "POST /admin/quiesce/ HTTP/1.1\r\nHost: n\r\n\r\n"}) {
    Socket socket = Socket::Connect(control);
    ASSERT_TRUE(socket.Write(half));
    shutdown(socket.get(), SHUT_WR);
    socket.Read();
    EXPECT_EQ(ClientStandIn(node.port).Ask(ClientStandIn::Command({"PING"})), "+PONG") << half;
  }
}

}  // namespace
}  // namespace indigosaddle::testing
