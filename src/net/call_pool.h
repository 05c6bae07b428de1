// HTTP calls to endpoints, and the connections that are kept for later calls. A connection carries one call
// at a time, and no call is ever sent a second time here. src/brain/connection_trust.h decides what a
// connection may be used for.
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

// Makes the calls and owns their connections.
class CallPool {
 public:
  struct Limits {
    Micros connect_timeout{0};  // zero: bounded by the call's timeout only
    Micros idle_close{0};       // idle time after which the peer closes a connection; zero: it never does
    // When this many are open, a new connection replaces the longest idle one. If none is idle, it is opened
    // all the same.
    std::size_t max_connections = 0;
  };

  // Permission to start a call: the instant by which its last byte must have left, or Micros::max() for no
  // such limit. Empty: the call may not start.
  using StartPermit = std::optional<Micros>;

  // `may_start` is asked before the first byte of each call: within Start on an idle connection, otherwise
  // once the new connection is established. A call that it denies ends as kNotStarted. `on_finished` gets the
  // result of each call.
  CallPool(Loop& loop, Limits limits, std::function<StartPermit(std::uint64_t serial)> may_start,
           std::function<void(const CallResult&)> on_finished);
  ~CallPool();

  // Sets the observer, which must outlive the pool's last callback.
  void Observe(CallObserver& observer) { observer_ = &observer; }
  // Starts a call, on an idle connection if one may carry it. Its result is reported later, never from
  // within.
  void Start(const CallRequest& request);
  // Closes the endpoint's idle connections.
  void CloseIdle(const std::string& endpoint);
  // Ends the calls whose connections are not established yet, as kNotStarted.
  void EndUnstarted();
  // Closes all connections, also those with calls in flight. Nothing is reported any more.
  void Close();
  // Number of the endpoint's idle connections on which a call could begin at once.
  std::size_t idle(const std::string& endpoint, const std::string& address,
                   bool first_call_only = false) const;
  // Number of calls that are not answered yet.
  std::size_t calls() const { return busy_.size(); }
  std::size_t connections() const { return busy_.size() + reading_rest_.size() + idle_count_; }
  // Number of calls whose last byte was handed to the system.
  std::uint64_t written() const { return counts_.written; }
  std::size_t opened() const { return counts_.opened; }
  const CallCounts& counts() const { return counts_; }
  // Number of suspect endpoints (see SuspectEndpoints).
  std::size_t suspects() const { return suspects_.Count(loop_.Now()); }
  bool all_suspect() const { return suspects_.AllSuspect(loop_.Now()); }

 private:
  class Connection;
  using IdleConnections = std::vector<std::unique_ptr<Connection>>;  // the longest idle is first
  using ConnectionMap = std::map<Connection*, std::unique_ptr<Connection>>;
  // What happens to a connection after its call.
  enum class AfterCall : std::uint8_t { kKeep, kReadRest, kClose };
  // An answer that was accepted on a reused connection and ended its message.
  struct AcceptedAnswer {
    std::string endpoint;
    std::uint64_t serial = 0;
    Micros at{0};
  };

  void OnCallFinished(Connection& connection, const CallResult& result, AfterCall after, DenialReason why);
  // The rest of an answer's body is read or was given up. kNone: the connection is kept.
  void OnRestFinished(Connection& connection, DenialReason why);
  void KeepIdle(std::unique_ptr<Connection> connection);
  // An idle connection was ended by the peer, or received `bytes`.
  void OnIdleInput(Connection& connection, std::string_view bytes);
  static Micros RetryAfterIn(std::string_view bytes);
  std::unique_ptr<Connection> TakeIdle(const CallRequest& request);
  bool IdleTooLong(const Connection& connection) const;
  void CloseOldestIdle();
  void CloseExpiredIdle();
  void CloseAllIdle();
  void CloseAndDeleteLater(std::unique_ptr<Connection> connection);
  void ReportClosed(const Connection& connection, DenialReason why);

  // Unsolicited data and its consequences (call_pool_trust.cpp).
  void HandleUnsolicitedData(const Connection& connection, DenialReason why, std::size_t bytes,
                             Micros retry_after = Micros(0));
  void RecordAcceptedAnswer(const Connection& connection, std::uint64_t serial);
  void ReportRejectedAnswer(const Connection& connection, DenialReason why,
                            state::AttemptResult attempt_result);
  void ReportTrustViolation(const Connection& connection, DenialReason why);
  void ReportDoubtfulAnswers(const std::string& endpoint, bool all);

  Loop& loop_;
  Limits limits_;
  std::function<StartPermit(std::uint64_t serial)> may_start_;
  std::function<void(const CallResult&)> on_finished_;
  CallObserver* observer_ = nullptr;
  SuspectEndpoints suspects_;
  std::deque<AcceptedAnswer> accepted_answers_;  // of the last SuspectEndpoints::kDoubtfulAnswerWindow
  ConnectionMap busy_, reading_rest_;  // reading_rest_: answered, the rest of the body is still arriving
  // By endpoint and not by address: an endpoint may get the address of one that is gone.
  std::map<std::string, IdleConnections> idle_;
  std::size_t idle_count_ = 0;
  CallCounts counts_;
  std::vector<std::unique_ptr<Connection>> closed_;  // deleted later: they may still be in a callback
  Timer sweep_timer_, deletion_timer_;
};

}  // namespace indigosaddle::net
