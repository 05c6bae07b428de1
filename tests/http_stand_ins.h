// An HTTP server on loopback, and an endpoint stand-in built on it.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "sockets.h"

namespace indigosaddle::testing {

// A request as the server read it; `line` is its request line.
struct HttpRequest {
  std::string line, body;
  std::map<std::string, std::string> headers;  // names in lower case
};

// An HTTP server with one thread per connection. The handler may use the socket in any way; it returns false
// to close the connection.
class HttpServer {
 public:
  using Handler = std::function<bool(Socket&, const HttpRequest&)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)), listener_(Socket::Listen(port_)) {
    acceptor_ = std::thread([this] {
      while (!stopped_) {
        Socket socket(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (stopped_ || !socket.open()) return;
        ++accepted;
        const std::lock_guard lock(mutex_);
        const int descriptor = socket.get();
        descriptors_.push_back(descriptor);
        threads_.emplace_back(
            [this, connection = std::move(socket)]() mutable { Serve(std::move(connection)); });
      }
    });
  }
  ~HttpServer() { Stop(); }

  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  bool stopped() const { return stopped_; }

  // Shuts all connections down and joins all threads. Later calls do nothing.
  void Stop() {
    if (stopped_.exchange(true)) return;
    shutdown(listener_.get(), SHUT_RDWR);
    acceptor_.join();
    {
      const std::lock_guard lock(mutex_);
      for (int descriptor : descriptors_) shutdown(descriptor, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
    listener_.Close();
  }

  std::atomic<int> accepted{0};  // number of accepted connections

 private:
  void Serve(Socket socket) {
    const int descriptor = socket.get();
    std::string bytes;
    while (!stopped_) {
      const std::size_t end = bytes.find("\r\n\r\n");
      if (end == std::string::npos) {
        const std::string more = socket.Read();
        if (more.empty()) break;
        bytes += more;
        continue;
      }
      HttpRequest request;
      std::istringstream head(bytes.substr(0, end));
      std::getline(head, request.line);
      if (!request.line.empty() && request.line.back() == '\r') request.line.pop_back();
      for (std::string line; std::getline(head, line);) {
        const std::size_t colon = line.find(": ");
        if (!line.empty() && line.back() == '\r') line.pop_back();
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        request.headers[name] = colon == std::string::npos ? "" : line.substr(colon + 2);
      }
      const auto length = request.headers.find("content-length");
      const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
      bytes.erase(0, end + 4);
      while (bytes.size() < size) {
        const std::string more = socket.Read();
        if (more.empty()) break;
        bytes += more;
      }
      if (bytes.size() < size) break;
      request.body = bytes.substr(0, size);
      bytes.erase(0, size);
      if (!handler_(socket, request)) break;
    }
    // Removed before it is closed, so that Stop cannot shut down a reused descriptor number.
    const std::lock_guard lock(mutex_);
    std::erase(descriptors_, descriptor);
    socket.Close();
  }

  Handler handler_;
  int port_ = 0;
  Socket listener_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<int> descriptors_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

// An endpoint that records every call and answers it with `react`, which gets the number of the call from 1.
// By default it answers 200.
class EndpointStandIn {
 public:
  using React = std::function<bool(Socket&, const HttpRequest&, int)>;

  explicit EndpointStandIn(React react = [](Socket& s, const HttpRequest&,
                                            int) { return s.Write(Answer(200)); })
      : react_(std::move(react)), server_([this](Socket& socket, const HttpRequest& request) {
          int number = 0;
          {
            const std::lock_guard lock(mutex_);
            calls_.push_back(request);
            number = static_cast<int>(calls_.size());
          }
          return react_(socket, request, number);
        }) {}

  std::vector<HttpRequest> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  // The number of calls for the message `id`.
  int CallsFor(const std::string& id) {
    const auto all = calls();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const HttpRequest& r) {
      const auto it = r.headers.find("x-trace-id");
      return it != r.headers.end() && it->second == id;
    }));
  }
  std::string address() const { return server_.address(); }
  HttpServer& server() { return server_; }

 private:
  std::mutex mutex_;
  std::vector<HttpRequest> calls_;
  React react_;
  HttpServer server_;
};

// Holds a connection open without answering until the other side or the stand-in ends it.
inline bool Hang(Socket& socket) {
  while (!socket.Read().empty()) {
  }
  return false;
}

}  // namespace indigosaddle::testing
