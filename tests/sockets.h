// A bare socket on loopback, with a port from the kernel, and the one generous limit on every wait.
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
constexpr auto kPatience = std::chrono::seconds(60);

inline bool Eventually(const std::function<bool()>& holds) {
  const auto end = Clock::now() + kPatience;
  while (!holds()) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

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
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (bind(socket.get(), reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(socket.get(), 128) != 0)
      abort();
    getsockname(socket.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
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
  void Reset() {  // ends it with a reset instead of an orderly close
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
  // More bytes, or nothing at the end of the connection or of the patience.
  std::string Read(std::chrono::milliseconds patience = kPatience) const {
    pollfd wait{descriptor_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(patience.count())) <= 0) return {};
    std::string bytes(65536, '\0');
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
  }

 private:
  int descriptor_;
};

inline std::string Answer(int status, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

}  // namespace indigosaddle::testing
