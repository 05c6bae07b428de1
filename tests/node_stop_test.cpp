// The planned stop of the built node: clients that connect while it closes its listener.
//
// About one soak run in fifty, on a machine with other load, lost a request. Its client had found its idle
// connection closed, had connected again and sent a request, and was reset without an answer. Between the
// node's last accept and the close of its listener the system completed one more connection, which the
// node's log never shows as accepted. Also, a connection without a request yet was given up at once, and a
// request on it was read and dropped. These tests widen both windows.
#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <thread>

#include "system_faults.h"

namespace indigosaddle::testing {
namespace {

constexpr milliseconds kListenerCloses(2800);  // after SIGTERM

// Clients that connect again every few milliseconds and send a request `asks_after` later, as clients do
// whose idle connection was closed.
class LateClients {
 public:
  LateClients(int port, milliseconds asks_after) : port_(port), asks_after_(asks_after) {}
  ~LateClients() { Join(); }

  void ConnectFor(milliseconds span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      threads_.emplace_back([this, number = threads_.size()] { ConnectAndAsk(number); });
      std::this_thread::sleep_for(milliseconds(8));
    }
  }
  void Join() {
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  int answered() const { return answered_; }
  int lost() const { return lost_; }

 private:
  // A connection that is not established at once does not count: its client goes elsewhere.
  void ConnectAndAsk(std::size_t number) {
    const Socket socket(ConnectNow());
    if (!socket.open()) return;
    const auto connected = Clock::now();
    std::this_thread::sleep_for(asks_after_);
    if (Clock::now() - connected > kAsksWithin) return;  // this thread stalled, so its request came too late
    const std::string id = "late-" + std::to_string(number);
    if (!socket.Write(ClientStandIn::Enqueue(id, "c=safe,d=8000,dest=7"))) return void(++lost_);
    ++(socket.Read().empty() ? lost_ : answered_);  // empty if the connection was closed
  }
  int ConnectNow() const {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(port_));
    connect(socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
    pollfd wait{socket.get(), POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, 100) != 1) return -1;
    getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? fcntl(socket.get(), F_DUPFD_CLOEXEC, 0) : -1;
  }

  static constexpr milliseconds kAsksWithin{150};

  const int port_;
  const milliseconds asks_after_;
  std::atomic<int> answered_{0}, lost_{0};
  std::vector<std::thread> threads_;
};

class StopWithLateClients : public SystemFaults {
 protected:
  // Sends SIGTERM; clients connect from shortly before the listener closes until shortly after.
  void StopUnder(LateClients& clients) {
    node.Signal(SIGTERM);
    std::this_thread::sleep_for(kListenerCloses - milliseconds(150));
    clients.ConnectFor(milliseconds(350));
    clients.Join();
    EXPECT_EQ(node.Wait(), 0);
    EXPECT_GT(clients.answered(), 5);
    EXPECT_EQ(clients.lost(), 0);
  }
};

TEST_F(StopWithLateClients, AClientThatAsksALittleAfterConnectingIsAnswered) {
  ASSERT_TRUE(node.Start());
  LateClients clients(node.port, milliseconds(60));
  StopUnder(clients);
}

// The process stalls between its last accept and the close of the listener.
TEST_F(StopWithLateClients, AClientThatConnectsAsTheListenerClosesIsAnsweredOrNotConnected) {
  ASSERT_TRUE(node.Start());
  plan->slow_close_ms = 100;
  LateClients clients(node.port, milliseconds(0));
  StopUnder(clients);
}

TEST_F(StopWithLateClients, AClientThatWaitsWhileAcceptFailsIsAnsweredOnceItWorks) {
  ASSERT_TRUE(node.Start());
  LateClients clients(node.port, milliseconds(0));
  std::thread accept_failure([&] {
    std::this_thread::sleep_for(kListenerCloses - milliseconds(50));
    plan->accept = ENOBUFS;
    std::this_thread::sleep_for(milliseconds(120));
    plan->accept = 0;
  });
  StopUnder(clients);
  accept_failure.join();
  EXPECT_GT(plan->faults, 0u);
}

// Guards against a reset of clients in the listener's queue when accept fails until after the end of
// intake.
TEST_F(StopWithLateClients, AClientThatWaitsPastTheEndOfIntakeIsAnswered) {
  ASSERT_TRUE(node.Start());
  LateClients clients(node.port, milliseconds(0));
  std::thread accept_failure([&] {
    std::this_thread::sleep_for(kListenerCloses - milliseconds(300));
    plan->accept = ENOBUFS;
    std::this_thread::sleep_for(milliseconds(600));
    plan->accept = 0;
  });
  node.Signal(SIGTERM);
  std::this_thread::sleep_for(kListenerCloses - milliseconds(200));
  clients.ConnectFor(milliseconds(120));
  clients.Join();
  accept_failure.join();
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_GT(clients.answered(), 5);
  EXPECT_EQ(clients.lost(), 0);
}

// Guards against requests without an answer, and a stop that never ends, when the disk fills up during the
// stop.
TEST_F(StopWithLateClients, AFullDiskInTheStopRefusesAndEndsInOrder) {
  ASSERT_TRUE(node.Start());
  node.Signal(SIGTERM);
  const auto since = Clock::now();
  std::this_thread::sleep_for(milliseconds(1500));
  plan->write_file = ENOSPC;
  EnqueueFor("full", milliseconds(1000), "c=safe,d=8000,dest=7");
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_LE(Clock::now() - since, milliseconds(3550));
  EXPECT_GT(plan->faults, 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
