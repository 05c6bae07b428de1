// The operators' HTTP/1.1 server: serves the platform's health checks, the metrics and the commands that
// quiesce the node and resume it. Each connection carries one request. Responses are made at once from the
// node's own state, so a request is answered within one turn, however busy the node is.
//
// Limits: the number of connections (a new one evicts an old one), the bytes of a request's head (a longer
// one is answered with status 431), the time from accept to a complete request, and the time for the client
// to read the response. A connection that exceeds a time is closed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace indigosaddle::net {

// The response to one admin request.
struct AdminResponse {
  int status = 200;
  std::string body;
  std::string content_type = "text/plain; charset=utf-8";
};

// Listens for admin requests, passes each to its handler and writes the response.
class AdminServer {
 public:
  // Makes the responses. Must outlive the server.
  class Handler {
   public:
    virtual ~Handler() = default;
    // `path` is without the query string.
    virtual AdminResponse OnAdminRequest(std::string_view method, std::string_view path) = 0;
  };

  static constexpr std::size_t kMaxConnections = 8;
  static constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;  // of a request

  AdminServer(Loop& loop, Handler& handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Listens on "ip:port". Returns 0, or a negative libuv error code.
  int Listen(const std::string& address);
  // The address that it listens on; empty while it does not listen.
  std::string address() const;

 private:
  class Connection;

  void Accept();
  void StopListening();
  void CloseConnection(std::uint64_t connection);
  void CloseOverdue();

  Loop& loop_;
  Handler& handler_;
  uv_tcp_t* listener_ = nullptr;  // closed and freed by the loop
  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::list<std::unique_ptr<Connection>> closed_;  // deleted later: they may still be in a callback
  Timer deletion_timer_, sweep_timer_;
};

// The response as written on the wire, announcing that the connection closes.
std::string FormatResponse(const AdminResponse& response);

}  // namespace indigosaddle::net
