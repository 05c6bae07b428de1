// HTTP calls to endpoints, and the connections that are kept for the next ones. One call a connection;
// nothing is ever sent a second time here. What a connection may be used for is decided by
// src/brain/connection_trust.h.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "brain.h"
#include "brain/connection_trust.h"
#include "net/call_format.h"
#include "net/call_reports.h"
#include "net/loop.h"

namespace indigosaddle::net {

class CallPool {
 public:
  struct Limits {
    Micros connect_timeout{0};  // zero: none but the call's own
    Micros idle_close{0};       // when the other side closes an idle connection
    std::size_t most_connections = 0;
  };

  // Nothing: the call may not start. Else by when its last byte must have left; max: whenever it does.
  using StartPermit = std::optional<Micros>;

  // `may_start` is asked before each call's first byte: from within Start on an idle connection, else when
  // the new one is up. What it denies ends as not started.
  CallPool(Loop& loop, Limits limits, std::function<StartPermit(std::uint64_t serial)> may_start,
           std::function<void(const CallResult&)> ended);
  ~CallPool();

  void Observe(CallObserver& observer) { observer_ = &observer; }  // it outlives the pool's last callback
  void Start(const CallRequest& request);
  void CloseIdle(const std::string& host);
  void EndUnstarted();  // calls whose connection is not up yet end as not started
  void Close();         // cuts off what is out; nothing is told any more
  // Idle connections there on which a call can begin at once.
  std::size_t idle(const std::string& host, const std::string& dial, bool first_call_only = false) const;
  std::size_t calls() const { return busy_.size(); }  // not answered yet
  std::size_t connections() const { return busy_.size() + rest_.size() + idle_count_; }
  std::uint64_t written() const { return counts_.written; }  // calls whose last byte was handed over
  std::size_t opened() const { return counts_.opened; }
  const CallCounts& counts() const { return counts_; }
  std::size_t suspects() const { return suspects_.Count(loop_.Now()); }
  bool all_suspect() const { return suspects_.AllSuspect(loop_.Now()); }

 private:
  class Connection;
  using Idle = std::vector<std::unique_ptr<Connection>>;  // the longest idle is first
  using Owned = std::map<Connection*, std::unique_ptr<Connection>>;
  enum class After : std::uint8_t { kKeep, kAwaitRest, kClose };  // what becomes of a call's connection
  // A message that an answer on a used connection ended.
  struct Belief {
    std::string host;
    std::uint64_t serial = 0;
    Micros at{0};
  };

  void Finished(Connection& connection, const CallResult& result, After after, DenialReason why);
  void RestEnded(Connection& connection, DenialReason why);  // kNone: it is kept
  void KeepIdle(std::unique_ptr<Connection> connection);
  void IdleEnded(Connection& connection, std::string_view bytes);
  static Micros UnaskedWait(std::string_view bytes);
  std::unique_ptr<Connection> TakeIdle(const CallRequest& request);
  bool Worn(const Connection& connection) const;
  void DropOldestIdle();
  void CloseWorn();
  void CloseAllIdle();
  void Bury(std::unique_ptr<Connection> connection);
  void ClosedFor(const Connection& connection, DenialReason why);

  // What was said unasked, and what follows of it (call_pool_trust.cpp).
  void Said(const Connection& connection, DenialReason why, std::size_t bytes, Micros wait = Micros(0));
  void Believed(const Connection& connection, std::uint64_t serial);
  void NotBelieved(const Connection& connection, DenialReason why, state::AttemptResult said);
  void Break(const Connection& connection, DenialReason why);
  void DoubtBeliefs(const std::string& host, bool all);

  Loop& loop_;
  Limits limits_;
  std::function<StartPermit(std::uint64_t serial)> may_start_;
  std::function<void(const CallResult&)> ended_;
  CallObserver* observer_ = nullptr;
  SuspectEndpoints suspects_;
  std::deque<Belief> beliefs_;        // of the last SuspectEndpoints::kDoubtfulAnswerWindow
  Owned busy_, rest_;                 // rest: answered, but the answer's body is not all in
  std::map<std::string, Idle> idle_;  // by endpoint, never by address: a new one may take a gone one's
  std::size_t idle_count_ = 0;
  CallCounts counts_;
  std::vector<std::unique_ptr<Connection>> buried_;  // may still be in one of their callbacks
  Timer sweep_, bury_;
};

}  // namespace indigosaddle::net
