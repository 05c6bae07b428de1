#include "net/admin_server.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 64;
constexpr Micros kSweepEvery = std::chrono::milliseconds(250);
// From accept to a whole request. The platform waits 1 s for an answer; a caller that has said nothing
// whole by then is one of those that hold a connection open.
constexpr Micros kRequestTime = std::chrono::seconds(2);
constexpr Micros kAnswerTime = std::chrono::seconds(2);  // for the caller to read the answer

std::string_view Reason(int status) {
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

std::string FormatAnswer(const AdminAnswer& answer) {
  return fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\n"
      "Connection: close\r\n\r\n{}",
      answer.status, Reason(answer.status), answer.content_type, answer.body.size(), answer.body);
}

class AdminServer::Caller : private Stream::Listener {
 public:
  Caller(AdminServer& server, std::uint64_t id)
      : server_(server), id_(id), stream_(server.loop_, *this), since_(server.loop_.Now()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  int Accept(uv_stream_t* listener) {
    const int error = stream_.Accept(listener);
    return error != 0 ? error : stream_.StartReading();
  }

  bool Overdue(Micros now) const {
    return now - since_ > (answered_ ? kRequestTime + kAnswerTime : kRequestTime);
  }
  bool answered() const { return answered_; }
  Micros since() const { return since_; }

 private:
  static const http_parser_settings& Callbacks() {
    static const http_parser_settings settings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, std::size_t size) {
        auto& self = *static_cast<Caller*>(p->data);
        self.url_.append(at, size);
        return self.Count(size) ? 0 : 1;
      };
      s.on_header_field = [](http_parser* p, const char*, std::size_t size) {
        return static_cast<Caller*>(p->data)->Count(size) ? 0 : 1;
      };
      s.on_header_value = [](http_parser* p, const char*, std::size_t size) {
        return static_cast<Caller*>(p->data)->Count(size) ? 0 : 1;
      };
      s.on_message_complete = [](http_parser* p) {
        static_cast<Caller*>(p->data)->whole_ = true;
        return 1;  // one call to a connection: what follows is not read
      };
      return s;
    }();
    return settings;
  }

  bool Count(std::size_t bytes) { return (head_bytes_ += bytes) <= kMostHead; }

  void OnBytes(std::string_view bytes) override {
    if (answered_) return;  // read and dropped, so that the answer is not lost to a reset
    http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    if (whole_) {
      const std::string_view method = http_method_str(static_cast<http_method>(parser_.method));
      const std::string_view path = std::string_view{url_}.substr(0, url_.find('?'));
      return Answer(server_.handler_.OnAdmin(method, path));
    }
    const auto error = static_cast<http_errno>(parser_.http_errno);
    if (error == HPE_OK) return;
    const bool too_long = head_bytes_ > kMostHead;
    Answer({too_long ? 431 : 400, too_long ? "the request's head is too long\n" : "no HTTP request\n"});
  }

  void OnEnd(int) override {
    if (!answered_ || stream_.unwritten() == 0) server_.Drop(id_);
  }

  void Answer(const AdminAnswer& answer) {
    answered_ = true;
    if (stream_.Write(FormatAnswer(answer)) != 0 || stream_.HalfClose() != 0) server_.Drop(id_);
  }

  AdminServer& server_;
  const std::uint64_t id_;
  Stream stream_;
  const Micros since_;
  http_parser parser_{};
  std::string url_;
  std::size_t head_bytes_ = 0;
  bool whole_ = false, answered_ = false;
};

AdminServer::AdminServer(Loop& loop, Handler& handler)
    : loop_(loop),
      handler_(handler),
      bury_(loop, [this] { buried_.clear(); }),
      sweep_(loop, [this] { Sweep(); }) {}

AdminServer::~AdminServer() {
  callers_.clear();
  buried_.clear();
  StopListening();
}

void AdminServer::StopListening() {
  if (listener_ == nullptr) return;
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

int AdminServer::Listen(const std::string& address) {
  sockaddr_storage at{};
  if (!ParseAddress(address, at)) return UV_EINVAL;
  listener_ = new uv_tcp_t{};
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
  int error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&at), 0);
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
  sweep_.Start(kSweepEvery);
  return 0;
}

std::string AdminServer::address() const { return BoundAddress(listener_); }

void AdminServer::Accept() {
  // Callers that have their answer, and such as hold a connection without a whole request, must not keep the
  // platform's checks out.
  if (callers_.size() >= kMostCallers) {
    const auto rank = [](const auto& entry) {
      return std::pair(!entry.second->answered(), entry.second->since());
    };
    Drop(std::min_element(callers_.begin(), callers_.end(), [&](const auto& a, const auto& b) {
           return rank(a) < rank(b);
         })->first);
  }
  const std::uint64_t id = ++last_caller_;
  auto caller = std::make_unique<Caller>(*this, id);
  if (caller->Accept(reinterpret_cast<uv_stream_t*>(listener_)) != 0) {
    buried_.push_back(std::move(caller));
    bury_.Start(Micros(0));
    return;
  }
  callers_.emplace(id, std::move(caller));
}

void AdminServer::Drop(std::uint64_t caller) {
  auto node = callers_.extract(caller);
  if (node.empty()) return;
  buried_.push_back(std::move(node.mapped()));
  bury_.Start(Micros(0));
}

void AdminServer::Sweep() {
  std::vector<std::uint64_t> overdue;
  const Micros now = loop_.Now();
  for (const auto& [id, caller] : callers_) {
    if (caller->Overdue(now)) overdue.push_back(id);
  }
  for (std::uint64_t id : overdue) Drop(id);
  sweep_.Start(kSweepEvery);
}

}  // namespace indigosaddle::net
