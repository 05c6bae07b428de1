#include "net/call_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "net/http_reader.h"

namespace indigosaddle::net {
namespace {

using state::Ending;

constexpr std::size_t kMostAnswerBody = std::size_t{64} * 1024;
// An idle connection is closed this much before the other side may, a quarter of its time at most: a request
// on its way must arrive in time.
constexpr Micros kIdleMargin = std::chrono::milliseconds(500);
constexpr Micros kSweepEvery = std::chrono::milliseconds(250);
// An answer that has begun comes whole within so long, or is taken for what has come of it.
constexpr Micros kAnswerPatience = std::chrono::milliseconds(500);
// The loop's timers come before its reads: a node that was held up reads what lies there before it gives up.
constexpr Micros kReadFirst = std::chrono::milliseconds(1);
constexpr double kMostWaitMillis = 1e9;
constexpr double kMostReported = 1e9;  // of a load report's figures: more is rubbish

std::optional<double> ParseNumber(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace

std::string FormatCall(const CallRequest& request) {
  std::string text =
      fmt::format("POST /hook HTTP/1.1\r\nHost: {}\r\nX-Trace-Id: {}\r\n", request.host, request.id);
  if (!request.idempotency_key.empty())
    text += fmt::format("Idempotency-Key: {}\r\n", request.idempotency_key);
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count();
  text += fmt::format("X-Expires-In: {}m\r\nContent-Length: {}\r\n\r\n", millis, request.body.size());
  return text += request.body;
}

// A report with a part that can't be read is not believed in any.
LoadReport ParseLoad(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const auto value = ParseNumber(pair.substr(equals + 1));
    if (!value || *value < 0 || *value > kMostReported) return {};
    if (pair.substr(0, equals) == "x0") report.left = *value;
    if (pair.substr(0, equals) == "x1") report.limit = *value;
  }
  return report;
}

class CallPool::Connection : public Stream::Listener {
 public:
  Connection(CallPool& pool, std::string host, std::string dial)
      : pool_(pool),
        host_(std::move(host)),
        dial_(std::move(dial)),
        reader_(kMostAnswerBody),
        stream_(pool.loop_, *this),
        timeout_(pool.loop_, [this] { OnTimeout(); }),
        phase_(pool.loop_, [this] { OnPhaseOver(); }) {}

  const std::string& host() const { return host_; }
  const std::string& dial() const { return dial_; }
  Micros idle_since() const { return idle_since_; }
  bool silent() const { return stream_.silent(); }
  void Close() { stream_.Close(); }

  // The call's end comes later, through Finished, in every case.
  void Begin(const CallRequest& request, bool connect) {
    serial_ = request.serial;
    bytes_ = FormatCall(request);
    began_ = pool_.loop_.Now();
    use_ = Use::kCall;
    sent_ = begun_ = false;
    reader_.Reset();
    timeout_.Start(request.timeout);
    if (!connect) {
      if (pool_.may_start_(serial_)) return Send();
      failure_ = Ending::kNotStarted;
      return timeout_.Start(Micros(0));
    }
    if (const int error = stream_.Connect(dial_); error != 0) {
      failure_ = error == UV_ECONNREFUSED                   ? Ending::kRefused
                 : error == UV_EMFILE || error == UV_ENFILE ? Ending::kNotStarted
                                                            : Ending::kNeverUp;
      return timeout_.Start(Micros(0));
    }
    if (pool_.limits_.connect_timeout > Micros(0)) phase_.Start(pool_.limits_.connect_timeout);
  }

  void Rest(bool idle) {
    use_ = idle ? Use::kIdle : Use::kRest;
    idle_since_ = pool_.loop_.Now();
    timeout_.Stop();
    if (idle) {
      phase_.Stop();
    } else {
      phase_.Start(kAnswerPatience);
    }
  }

 private:
  enum class Use : std::uint8_t { kCall, kRest, kIdle };

  void OnConnected(int error) override {
    phase_.Stop();
    if (error != 0) return End(error == UV_ECONNREFUSED ? Ending::kRefused : Ending::kNeverUp);
    up_ = true;
    if (stream_.StartReading() != 0) return End(Ending::kBrokenBeforeSent);
    if (!pool_.may_start_(serial_)) return pool_.Finished(*this, Result_(Ending::kNotStarted), After::kReuse);
    Send();
  }

  void Send() {
    const int error = stream_.Write(std::move(bytes_));
    if (error != 0) {  // known before any byte left: no part of the call was sent
      failure_ = Ending::kBrokenBeforeSent;
      return timeout_.Start(Micros(0));
    }
    if (stream_.unwritten() == 0) Sent();
  }

  void OnDrained() override { Sent(); }

  void Sent() {
    if (!std::exchange(sent_, true)) ++pool_.written_;
  }

  // A call is settled by its answer's head once that is in, or by its first line alone where that says 200.
  // The body means nothing; but where the head is no 200, one that does not come as told makes it doubtful.
  void OnBytes(std::string_view bytes) override {
    if (use_ == Use::kIdle) return pool_.IdleEnded(*this);  // an answer to nothing
    const bool good = reader_.Take(bytes);
    const bool reusable = good && reader_.done() && reader_.keep_alive() && sent_;
    if (use_ == Use::kRest) {
      if (reader_.done() || !good) pool_.RestEnded(*this, reusable);
      return;
    }
    if (reader_.done()) return Answered(reusable ? After::kReuse : After::kClose);
    if (!good) return Spoilt();
    if (reader_.head_done()) {
      // A body that only the connection's end would end is not waited for.
      if (reader_.ends_with_connection()) return Answered(After::kClose);
      if (reader_.status() == 200) return Answered(sent_ ? After::kAwaitRest : After::kClose);
    }
    const bool before = std::exchange(begun_, reader_.begun());
    if (before == begun_) return;
    if (begun_) {
      phase_.Start(kAnswerPatience);
    } else {
      phase_.Stop();  // so far 1xx alone
    }
  }

  void OnEnd(int) override {
    if (use_ == Use::kIdle) return pool_.IdleEnded(*this);
    if (use_ == Use::kRest) return pool_.RestEnded(*this, false);
    reader_.TakeEnd();
    if (reader_.done()) return Answered(After::kClose);
    if (reader_.status() == 200) return End(Ending::kDelivered);
    if (begun_) return End(Ending::kBrokenMidAnswer);
    End(sent_ ? Ending::kBrokenAfterSent : Ending::kBrokenBeforeSent);
  }

  void OnTimeout() {
    if (use_ != Use::kCall) return;
    if (failure_) return End(*failure_);
    if (!up_) return End(Ending::kNeverUp);
    if (stream_.unread() > 0) return timeout_.Start(kReadFirst);
    if (!sent_) return End(Ending::kBrokenBeforeSent);
    if (begun_) return Spoilt();
    End(Ending::kTimedOut);
  }

  void OnPhaseOver() {
    if (use_ == Use::kRest) return pool_.RestEnded(*this, false);
    if (use_ != Use::kCall) return;
    if (!up_) return End(Ending::kNeverUp);
    if (stream_.unread() > 0) return phase_.Start(kReadFirst);
    Spoilt();
  }

  void Spoilt() { End(reader_.status() == 200 ? Ending::kDelivered : Ending::kUnreadable); }

  void Answered(After after) {
    CallResult result = Result_(state::EndingOf(reader_.status(), reader_.header("x-no-slot") == "1"));
    if (result.ending == Ending::kToldToWait || result.ending == Ending::kTurnedAway) {
      const double millis = ParseNumber(reader_.header("x-retry-in-ms")).value_or(0);
      result.wait = std::chrono::duration_cast<Micros>(
          std::chrono::duration<double, std::milli>(std::clamp(millis, 0.0, kMostWaitMillis)));
    }
    result.load = ParseLoad(reader_.header("endpoint-load-metrics"));
    pool_.Finished(*this, result, after);
  }

  void End(Ending ending) { pool_.Finished(*this, Result_(ending), After::kClose); }

  CallResult Result_(Ending ending) const {
    return {serial_, ending, pool_.loop_.Now() - began_, Micros(0), {}};
  }

  CallPool& pool_;
  const std::string host_, dial_;
  HttpReader reader_;
  Stream stream_;
  Timer timeout_, phase_;  // phase: connecting, an answer that has begun, or the rest of one
  std::uint64_t serial_ = 0;
  std::string bytes_;
  Micros began_{0}, idle_since_{0};
  Use use_ = Use::kIdle;
  bool up_ = false, sent_ = false, begun_ = false;  // begun: the answer
  std::optional<Ending> failure_;  // known when the call began; told by the timer, never from within Start
};

CallPool::CallPool(Loop& loop, Limits limits, std::function<bool(std::uint64_t)> may_start,
                   std::function<void(const CallResult&)> ended)
    : loop_(loop),
      limits_(limits),
      may_start_(std::move(may_start)),
      ended_(std::move(ended)),
      sweep_(loop, [this] { CloseStale(); }),
      bury_(loop, [this] { buried_.clear(); }) {
  sweep_.Start(kSweepEvery);
}

CallPool::~CallPool() = default;

void CallPool::Start(const CallRequest& request) {
  std::unique_ptr<Connection> connection = TakeIdle(request.host, request.dial);
  const bool connect = connection == nullptr;
  if (connect) {
    if (connections() >= limits_.most_connections) DropOldestIdle();
    connection = std::make_unique<Connection>(*this, request.host, request.dial);
    ++opened_;
  }
  Connection* raw = connection.get();
  busy_.emplace(raw, std::move(connection));
  raw->Begin(request, connect);
}

void CallPool::Finished(Connection& connection, const CallResult& result, After after) {
  auto node = busy_.extract(&connection);
  if (node.empty()) return;
  if (after == After::kReuse) {
    KeepIdle(std::move(node.mapped()));
  } else if (after == After::kAwaitRest) {
    connection.Rest(false);
    rest_.insert(std::move(node));
  } else {
    Bury(std::move(node.mapped()));
  }
  ended_(result);
}

void CallPool::RestEnded(Connection& connection, bool reusable) {
  auto node = rest_.extract(&connection);
  if (node.empty()) return;
  reusable ? KeepIdle(std::move(node.mapped())) : Bury(std::move(node.mapped()));
}

void CallPool::KeepIdle(std::unique_ptr<Connection> connection) {
  connection->Rest(true);
  idle_[connection->host()].push_back(std::move(connection));
  ++idle_count_;
}

void CallPool::IdleEnded(Connection& connection) {
  Idle& idle = idle_[connection.host()];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (it == idle.end()) return;
  Bury(std::move(*it));
  idle.erase(it);
  --idle_count_;
}

std::size_t CallPool::idle(const std::string& host, const std::string& dial) const {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [&](const auto& c) {
    return c->dial() == dial && !Stale(*c) && c->silent();
  }));
}

// Only one on which nothing lies: not one that the other side has closed, where a call would end as a reset
// and might seem to have run, nor one with unread bytes, which would be taken for the next call's answer.
std::unique_ptr<CallPool::Connection> CallPool::TakeIdle(const std::string& host, const std::string& dial) {
  const auto it = idle_.find(host);
  while (it != idle_.end() && !it->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    if (connection->dial() == dial && !Stale(*connection) && connection->silent()) return connection;
  }
  return nullptr;
}

bool CallPool::Stale(const Connection& connection) const {
  const Micros limit = limits_.idle_close - std::min<Micros>(kIdleMargin, limits_.idle_close / 4);
  return limits_.idle_close > Micros(0) && loop_.Now() - connection.idle_since() >= limit;
}

void CallPool::DropOldestIdle() {
  Idle* oldest = nullptr;
  for (auto& [dial, idle] : idle_) {
    if (!idle.empty() && (oldest == nullptr || idle.front()->idle_since() < oldest->front()->idle_since())) {
      oldest = &idle;
    }
  }
  if (oldest == nullptr) return;
  oldest->erase(oldest->begin());
  --idle_count_;
}

void CallPool::CloseIdle(const std::string& host) {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return;
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void CallPool::CloseStale() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    idle_count_ -= std::erase_if(it->second, [this](const auto& connection) { return Stale(*connection); });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  sweep_.Start(kSweepEvery);
}

// Closed at once, though it may be in one of its callbacks: what is tried next for the same message must find
// no earlier call still open.
void CallPool::Bury(std::unique_ptr<Connection> connection) {
  connection->Close();
  buried_.push_back(std::move(connection));
  bury_.Start(Micros(0));
}

}  // namespace indigosaddle::net
