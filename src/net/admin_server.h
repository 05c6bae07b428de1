// The operators' address: HTTP/1.1 on TCP, one call to a connection, for the platform's health checks, the
// figures and the commands that empty the node and bring it back. Answers are made at once from what the
// node holds, so a call is answered within a turn however busy the node is.
//
// Bounds: connections (the oldest unfinished one gives way to a new one), bytes of a request's head, and
// time from accept to a whole request. A caller that passes one is closed without an answer.
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

struct AdminAnswer {
  int status = 200;
  std::string body;
  std::string content_type = "text/plain; charset=utf-8";
};

class AdminServer {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual AdminAnswer OnAdmin(std::string_view method, std::string_view path) = 0;
  };

  static constexpr std::size_t kMostCallers = 8;
  static constexpr std::size_t kMostHead = std::size_t{16} * 1024;

  AdminServer(Loop& loop, Handler& handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  int Listen(const std::string& address);  // a negative code where that fails
  std::string address() const;             // as bound; empty where it does not listen

 private:
  class Caller;

  void Accept();
  void StopListening();
  void Drop(std::uint64_t caller);
  void Sweep();

  Loop& loop_;
  Handler& handler_;
  uv_tcp_t* listener_ = nullptr;  // closed and freed by the loop
  std::uint64_t last_caller_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::list<std::unique_ptr<Caller>> buried_;  // may still be in one of their callbacks
  Timer bury_, sweep_;
};

// The answer as written on the wire, with the connection's end announced.
std::string FormatAnswer(const AdminAnswer& answer);

}  // namespace indigosaddle::net
