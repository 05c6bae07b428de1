// Endpoints of a soak test, whose answers depend on a seed, and the record of what they and the clients
// observed, which the checks at the end of the test use.
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

constexpr const char* kChangingClass = "shifting";  // a class whose rules change
constexpr const char* kTemporaryClass = "guest";    // a class that is added and removed

// How an endpoint answered a call: kRefused is status 503, kError 500, kReset a connection reset, and kSilent
// no response at all.
enum class CallAnswer { kServed, kRefused, kError, kReset, kSilent };

// A call as its endpoint observed it. `sender` is the number of the node.
struct ObservedCall {
  Clock::time_point arrived_at;
  int sender = 0;
  CallAnswer answer = CallAnswer::kServed;
};

// A message as its client observed it.
struct SentMessage {
  std::string reply;                   // empty if none arrived
  bool closed_without_reply = false;   // its connection ended within the client's timeout
  std::string close_description;       // how the connection ended, for failure messages
  Clock::time_point fully_written_at;  // when its last byte was written
  bool node_killed = false;            // the process was killed meanwhile without a SIGTERM
  std::string message_class;
  Clock::time_point created_at;        // the same for each attempt to enqueue it
  Clock::time_point enqueue_began_at;  // start of this attempt to enqueue it
  milliseconds time_limit{0};          // from enqueue_began_at to the deadline
};

// Everything that clients and endpoints observed. Thread-safe.
class SoakRecord {
 public:
  void AddMessage(const std::string& id, const SentMessage& message) {
    const std::lock_guard lock(mutex_);
    messages_[id] = message;
  }
  void AddCall(const std::string& id, const ObservedCall& call) {
    const std::lock_guard lock(mutex_);
    calls_[id].push_back(call);
  }
  std::map<std::string, SentMessage> messages() const {
    const std::lock_guard lock(mutex_);
    return messages_;
  }
  std::map<std::string, std::vector<ObservedCall>> calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  // Whether any call of the message was answered with status 200.
  bool Served(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto it = calls_.find(id);
    return it != calls_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [](const ObservedCall& call) { return call.answer == CallAnswer::kServed; });
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, SentMessage> messages_;
  std::map<std::string, std::vector<ObservedCall>> calls_;
};

// Returns the number of the node in a message id such as "n12-...".
inline int NodeNumberOf(const std::string& id) { return std::stoi(id.substr(1)); }

// An endpoint that serves calls, except for a share of failures that a seed selects. While it is down, it
// answers every call with an error. `record` must outlive it.
class SoakEndpoint {
 public:
  SoakEndpoint(SoakRecord& record, std::uint64_t seed, double failure_share)
      : record_(record),
        random_(seed),
        failure_share_(failure_share),
        endpoint_([this](Socket& s, const HttpRequest& r, int) { return HandleRequest(s, r); }) {}

  std::string address() const { return endpoint_.address(); }
  void SetDown(bool down) { down_ = down; }

 private:
  bool HandleRequest(Socket& socket, const HttpRequest& request) {
    const std::string id = request.headers.at("x-trace-id");
    const CallAnswer answer = DrawAnswer();
    const auto arrived_at = ArrivedAt(socket);
    bool keep_open = true;
    if (answer == CallAnswer::kServed) keep_open = socket.Write(Answer(200));
    if (answer == CallAnswer::kRefused) keep_open = socket.Write(Answer(503));
    if (answer == CallAnswer::kError) keep_open = socket.Write(Answer(500));
    if (answer == CallAnswer::kReset) {
      socket.Reset();
      keep_open = false;
    }
    record_.AddCall(id, {arrived_at, NodeNumberOf(id), answer});
    return answer == CallAnswer::kSilent ? Hang(socket) : keep_open;
  }
  // The arrival time according to the kernel, since this thread may have been stalled after it.
  static Clock::time_point ArrivedAt(const Socket& socket) {
    tcp_info connection_info{};
    socklen_t size = sizeof connection_info;
    const auto now = Clock::now();
    if (getsockopt(socket.get(), IPPROTO_TCP, TCP_INFO, &connection_info, &size) != 0) return now;
    return now - milliseconds(connection_info.tcpi_last_data_recv);
  }
  CallAnswer DrawAnswer() {
    const std::lock_guard lock(mutex_);
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    if (down_) return CallAnswer::kError;
    if (drawn >= failure_share_) return CallAnswer::kServed;
    const CallAnswer kinds[] = {CallAnswer::kRefused, CallAnswer::kError, CallAnswer::kReset,
                                CallAnswer::kSilent};
    return kinds[static_cast<std::size_t>(drawn / failure_share_ * 4) % 4];
  }

  SoakRecord& record_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  const double failure_share_;
  std::atomic<bool> down_{false};
  EndpointStandIn endpoint_;
};

}  // namespace indigosaddle::testing
