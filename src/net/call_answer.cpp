// Processes what arrives on a call's connection: decides whether it is an answer and whether the answer is
// accepted, and ends the call accordingly. A part of call_connection.h.
#include "net/call_connection.h"

namespace indigosaddle::net {
namespace {

bool IsRefusal(state::AttemptResult attempt_result) {
  return !state::MayHaveRun(state::MeaningOf(attempt_result).result) &&
         !state::MeaningOf(attempt_result).message_done;
}

// The Retry-After of an answer, which the header x-retry-in-ms gives. A 429 always asks for a pause, even if
// the header is missing or unreadable; a 503 only if it has the header.
Micros RetryAfterOf(const HttpReader& answer) {
  const state::AttemptResult attempt_result =
      state::AttemptResultOfStatus(answer.status(), answer.header(kNoSlotHeader) == "1");
  const bool has_retry_after =
      attempt_result == state::AttemptResult::kTooManyRequests ||
      (attempt_result == state::AttemptResult::kUnavailable && answer.has(kRetryAfterHeader));
  return has_retry_after ? ParseRetryAfter(answer.header(kRetryAfterHeader)) : Micros(0);
}

}  // namespace

// Unsolicited bytes may hold a Retry-After too: they can be the proper answer to a call that a duplicate of
// an earlier answer has ended.
Micros CallPool::RetryAfterIn(std::string_view bytes) {
  HttpReader reader(bytes.size(), kAnswerHeaders);
  reader.Read(bytes);
  return RetryAfterOf(reader);
}

ConnectionFacts CallPool::Connection::AnswerFacts(state::AttemptResult attempt_result,
                                                  bool trailing_bytes) const {
  ConnectionFacts facts = Facts();
  facts.request_sent = request_sent_;
  facts.answered_early = answered_early_;
  facts.refusal = IsRefusal(attempt_result);
  facts.delivered = attempt_result == state::AttemptResult::kDelivered;
  facts.trailing_bytes = trailing_bytes;
  facts.write_delayed = write_delayed_;
  return facts;
}

void CallPool::Connection::OnBytes(std::string_view bytes) {
  if (!in_call_ && state() != ConnectionState::kReadingRest) return pool_.OnIdleInput(*this, bytes);
  last_read_size_ = bytes.size();
  const bool valid = reader_.Read(bytes);
  answered_early_ = answered_early_ || (in_call_ && !request_sent_ && reader_.begun());
  in_call_ ? ReadAnswer(valid) : ReadRest(valid);
}

void CallPool::Connection::ReadRest(bool valid) {
  if (!reader_.done() && valid) return;
  const bool trailing_bytes = reader_.done() && !valid;
  ConnectionFacts facts = AnswerFacts(state::AttemptResult::kDelivered, trailing_bytes);
  facts.keep_alive = valid && reader_.keep_alive();
  if (trailing_bytes) pool_.HandleUnsolicitedData(*this, DenialReason::kTrailingBytes, last_read_size_);
  pool_.OnRestFinished(*this, CheckConnectionUse(facts, ConnectionUse::kKeepOpen));
}

// The answer's status decides the call; the content of the body means nothing. With 200 the call ends once
// the head is complete, and the status line is enough if the rest of the head is malformed or never comes.
// With another status, the answer counts as malformed or broken unless its body arrives as announced.
void CallPool::Connection::ReadAnswer(bool valid) {
  if (reader_.done()) return OnAnswer(!valid, valid && reader_.keep_alive());
  if (!valid) return OnMalformedAnswer();
  // A body that ends only with the connection is not awaited.
  if (reader_.head_done() && (reader_.ends_with_connection() || reader_.status() == 200))
    return OnAnswer(false, !reader_.ends_with_connection());
  const bool was_begun = std::exchange(answer_begun_, reader_.begun());
  if (was_begun == answer_begun_) return;
  if (answer_begun_) {
    phase_timer_.Start(kAnswerTimeout);
  } else {
    phase_timer_.Stop();  // only 1xx responses so far
  }
}

void CallPool::Connection::OnEnd(int) {
  if (state() == ConnectionState::kReadingRest)
    return pool_.OnRestFinished(*this, DenialReason::kEndedByPeer);
  if (!in_call_) return pool_.OnIdleInput(*this, {});
  reader_.ReadEnd();
  if (reader_.done()) return OnAnswer(false, false);
  if (reader_.status() == 200) return OnMalformedAnswer();
  if (answer_begun_) return EndCall(state::AttemptResult::kBrokenMidAnswer, DenialReason::kEndedByPeer);
  EndCall(request_sent_ ? state::AttemptResult::kBrokenAfterSent : state::AttemptResult::kBrokenBeforeSent,
          DenialReason::kEndedByPeer);
}

// A part of the answer is missing or unreadable. On a reused connection it may consist of parts of two
// answers.
void CallPool::Connection::OnMalformedAnswer() {
  if (reader_.status() != 200)
    return EndCall(state::AttemptResult::kMalformedResponse, DenialReason::kEndedByPeer);
  ConnectionFacts facts = AnswerFacts(state::AttemptResult::kDelivered, false);
  facts.malformed = true;
  const DenialReason why = CheckConnectionUse(facts, ConnectionUse::kAcceptAnswer);
  if (why != DenialReason::kNone) return RejectAnswer(why, state::AttemptResult::kDelivered);
  answer_accepted_ = true;
  EndCall(state::AttemptResult::kDelivered, DenialReason::kEndedByPeer);
}

void CallPool::Connection::OnAnswer(bool trailing_bytes, bool keep_alive) {
  const state::AttemptResult attempt_result =
      state::AttemptResultOfStatus(reader_.status(), reader_.header(kNoSlotHeader) == "1");
  ConnectionFacts facts = AnswerFacts(attempt_result, trailing_bytes);
  facts.keep_alive = keep_alive;
  const DenialReason why = CheckConnectionUse(facts, ConnectionUse::kAcceptAnswer);
  if (why != DenialReason::kNone) return RejectAnswer(why, attempt_result);
  answer_accepted_ = true;
  CallResult result = ResultOf(attempt_result);
  result.retry_after = RetryAfterOf(reader_);
  result.load = ParseLoadReport(reader_.header(kLoadReportHeader));
  if (lifecycle_.calls() > 1 && state::MeaningOf(attempt_result).message_done)
    pool_.RecordAcceptedAnswer(*this, serial_);
  if (trailing_bytes) pool_.HandleUnsolicitedData(*this, DenialReason::kTrailingBytes, last_read_size_);
  const DenialReason keep_denial = CheckConnectionUse(facts, ConnectionUse::kKeepOpen);
  const AfterCall after = keep_denial != DenialReason::kNone ? AfterCall::kClose
                          : reader_.done()                   ? AfterCall::kKeep
                                                             : AfterCall::kReadRest;
  pool_.OnCallFinished(*this, result, after, keep_denial);
}

// The call ends as one that may have run, or as one that was never sent. A Retry-After in the answer is
// heeded all the same, whichever call it was meant for.
void CallPool::Connection::RejectAnswer(DenialReason why, state::AttemptResult claimed_result) {
  pool_.ReportRejectedAnswer(*this, why, claimed_result);
  if (IndicatesUnsolicitedData(why)) pool_.HandleUnsolicitedData(*this, why, last_read_size_);
  CallResult result = ResultOf(request_sent_ ? state::AttemptResult::kMalformedResponse
                                             : state::AttemptResult::kBrokenBeforeSent);
  result.retry_after = RetryAfterOf(reader_);
  pool_.OnCallFinished(*this, result, AfterCall::kClose, why);
}

}  // namespace indigosaddle::net
