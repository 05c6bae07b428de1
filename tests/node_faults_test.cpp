// Socket calls of the built node fail for a while (fault_shim.cpp). Accepted messages still get their one
// final result in time, commands that arrive meanwhile are answered, and the node keeps running.
#include <gtest/gtest.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

#include "system_faults.h"

namespace indigosaddle::testing {
namespace {

class AcceptFails : public SystemFaults, public ::testing::WithParamInterface<int> {};

// Clients that connect meanwhile wait in the system's queue and are answered once accept works again. The
// loop does not stall: a call in flight is answered meanwhile.
TEST_P(AcceptFails, ClientsAreAnsweredOnceItWorksAndTheLoopKeepsRunning) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    std::this_thread::sleep_for(milliseconds(300));
    return s.Write(Answer(503));
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("before") == 1; }));
  plan->accept = GetParam();
  std::thread recovery([&] {
    std::this_thread::sleep_for(milliseconds(1500));
    plan->accept = 0;
  });
  const auto start = Clock::now();
  const int calls_before = endpoint.CallsFor("before");
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("before") > calls_before; }));
  const auto until_next_call = Clock::now() - start;
  EXPECT_EQ(Enqueue("during", "c=safe,d=60000,dest=7"), "+OK");
  recovery.join();
  EXPECT_LT(until_next_call, milliseconds(1400)) << "the loop stalled while accept failed";
  EXPECT_GT(plan->faults, 0u);
  EXPECT_LT(plan->faults, 2000u) << "the node retries in a busy loop";
}
INSTANTIATE_TEST_SUITE_P(Errors, AcceptFails,
                         ::testing::Values(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR),
                         [](const auto& param_info) {
                           return std::string(strerrorname_np(param_info.param));
                         });

class ConnectFails : public SystemFaults, public ::testing::WithParamInterface<std::pair<bool, int>> {};

// Connecting to endpoints and to discovery fails: accepted messages are delivered once it works again, and
// unsafe messages only once.
TEST_P(ConnectFails, AcceptedMessagesAreDeliveredOnceItWorks) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    return s.Write(Answer(200, "Connection: close\r\n")), false;  // each call needs a new connection
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=unsafe,d=60000,dest=7"));
  const auto [in_socket, error] = GetParam();
  (in_socket ? plan->socket : plan->connect) = error;
  platform.EndWatches();  // so the list is requested meanwhile too
  std::vector<std::string> accepted = EnqueueFor("during", milliseconds(1000), "c=unsafe,d=30000,dest=7");
  (in_socket ? plan->socket : plan->connect) = 0;
  EXPECT_GT(accepted.size(), 10u);
  EXPECT_LT(plan->faults, 3000u) << "the node retries in a busy loop";
  ExpectDelivered(endpoint, accepted);
  ExpectAllEnded(endpoint, accepted, true);
}
INSTANTIATE_TEST_SUITE_P(Errors, ConnectFails,
                         ::testing::Values(std::pair(true, ENFILE), std::pair(true, EMFILE),
                                           std::pair(true, ENOBUFS), std::pair(false, EADDRNOTAVAIL),
                                           std::pair(false, ENETUNREACH), std::pair(false, ENOBUFS),
                                           std::pair(false, EHOSTUNREACH), std::pair(false, ETIMEDOUT),
                                           std::pair(false, EINTR)),
                         [](const auto& param_info) {
                           return std::string(param_info.param.first ? "Socket" : "Connect") +
                                  strerrorname_np(param_info.param.second);
                         });

class ConnectionBreaks : public SystemFaults, public ::testing::WithParamInterface<std::pair<bool, int>> {};

// Every eighth read or write on a connection fails as on a broken network path: no unsafe message is called
// twice, and every message gets its result.
TEST_P(ConnectionBreaks, EveryMessageEndsAndNoUnsafeOneIsCalledTwice) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  const auto [in_read, error] = GetParam();
  (in_read ? plan->read_socket : plan->write_socket) = error;
  std::vector<std::string> accepted;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "broken-" + std::to_string(i);
    if (Enqueue(id, i % 2 == 0 ? "c=unsafe,d=8000,dest=7" : "c=safe,d=8000,dest=7") == "+OK")
      accepted.push_back(id);
    std::this_thread::sleep_for(milliseconds(10));
  }
  (in_read ? plan->read_socket : plan->write_socket) = 0;
  EXPECT_GT(plan->faults, 0u);
  for (const std::string& id : accepted) {
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) > 0 || platform.notices().contains(id); }))
        << id;
    if (std::stoi(id.substr(7)) % 2 == 0) {
      EXPECT_LE(endpoint.CallsFor(id), 1) << id;
    }
  }
  Settle("settle-after");
}
INSTANTIATE_TEST_SUITE_P(Errors, ConnectionBreaks,
                         ::testing::Values(std::pair(true, ETIMEDOUT), std::pair(true, EHOSTUNREACH),
                                           std::pair(true, EINTR), std::pair(false, ETIMEDOUT),
                                           std::pair(false, EHOSTUNREACH), std::pair(false, EINTR)),
                         [](const auto& param_info) {
                           return std::string(param_info.param.first ? "Read" : "Write") +
                                  strerrorname_np(param_info.param.second);
                         });

// Reads and writes transfer seven bytes at a time, for many pipelined commands and a long body.
TEST_F(SystemFaults, ShortReadsAndWritesChangeNothing) {
  EndpointStandIn endpoint;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("before", "c=safe,d=60000,dest=7"));
  plan->short_io = 1;
  ClientStandIn client(node.port);
  std::string commands;
  for (int i = 0; i < 20; ++i)
    commands += ClientStandIn::Enqueue("short-" + std::to_string(i), "c=unsafe,d=60000,dest=7",
                                       std::string(600, 'x'));
  commands += ClientStandIn::Enqueue("long", "c=unsafe,d=60000,dest=7", std::string(30000, 'y'));
  ASSERT_TRUE(client.Write(commands));
  for (int i = 0; i < 21; ++i) EXPECT_EQ(client.ReadLine(), "+OK") << i;
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("short-" + std::to_string(i)) == 1; })) << i;
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("long") == 1; }));
  for (const HttpRequest& call : endpoint.calls()) {
    if (call.headers.at("x-trace-id") == "long") {
      EXPECT_EQ(call.body, std::string(30000, 'y'));
    }
  }
}

}  // namespace
}  // namespace indigosaddle::testing
