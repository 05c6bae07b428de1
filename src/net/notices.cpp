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

class Notices::Exchange : private Stream::Listener {
 public:
  Exchange(Notices& owner, std::string post)
      : owner_(owner), post_(std::move(post)), reader_(kMostAnswerBody), stream_(owner.loop_, *this) {}

  // False where it can't begin.
  bool Begin() { return stream_.Connect(owner_.address_) == 0; }
  bool MustReadFirst(Timer& timer) const { return up_ && RestartIfUnread(timer, stream_); }
  // From now on nothing of it is heard.
  void Silence() { stream_.Close(); }

 private:
  void OnConnected(int error) override {
    up_ = error == 0 && stream_.StartReading() == 0;
    if (!up_ || stream_.Write(std::exchange(post_, {})) != 0) owner_.Again();
  }
  // An answer that begins before the post has left whole is none to it.
  void OnBytes(std::string_view bytes) override {
    const bool good = reader_.Read(bytes);
    if (stream_.unwritten() > 0 || (!good && !reader_.done())) return owner_.Again();
    if (reader_.done()) owner_.Answered(reader_);
  }
  void OnEnd(int) override {
    reader_.ReadEnd();
    reader_.done() ? owner_.Answered(reader_) : owner_.Again();
  }

  Notices& owner_;
  std::string post_;
  HttpReader reader_;
  Stream stream_;
  bool up_ = false;
};

Notices::Notices(Loop& loop, Handler& handler, std::string address)
    : loop_(loop),
      handler_(handler),
      address_(std::move(address)),
      patience_(loop, [this] { OutOfPatience(); }),
      again_(loop, [this] { Send(); }),
      bury_(loop, [this] { buried_.clear(); }),
      pause_(kLeastPause),
      patient_for_(kPatience) {}

Notices::~Notices() = default;

void Notices::Post(std::vector<NoticeLine> lines) {
  lines_ = std::move(lines);
  at_once_ = lines_.size();
  Send();
}

void Notices::Move(std::string address) {
  address_ = std::move(address);
  Drop();
  pause_ = kLeastPause;
  again_.Start(Micros(0));
}

void Notices::Close() {
  Drop();
  again_.Stop();
}

void Notices::Send() {
  if (lines_.empty() || out_ != nullptr) return;
  patience_.Start(patient_for_);
  out_ = std::make_unique<Exchange>(*this, NextPost());
  if (!out_->Begin()) Again();
}

std::string Notices::NextPost() {
  std::string body;
  at_once_ = std::min(at_once_, lines_.size());
  for (std::size_t i = 0; i < at_once_; ++i) {
    if (i > 0 && body.size() + lines_[i].json.size() > kMostBody) {
      at_once_ = i;
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

void Notices::Answered(const HttpReader& answer) {
  const int status = answer.status();
  const bool taken = status >= 200 && status < 300;
  if (!taken && status != 400) return Again();
  Drop();
  pause_ = kLeastPause;
  patient_for_ = kPatience;
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
  if (out_ != nullptr && out_->MustReadFirst(patience_)) return;
  patient_for_ = std::min(2 * patient_for_, kMostPatience);
  Again();
}

// On a new connection, after a pause that grows.
void Notices::Again() {
  Drop();
  if (lines_.empty()) return;
  again_.Start(pause_);
  pause_ = std::min(2 * pause_, kMostPause);
}

void Notices::Drop() {
  patience_.Stop();
  if (out_ == nullptr) return;
  out_->Silence();
  buried_.push_back(std::move(out_));
  bury_.Start(Micros(0));
}

}  // namespace indigosaddle::net
