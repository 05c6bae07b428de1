// What the journal holds, changed in memory by its records: live and in recovery alike. A part of the
// reducer.
#pragma once

#include <algorithm>
#include <string>

#include "state/journal.h"
#include "state/reducer.h"

namespace indigosaddle::state {

constexpr std::size_t kLaterRecords =
    512;  // journal bytes set aside for what follows a AcceptedMessage record

class Keeper {
 public:
  explicit Keeper(State& state) : state_(state) {}

  void operator()(const AcceptedMessage& r) {
    Owed& owed = state_.owed[r.serial];
    owed.taken = r;
    state_.by_id[r.id] = r.serial;
    state_.last_serial = std::max(state_.last_serial, r.serial);
    SetRoom(owed, RecordSize(r) + kLaterRecords);
  }
  void operator()(const AttemptConnecting& r) { Attempt(r, true); }
  void operator()(const AttemptStarted& r) { Attempt(r, false); }
  void operator()(const AttemptFinished& r) {
    Owed* owed = Find(r.serial);
    if (owed == nullptr || !owed->out) return;
    owed->out = owed->connecting = false;
    if (!MayHaveRun(r.result) || owed->past.may_have_run) return;
    owed->past.may_have_run = true;
    owed->past.first_run = owed->sent;
    owed->run_zone = owed->out_zone;
  }
  void operator()(const MessageEnded& r) {
    Owed* owed = FindForEnd(r);
    if (owed == nullptr) return;
    owed->ended = r;
    const auto by_id = state_.by_id.find(owed->taken.id);
    if (by_id != state_.by_id.end() && by_id->second == r.serial) state_.by_id.erase(by_id);
    owed->taken.body = {};  // nothing is sent any more
    state_.recent.Add(owed->taken, r.end);
    SetRoom(*owed, r.end == MessageEnd::kNoNotice ? 0 : RecordSize(owed->taken) + kLaterRecords);
    if (r.end != MessageEnd::kNoNotice) {
      state_.notices[r.serial] = {r.serial, owed->taken.id, r.end, r.not_before};
    }
  }
  void operator()(const NoticeAccepted& r) {
    state_.notices.erase(r.serial);
    if (Owed* owed = Find(r.serial)) SetRoom(*owed, 0);
  }
  void operator()(const AttemptHistory& r) {
    if (Owed* owed = Find(r.serial)) owed->past = r.past, owed->run_zone = r.run_zone;
  }

  // A record of it was lost: a call that it told of may have run, long ago and in any zone.
  void Doubt(Owed& owed) {
    if (owed.past.may_have_run) return;
    owed.past.may_have_run = true;
    owed.past.first_run = Micros(0);
    owed.run_zone.clear();
  }

  Owed* Find(Serial serial) {
    auto it = state_.owed.find(serial);
    return it == state_.owed.end() ? nullptr : &it->second;
  }

  // The message that this ends: one that is owed, or one that was over with nothing owed and failed after
  // all.
  Owed* FindForEnd(const MessageEnded& r) {
    Owed* owed = Find(r.serial);
    if (owed != nullptr && !owed->ended) return owed;
    const RecentEnds::Entry* entry = state_.recent.Find(r.serial);
    if (entry == nullptr || entry->end != MessageEnd::kNoNotice || r.end != MessageEnd::kFailed)
      return nullptr;
    if (owed == nullptr) owed = &state_.owed[r.serial];
    owed->taken = entry->taken;
    return owed;
  }

  // Drops what is over, has no call out and owes no notice.
  void Drop(Serial serial) {
    auto it = state_.owed.find(serial);
    if (it == state_.owed.end() || !it->second.ended || it->second.out) return;
    if (state_.notices.contains(serial)) return;
    SetRoom(it->second, 0);
    state_.owed.erase(it);
  }

  // Takes back a message that was never taken on for good.
  void Forget(Serial serial) {
    auto it = state_.owed.find(serial);
    if (it == state_.owed.end()) return;
    SetRoom(it->second, 0);
    state_.by_id.erase(it->second.taken.id);
    state_.notices.erase(serial);
    state_.owed.erase(it);
  }

 private:
  template <typename T>
  void Attempt(const T& r, bool connecting) {
    Owed* owed = Find(r.serial);
    if (owed == nullptr) return;
    if (!owed->connecting) ++owed->past.attempts;
    owed->out = true;
    owed->connecting = connecting;
    owed->sent = r.at;
    owed->endpoint = r.endpoint;
    owed->out_zone = r.zone;
  }

  void SetRoom(Owed& owed, std::size_t room) {
    state_.room = state_.room - owed.room + room;
    owed.room = room;
  }

  State& state_;
};

// All that is owed, as a journal of its own.
inline std::string Snapshot(const State& state) {
  std::string journal = JournalHeader();
  for (const auto& [serial, owed] : state.owed) {
    if (owed.ended && !state.notices.contains(serial)) continue;
    AppendRecord(journal, owed.taken);
    Past past = owed.past;
    if (owed.out && !owed.ended) --past.attempts;  // counted by the record of the attempt that is out
    if (past.attempts > 0 || past.may_have_run)
      AppendRecord(journal, AttemptHistory{serial, past, owed.run_zone});
    if (owed.out && !owed.ended && owed.connecting) {
      AppendRecord(journal, AttemptConnecting{serial, owed.endpoint, owed.out_zone, owed.sent});
    } else if (owed.out && !owed.ended) {
      AppendRecord(journal, AttemptStarted{serial, owed.endpoint, owed.out_zone, owed.sent});
    }
    if (owed.ended) AppendRecord(journal, *owed.ended);
  }
  for (const auto& [serial, entry] : state.recent.entries()) {
    if (state.notices.contains(serial)) continue;
    AppendRecord(journal, entry.taken);
    AppendRecord(journal, MessageEnded{serial, MessageEnd::kNoNotice, Micros(0)});
  }
  return journal;
}

}  // namespace indigosaddle::state
