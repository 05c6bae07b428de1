// A client of the node that speaks RESP over loopback.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sockets.h"

namespace indigosaddle::testing {

// One client connection to the node, with blocking reads that wait at most kWaitLimit.
class ClientStandIn {
 public:
  explicit ClientStandIn(int port) : socket_(Socket::Connect(port)) {}

  // Encodes a command as a RESP array of bulk strings.
  static std::string Command(const std::vector<std::string>& parts) {
    std::string out = "*" + std::to_string(parts.size()) + "\r\n";
    for (const std::string& part : parts) out += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
    return out;
  }
  // Encodes an ENQUEUE command without an order key; `fields` holds the "name=value" fields.
  static std::string Enqueue(const std::string& id, const std::string& fields,
                             const std::string& body = "body") {
    return Command({"ENQUEUE", "0000000000000000", id, fields, body});
  }

  bool Write(std::string_view bytes) { return socket_.Write(bytes); }
  // The next reply line without its CRLF; empty if the connection ends or the wait limit is reached.
  std::string ReadLine() {
    std::size_t end = 0;
    while ((end = bytes_.find("\r\n")) == std::string::npos) {
      const std::string more = socket_.Read();
      if (more.empty()) return "";
      bytes_ += more;
    }
    const std::string line = bytes_.substr(0, end);
    bytes_.erase(0, end + 2);
    return line;
  }
  // Writes a command and returns its reply line; empty on failure.
  std::string Ask(std::string_view bytes) { return Write(bytes) ? ReadLine() : ""; }
  Socket& socket() { return socket_; }

 private:
  Socket socket_;
  std::string bytes_;
};

}  // namespace indigosaddle::testing
