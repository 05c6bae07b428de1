// Applies journal records to the state in memory, in the same way while serving and in recovery. A part of
// the reducer.
#pragma once

#include <algorithm>
#include <string>

#include "state/journal.h"
#include "state/reducer.h"

namespace indigosaddle::state {

// Journal bytes reserved for the records that follow the AcceptedMessage of a message.
constexpr std::size_t kReservedForLaterRecords = 512;

// Applies one record a call; the state outlives it.
class RecordApplier {
 public:
  explicit RecordApplier(State& state) : state_(state) {}

  void operator()(const AcceptedMessage& r) {
    PendingMessage& pending = state_.pending[r.serial];
    pending.message = r;
    state_.by_id[r.id] = r.serial;
    state_.last_serial = std::max(state_.last_serial, r.serial);
    SetReservedBytes(pending, RecordSize(r) + kReservedForLaterRecords);
  }
  void operator()(const AttemptConnecting& r) { ApplyAttempt(r, true); }
  void operator()(const AttemptStarted& r) { ApplyAttempt(r, false); }
  void operator()(const AttemptFinished& r) {
    PendingMessage* pending = Find(r.serial);
    if (pending == nullptr || !pending->in_flight) return;
    pending->in_flight = pending->connecting = false;
    if (!MayHaveRun(r.result) || pending->past.may_have_run) return;
    pending->past.may_have_run = true;
    pending->past.first_run = pending->attempt_at;
    pending->run_zone = pending->attempt_zone;
  }
  void operator()(const MessageEnded& r) {
    PendingMessage* pending = FindForEnd(r);
    if (pending == nullptr) return;
    pending->ended = r;
    const auto by_id = state_.by_id.find(pending->message.id);
    if (by_id != state_.by_id.end() && by_id->second == r.serial) state_.by_id.erase(by_id);
    pending->message.body = {};  // not sent any more
    state_.completed.Add(pending->message, r.end);
    SetReservedBytes(*pending, r.end == MessageEnd::kNoNotice
                                   ? 0
                                   : RecordSize(pending->message) + kReservedForLaterRecords);
    if (r.end != MessageEnd::kNoNotice) {
      state_.notices[r.serial] = {r.serial, pending->message.id, r.end, r.retry_after};
    }
  }
  void operator()(const NoticeAccepted& r) {
    state_.notices.erase(r.serial);
    if (PendingMessage* pending = Find(r.serial)) SetReservedBytes(*pending, 0);
  }
  void operator()(const AttemptHistory& r) {
    if (PendingMessage* pending = Find(r.serial)) {
      pending->past = r.past;
      pending->run_zone = r.run_zone;
    }
  }

  // A record of the message may be lost: a call that it recorded may have run, at any time and in any zone.
  void MarkInDoubt(PendingMessage& pending) {
    if (pending.past.may_have_run) return;
    pending.past.may_have_run = true;
    pending.past.first_run = Micros(0);
    pending.run_zone.clear();
  }

  // Null: not pending.
  PendingMessage* Find(Serial serial) {
    auto it = state_.pending.find(serial);
    return it == state_.pending.end() ? nullptr : &it->second;
  }

  // The message that this record ends: a pending one, or one that ended without a notice and is reported as
  // failed after all. Null: neither.
  PendingMessage* FindForEnd(const MessageEnded& r) {
    PendingMessage* pending = Find(r.serial);
    if (pending != nullptr && !pending->ended) return pending;
    const CompletedMessages::Entry* entry = state_.completed.Find(r.serial);
    if (entry == nullptr || entry->end != MessageEnd::kNoNotice || r.end != MessageEnd::kFailed)
      return nullptr;
    if (pending == nullptr) pending = &state_.pending[r.serial];
    pending->message = entry->message;
    return pending;
  }

  // Removes a message that has ended, if it has no call in flight and no outstanding notice.
  void RemoveIfDone(Serial serial) {
    auto it = state_.pending.find(serial);
    if (it == state_.pending.end() || !it->second.ended || it->second.in_flight) return;
    if (state_.notices.contains(serial)) return;
    SetReservedBytes(it->second, 0);
    state_.pending.erase(it);
  }

  // Removes a message whose client was never told that it is accepted.
  void Discard(Serial serial) {
    auto it = state_.pending.find(serial);
    if (it == state_.pending.end()) return;
    SetReservedBytes(it->second, 0);
    state_.by_id.erase(it->second.message.id);
    state_.notices.erase(serial);
    state_.pending.erase(it);
  }

 private:
  // Both records of one attempt count it once.
  template <typename T>
  void ApplyAttempt(const T& r, bool connecting) {
    PendingMessage* pending = Find(r.serial);
    if (pending == nullptr) return;
    if (!pending->connecting) ++pending->past.attempts;
    pending->in_flight = true;
    pending->connecting = connecting;
    pending->attempt_at = r.at;
    pending->endpoint = r.endpoint;
    pending->attempt_zone = r.zone;
  }

  void SetReservedBytes(PendingMessage& pending, std::size_t bytes) {
    state_.reserved_bytes = state_.reserved_bytes - pending.reserved_bytes + bytes;
    pending.reserved_bytes = bytes;
  }

  State& state_;
};

// A whole journal of the pending messages and of the completed ones that are still remembered.
inline std::string Snapshot(const State& state) {
  std::string journal = JournalHeader();
  for (const auto& [serial, pending] : state.pending) {
    if (pending.ended && !state.notices.contains(serial)) continue;
    AppendRecord(journal, pending.message);
    PriorAttempts past = pending.past;
    if (pending.in_flight && !pending.ended)
      --past.attempts;  // counted by the record of the attempt in flight
    if (past.attempts > 0 || past.may_have_run)
      AppendRecord(journal, AttemptHistory{serial, past, pending.run_zone});
    if (pending.in_flight && !pending.ended && pending.connecting) {
      AppendRecord(journal,
                   AttemptConnecting{serial, pending.endpoint, pending.attempt_zone, pending.attempt_at});
    } else if (pending.in_flight && !pending.ended) {
      AppendRecord(journal,
                   AttemptStarted{serial, pending.endpoint, pending.attempt_zone, pending.attempt_at});
    }
    if (pending.ended) AppendRecord(journal, *pending.ended);
  }
  for (const auto& [serial, entry] : state.completed.entries()) {
    if (state.notices.contains(serial)) continue;
    AppendRecord(journal, entry.message);
    AppendRecord(journal, MessageEnded{serial, MessageEnd::kNoNotice, Micros(0)});
  }
  return journal;
}

}  // namespace indigosaddle::state
