// One connection to an endpoint, a part of CallPool (call_pool.cpp): carries one call at a time, reads its
// answer, and tells the call's one end through CallPool::Finished.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/call_pool.h"
#include "net/http_reader.h"

namespace indigosaddle::net {

namespace call {
constexpr std::size_t kMostAnswerBody = std::size_t{64} * 1024;
// An answer that has begun comes whole within so long, or is taken for what has come of it.
constexpr Micros kAnswerPatience = std::chrono::milliseconds(500);
}  // namespace call

class CallPool::Connection : public Stream::Listener {
 public:
  Connection(CallPool& pool, std::string host, std::string dial)
      : pool_(pool),
        host_(std::move(host)),
        dial_(std::move(dial)),
        reader_(call::kMostAnswerBody),
        stream_(pool.loop_, *this),
        timeout_(pool.loop_, [this] { OnTimeout(); }),
        phase_(pool.loop_, [this] { OnPhaseOver(); }) {}

  const std::string& host() const { return host_; }
  const std::string& dial() const { return dial_; }
  Micros idle_since() const { return idle_since_; }
  bool silent() const { return stream_.silent(); }
  // At once; neither the other side nor a timer that is due in this same pass says anything more. A call that
  // has not arrived whole never does: closed in order, the system would go on sending it.
  void Close() {
    timeout_.Stop(), phase_.Stop(), StopLastByte();
    stream_.undelivered() ? stream_.Abort() : stream_.Close();
  }

  // The call's end comes later, through Finished, in every case.
  void Begin(const CallRequest& request, bool connect) {
    serial_ = request.serial;
    request_ = request;
    began_ = pool_.loop_.Now();
    use_ = Use::kCall;
    sent_ = begun_ = false;
    reader_.Reset();
    timeout_.Start(request.timeout);
    if (!connect) {
      if (const StartPermit permit = pool_.may_start_(serial_)) return Send(*permit);
      failure_ = state::Ending::kNotStarted;
      return timeout_.Start(Micros(0));
    }
    if (const int error = stream_.Connect(dial_); error != 0) {
      failure_ = error == UV_ECONNREFUSED ? state::Ending::kRefused
                 : LacksHere(error)       ? state::Ending::kNotStarted
                                          : state::Ending::kNeverUp;
      return timeout_.Start(Micros(0));
    }
    if (pool_.limits_.connect_timeout > Micros(0)) phase_.Start(pool_.limits_.connect_timeout);
  }

  bool up() const { return up_; }
  void EndUnstarted() { End(state::Ending::kNotStarted); }

  void Rest(bool idle) {
    use_ = idle ? Use::kIdle : Use::kRest;
    idle_since_ = pool_.loop_.Now();
    timeout_.Stop(), StopLastByte();
    if (idle) {
      phase_.Stop();
    } else {
      phase_.Start(call::kAnswerPatience);
    }
  }

 private:
  enum class Use : std::uint8_t { kCall, kRest, kIdle };

  // This machine is short of something; it says nothing of the endpoint.
  static bool LacksHere(int error) {
    return error == UV_EMFILE || error == UV_ENFILE || error == UV_ENOBUFS || error == UV_ENOMEM ||
           error == UV_EADDRNOTAVAIL;
  }

  void OnConnected(int error) override {
    phase_.Stop();
    if (error != 0) return End(error == UV_ECONNREFUSED ? state::Ending::kRefused : state::Ending::kNeverUp);
    up_ = true;
    if (stream_.StartReading() != 0) return End(state::Ending::kBrokenBeforeSent);
    const StartPermit permit = pool_.may_start_(serial_);
    if (!permit) return pool_.Finished(*this, Result_(state::Ending::kNotStarted), After::kReuse);
    Send(*permit);
  }

  // What it tells of its time counts from here: its connection has used up a part.
  void Send(Micros last_byte_by) {
    request_.timeout = std::max(Micros(0), request_.timeout - (pool_.loop_.Now() - began_));
    const int error = stream_.Write(FormatCall(std::exchange(request_, {})));
    if (error != 0) {  // known before any byte left: no part of the call was sent
      failure_ = state::Ending::kBrokenBeforeSent;
      return timeout_.Start(Micros(0));
    }
    if (stream_.unwritten() == 0) Sent();
    if (last_byte_by == Micros::max()) return;
    if (!last_byte_) last_byte_.emplace(pool_.loop_, [this] { OnLastByteDue(); });
    last_byte_->Start(std::max(Micros(0), last_byte_by - pool_.loop_.Now()));
  }

  void StopLastByte() {
    if (last_byte_) last_byte_->Stop();
  }

  // Bytes may wait in the system for a peer that does not read.
  void OnLastByteDue() {
    if (use_ != Use::kCall || !stream_.undelivered()) return;
    End(sent_ ? state::Ending::kBrokenAfterSent : state::Ending::kBrokenBeforeSent);
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
      phase_.Start(call::kAnswerPatience);
    } else {
      phase_.Stop();  // so far 1xx alone
    }
  }

  void OnEnd(int) override {
    if (use_ == Use::kIdle) return pool_.IdleEnded(*this);
    if (use_ == Use::kRest) return pool_.RestEnded(*this, false);
    reader_.TakeEnd();
    if (reader_.done()) return Answered(After::kClose);
    if (reader_.status() == 200) return End(state::Ending::kDelivered);
    if (begun_) return End(state::Ending::kBrokenMidAnswer);
    End(sent_ ? state::Ending::kBrokenAfterSent : state::Ending::kBrokenBeforeSent);
  }

  void OnTimeout() {
    if (use_ != Use::kCall) return;
    if (failure_) return End(*failure_);
    if (!up_) return End(state::Ending::kNeverUp);
    if (ReadFirst(timeout_, stream_)) return;
    if (!sent_) return End(state::Ending::kBrokenBeforeSent);
    if (begun_) return Spoilt();
    End(state::Ending::kTimedOut);
  }

  void OnPhaseOver() {
    if (use_ == Use::kRest) return pool_.RestEnded(*this, false);
    if (use_ != Use::kCall) return;
    if (!up_) return End(state::Ending::kNeverUp);
    if (ReadFirst(phase_, stream_)) return;
    Spoilt();
  }

  void Spoilt() { End(reader_.status() == 200 ? state::Ending::kDelivered : state::Ending::kUnreadable); }

  void Answered(After after) {
    CallResult result = Result_(state::EndingOf(reader_.status(), reader_.header("x-no-slot") == "1"));
    // A 429 tells a wait, whether or not it can be read.
    const bool tells = result.ending == state::Ending::kToldToWait ||
                       (result.ending == state::Ending::kTurnedAway && reader_.has("x-retry-in-ms"));
    if (tells) result.wait = ParseWait(reader_.header("x-retry-in-ms"));
    result.load = ParseLoad(reader_.header("endpoint-load-metrics"));
    pool_.Finished(*this, result, after);
  }

  void End(state::Ending ending) { pool_.Finished(*this, Result_(ending), After::kClose); }

  CallResult Result_(state::Ending ending) const {
    return {serial_, ending, pool_.loop_.Now() - began_, Micros(0), {}};
  }

  CallPool& pool_;
  const std::string host_, dial_;
  HttpReader reader_;
  Stream stream_;
  Timer timeout_, phase_;           // phase: connecting, an answer that has begun, or the rest of one
  std::optional<Timer> last_byte_;  // of a call whose last byte may not leave at any time
  std::uint64_t serial_ = 0;
  CallRequest request_;  // until it is written
  Micros began_{0}, idle_since_{0};
  Use use_ = Use::kIdle;
  bool up_ = false, sent_ = false, begun_ = false;  // begun: the answer
  std::optional<state::Ending>
      failure_;  // known when the call began; told by the timer, never from within Start
};

}  // namespace indigosaddle::net
