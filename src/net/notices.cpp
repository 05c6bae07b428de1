#include "net/notices.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMostAnswerBody = std::size_t{64} * 1024;
constexpr std::size_t kMostBody = std::size_t{60} * 1024;  // of one request
// A message is lost where its notice comes 300 ms after its time, and the platform answers at once: a
// connection that says nothing is given up early enough for two more tries. A notice that comes twice does no
// harm.
constexpr Micros kPatience = std::chrono::milliseconds(100);
constexpr Micros kMostPatience = std::chrono::seconds(1);  // of one that goes on saying nothing
constexpr Micros kLeastPause = std::chrono::milliseconds(20);
constexpr Micros kMostPause = std::chrono::milliseconds(500);

}  // namespace

std::string FormatFailed(const std::string& id) {
  return nlohmann::ordered_json{{"id", id}, {"state", "failed"}}.dump();
}

std::string FormatReturned(const std::string& id, Micros not_before) {
  nlohmann::ordered_json line{{"id", id}, {"state", "returned"}};
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(not_before).count();
  if (millis > 0) line["after_ms"] = millis;
  return line.dump();
}

Notices::Notices(Loop& loop, Handler& handler, std::string address)
    : loop_(loop),
      handler_(handler),
      address_(std::move(address)),
      reader_(kMostAnswerBody),
      patience_(loop, [this] { OutOfPatience(); }),
      again_(loop,
             [this] {
               buried_.reset();
               Send();
             }),
      pause_(kLeastPause),
      patient_for_(kPatience) {}

void Notices::Post(std::vector<NoticeLine> lines) {
  lines_ = std::move(lines);
  at_once_ = lines_.size();
  Send();
}

void Notices::Move(std::string address) {
  address_ = std::move(address);
  out_ = up_ = false;
  patience_.Stop();
  pause_ = kLeastPause;
  if (stream_ != nullptr) buried_ = std::move(stream_);
  again_.Start(Micros(0));
}

void Notices::Close() {
  stream_.reset();
  patience_.Stop();
  again_.Stop();
}

void Notices::Send() {
  if (lines_.empty() || out_) return;
  out_ = true;
  patience_.Start(patient_for_);
  if (stream_ != nullptr && !stream_->silent()) stream_.reset();
  if (stream_ != nullptr && up_) return Write();
  up_ = false;
  stream_ = std::make_unique<Stream>(loop_, static_cast<Stream::Listener&>(*this));
  if (stream_->Connect(address_) != 0) Again();
}

void Notices::OnConnected(int error) {
  if (error != 0 || stream_->StartReading() != 0) return Again();
  up_ = true;
  if (out_) Write();
}

void Notices::Write() {
  reader_.Reset();
  std::string body;
  at_once_ = std::min(at_once_, lines_.size());
  for (std::size_t i = 0; i < at_once_; ++i) {
    if (i > 0 && body.size() + lines_[i].json.size() > kMostBody) {
      at_once_ = i;
      break;
    }
    body += lines_[i].json + "\n";
  }
  std::string text = fmt::format(
      "POST /v1/notices HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: "
      "{}\r\n\r\n",
      address_, body.size());
  if (stream_->Write(text + body) != 0) Again();
}

void Notices::OnBytes(std::string_view bytes) {
  if (stream_ == nullptr) return;
  if (!out_ || (!reader_.Take(bytes) && !reader_.done())) return Again();
  if (reader_.done()) Answered();
}

void Notices::OnEnd(int) {
  if (stream_ == nullptr) return;
  reader_.TakeEnd();
  if (out_ && reader_.done()) return Answered();
  Again();
}

void Notices::Answered() {
  const int status = reader_.status();
  const bool taken = status >= 200 && status < 300;
  if (!taken && status != 400) return Again();
  out_ = false;
  patience_.Stop();
  pause_ = kLeastPause;
  patient_for_ = kPatience;
  if (!reader_.keep_alive()) {
    buried_ = std::move(stream_);
    up_ = false;
  }
  if (!taken && at_once_ > 1) {  // one of them can't be read: find it, so that the rest get through
    at_once_ = (at_once_ + 1) / 2;
  } else {
    if (!taken) handler_.OnNoticeUnreadable(lines_.front().json);
    for (std::size_t i = 0; i < at_once_; ++i) taken_.push_back(lines_[i].serial);
    lines_.erase(lines_.begin(), lines_.begin() + static_cast<std::ptrdiff_t>(at_once_));
    if (taken) at_once_ = lines_.size();
  }
  if (lines_.empty()) return handler_.OnNoticesTaken(std::exchange(taken_, {}));
  again_.Start(Micros(0));
}

void Notices::OutOfPatience() {
  if (stream_ != nullptr && up_ && ReadFirst(patience_, *stream_)) return;
  patient_for_ = std::min(2 * patient_for_, kMostPatience);
  Again();
}

// On a new connection, after a pause that grows.
void Notices::Again() {
  out_ = up_ = false;
  patience_.Stop();
  if (stream_ != nullptr) buried_ = std::move(stream_);
  if (lines_.empty()) return;
  again_.Start(pause_);
  pause_ = std::min(2 * pause_, kMostPause);
}

}  // namespace indigosaddle::net
