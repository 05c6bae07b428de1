// A built node that is stopped as the platform stops it, held up meanwhile, with clients that send a command
// slowly across the stop. Nothing that happens round the stop is excused.
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

constexpr milliseconds kEarliestKill(3700), kHoldUp(150);

// One command in pieces; its last byte leaves at an instant of the test's choice, unless an answer or the end
// of the connection came before.
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
  // Its last byte was written while its connection was open and nothing had come on it.
  bool written_whole() const { return written_whole_; }

 private:
  static constexpr milliseconds kBetweenPieces{600};

  void Run(Clock::time_point begin, Clock::time_point last_byte) {
    const std::string command = ClientStandIn::Enqueue(id_, "c=safe,d=20000,dest=7");
    std::size_t sent = command.size() / 2;
    std::this_thread::sleep_until(begin);
    if (!socket_.Write(command.substr(0, sent))) return;
    for (auto at = begin + kBetweenPieces; at < last_byte && !Heard(at); at += kBetweenPieces)
      if (sent + 1 < command.size() && !socket_.Write(command.substr(sent++, 1))) return;
    if (!Heard(last_byte)) written_whole_ = socket_.Write(command.substr(sent));
    const auto end = Clock::now() + seconds(2);
    while (reply_.find("\r\n") == std::string::npos && Clock::now() < end) {
      const std::string more = socket_.Read(milliseconds(500));
      if (more.empty()) break;
      reply_ += more;
    }
  }
  // True once anything has come, the connection's end among it; false at the latest at `until`.
  bool Heard(Clock::time_point until) const {
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

class StoppedNode : public NodeTest {
 protected:
  StoppedNode() { platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7)); }

  // SIGTERM, hold-ups of 0.15 s from these moments on, one slow sender for each last byte, the kill at the
  // earliest; times count from the signal. Back once all is over.
  void Stop(std::vector<milliseconds> hold_ups, const std::vector<milliseconds>& last_bytes) {
    const auto signal_at = Clock::now() + milliseconds(300);
    for (const milliseconds at : last_bytes)
      senders_.emplace_back(node.port, "late-" + std::to_string(senders_.size()), signal_at + senders_begin_,
                            signal_at + at);
    std::thread holder([&] { HoldUp(signal_at, hold_ups); });
    std::this_thread::sleep_until(signal_at);
    node.Signal(SIGTERM);
    const auto kill_at = signal_at + kEarliestKill;
    while (Clock::now() < kill_at && !node.Ended()) std::this_thread::sleep_for(milliseconds(1));
    killed_ = !node.Ended();
    ended_after_ = std::chrono::duration_cast<milliseconds>(Clock::now() - signal_at);
    if (killed_) node.Kill(SIGKILL);
    holder.join();
    for (LateSender& sender : senders_) sender.Join();
  }
  // Each request that was written whole while its connection was open.
  void ExpectEachAnsweredOrEndedBefore() const {
    for (const LateSender& sender : senders_) {
      EXPECT_FALSE(sender.written_whole() && sender.reply().empty())
          << sender.id() << " was written whole and got no answer";
    }
  }
  void ExpectNoneTakenOn() {
    for (const LateSender& sender : senders_) {
      EXPECT_NE(sender.reply(), "+OK\r\n") << sender.id();
      EXPECT_EQ(endpoint.CallsFor(sender.id()), 0) << sender.id() << " was forwarded";
    }
  }
  const std::list<LateSender>& senders() const { return senders_; }
  bool killed() const { return killed_; }
  milliseconds ended_after() const { return ended_after_; }

  EndpointStandIn endpoint;
  milliseconds senders_begin_{1500};  // their commands

 private:
  void HoldUp(Clock::time_point signal_at, const std::vector<milliseconds>& hold_ups) const {
    for (const milliseconds at : hold_ups) {
      std::this_thread::sleep_until(signal_at + at);
      node.Signal(SIGSTOP);
      std::this_thread::sleep_for(kHoldUp);
      node.Signal(SIGCONT);
    }
  }

  std::list<LateSender> senders_;
  bool killed_ = false;
  milliseconds ended_after_{0};
};

}  // namespace indigosaddle::testing
