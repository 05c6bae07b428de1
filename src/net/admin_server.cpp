#include "net/admin_server.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 64;
constexpr Micros kSweepInterval = std::chrono::milliseconds(250);
// From accept to a complete request. The platform waits 1 s for a response; a client that has not sent a
// complete request by then only holds its connection open.
constexpr Micros kRequestTimeout = std::chrono::seconds(2);
constexpr Micros kResponseTimeout = std::chrono::seconds(2);  // for the client to read the response

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 431: return "Request Header Fields Too Large";
    case 503: return "Service Unavailable";
    default: return status < 400 ? "OK" : status < 500 ? "Bad Request" : "Internal Server Error";
  }
}

}  // namespace

std::string FormatResponse(const AdminResponse& response) {
  return fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\n"
      "Connection: close\r\n\r\n{}",
      response.status, ReasonPhrase(response.status), response.content_type, response.body.size(),
      response.body);
}

class AdminServer::Connection : private Stream::Listener {
 public:
  Connection(AdminServer& server, std::uint64_t id)
      : server_(server), id_(id), stream_(server.loop_, *this), accepted_at_(server.loop_.Now()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  int Accept(uv_stream_t* listener) {
    const int error = stream_.Accept(listener);
    return error != 0 ? error : stream_.StartReading();
  }

  bool Overdue(Micros now) const {
    return now - accepted_at_ > (responded_ ? kRequestTimeout + kResponseTimeout : kRequestTimeout);
  }
  bool responded() const { return responded_; }
  Micros accepted_at() const { return accepted_at_; }

 private:
  static const http_parser_settings& Callbacks() {
    static const http_parser_settings settings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* data, std::size_t size) {
        auto& self = *static_cast<Connection*>(p->data);
        self.url_.append(data, size);
        return self.CountHeadBytes(size) ? 0 : 1;
      };
      s.on_header_field = [](http_parser* p, const char*, std::size_t size) {
        return static_cast<Connection*>(p->data)->CountHeadBytes(size) ? 0 : 1;
      };
      s.on_header_value = [](http_parser* p, const char*, std::size_t size) {
        return static_cast<Connection*>(p->data)->CountHeadBytes(size) ? 0 : 1;
      };
      s.on_message_complete = [](http_parser* p) {
        static_cast<Connection*>(p->data)->request_complete_ = true;
        return 1;  // stops the parser: a connection carries one request, and what follows is not read
      };
      return s;
    }();
    return settings;
  }

  bool CountHeadBytes(std::size_t bytes) { return (head_bytes_ += bytes) <= kMaxHeadBytes; }

  void OnBytes(std::string_view bytes) override {
    if (responded_) return;  // dropped: with unread bytes a close would reset the connection
    http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    if (request_complete_) {
      const std::string_view method = http_method_str(static_cast<http_method>(parser_.method));
      const std::string_view path = std::string_view{url_}.substr(0, url_.find('?'));
      return Respond(server_.handler_.OnAdminRequest(method, path));
    }
    const auto error = static_cast<http_errno>(parser_.http_errno);
    if (error == HPE_OK) return;
    const bool head_too_long = head_bytes_ > kMaxHeadBytes;
    Respond({head_too_long ? 431 : 400,
             head_too_long ? "the request's head is too long\n" : "no HTTP request\n"});
  }

  void OnEnd(int) override {
    if (!responded_ || stream_.unwritten() == 0) server_.CloseConnection(id_);
  }

  void Respond(const AdminResponse& response) {
    responded_ = true;
    if (stream_.Write(FormatResponse(response)) != 0 || stream_.HalfClose() != 0)
      server_.CloseConnection(id_);
  }

  AdminServer& server_;
  const std::uint64_t id_;
  Stream stream_;
  const Micros accepted_at_;
  http_parser parser_{};
  std::string url_;
  std::size_t head_bytes_ = 0;
  bool request_complete_ = false, responded_ = false;
};

AdminServer::AdminServer(Loop& loop, Handler& handler)
    : loop_(loop),
      handler_(handler),
      deletion_timer_(loop, [this] { closed_.clear(); }),
      sweep_timer_(loop, [this] { CloseOverdue(); }) {}

AdminServer::~AdminServer() {
  connections_.clear();
  closed_.clear();
  StopListening();
}

void AdminServer::StopListening() {
  if (listener_ == nullptr) return;
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

int AdminServer::Listen(const std::string& address) {
  sockaddr_storage socket_address{};
  if (!ParseAddress(address, socket_address)) return UV_EINVAL;
  listener_ = new uv_tcp_t{};
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
  int error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&socket_address), 0);
  if (error == 0) {
    error =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog, [](uv_stream_t* stream, int status) {
          if (status == 0) static_cast<AdminServer*>(stream->data)->Accept();
        });
  }
  if (error != 0) {
    StopListening();
    return error;
  }
  sweep_timer_.Start(kSweepInterval);
  return 0;
}

std::string AdminServer::address() const { return BoundAddress(listener_); }

void AdminServer::Accept() {
  // Connections that have their response, and those without a complete request, must not block the platform's
  // health checks. At the limit the oldest of the former is evicted, or, if there is none, of the latter.
  if (connections_.size() >= kMaxConnections) {
    const auto eviction_rank = [](const auto& entry) {
      return std::pair(!entry.second->responded(), entry.second->accepted_at());
    };
    CloseConnection(
        std::min_element(connections_.begin(), connections_.end(), [&](const auto& a, const auto& b) {
          return eviction_rank(a) < eviction_rank(b);
        })->first);
  }
  const std::uint64_t id = ++last_connection_;
  auto connection = std::make_unique<Connection>(*this, id);
  if (connection->Accept(reinterpret_cast<uv_stream_t*>(listener_)) != 0) {
    closed_.push_back(std::move(connection));
    deletion_timer_.Start(Micros(0));
    return;
  }
  connections_.emplace(id, std::move(connection));
}

void AdminServer::CloseConnection(std::uint64_t connection) {
  auto node = connections_.extract(connection);
  if (node.empty()) return;
  closed_.push_back(std::move(node.mapped()));
  deletion_timer_.Start(Micros(0));
}

void AdminServer::CloseOverdue() {
  std::vector<std::uint64_t> overdue;
  const Micros now = loop_.Now();
  for (const auto& [id, connection] : connections_) {
    if (connection->Overdue(now)) overdue.push_back(id);
  }
  for (std::uint64_t id : overdue) CloseConnection(id);
  sweep_timer_.Start(kSweepInterval);
}

}  // namespace indigosaddle::net
