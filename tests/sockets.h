// Plain blocking sockets on loopback with ports chosen by the kernel, and the common limit of all waits.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace indigosaddle::testing {

using Clock = std::chrono::steady_clock;
// Generous limit of every wait for a condition, so that a busy machine fails no test.
constexpr auto kWaitLimit = std::chrono::seconds(60);

// Polls `holds` every 5 ms until it returns true; returns false after kWaitLimit.
inline bool Eventually(const std::function<bool()>& holds) {
  const auto end = Clock::now() + kWaitLimit;
  while (!holds()) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Owns a TCP socket descriptor; -1 when closed. If they fail, Connect returns a closed socket
// and Listen aborts.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    return *this;
  }

  static Socket Listen(int& port) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(socket.get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(socket.get(), 128) != 0)
      abort();
    getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
  }
  static Socket Connect(int port) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) socket.Close();
    return socket;
  }

  int get() const { return descriptor_; }
  bool open() const { return descriptor_ >= 0; }
  void Close() {
    if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
  }
  void Reset() {  // closes with a TCP reset instead of an orderly close
    const linger hard{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t wrote = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (wrote <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(wrote));
    }
    return true;
  }
  // The next bytes; empty at the end of the connection, on an error or after the timeout.
  std::string Read(std::chrono::milliseconds timeout = kWaitLimit) const {
    pollfd wait{descriptor_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(timeout.count())) <= 0) return {};
    std::string bytes(65536, '\0');
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
  }

 private:
  int descriptor_;
};

// An HTTP response without a body; `headers` are whole lines, each with its CRLF.
inline std::string Answer(int status, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

}  // namespace indigosaddle::testing
