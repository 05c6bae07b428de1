// HTTP calls to endpoints, and the connections that are kept for the next ones. One call a connection;
// nothing is ever sent a second time here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "brain.h"
#include "net/call_format.h"
#include "net/loop.h"
#include "state/ending.h"

namespace indigosaddle::net {

struct CallResult {
  std::uint64_t serial = 0;
  state::Ending ending = state::Ending::kNotStarted;
  Micros latency{0}, wait{0};
  LoadReport load;
};

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

  void Start(const CallRequest& request);
  void CloseIdle(const std::string& host);
  void EndUnstarted();  // calls whose connection is not up yet end as not started
  void Close();         // cuts off what is out; nothing is told any more
  // Idle connections there on which a call can begin at once.
  std::size_t idle(const std::string& host, const std::string& dial) const;
  std::size_t calls() const { return busy_.size(); }  // not answered yet
  std::size_t connections() const { return busy_.size() + rest_.size() + idle_count_; }
  std::size_t opened() const { return opened_; }
  std::uint64_t written() const { return written_; }  // calls whose last byte was handed over

 private:
  class Connection;
  using Idle = std::vector<std::unique_ptr<Connection>>;  // the latest used is last
  using Owned = std::map<Connection*, std::unique_ptr<Connection>>;
  enum class After : std::uint8_t { kReuse, kAwaitRest, kClose };  // what becomes of a call's connection

  void Finished(Connection& connection, const CallResult& result, After after);
  void RestEnded(Connection& connection, bool reusable);
  void KeepIdle(std::unique_ptr<Connection> connection);
  void IdleEnded(Connection& connection);
  std::unique_ptr<Connection> TakeIdle(const std::string& host, const std::string& dial);
  bool Stale(const Connection& connection) const;
  void DropOldestIdle();
  void CloseStale();
  void Bury(std::unique_ptr<Connection> connection);

  Loop& loop_;
  Limits limits_;
  std::function<StartPermit(std::uint64_t serial)> may_start_;
  std::function<void(const CallResult&)> ended_;
  Owned busy_, rest_;                 // rest: answered, but the answer's body is not all in
  std::map<std::string, Idle> idle_;  // by endpoint, never by address: a new one may take a gone one's
  std::size_t idle_count_ = 0, opened_ = 0;
  std::uint64_t written_ = 0;
  std::vector<std::unique_ptr<Connection>> buried_;  // may still be in one of their callbacks
  Timer sweep_, bury_;
};

}  // namespace indigosaddle::net
