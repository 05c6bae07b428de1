// Fixture of a built node that is stopped as the platform stops it, with stalls of the process and clients
// that send a command slowly meanwhile. A request that was written whole to an open connection must be
// answered, however late in the stop.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kEarliestKill(3700);  // after SIGTERM, by the platform
constexpr milliseconds kStall(150);

// Sends one command in pieces. Its last byte is written at an instant that the test chooses, unless an answer
// or the end of the connection came before.
class LateSender {
 public:
  LateSender(int port, std::string id, Clock::time_point begin, Clock::time_point last_byte)
      : id_(std::move(id)),
        socket_(Socket::Connect(port)),
        thread_([this, begin, last_byte] { Run(begin, last_byte); }) {}
  ~LateSender() { Join(); }
  LateSender(const LateSender&) = delete;
  LateSender& operator=(const LateSender&) = delete;
  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  const std::string& id() const { return id_; }
  const std::string& reply() const { return reply_; }
  // Whether the last byte was written while the connection was open and nothing had been received on it.
  bool written_whole() const { return written_whole_; }

 private:
  static constexpr milliseconds kBetweenPieces{600};

  void Run(Clock::time_point begin, Clock::time_point last_byte) {
    const std::string command = ClientStandIn::Enqueue(id_, "c=safe,d=20000,dest=7");
    std::size_t sent = command.size() / 2;
    std::this_thread::sleep_until(begin);
    if (!socket_.Write(command.substr(0, sent))) return;
    for (auto at = begin + kBetweenPieces; at < last_byte && !Received(at); at += kBetweenPieces)
      if (sent + 1 < command.size() && !socket_.Write(command.substr(sent++, 1))) return;
    if (!Received(last_byte)) written_whole_ = socket_.Write(command.substr(sent));
    const auto end = Clock::now() + seconds(2);
    while (reply_.find("\r\n") == std::string::npos && Clock::now() < end) {
      const std::string more = socket_.Read(milliseconds(500));
      if (more.empty()) break;
      reply_ += more;
    }
  }
  // Waits until `until` at most; true once data or the end of the connection has been received.
  bool Received(Clock::time_point until) const {
    pollfd wait{socket_.get(), POLLIN, 0};
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
    return poll(&wait, 1, static_cast<int>(std::max(left, milliseconds(0)).count())) > 0;
  }

  const std::string id_;
  Socket socket_;
  std::string reply_;
  bool written_whole_ = false;
  std::thread thread_;
};

// The endpoint of destination 7 serves all calls.
class StoppedNode : public NodeTest {
 protected:
  StoppedNode() { platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7)); }

  // Sends SIGTERM, stalls the process for 0.15 s at each of `stalls`, runs one slow sender for each of
  // `last_bytes`, and kills the process at the earliest kill. Times count from the signal. Returns when all
  // senders have ended.
  void Stop(std::vector<milliseconds> stalls, const std::vector<milliseconds>& last_bytes) {
    const auto signal_at = Clock::now() + milliseconds(300);
    for (const milliseconds at : last_bytes)
      senders_.emplace_back(node.port, "late-" + std::to_string(senders_.size()), signal_at + senders_begin_,
                            signal_at + at);
    std::thread staller([&] { Stall(signal_at, stalls); });
    std::this_thread::sleep_until(signal_at);
    node.Signal(SIGTERM);
    const auto kill_at = signal_at + kEarliestKill;
    while (Clock::now() < kill_at && !node.Ended()) std::this_thread::sleep_for(milliseconds(1));
    killed_ = !node.Ended();
    ended_after_ = std::chrono::duration_cast<milliseconds>(Clock::now() - signal_at);
    if (killed_) node.Kill(SIGKILL);
    staller.join();
    for (LateSender& sender : senders_) sender.Join();
  }
  // Each request that was written whole while its connection was open has an answer.
  void ExpectEachAnsweredOrEndedBefore() const {
    for (const LateSender& sender : senders_) {
      EXPECT_FALSE(sender.written_whole() && sender.reply().empty())
          << sender.id() << " was written whole and got no answer";
    }
  }
  // No sender got +OK, and none of their messages was called.
  void ExpectNoneAccepted() {
    for (const LateSender& sender : senders_) {
      EXPECT_NE(sender.reply(), "+OK\r\n") << sender.id();
      EXPECT_EQ(endpoint.CallsFor(sender.id()), 0) << sender.id() << " was forwarded";
    }
  }
  const std::list<LateSender>& senders() const { return senders_; }
  bool killed() const { return killed_; }
  milliseconds ended_after() const { return ended_after_; }

  EndpointStandIn endpoint;
  milliseconds senders_begin_{1500};  // when the senders begin their commands, after the signal

 private:
  void Stall(Clock::time_point signal_at, const std::vector<milliseconds>& stalls) const {
    for (const milliseconds at : stalls) {
      std::this_thread::sleep_until(signal_at + at);
      node.Signal(SIGSTOP);
      std::this_thread::sleep_for(kStall);
      node.Signal(SIGCONT);
    }
  }

  std::list<LateSender> senders_;
  bool killed_ = false;
  milliseconds ended_after_{0};
};

}  // namespace indigosaddle::testing
