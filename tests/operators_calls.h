// Requests to the built node's operators' address (HTTP).
#pragma once

#include <string>
#include <utility>

#include "sockets.h"

namespace indigosaddle::testing {

// A port on which no process listens at the time of the call.
inline int FreePort() {
  int port = 0;
  Socket::Listen(port);
  return port;
}

// Sends one request on a connection of its own and returns the status and the body. The status is 0 where the
// connection failed or the answer has no complete head.
inline std::pair<int, std::string> Call(int port, const std::string& method, const std::string& path) {
  Socket socket = Socket::Connect(port);
  if (!socket.open() ||
      !socket.Write(method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"))
    return {0, ""};
  std::string bytes;
  for (std::string more = socket.Read(); !more.empty(); more = socket.Read()) bytes += more;
  const std::size_t head = bytes.find("\r\n\r\n");
  if (bytes.rfind("HTTP/1.1 ", 0) != 0 || head == std::string::npos) return {0, bytes};
  return {std::stoi(bytes.substr(9, 3)), bytes.substr(head + 4)};
}

}  // namespace indigosaddle::testing
