// What comes on a call's connection: whether it is an answer, is believed, and what follows of it. A part of
// call_connection.h.
#include "net/call_connection.h"

namespace indigosaddle::net {
namespace {

bool IsRefusal(state::AttemptResult ending) {
  return !state::MayHaveRun(state::MeaningOf(ending).result) && !state::MeaningOf(ending).message_done;
}

// A 429 tells a wait, whether or not it can be read; a 503 tells the one that it has.
Micros ToldWait(const HttpReader& answer) {
  const state::AttemptResult ending =
      state::AttemptResultOfStatus(answer.status(), answer.header("x-no-slot") == "1");
  const bool tells = ending == state::AttemptResult::kTooManyRequests ||
                     (ending == state::AttemptResult::kUnavailable && answer.has("x-retry-in-ms"));
  return tells ? ParseWait(answer.header("x-retry-in-ms")) : Micros(0);
}

}  // namespace

// Bytes that belong to no call may tell a wait all the same: the own answer of a call that a copy has ended.
Micros CallPool::UnaskedWait(std::string_view bytes) {
  HttpReader reader(bytes.size());
  reader.Read(bytes);
  return ToldWait(reader);
}

ConnectionFacts CallPool::Connection::FactsOfAnswer(state::AttemptResult ending, bool more_behind) const {
  ConnectionFacts facts = Facts();
  facts.request_sent = sent_;
  facts.answered_early = early_;
  facts.refusal = IsRefusal(ending);
  facts.delivered = ending == state::AttemptResult::kDelivered;
  facts.trailing_bytes = more_behind;
  facts.write_delayed = held_up_;
  return facts;
}

void CallPool::Connection::OnBytes(std::string_view bytes) {
  if (!in_call_ && state() != ConnectionState::kReadingRest) return pool_.IdleEnded(*this, bytes);
  last_read_ = bytes.size();
  const bool good = reader_.Read(bytes);
  early_ = early_ || (in_call_ && !sent_ && reader_.begun());
  in_call_ ? TakeAnswer(good) : TakeRest(good);
}

void CallPool::Connection::TakeRest(bool good) {
  if (!reader_.done() && good) return;
  const bool more_behind = reader_.done() && !good;
  ConnectionFacts facts = FactsOfAnswer(state::AttemptResult::kDelivered, more_behind);
  facts.keep_alive = good && reader_.keep_alive();
  if (more_behind) pool_.Said(*this, DenialReason::kTrailingBytes, last_read_);
  pool_.RestEnded(*this, CheckConnectionUse(facts, ConnectionUse::kKeepOpen));
}

// A call is settled by its answer's head once that is in, or by its first line alone where that says 200.
// The body means nothing; but where the head is no 200, one that does not come as told makes it doubtful.
void CallPool::Connection::TakeAnswer(bool good) {
  if (reader_.done()) return Answered(!good, good && reader_.keep_alive());
  if (!good) return Spoilt();
  // A body that only the connection's end would end is not waited for.
  if (reader_.head_done() && (reader_.ends_with_connection() || reader_.status() == 200))
    return Answered(false, !reader_.ends_with_connection());
  const bool before = std::exchange(begun_, reader_.begun());
  if (before == begun_) return;
  if (begun_) {
    phase_.Start(kAnswerPatience);
  } else {
    phase_.Stop();  // so far 1xx alone
  }
}

void CallPool::Connection::OnEnd(int) {
  if (state() == ConnectionState::kReadingRest) return pool_.RestEnded(*this, DenialReason::kEndedByPeer);
  if (!in_call_) return pool_.IdleEnded(*this, {});
  reader_.ReadEnd();
  if (reader_.done()) return Answered(false, false);
  if (reader_.status() == 200) return Spoilt();
  if (begun_) return End(state::AttemptResult::kBrokenMidAnswer, DenialReason::kEndedByPeer);
  End(sent_ ? state::AttemptResult::kBrokenAfterSent : state::AttemptResult::kBrokenBeforeSent,
      DenialReason::kEndedByPeer);
}

// An answer of which a part is missing, or not to be read. On a used connection it may be two halves.
void CallPool::Connection::Spoilt() {
  if (reader_.status() != 200)
    return End(state::AttemptResult::kMalformedResponse, DenialReason::kEndedByPeer);
  ConnectionFacts facts = FactsOfAnswer(state::AttemptResult::kDelivered, false);
  facts.malformed = true;
  const DenialReason why = CheckConnectionUse(facts, ConnectionUse::kAcceptAnswer);
  if (why != DenialReason::kNone) return Disbelieve(why, state::AttemptResult::kDelivered);
  judged_ = true;
  End(state::AttemptResult::kDelivered, DenialReason::kEndedByPeer);
}

void CallPool::Connection::Answered(bool more_behind, bool keep_alive) {
  const state::AttemptResult ending =
      state::AttemptResultOfStatus(reader_.status(), reader_.header("x-no-slot") == "1");
  ConnectionFacts facts = FactsOfAnswer(ending, more_behind);
  facts.keep_alive = keep_alive;
  const DenialReason why = CheckConnectionUse(facts, ConnectionUse::kAcceptAnswer);
  if (why != DenialReason::kNone) return Disbelieve(why, ending);
  judged_ = true;
  CallResult result = ResultOf(ending);
  result.wait = ToldWait(reader_);
  result.load = ParseLoad(reader_.header("endpoint-load-metrics"));
  if (life_.calls() > 1 && state::MeaningOf(ending).message_done) pool_.Believed(*this, serial_);
  if (more_behind) pool_.Said(*this, DenialReason::kTrailingBytes, last_read_);
  const DenialReason kept = CheckConnectionUse(facts, ConnectionUse::kKeepOpen);
  const After after = kept != DenialReason::kNone ? After::kClose
                      : reader_.done()            ? After::kKeep
                                                  : After::kAwaitRest;
  pool_.Finished(*this, result, after, kept);
}

// The call ends as one that may have run, or that has never left. A wait binds whoever it was told to.
void CallPool::Connection::Disbelieve(DenialReason why, state::AttemptResult said) {
  pool_.NotBelieved(*this, why, said);
  if (IndicatesUnsolicitedData(why)) pool_.Said(*this, why, last_read_);
  CallResult result =
      ResultOf(sent_ ? state::AttemptResult::kMalformedResponse : state::AttemptResult::kBrokenBeforeSent);
  result.wait = ToldWait(reader_);
  pool_.Finished(*this, result, After::kClose, why);
}

}  // namespace indigosaddle::net
