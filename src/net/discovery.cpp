#include "net/discovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace indigosaddle::net {
namespace {

using nlohmann::json;

constexpr std::size_t kMostText = std::size_t{8} * 1024 * 1024;  // of one list or line
// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever went before. A
// line comes every 2 s; a watch without one is broken, and its next request has these bounds of its own.
// docs/design/005-endings.md adds them up for each way in which an answer fails to come.
constexpr Micros kSilent = std::chrono::milliseconds(3500);
constexpr Micros kConnect = std::chrono::milliseconds(1500);  // until its connection is up
constexpr Micros kFirstAnswer = std::chrono::seconds(3);      // from asking to the first whole line or list
// The loop's timers come before its reads: a node that was held up reads first.
constexpr Micros kReadFirst = std::chrono::milliseconds(1);
const AskPace kAlone = PaceOfAsking(1, Micros(0));  // where waiting spares discovery nothing

std::string Text(const json& entry, const char* name) {
  const auto it = entry.find(name);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// Empty where the entry is good, else what is wrong with it.
std::string ReadMember(const json& entry, Member& member) {
  if (!entry.is_object()) return "not an object";
  member.host = Text(entry, "host");
  member.dial = Text(entry, "dial");
  member.site = Text(entry, "site");
  member.kind = Text(entry, "class");
  if (member.host.empty()) return "no host";
  const auto visible = [](unsigned char c) { return c > ' ' && c < 0x7f; };  // it goes on as a header's value
  if (!std::all_of(member.host.begin(), member.host.end(), visible))
    return "a host that is not visible ASCII";
  const auto block = entry.find("block");
  if (block == entry.end() || !block->is_number_integer() || (!block->is_number_unsigned() && *block < 0)) {
    return "no block";
  }
  member.block = block->get<std::uint64_t>();
  const auto share = entry.find("share");
  if (share != entry.end() && share->is_number()) member.share = std::max(0.0, share->get<double>());
  const std::string health = Text(entry, "health");
  if (health == "Ready") {
    member.health = Health::kReady;
  } else if (health == "Terminating") {
    member.health = Health::kTerminating;
  } else if (health == "Gone") {
    member.health = Health::kGone;
  } else {
    return "unknown health";
  }
  sockaddr_storage address{};
  if (member.health != Health::kGone && !ParseAddress(member.dial, address)) return "no address to dial";
  return {};
}

}  // namespace

std::optional<MemberNews> ParseMembers(std::string_view text) {
  const json whole = json::parse(text, nullptr, false);
  if (!whole.is_object()) return std::nullopt;
  const auto version = whole.find("seq"), full = whole.find("whole"), hosts = whole.find("hosts");
  if (version == whole.end() || !version->is_number_unsigned()) return std::nullopt;
  if (full == whole.end() || !full->is_boolean()) return std::nullopt;
  if (hosts == whole.end() || !hosts->is_array()) return std::nullopt;
  MemberNews news;
  news.version = version->get<std::uint64_t>();
  news.whole = full->get<bool>();
  std::set<std::string> seen;
  for (const json& entry : *hosts) {
    Member member;
    std::string trouble = ReadMember(entry, member);
    if (trouble.empty() && !seen.insert(member.host).second) {
      // Named twice: where the two differ, the careful reading holds.
      trouble = "named twice";
      for (Member& first : news.members) {
        if (first.host == member.host) first.health = std::max(first.health, member.health);
      }
    }
    if (trouble.empty()) {
      news.members.push_back(std::move(member));
    } else {
      news.skipped.push_back(fmt::format("{}: {}", member.host.empty() ? "an entry" : member.host, trouble));
    }
  }
  return news;
}

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
      refused_(pace.least, pace.most, seed + 1) {}

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
  up_ = answered_ = false;
  silence_.Start(kConnect);
  if (stream_->Connect(address_) != 0) Lost("can't connect", Loss::kUnreached);
}

void Discovery::OnConnected(int error) {
  if (error != 0) return Lost(uv_strerror(error), Loss::kUnreached);
  up_ = true;
  silence_.Start(std::max(Micros(0), asked_at_ + kFirstAnswer - loop_.Now()));
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
  const bool good = reader_.Take(bytes);
  if (stream_ == nullptr) return;  // lost while the body was read
  if (reader_.head_done() && reader_.status() != 200)
    return Lost(fmt::format("status {}", reader_.status()), Loss::kRefused);
  if (!reader_.done()) {
    if (!good) Lost("unreadable");
    return;
  }
  if (watching_) return Lost("the watch ended");
  Take(std::exchange(text_, {}));
  if (!version_) return Lost("unreadable list");
  if (stream_ == nullptr) return;
  // On with the watch, on a connection of its own.
  buried_ = std::move(stream_);
  AskIn(Micros(0));
}

void Discovery::OnSilence() {
  if (up_ && stream_ != nullptr && stream_->unread() > 0) return silence_.Start(kReadFirst);
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
      Life();
      silence_.Start(kSilent);
      while (!text_.empty() && text_.back() == '\r') text_.pop_back();
      if (!text_.empty()) Take(std::exchange(text_, {}));
    }
  }
  if (text_.size() > kMostText && stream_ != nullptr) Lost("a list that is too long");
}

void Discovery::Take(std::string_view json) {
  std::optional<MemberNews> news = ParseMembers(json);
  if (!news) {
    version_.reset();  // what was missed is in the whole list
    if (watching_) Lost("unreadable line");
    return;
  }
  version_ = news->version;
  Life();
  lost_.Reset(), refused_.Reset();
  handler_->OnMembers(std::move(*news));
}

// One that refuses may have too many callers: it is left alone for longer each time. A watch that ends may
// have ended for all nodes in this instant. One that was silent has used up much of the time by which a new
// one must stand.
void Discovery::Lost(std::string_view reason, Loss loss) {
  silence_.Stop();
  if (stream_ != nullptr) buried_ = std::move(stream_);
  if (loss == Loss::kRefused) {
    clock_.OnRefused();
    AskIn(refused_.Next());
  } else {
    if (loss == Loss::kUnreached) clock_.OnNoAnswer(asked_at_);
    AskIn(lost_.Next() + (loss == Loss::kEnded ? lost_.Within(spread_) : Micros(0)));
  }
  handler_->OnWatchLost(reason, clock_.outdated_from());
}

// A whole line or list, and nothing less: bytes that complete nothing tell nothing.
void Discovery::Life() {
  answered_ = true;
  clock_.OnLife(loop_.Now());
}

void Nesting::Take(std::string_view bytes) {
  for (const char c : bytes) {
    if (std::exchange(escaped_, false)) continue;
    if (c == '"') {
      in_string_ = !in_string_;
    } else if (in_string_) {
      escaped_ = c == '\\';
    } else {
      depth_ += (c == '{') - (c == '}');
    }
  }
}

}  // namespace indigosaddle::net
