#include "net/discovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMostText = std::size_t{8} * 1024 * 1024;  // of one list or line
// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever went before. A
// line comes every 2 s; a watch without one is broken, and its next request has these bounds of its own.
// docs/design/005-endings.md adds them up for each way in which an answer fails to come.
constexpr Micros kSilent = std::chrono::milliseconds(3100);     // a standing watch, since its last whole line
constexpr Micros kMostPatience = std::chrono::seconds(3);       // with a request whose answer has not begun
constexpr Micros kFirstLine = std::chrono::milliseconds(2600);  // from asking to the first whole line or list
const AskPace kAlone = PaceOfAsking(1, Micros(0));              // where waiting spares discovery nothing

}  // namespace

Discovery::Discovery(Loop& loop, Handler& handler, std::string address, const AskPace& pace,
                     std::uint64_t seed)
    : loop_(loop),
      handler_(&handler),
      address_(std::move(address)),
      reader_(std::numeric_limits<std::size_t>::max(), [this](std::string_view bytes) { OnBody(bytes); }),
      silence_(loop, [this] { OnSilence(); }),
      again_(loop,
             [this] {
               due_ = false;
               buried_.reset();
               Ask();
             }),
      spread_(pace.spread),
      lost_(kAlone.least, kAlone.most, seed),
      refused_(pace.least, pace.most, seed + 1),
      first_patience_(pace.patience),
      patience_(first_patience_) {}

// Without a list nothing can be delivered, so that one is asked for at once.
void Discovery::Start(std::optional<std::uint64_t> held) {
  version_ = held;
  clock_.OnNoAnswer(loop_.Now());  // what this process could have been told begins here
  held ? AskIn(lost_.Within(spread_)) : Ask();
}

// A repeat that is due comes at its own time: asked for at once, it would come in step with all other nodes'.
void Discovery::Renew() {
  if (stream_ == nullptr && !due_) AskIn(Micros(0));
}

void Discovery::AskIn(Micros wait) {
  due_ = true;
  again_.Start(wait);
}

void Discovery::Ask() {
  if (stream_ != nullptr) return;
  watching_ = version_.has_value();
  text_.clear();
  nesting_ = {};
  reader_.Reset();
  stream_ = std::make_unique<Stream>(loop_, static_cast<Stream::Listener&>(*this));
  asked_at_ = loop_.Now();
  up_ = headed_ = answered_ = false;
  silence_.Start(patience_);
  if (stream_->Connect(address_) != 0) Lost("can't connect", Loss::kUnreached);
}

void Discovery::OnConnected(int error) {
  if (error != 0) return Lost(uv_strerror(error), Loss::kUnreached);
  up_ = true;
  const std::string path =
      watching_ ? fmt::format("/catalog/members?watch=1&from={}", *version_) : "/catalog/members";
  if (stream_->StartReading() != 0 ||
      stream_->Write(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path,
                                 address_)) != 0) {
    Lost("can't ask");
  }
}

void Discovery::OnBytes(std::string_view bytes) {
  if (stream_ == nullptr) return;
  const bool good = reader_.Read(bytes);
  if (stream_ == nullptr) return;  // lost while the body was read
  if (reader_.head_done() && reader_.status() != 200)
    return Lost(fmt::format("status {}", reader_.status()), Loss::kRefused);
  if (!reader_.done()) {
    if (!good) return Lost("unreadable", Loss::kUnreadable);
    if (reader_.head_done() && !answered_ && !std::exchange(headed_, true))
      silence_.Start(std::max(Micros(0), asked_at_ + std::max(patience_, kFirstLine) - loop_.Now()));
    return;
  }
  if (watching_) return Lost("the watch ended");
  Take(std::exchange(text_, {}));
  if (!version_) return Lost("no whole list that can be read", Loss::kUnreadable);
  if (stream_ == nullptr) return;
  // On with the watch, on a connection of its own.
  Drop();
  AskIn(Micros(0));
}

void Discovery::OnSilence() {
  if (up_ && stream_ != nullptr && RestartIfUnread(silence_, *stream_)) return;
  Lost("silent", answered_ ? Loss::kSilent : Loss::kUnreached);
}

void Discovery::OnEnd(int error) {
  if (stream_ != nullptr) Lost(uv_strerror(error));
}

void Discovery::OnBody(std::string_view bytes) {
  if (reader_.status() != 200 || stream_ == nullptr) return;
  if (!watching_) {
    text_.append(bytes);
  } else {
    while (!bytes.empty() && stream_ != nullptr) {
      const std::size_t end = bytes.find('\n');
      text_.append(bytes.substr(0, end));
      nesting_.Take(bytes.substr(0, end));
      if (end == std::string_view::npos) break;
      bytes.remove_prefix(end + 1);
      if (nesting_.open()) continue;
      silence_.Start(kSilent);
      while (!text_.empty() && text_.back() == '\r') text_.pop_back();
      text_.empty() ? Life() : Take(std::exchange(text_, {}));
    }
  }
  if (text_.size() > kMostText && stream_ != nullptr) Lost("a list that is too long", Loss::kUnreadable);
}

void Discovery::Take(std::string_view json) {
  std::optional<MemberNews> news = ParseMembers(json);
  // A watch begins with what changed since, or with the whole list; from then on it never goes back.
  const bool may_be_older = !watching_ || (news && news->whole && !answered_);
  const bool old = news && !may_be_older && news->version < *version_;
  if (!news || old) {
    version_.reset();  // what was missed is in the whole list
    if (watching_) Lost(old ? "news older than the list" : "unreadable line", Loss::kUnreadable);
    return;
  }
  const bool follows = watching_ || news->whole;  // a part of the list is no whole one
  const bool incomplete = !news->whole && news->incomplete;
  if (follows) {
    version_ = news->version;
    Life();
  }
  handler_->OnMembers(std::move(*news));
  if (!follows || !incomplete || stream_ == nullptr) return;
  version_.reset();
  Lost("a change with an entry that can't be read", Loss::kUnreadable);
}

// One that refuses may have too many callers: it is left alone for longer each time. A watch that ends may
// have ended for all nodes in this instant. One that was silent has used up much of the time by which a new
// one must stand.
void Discovery::Lost(std::string_view reason, Loss loss) {
  silence_.Stop();
  Drop();
  if (loss == Loss::kRefused) {
    clock_.OnRefused();
    AskIn(refused_.Next());
  } else {
    if (loss == Loss::kUnreadable) clock_.OnRefused();  // it was reached, and may have told of a change
    if (loss == Loss::kUnreached) {
      clock_.OnNoAnswer(asked_at_);
      patience_ = std::min(2 * patience_, kMostPatience);  // it may be slow, and is not to be asked the more
    }
    AskIn(lost_.Next() + (loss == Loss::kEnded ? lost_.Within(spread_) : Micros(0)));
  }
  handler_->OnWatchLost(reason, clock_.outdated_from());
}

// From now on nothing of it is heard, though it may be in one of its callbacks.
void Discovery::Drop() {
  if (stream_ == nullptr) return;
  stream_->Close();
  buried_ = std::move(stream_);
}

// A whole line or list that can be read, and nothing less: bytes that complete nothing tell nothing.
void Discovery::Life() {
  answered_ = true;
  patience_ = first_patience_;
  lost_.Reset(), refused_.Reset();
  clock_.OnLife(loop_.Now());
}

}  // namespace indigosaddle::net
