#include "net/call_connection.h"

#include <algorithm>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMaxAnswerBodyBytes = std::size_t{64} * 1024;

// The error means that this machine lacks a resource, and says nothing about the endpoint.
bool IsLocalShortage(int error) {
  return error == UV_EMFILE || error == UV_ENFILE || error == UV_ENOBUFS || error == UV_ENOMEM ||
         error == UV_EADDRNOTAVAIL;
}

}  // namespace

CallPool::Connection::Connection(CallPool& pool, std::string endpoint, std::string address,
                                 std::uint64_t number)
    : pool_(pool),
      endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      number_(number),
      lifecycle_(pool.loop_.Now()),
      reader_(kMaxAnswerBodyBytes, kAnswerHeaders),
      stream_(pool.loop_, *this),
      call_timer_(pool.loop_, [this] { OnTimeout(); }),
      phase_timer_(pool.loop_, [this] { OnPhaseTimeout(); }) {}

ConnectionInfo CallPool::Connection::Info() const {
  const Micros now = Now();
  return {number_, lifecycle_.At(now), lifecycle_.calls(), lifecycle_.Age(now), now - lifecycle_.since()};
}

ConnectionFacts CallPool::Connection::Facts() const {
  ConnectionFacts facts;
  facts.state = state();
  facts.suspect_endpoint = pool_.suspects_.IsSuspect(endpoint_, Now());
  return facts;
}

DenialReason CallPool::Connection::CheckSendCall(const std::string& address, bool first_call_only) const {
  ConnectionFacts facts = Facts();
  facts.address_changed = address != address_;
  facts.idle_too_long = pool_.IdleTooLong(*this);
  facts.unread_input = !stream_.open_and_quiet();
  facts.first_call_only = first_call_only;
  return CheckConnectionUse(facts, ConnectionUse::kSendCall);
}

void CallPool::Connection::Close() {
  call_timer_.Stop();
  phase_timer_.Stop();
  StopLastByteTimer();
  stream_.undelivered() ? stream_.Abort() : stream_.Close();
  lifecycle_.MarkClosed(Now());
}

void CallPool::Connection::StartCall(const CallRequest& request, bool connect) {
  serial_ = request.serial;
  last_id_ = request.id;
  request_ = request;
  call_started_at_ = Now();
  in_call_ = true;
  request_sent_ = answer_begun_ = write_delayed_ = answered_early_ = answer_accepted_ = false;
  reader_.Reset();
  call_timer_.Start(request.timeout);
  if (!connect) {
    if (const StartPermit permit = pool_.may_start_(serial_)) return SendCall(*permit);
    start_failure_ = state::AttemptResult::kNotStarted;
    return call_timer_.Start(Micros(0));
  }
  if (const int error = stream_.Connect(address_); error != 0) {
    start_failure_ = error == UV_ECONNREFUSED ? state::AttemptResult::kConnectionRefused
                     : IsLocalShortage(error) ? state::AttemptResult::kNotStarted
                                              : state::AttemptResult::kConnectFailed;
    return call_timer_.Start(Micros(0));
  }
  if (pool_.limits_.connect_timeout > Micros(0)) phase_timer_.Start(pool_.limits_.connect_timeout);
}

void CallPool::Connection::AwaitRest() {
  in_call_ = false;
  lifecycle_.MarkReadingRest(Now());
  call_timer_.Stop();
  StopLastByteTimer();
  phase_timer_.Start(kAnswerTimeout);
}

void CallPool::Connection::BecomeIdle() {
  in_call_ = false;
  reader_.Reset();  // an idle connection holds nothing of its last answer
  lifecycle_.calls() == 0 ? lifecycle_.MarkConnected(Now()) : lifecycle_.MarkAnswered(Now());
  call_timer_.Stop();
  phase_timer_.Stop();
  StopLastByteTimer();
}

void CallPool::Connection::OnConnected(int error) {
  phase_timer_.Stop();
  if (error != 0) {
    return EndCall(error == UV_ECONNREFUSED ? state::AttemptResult::kConnectionRefused
                                            : state::AttemptResult::kConnectFailed);
  }
  connected_ = true;
  lifecycle_.MarkConnected(Now());
  if (stream_.StartReading() != 0) return EndCall(state::AttemptResult::kBrokenBeforeSent);
  const StartPermit permit = pool_.may_start_(serial_);
  if (!permit) {
    return pool_.OnCallFinished(*this, ResultOf(state::AttemptResult::kNotStarted), AfterCall::kKeep,
                                DenialReason::kNone);
  }
  SendCall(*permit);
}

// The call announces the time that is left from here on, as connecting has used up a part of its timeout.
// Asking for the permit may have taken time too, so the connection is checked once more.
void CallPool::Connection::SendCall(Micros last_byte_by) {
  const Micros checked_at = Now();
  const DenialReason why = CheckSendCall(address_, request_.first_call_only);
  if (why != DenialReason::kNone) {
    if (why != DenialReason::kUnreadInput && why != DenialReason::kIdleTooLong)
      pool_.ReportTrustViolation(*this, why);
    if (const std::size_t bytes = stream_.unread(); bytes > 0) pool_.HandleUnsolicitedData(*this, why, bytes);
    start_failure_ = state::AttemptResult::kBrokenBeforeSent;
    return call_timer_.Start(Micros(0));
  }
  lifecycle_.MarkCallStarted(Now());
  request_.timeout = std::max(Micros(0), request_.timeout - (Now() - call_started_at_));
  const int error = stream_.Write(FormatCall(std::exchange(request_, {})));
  if (error != 0) {  // reported before any byte left: no part of the call was sent
    start_failure_ = state::AttemptResult::kBrokenBeforeSent;
    return call_timer_.Start(Micros(0));
  }
  write_delayed_ = Now() - checked_at > ConnectionLifecycle::kUnreadCheckValidFor && stream_.unread() > 0;
  if (stream_.unwritten() == 0) OnCallSent();
  if (last_byte_by == Micros::max()) return;
  if (!last_byte_timer_) last_byte_timer_.emplace(pool_.loop_, [this] { OnLastByteDeadline(); });
  last_byte_timer_->Start(std::max(Micros(0), last_byte_by - Now()));
}

void CallPool::Connection::StopLastByteTimer() {
  if (last_byte_timer_) last_byte_timer_->Stop();
}

// Also ends a call that was handed to the system but waits there because the peer does not read.
void CallPool::Connection::OnLastByteDeadline() {
  if (!in_call_ || !stream_.undelivered()) return;
  EndCall(request_sent_ ? state::AttemptResult::kBrokenAfterSent : state::AttemptResult::kBrokenBeforeSent);
}

void CallPool::Connection::OnCallSent() {
  if (!std::exchange(request_sent_, true)) ++pool_.counts_.written;
}

void CallPool::Connection::OnTimeout() {
  if (!in_call_) return;
  if (start_failure_) return EndCall(*start_failure_);
  if (!connected_) return EndCall(state::AttemptResult::kConnectFailed);
  if (RestartIfUnread(call_timer_, stream_)) return;
  if (!request_sent_) return EndCall(state::AttemptResult::kBrokenBeforeSent);
  if (answer_begun_) return OnMalformedAnswer();
  EndCall(state::AttemptResult::kTimedOut);
}

void CallPool::Connection::OnPhaseTimeout() {
  if (state() == ConnectionState::kReadingRest)
    return pool_.OnRestFinished(*this, DenialReason::kEndedByPeer);
  if (!in_call_) return;
  if (!connected_) return EndCall(state::AttemptResult::kConnectFailed);
  if (RestartIfUnread(phase_timer_, stream_)) return;
  OnMalformedAnswer();
}

void CallPool::Connection::EndCall(state::AttemptResult attempt_result, DenialReason why) {
  pool_.OnCallFinished(*this, ResultOf(attempt_result), AfterCall::kClose, why);
}

CallResult CallPool::Connection::ResultOf(state::AttemptResult attempt_result) const {
  CallResult result;
  result.serial = serial_;
  result.attempt_result = attempt_result;
  result.latency = Now() - call_started_at_;
  result.connection = Info();
  return result;
}

}  // namespace indigosaddle::net
