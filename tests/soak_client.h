// A client of a soak test: enqueues messages at one node and records the replies.
#pragma once

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <list>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "delayed_writes.h"
#include "soak_record.h"

namespace indigosaddle::testing {

// A client with one connection at a time, which it uses for as long as it is open. It runs on a thread of its
// own from construction to Stop(). A request that crosses the orderly end of an idle connection is sent once
// more on a new connection, where it must get its reply. A reset is not an orderly end.
class SoakClient {
 public:
  // The node as its clients see it. `port` is 0 while the node is down; `kill_counter` is odd while its
  // process may end otherwise than by a planned stop.
  struct NodeView {
    std::atomic<int> port{0}, kill_counter{0};
  };

  // `record` and `node` must outlive the client. `slow`: it sends its commands in pieces, with pauses between
  // them. `duplicate_share`: the share of its commands that it sends again on another connection, 1 to 300 ms
  // later.
  SoakClient(SoakRecord& record, NodeView& node, std::string prefix, int destinations, std::uint64_t seed,
             milliseconds pause, std::vector<std::string> classes, bool slow = false,
             double duplicate_share = 0)
      : record_(record),
        node_(node),
        prefix_(std::move(prefix)),
        destinations_(destinations),
        random_(seed),
        pause_(pause),
        classes_(std::move(classes)),
        slow_(slow),
        duplicate_share_(duplicate_share),
        thread_([this] { Run(); }) {}
  ~SoakClient() { Stop(); }
  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }

 private:
  static constexpr std::size_t kMaxOpenDuplicates = 20;
  static constexpr milliseconds kReplyTimeout{400}, kMaxPauseBetweenPieces{600};

  void Run() {
    for (int number = 0; !stop_; ++number) {
      SentMessage message;
      message.message_class = PickOne(classes_);
      message.time_limit = milliseconds(std::uniform_int_distribution<int>(800, 3000)(random_));
      message.created_at = Clock::now();
      destination_ = std::uniform_int_distribution<int>(1, destinations_)(random_);
      const std::string id = prefix_ + std::to_string(number);
      if (Enqueue(id, "", message)) EnqueueAgain(id, message);
      std::this_thread::sleep_for(pause_ * std::uniform_int_distribution<int>(1, 3)(random_) / 2);
    }
  }

  std::string PickOne(const std::vector<std::string>& names) {
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
  }

  // Sends a refused message again, with a new id and the time that remains until its deadline.
  void EnqueueAgain(const std::string& id, SentMessage message) {
    std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(20, 300)(random_)));
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - message.created_at);
    message.time_limit -= elapsed;
    if (message.time_limit > milliseconds(200)) Enqueue(id + "-again", ",r=1", message);
  }

  // Sends the message and records what came of it. Returns true if the node refused it.
  bool Enqueue(const std::string& id, const std::string& extra_options, SentMessage& message) {
    const std::string bytes = ClientStandIn::Enqueue(
        id, "c=" + message.message_class + ",k=" + id + ",d=" + std::to_string(message.time_limit.count()) +
                ",dest=" + std::to_string(destination_) + extra_options);
    const int kills_before = node_.kill_counter;
    const bool reused = socket_.open();
    message.enqueue_began_at = Clock::now();
    message.reply.clear();
    bool written = (reused || Connect()) && (slow_ ? WriteInPieces(bytes) : socket_.Write(bytes));
    if (written && std::bernoulli_distribution(duplicate_share_)(random_)) ScheduleDuplicate(bytes);
    if (slow_ && !written) return socket_.Close(), false;  // answered or closed before the last byte
    const auto fully_written_at = Clock::now();
    if (written) message.reply = ReadLine();
    const bool reset = written && message.reply.empty() && WasReset();
    if (message.reply.empty() && reused && !reset &&
        Clock::now() - fully_written_at < kReplyTimeout) {  // the request crossed the orderly end
      socket_.Close();
      message.enqueue_began_at = Clock::now();
      written = Connect() && socket_.Write(bytes);
      if (written) message.reply = ReadLine();
    }
    message.fully_written_at = fully_written_at;
    message.close_description = std::string(reset ? "reset" : "ended") +
                                (reused ? ", an idle connection" : ", a new connection") +
                                (slow_ ? ", in pieces" : "");
    const bool within_timeout =
        Clock::now() - std::max(fully_written_at, message.enqueue_began_at) < kReplyTimeout;
    message.closed_without_reply = reset || (written && message.reply.empty() && within_timeout);
    if (message.reply.empty()) socket_.Close();
    message.node_killed = kills_before % 2 == 1 || node_.kill_counter != kills_before;
    if (written) record_.AddMessage(id, message);
    return message.reply.starts_with("-BUSY");
  }

  // The reply to the duplicate isn't read.
  void ScheduleDuplicate(const std::string& bytes) {
    if (node_.port == 0) return;
    duplicate_connections_.push_back(Socket::Connect(node_.port));
    if (!duplicate_connections_.back().open()) return duplicate_connections_.pop_back();
    delayed_writes_.Write(duplicate_connections_.back(),
                          milliseconds(std::uniform_int_distribution<int>(1, 300)(random_)), bytes);
    if (duplicate_connections_.size() > kMaxOpenDuplicates) duplicate_connections_.pop_front();
  }

  bool WasReset() const {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return reset_ || error == ECONNRESET;
  }

  // Returns false if anything arrived on the connection before the last piece was written, its end included.
  bool WriteInPieces(std::string_view bytes) {
    while (bytes.size() > 1) {
      const std::size_t piece = std::uniform_int_distribution<std::size_t>(1, bytes.size() - 1)(random_);
      if (!socket_.Write(bytes.substr(0, piece))) return false;
      bytes.remove_prefix(piece);
      const auto max_pause_ms =
          std::min<int>(static_cast<int>(kMaxPauseBetweenPieces.count()), 2400 / (++pieces_sent_ % 4 + 2));
      pollfd readable{socket_.get(), POLLIN, 0};
      if (poll(&readable, 1, std::uniform_int_distribution<int>(0, max_pause_ms)(random_)) > 0) return false;
    }
    return socket_.Write(bytes);
  }

  bool Connect() {
    if (node_.port == 0) return false;
    socket_ = Socket::Connect(node_.port);
    unread_bytes_.clear();
    reset_ = false;
    return socket_.open();
  }
  std::string ReadLine() {
    const auto deadline = Clock::now() + kReplyTimeout;
    std::size_t line_end = 0;
    while ((line_end = unread_bytes_.find("\r\n")) == std::string::npos) {
      const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
      pollfd readable{socket_.get(), POLLIN, 0};
      if (remaining <= milliseconds(0) || poll(&readable, 1, static_cast<int>(remaining.count())) <= 0)
        return "";
      char buffer[4096];
      const ssize_t received = recv(socket_.get(), buffer, sizeof buffer, 0);
      reset_ = received < 0 && errno == ECONNRESET;
      if (received <= 0) return "";
      unread_bytes_.append(buffer, static_cast<std::size_t>(received));
    }
    const std::string line = unread_bytes_.substr(0, line_end);
    unread_bytes_.erase(0, line_end + 2);
    return line;
  }

  SoakRecord& record_;
  NodeView& node_;
  const std::string prefix_;
  const int destinations_;
  int destination_ = 1;
  std::mt19937_64 random_;
  const milliseconds pause_;
  const std::vector<std::string> classes_;
  const bool slow_;
  const double duplicate_share_;
  std::list<Socket> duplicate_connections_;
  DelayedWrites delayed_writes_;
  int pieces_sent_ = 0;
  Socket socket_;
  std::string unread_bytes_;
  bool reset_ = false;  // this connection was reset instead of closed in order
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace indigosaddle::testing
