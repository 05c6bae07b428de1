#include "net/address.h"

#include <fmt/format.h>

#include <charconv>

namespace indigosaddle::net {

std::string BoundAddress(const uv_tcp_t* listener) {
  uv_os_fd_t descriptor = -1;
  if (listener == nullptr || uv_fileno(reinterpret_cast<const uv_handle_t*>(listener), &descriptor) != 0)
    return {};
  return BoundAddress(descriptor);
}

std::string BoundAddress(int descriptor) {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  char text[INET6_ADDRSTRLEN] = {};
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) return {};
  if (address.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
    uv_ip6_name(&v6, text, sizeof text);
    return fmt::format("[{}]:{}", text, ntohs(v6.sin6_port));
  }
  const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
  uv_ip4_name(&v4, text, sizeof text);
  return fmt::format("{}:{}", text, ntohs(v4.sin_port));
}

bool ParseAddress(const std::string& text, sockaddr_storage& address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end || port < 0 || port > 65535) return false;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return uv_ip6_addr(host.c_str(), port, reinterpret_cast<sockaddr_in6*>(&address)) == 0;
  }
  return uv_ip4_addr(host.c_str(), port, reinterpret_cast<sockaddr_in*>(&address)) == 0;
}

}  // namespace indigosaddle::net
