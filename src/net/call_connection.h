// One connection to an endpoint, a part of CallPool (call_pool.cpp). It carries one call at a time, reads the
// answer, and reports the call's single result through CallPool::OnCallFinished. Before each use it asks
// CheckConnectionUse (brain/connection_trust.h).
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/call_pool.h"
#include "net/http_reader.h"

namespace indigosaddle::net {

// An answer that has begun must be complete within this time; after that, only what has arrived counts.
constexpr Micros kAnswerTimeout = std::chrono::milliseconds(500);

class CallPool::Connection : public Stream::Listener {
 public:
  // `number`: of the connection in logs.
  Connection(CallPool& pool, std::string endpoint, std::string address, std::uint64_t number);

  const std::string& endpoint() const { return endpoint_; }
  // The message of its latest call.
  const std::string& last_id() const { return last_id_; }
  const ConnectionLifecycle& lifecycle() const { return lifecycle_; }
  // The connection is established.
  bool connected() const { return connected_; }
  // The answer of its call was accepted.
  bool answer_accepted() const { return answer_accepted_; }
  std::size_t unread() const { return stream_.unread(); }
  ConnectionInfo Info() const;
  // Returns why it may not carry a call to this address now, or kNone if it may.
  DenialReason CheckSendCall(const std::string& address, bool first_call_only) const;

  // Starts a call, after connecting if `connect`. The result always comes later, through OnCallFinished.
  void StartCall(const CallRequest& request, bool connect);
  void EndUnstarted() { EndCall(state::AttemptResult::kNotStarted); }
  // The call is over, but the rest of the answer's body is still to be read.
  void AwaitRest();
  // The connection becomes idle.
  void BecomeIdle();
  // Closes at once: no callback of the peer or of a timer that is due in this pass comes any more. A call
  // that has not wholly arrived is aborted by a reset, as after an orderly close the system would go on
  // sending it.
  void Close();

 private:
  void OnConnected(int error) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnDrained() override { OnCallSent(); }
  void OnTimeout();
  void OnPhaseTimeout();
  void OnLastByteDeadline();

  void SendCall(Micros last_byte_by);
  void OnCallSent();
  void StopLastByteTimer();
  // Called after bytes were parsed. `valid`: all of them belong to the answer.
  void ReadRest(bool valid);
  void ReadAnswer(bool valid);
  // Enough of the answer has arrived to end the call.
  void OnAnswer(bool trailing_bytes, bool keep_alive);
  void OnMalformedAnswer();
  void RejectAnswer(DenialReason why, state::AttemptResult claimed_result);
  void EndCall(state::AttemptResult attempt_result, DenialReason why = DenialReason::kNone);

  Micros Now() const { return pool_.loop_.Now(); }
  ConnectionState state() const { return lifecycle_.At(Now()); }
  ConnectionFacts Facts() const;
  ConnectionFacts AnswerFacts(state::AttemptResult attempt_result, bool trailing_bytes) const;
  CallResult ResultOf(state::AttemptResult attempt_result) const;

  CallPool& pool_;
  const std::string endpoint_, address_;
  const std::uint64_t number_;
  ConnectionLifecycle lifecycle_;
  HttpReader reader_;
  Stream stream_;
  Timer call_timer_, phase_timer_;  // phase: connecting, an answer that has begun, or the rest of its body
  std::optional<Timer> last_byte_timer_;  // only for a call whose last byte has a deadline
  std::uint64_t serial_ = 0;
  std::string last_id_;
  CallRequest request_;  // until it is written
  Micros call_started_at_{0};
  bool connected_ = false, in_call_ = false, request_sent_ = false;
  bool answer_begun_ = false;
  bool write_delayed_ = false;   // unread bytes waited when the call was written
  bool answered_early_ = false;  // the answer began before the call's last byte had been sent
  bool answer_accepted_ = false;
  std::size_t last_read_size_ = 0;
  // Why the call was not sent. call_timer_ reports it, so that it is never reported within
  // CallPool::Start.
  std::optional<state::AttemptResult> start_failure_;
};

}  // namespace indigosaddle::net
