#include "net/call_connection.h"

#include <algorithm>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMostAnswerBody = std::size_t{64} * 1024;

// This machine is short of something; it says nothing of the endpoint.
bool LacksHere(int error) {
  return error == UV_EMFILE || error == UV_ENFILE || error == UV_ENOBUFS || error == UV_ENOMEM ||
         error == UV_EADDRNOTAVAIL;
}

}  // namespace

CallPool::Connection::Connection(CallPool& pool, std::string host, std::string dial, std::uint64_t number)
    : pool_(pool),
      host_(std::move(host)),
      dial_(std::move(dial)),
      number_(number),
      life_(pool.loop_.Now()),
      reader_(kMostAnswerBody),
      stream_(pool.loop_, *this),
      timeout_(pool.loop_, [this] { OnTimeout(); }),
      phase_(pool.loop_, [this] { OnPhaseOver(); }) {}

ConnectionNote CallPool::Connection::Note() const {
  const Micros now = Now();
  return {number_, life_.At(now), life_.calls(), life_.Age(now), now - life_.since()};
}

ConnectionFacts CallPool::Connection::Facts() const {
  ConnectionFacts facts;
  facts.state = state();
  facts.suspect_endpoint = pool_.suspects_.IsSuspect(host_, Now());
  return facts;
}

DenialReason CallPool::Connection::MayCarry(const std::string& dial, bool first_call_only) const {
  ConnectionFacts facts = Facts();
  facts.address_changed = dial != dial_;
  facts.idle_too_long = pool_.Worn(*this);
  facts.unread_input = !stream_.open_and_quiet();
  facts.first_call_only = first_call_only;
  return CheckConnectionUse(facts, ConnectionUse::kSendCall);
}

void CallPool::Connection::Close() {
  timeout_.Stop(), phase_.Stop(), StopLastByte();
  stream_.undelivered() ? stream_.Abort() : stream_.Close();
  life_.MarkClosed(Now());
}

void CallPool::Connection::Begin(const CallRequest& request, bool connect) {
  serial_ = request.serial;
  last_id_ = request.id;
  request_ = request;
  began_ = Now();
  in_call_ = true;
  sent_ = begun_ = held_up_ = early_ = judged_ = false;
  reader_.Reset();
  timeout_.Start(request.timeout);
  if (!connect) {
    if (const StartPermit permit = pool_.may_start_(serial_)) return Send(*permit);
    failure_ = state::AttemptResult::kNotStarted;
    return timeout_.Start(Micros(0));
  }
  if (const int error = stream_.Connect(dial_); error != 0) {
    failure_ = error == UV_ECONNREFUSED ? state::AttemptResult::kConnectionRefused
               : LacksHere(error)       ? state::AttemptResult::kNotStarted
                                        : state::AttemptResult::kConnectFailed;
    return timeout_.Start(Micros(0));
  }
  if (pool_.limits_.connect_timeout > Micros(0)) phase_.Start(pool_.limits_.connect_timeout);
}

void CallPool::Connection::AwaitRest() {
  in_call_ = false;
  life_.MarkReadingRest(Now());
  timeout_.Stop(), StopLastByte();
  phase_.Start(kAnswerPatience);
}

void CallPool::Connection::Settle() {
  in_call_ = false;
  life_.calls() == 0 ? life_.MarkConnected(Now()) : life_.MarkAnswered(Now());
  timeout_.Stop(), phase_.Stop(), StopLastByte();
}

void CallPool::Connection::OnConnected(int error) {
  phase_.Stop();
  if (error != 0) {
    return End(error == UV_ECONNREFUSED ? state::AttemptResult::kConnectionRefused
                                        : state::AttemptResult::kConnectFailed);
  }
  up_ = true;
  life_.MarkConnected(Now());
  if (stream_.StartReading() != 0) return End(state::AttemptResult::kBrokenBeforeSent);
  const StartPermit permit = pool_.may_start_(serial_);
  if (!permit) {
    return pool_.Finished(*this, ResultOf(state::AttemptResult::kNotStarted), After::kKeep,
                          DenialReason::kNone);
  }
  Send(*permit);
}

// What it tells of its time counts from here: its connection has used up a part. Asking for the permit may
// have taken time as well, so the connection is looked at once more.
void CallPool::Connection::Send(Micros last_byte_by) {
  const Micros looked_at = Now();
  const DenialReason why = MayCarry(dial_, request_.first_call_only);
  if (why != DenialReason::kNone) {
    if (why != DenialReason::kUnreadInput && why != DenialReason::kIdleTooLong) pool_.Break(*this, why);
    if (const std::size_t bytes = stream_.unread(); bytes > 0) pool_.Said(*this, why, bytes);
    failure_ = state::AttemptResult::kBrokenBeforeSent;
    return timeout_.Start(Micros(0));
  }
  life_.MarkCallStarted(Now());
  request_.timeout = std::max(Micros(0), request_.timeout - (Now() - began_));
  const int error = stream_.Write(FormatCall(std::exchange(request_, {})));
  if (error != 0) {  // known before any byte left: no part of the call was sent
    failure_ = state::AttemptResult::kBrokenBeforeSent;
    return timeout_.Start(Micros(0));
  }
  held_up_ = Now() - looked_at > ConnectionLifecycle::kUnreadCheckValidFor && stream_.unread() > 0;
  if (stream_.unwritten() == 0) Sent();
  if (last_byte_by == Micros::max()) return;
  if (!last_byte_) last_byte_.emplace(pool_.loop_, [this] { OnLastByteDue(); });
  last_byte_->Start(std::max(Micros(0), last_byte_by - Now()));
}

void CallPool::Connection::StopLastByte() {
  if (last_byte_) last_byte_->Stop();
}

// Bytes may wait in the system for a peer that does not read.
void CallPool::Connection::OnLastByteDue() {
  if (!in_call_ || !stream_.undelivered()) return;
  End(sent_ ? state::AttemptResult::kBrokenAfterSent : state::AttemptResult::kBrokenBeforeSent);
}

void CallPool::Connection::Sent() {
  if (!std::exchange(sent_, true)) ++pool_.counts_.written;
}

void CallPool::Connection::OnTimeout() {
  if (!in_call_) return;
  if (failure_) return End(*failure_);
  if (!up_) return End(state::AttemptResult::kConnectFailed);
  if (RestartIfUnread(timeout_, stream_)) return;
  if (!sent_) return End(state::AttemptResult::kBrokenBeforeSent);
  if (begun_) return Spoilt();
  End(state::AttemptResult::kTimedOut);
}

void CallPool::Connection::OnPhaseOver() {
  if (state() == ConnectionState::kReadingRest) return pool_.RestEnded(*this, DenialReason::kEndedByPeer);
  if (!in_call_) return;
  if (!up_) return End(state::AttemptResult::kConnectFailed);
  if (RestartIfUnread(phase_, stream_)) return;
  Spoilt();
}

void CallPool::Connection::End(state::AttemptResult ending, DenialReason why) {
  pool_.Finished(*this, ResultOf(ending), After::kClose, why);
}

CallResult CallPool::Connection::ResultOf(state::AttemptResult ending) const {
  CallResult result;
  result.serial = serial_;
  result.ending = ending;
  result.latency = Now() - began_;
  result.connection = Note();
  return result;
}

}  // namespace indigosaddle::net
