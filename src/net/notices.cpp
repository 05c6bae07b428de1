#include "net/notices.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMaxResponseBodyBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxRequestBodyBytes = std::size_t{60} * 1024;
// A message counts as lost if its notice comes more than 300 ms late. The platform normally responds at once,
// so a request without a response is given up early enough for two more attempts. A duplicate notice does no
// harm.
constexpr Micros kMinResponseTimeout = std::chrono::milliseconds(100);
constexpr Micros kMaxResponseTimeout = std::chrono::seconds(1);  // after repeated timeouts
constexpr Micros kMinRetryDelay = std::chrono::milliseconds(20);
constexpr Micros kMaxRetryDelay = std::chrono::milliseconds(500);

}  // namespace

std::string FormatFailedNotice(const std::string& id) {
  return nlohmann::ordered_json{{"id", id}, {"state", "failed"}}.dump();
}

std::string FormatReturnedNotice(const std::string& id, Micros retry_after) {
  nlohmann::ordered_json line{{"id", id}, {"state", "returned"}};
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  if (millis > 0) line["after_ms"] = millis;
  return line.dump();
}

class Notices::Exchange : private Stream::Listener {
 public:
  Exchange(Notices& owner, std::string request)
      : owner_(owner),
        request_(std::move(request)),
        reader_(kMaxResponseBodyBytes),
        stream_(owner.loop_, *this) {}

  // Returns false if it can't connect.
  bool Begin() { return stream_.Connect(owner_.address_) == 0; }
  // Whether bytes of the response lie unread. The timer is then restarted.
  bool MustReadFirst(Timer& timer) const { return connected_ && RestartIfUnread(timer, stream_); }
  // No callback comes any more.
  void Close() { stream_.Close(); }

 private:
  void OnConnected(int error) override {
    connected_ = error == 0 && stream_.StartReading() == 0;
    if (!connected_ || stream_.Write(std::exchange(request_, {})) != 0) owner_.Retry();
  }
  // A response that begins before the request has been written wholly is not a response to it.
  void OnBytes(std::string_view bytes) override {
    const bool valid = reader_.Read(bytes);
    if (stream_.unwritten() > 0 || (!valid && !reader_.done())) return owner_.Retry();
    if (reader_.done()) owner_.OnResponse(reader_);
  }
  void OnEnd(int) override {
    reader_.ReadEnd();
    reader_.done() ? owner_.OnResponse(reader_) : owner_.Retry();
  }

  Notices& owner_;
  std::string request_;
  HttpReader reader_;
  Stream stream_;
  bool connected_ = false;
};

Notices::Notices(Loop& loop, Handler& handler, std::string address)
    : loop_(loop),
      handler_(handler),
      address_(std::move(address)),
      response_timer_(loop, [this] { OnResponseTimeout(); }),
      retry_timer_(loop, [this] { Send(); }),
      deletion_timer_(loop, [this] { closed_.clear(); }),
      retry_delay_(kMinRetryDelay),
      response_timeout_(kMinResponseTimeout) {}

Notices::~Notices() = default;

void Notices::Post(std::vector<NoticeLine> lines) {
  lines_ = std::move(lines);
  lines_per_request_ = lines_.size();
  Send();
}

void Notices::SetAddress(std::string address, std::string fallback) {
  address_ = std::move(address);
  fallback_ = std::move(fallback);
  CloseExchange();
  retry_delay_ = kMinRetryDelay;
  response_timeout_ = kMinResponseTimeout;
  retry_timer_.Start(Micros(0));
}

void Notices::Close() {
  CloseExchange();
  retry_timer_.Stop();
}

void Notices::Send() {
  if (lines_.empty() || in_flight_ != nullptr) return;
  response_timer_.Start(response_timeout_);
  in_flight_ = std::make_unique<Exchange>(*this, NextRequest());
  if (!in_flight_->Begin()) Retry();
}

std::string Notices::NextRequest() {
  std::string body;
  lines_per_request_ = std::min(lines_per_request_, lines_.size());
  for (std::size_t i = 0; i < lines_per_request_; ++i) {
    if (i > 0 && body.size() + lines_[i].json.size() > kMaxRequestBodyBytes) {
      lines_per_request_ = i;
      break;
    }
    body += lines_[i].json + "\n";
  }
  return fmt::format(
             "POST /v1/notices HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\n"
             "Connection: close\r\nContent-Length: {}\r\n\r\n",
             address_, body.size()) +
         body;
}

void Notices::OnResponse(const HttpReader& response) {
  const int status = response.status();
  const bool accepted = status >= 200 && status < 300;
  if (!accepted && status != 400) return Retry();
  CloseExchange();
  retry_delay_ = kMinRetryDelay;
  response_timeout_ = kMinResponseTimeout;
  if (!accepted && lines_per_request_ > 1) {
    // A line is unreadable. The request is halved until that line is alone, so that the others get through.
    lines_per_request_ = (lines_per_request_ + 1) / 2;
  } else {
    if (!accepted) handler_.OnNoticeUnreadable(lines_.front().json);
    for (std::size_t i = 0; i < lines_per_request_; ++i) accepted_.push_back(lines_[i].serial);
    lines_.erase(lines_.begin(), lines_.begin() + static_cast<std::ptrdiff_t>(lines_per_request_));
    if (accepted) lines_per_request_ = lines_.size();
  }
  if (lines_.empty()) return handler_.OnNoticesAccepted(std::exchange(accepted_, {}));
  retry_timer_.Start(Micros(0));
}

void Notices::OnResponseTimeout() {
  if (in_flight_ != nullptr && in_flight_->MustReadFirst(response_timer_)) return;
  response_timeout_ = std::min(2 * response_timeout_, kMaxResponseTimeout);
  Retry();
}

// Repeats the request on a new connection, after a delay that grows each time.
void Notices::Retry() {
  CloseExchange();
  if (lines_.empty()) return;
  if (!fallback_.empty()) std::swap(address_, fallback_);
  retry_timer_.Start(retry_delay_);
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
}

void Notices::CloseExchange() {
  response_timer_.Stop();
  if (in_flight_ == nullptr) return;
  in_flight_->Close();
  closed_.push_back(std::move(in_flight_));
  deletion_timer_.Start(Micros(0));
}

}  // namespace indigosaddle::net
