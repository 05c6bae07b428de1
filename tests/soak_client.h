// A client of a soak.
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
#include "soak_world.h"

namespace indigosaddle::testing {

// A client with one connection at a time, which it uses for as long as it is open. A request that crosses the
// orderly end of a resting connection is sent once more, on a new one; on that it must get its answer. A
// reset is no orderly end.
class SoakClient {
 public:
  // `port` is the node's, 0 while it is down; `kills` is odd while its process may end by other than a
  // planned stop.
  struct NodeView {
    std::atomic<int> port{0}, kills{0};
  };

  // `copied`: the share of its commands that come a second time, on another connection, 1 to 300 ms later.
  // `slow`: it sends its commands in pieces, with pauses between them.
  SoakClient(SoakRecord& record, NodeView& node, std::string prefix, int destinations, std::uint64_t seed,
             milliseconds pause, std::vector<std::string> classes, bool slow = false, double copied = 0)
      : record_(record),
        node_(node),
        prefix_(std::move(prefix)),
        destinations_(destinations),
        random_(seed),
        pause_(pause),
        classes_(std::move(classes)),
        slow_(slow),
        copied_(copied),
        thread_([this] { Run(); }) {}
  ~SoakClient() { Stop(); }
  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }

 private:
  static constexpr std::size_t kMostCopies = 20;
  static constexpr milliseconds kAnswer{400}, kMostBetweenPieces{600};

  void Run() {
    for (int number = 0; !stop_; ++number) {
      SentMessage message;
      message.message_class = Pick(classes_);
      message.life = milliseconds(std::uniform_int_distribution<int>(800, 3000)(random_));
      message.born = Clock::now();
      destination_ = std::uniform_int_distribution<int>(1, destinations_)(random_);
      const std::string id = prefix_ + std::to_string(number);
      if (HandIn(id, "", message)) HandInAgain(id, message);
      std::this_thread::sleep_for(pause_ * std::uniform_int_distribution<int>(1, 3)(random_) / 2);
    }
  }

  std::string Pick(const std::vector<std::string>& names) {
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
  }

  // Behind a refusal, with what is left of its time, and a new id.
  void HandInAgain(const std::string& id, SentMessage message) {
    std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(20, 300)(random_)));
    const auto used = std::chrono::duration_cast<milliseconds>(Clock::now() - message.born);
    message.life -= used;
    if (message.life > milliseconds(200)) HandIn(id + "-again", ",r=1", message);
  }

  // True where it was refused.
  bool HandIn(const std::string& id, const std::string& more, SentMessage& message) {
    const std::string bytes = ClientStandIn::Enqueue(id, "c=" + message.message_class + ",k=" + id +
                                                             ",d=" + std::to_string(message.life.count()) +
                                                             ",dest=" + std::to_string(destination_) + more);
    const int kills = node_.kills;
    const bool rested = socket_.open();
    message.begun = Clock::now();
    message.reply.clear();
    bool written = (rested || Connect()) && (slow_ ? WriteInPieces(bytes) : socket_.Write(bytes));
    if (written && std::bernoulli_distribution(copied_)(random_)) CopyLater(bytes);
    if (slow_ && !written) return socket_.Close(), false;  // it was answered or ended before the last byte
    const auto whole = Clock::now();
    if (written) message.reply = ReadLine();
    const bool reset = written && message.reply.empty() && WasReset();
    if (message.reply.empty() && rested && !reset && Clock::now() - whole < kAnswer) {  // it crossed the end
      socket_.Close();
      message.begun = Clock::now();
      written = Connect() && socket_.Write(bytes);
      if (written) message.reply = ReadLine();
    }
    message.whole = whole;
    message.how = std::string(reset ? "reset" : "ended") +
                  (rested ? ", rested before" : ", a new connection") + (slow_ ? ", in pieces" : "");
    const bool in_time = Clock::now() - std::max(whole, message.begun) < kAnswer;
    message.closed = reset || (written && message.reply.empty() && in_time);
    if (message.reply.empty()) socket_.Close();
    message.node_died = kills % 2 == 1 || node_.kills != kills;
    if (written) record_.Sent(id, message);
    return message.reply.starts_with("-BUSY");
  }

  // What the node answers there has nobody to hear it.
  void CopyLater(const std::string& bytes) {
    if (node_.port == 0) return;
    copies_.push_back(Socket::Connect(node_.port));
    if (!copies_.back().open()) return copies_.pop_back();
    later_.Write(copies_.back(), milliseconds(std::uniform_int_distribution<int>(1, 300)(random_)), bytes);
    if (copies_.size() > kMostCopies) copies_.pop_front();
  }

  bool WasReset() const {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return reset_ || error == ECONNRESET;
  }

  // False where something came on the connection before the last piece was written, its end among it.
  bool WriteInPieces(std::string_view bytes) {
    while (bytes.size() > 1) {
      const std::size_t piece = std::uniform_int_distribution<std::size_t>(1, bytes.size() - 1)(random_);
      if (!socket_.Write(bytes.substr(0, piece))) return false;
      bytes.remove_prefix(piece);
      const auto most =
          std::min<int>(static_cast<int>(kMostBetweenPieces.count()), 2400 / (++pieces_ % 4 + 2));
      pollfd heard{socket_.get(), POLLIN, 0};
      if (poll(&heard, 1, std::uniform_int_distribution<int>(0, most)(random_)) > 0) return false;
    }
    return socket_.Write(bytes);
  }

  bool Connect() {
    if (node_.port == 0) return false;
    socket_ = Socket::Connect(node_.port);
    bytes_.clear();
    reset_ = false;
    return socket_.open();
  }
  std::string ReadLine() {
    const auto end = Clock::now() + kAnswer;
    std::size_t at = 0;
    while ((at = bytes_.find("\r\n")) == std::string::npos) {
      const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
      pollfd wait{socket_.get(), POLLIN, 0};
      if (left <= milliseconds(0) || poll(&wait, 1, static_cast<int>(left.count())) <= 0) return "";
      char more[4096];
      const ssize_t count = recv(socket_.get(), more, sizeof more, 0);
      reset_ = count < 0 && errno == ECONNRESET;
      if (count <= 0) return "";
      bytes_.append(more, static_cast<std::size_t>(count));
    }
    const std::string line = bytes_.substr(0, at);
    bytes_.erase(0, at + 2);
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
  const double copied_;
  std::list<Socket> copies_;
  DelayedWrites later_;
  int pieces_ = 0;
  Socket socket_;
  std::string bytes_;
  bool reset_ = false;  // this connection, instead of an end
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace indigosaddle::testing
