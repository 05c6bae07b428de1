// The planned stop of the built node: clients that connect while it closes its listener.
//
// Seen: about one soak in fifty beside other load lost a request. Its client had met the end of a resting
// connection, connected anew and asked, and was reset without an answer. How: between the node's last accept
// and the close of its listener the system completed one more connection; a client that had connected and not
// asked yet was left at once, and what it asked then was read and dropped. Shown by the node's log (the
// client's new connection was never accepted) and by these tests, which widen both windows.
#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <thread>

#include "system_faults.h"

namespace indigosaddle::testing {
namespace {

constexpr milliseconds kListenerCloses(2800);  // behind SIGTERM

// Clients that connect anew every few milliseconds and ask a little later, as those do whose resting
// connection was closed under them.
class Latecomers {
 public:
  Latecomers(int port, milliseconds asks_after) : port_(port), asks_after_(asks_after) {}
  ~Latecomers() { Join(); }

  void ConnectFor(milliseconds span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) {
      threads_.emplace_back([this, number = threads_.size()] { One(number); });
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
  // A connection that does not come up at once is none: its client goes elsewhere.
  void One(std::size_t number) {
    const Socket socket(ConnectNow());
    if (!socket.open()) return;
    const auto connected = Clock::now();
    std::this_thread::sleep_for(asks_after_);
    if (Clock::now() - connected > kAsksWithin) return;  // this thread was held up: its client came late
    const std::string id = "late-" + std::to_string(number);
    if (!socket.Write(ClientStandIn::Enqueue(id, "c=safe,d=8000,dest=7"))) return void(++lost_);
    ++(socket.Read().empty() ? lost_ : answered_);  // empty: closed
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

class StopWithLatecomers : public SystemFaults {
 protected:
  // SIGTERM; clients connect from shortly before the listener closes until behind it.
  void StopUnder(Latecomers& clients) {
    node.Signal(SIGTERM);
    std::this_thread::sleep_for(kListenerCloses - milliseconds(150));
    clients.ConnectFor(milliseconds(350));
    clients.Join();
    EXPECT_EQ(node.Wait(), 0);
    EXPECT_GT(clients.answered(), 5);
    EXPECT_EQ(clients.lost(), 0);
  }
};

TEST_F(StopWithLatecomers, WhoConnectedAndAsksALittleLaterIsAnswered) {
  ASSERT_TRUE(node.Start());
  Latecomers clients(node.port, milliseconds(60));
  StopUnder(clients);
}

// The process is held up between its last accept and the close.
TEST_F(StopWithLatecomers, WhoConnectsAsTheListenerClosesIsAnsweredOrNotConnected) {
  ASSERT_TRUE(node.Start());
  plan->slow_close_ms = 100;
  Latecomers clients(node.port, milliseconds(0));
  StopUnder(clients);
}

TEST_F(StopWithLatecomers, WhoWaitsWhileAcceptFailsIsAnsweredOnceItPasses) {
  ASSERT_TRUE(node.Start());
  Latecomers clients(node.port, milliseconds(0));
  std::thread fails([&] {
    std::this_thread::sleep_for(kListenerCloses - milliseconds(50));
    plan->accept = ENOBUFS;
    std::this_thread::sleep_for(milliseconds(120));
    plan->accept = 0;
  });
  StopUnder(clients);
  fails.join();
  EXPECT_GT(plan->faults, 0u);
}

// Guards against a reset of who waits in the listener's queue, where accept fails past the end of intake.
TEST_F(StopWithLatecomers, WhoWaitsPastTheEndOfIntakeIsAnswered) {
  ASSERT_TRUE(node.Start());
  Latecomers clients(node.port, milliseconds(0));
  std::thread fails([&] {
    std::this_thread::sleep_for(kListenerCloses - milliseconds(300));
    plan->accept = ENOBUFS;
    std::this_thread::sleep_for(milliseconds(600));
    plan->accept = 0;
  });
  node.Signal(SIGTERM);
  std::this_thread::sleep_for(kListenerCloses - milliseconds(200));
  clients.ConnectFor(milliseconds(120));
  clients.Join();
  fails.join();
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_GT(clients.answered(), 5);
  EXPECT_EQ(clients.lost(), 0);
}

// Guards against requests without an answer, and a stop without an end, where the disk fills up in the stop.
TEST_F(StopWithLatecomers, AFullDiskInTheStopRefusesAndEndsInOrder) {
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
