// The world of a soak: endpoints whose answers come from a seed, clients that use their connections for as
// long as they are open, and the record of both, from which the rules are judged at the end.
#pragma once

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kShiftingClass = "shifting";  // its rules change
constexpr const char* kGuestClass = "guest";        // it comes and goes

enum class CallAnswer { kServed, kRefused, kError, kReset, kSilent };

// A call as an endpoint saw it.
struct SeenCall {
  Clock::time_point at;
  int sender = 0;
  CallAnswer answer = CallAnswer::kServed;
};

// A message as its client saw it.
struct SentMessage {
  std::string reply;       // empty: none came
  bool closed = false;     // its connection ended instead, within the time that a client waits
  bool node_died = false;  // its process was killed meanwhile
  std::string message_class;
  Clock::time_point born;   // of the message, however often it was handed in
  Clock::time_point begun;  // of this handing-in
  milliseconds life{0};     // from then
};

// Everything that clients and endpoints saw. For use from any thread.
class SoakRecord {
 public:
  void Sent(const std::string& id, const SentMessage& message) {
    const std::lock_guard lock(mutex_);
    messages_[id] = message;
  }
  void Called(const std::string& id, const SeenCall& call) {
    const std::lock_guard lock(mutex_);
    calls_[id].push_back(call);
  }
  std::map<std::string, SentMessage> messages() const {
    const std::lock_guard lock(mutex_);
    return messages_;
  }
  std::map<std::string, std::vector<SeenCall>> calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  bool Served(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto it = calls_.find(id);
    return it != calls_.end() && std::any_of(it->second.begin(), it->second.end(), [](const SeenCall& call) {
             return call.answer == CallAnswer::kServed;
           });
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, SentMessage> messages_;
  std::map<std::string, std::vector<SeenCall>> calls_;
};

// The number of the node in an id like "n12-...".
inline int SenderOf(const std::string& id) { return std::stoi(id.substr(1)); }

// An endpoint: serves, or does what a seed draws; down between two instants.
class SoakEndpoint {
 public:
  SoakEndpoint(SoakRecord& record, std::uint64_t seed, double trouble)
      : record_(record),
        random_(seed),
        trouble_(trouble),
        endpoint_([this](Socket& s, const HttpRequest& r, int) { return React(s, r); }) {}

  std::string address() const { return endpoint_.address(); }
  void Down(bool down) { down_ = down; }

 private:
  bool React(Socket& socket, const HttpRequest& request) {
    const std::string id = request.headers.at("x-trace-id");
    const CallAnswer answer = Draw();
    const auto at = ArrivedAt(socket);
    bool keep = true;
    if (answer == CallAnswer::kServed) keep = socket.Write(Answer(200));
    if (answer == CallAnswer::kRefused) keep = socket.Write(Answer(503));
    if (answer == CallAnswer::kError) keep = socket.Write(Answer(500));
    if (answer == CallAnswer::kReset) socket.Reset(), keep = false;
    record_.Called(id, {at, SenderOf(id), answer});
    return answer == CallAnswer::kSilent ? Hang(socket) : keep;
  }
  // By the system: this thread may have been held up since.
  static Clock::time_point ArrivedAt(const Socket& socket) {
    tcp_info about{};
    socklen_t size = sizeof about;
    const auto now = Clock::now();
    if (getsockopt(socket.get(), IPPROTO_TCP, TCP_INFO, &about, &size) != 0) return now;
    return now - milliseconds(about.tcpi_last_data_recv);
  }
  CallAnswer Draw() {
    const std::lock_guard lock(mutex_);
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    if (down_) return CallAnswer::kError;
    if (drawn >= trouble_) return CallAnswer::kServed;
    const CallAnswer kinds[] = {CallAnswer::kRefused, CallAnswer::kError, CallAnswer::kReset,
                                CallAnswer::kSilent};
    return kinds[static_cast<std::size_t>(drawn / trouble_ * 4) % 4];
  }

  SoakRecord& record_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  const double trouble_;
  std::atomic<bool> down_{false};
  EndpointStandIn endpoint_;
};

// A client with one connection at a time, which it uses for as long as it is open. A request that crosses the
// end of a resting connection is sent once more, on a new one; on that it must get its answer.
class SoakClient {
 public:
  // `port` is the node's, 0 while it is down; `kills` is odd while its process is being killed or may die by
  // itself.
  struct NodeView {
    std::atomic<int> port{0}, kills{0};
  };

  SoakClient(SoakRecord& record, NodeView& node, std::string prefix, int destinations, std::uint64_t seed,
             milliseconds pause)
      : record_(record),
        node_(node),
        prefix_(std::move(prefix)),
        destinations_(destinations),
        random_(seed),
        pause_(pause),
        thread_([this] { Run(); }) {}
  ~SoakClient() { Stop(); }
  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }

 private:
  static constexpr milliseconds kAnswer{400};

  void Run() {
    for (int number = 0; !stop_; ++number) {
      SentMessage message;
      message.message_class = Pick({"safe", "unsafe", kShiftingClass, kShiftingClass, kGuestClass});
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
    bool written = (rested || Connect()) && socket_.Write(bytes);
    if (written) message.reply = ReadLine();
    if (message.reply.empty() && rested && Clock::now() - message.begun < kAnswer) {  // it crossed the end
      socket_.Close();
      message.begun = Clock::now();
      written = Connect() && socket_.Write(bytes);
      if (written) message.reply = ReadLine();
    }
    message.closed = written && message.reply.empty() && Clock::now() - message.begun < kAnswer;
    if (message.reply.empty()) socket_.Close();
    message.node_died = kills % 2 == 1 || node_.kills != kills;
    if (written) record_.Sent(id, message);
    return message.reply.starts_with("-BUSY");
  }

  bool Connect() {
    if (node_.port == 0) return false;
    socket_ = Socket::Connect(node_.port);
    bytes_.clear();
    return socket_.open();
  }
  std::string ReadLine() {
    const auto end = Clock::now() + kAnswer;
    std::size_t at = 0;
    while ((at = bytes_.find("\r\n")) == std::string::npos) {
      const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
      const std::string more = left > milliseconds(0) ? socket_.Read(left) : "";
      if (more.empty()) return "";
      bytes_ += more;
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
  Socket socket_;
  std::string bytes_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace indigosaddle::testing
