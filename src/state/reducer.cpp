#include "state/reducer.h"

#include <algorithm>
#include <set>
#include <utility>

namespace indigosaddle::state {
namespace {

constexpr std::size_t kBlock = 512;         // the folder's files are counted in whole ones
constexpr std::size_t kLaterRecords = 512;  // journal bytes set aside for what follows a Taken record
constexpr std::size_t kOwedOfJournal = 45;  // percent of the folder that owed messages may fill: a rewrite
                                            // needs room beside the old file, and appends between rewrites
constexpr std::size_t kNoticesAtOnce = 500;
// How well a message's time is known here: its client counts it from when it sent the first byte, over a way
// that takes as long as it takes.
constexpr Micros kTimeDoubt = std::chrono::milliseconds(50);

// ---- Records: what the journal holds is changed in memory here, live and in recovery alike ---------------

class Keeper {
 public:
  explicit Keeper(State& state) : state_(state) {}

  void operator()(const Taken& r) {
    Owed& owed = state_.owed[r.serial];
    owed.taken = r;
    state_.by_id[r.id] = r.serial;
    state_.last_serial = std::max(state_.last_serial, r.serial);
    SetRoom(owed, RecordBytes(r) + kLaterRecords);
  }
  void operator()(const Connecting& r) { Attempt(r, true); }
  void operator()(const Attempted& r) { Attempt(r, false); }
  void operator()(const Settled& r) {
    Owed* owed = Find(r.serial);
    if (owed == nullptr || !owed->out) return;
    owed->out = owed->connecting = false;
    if (!MayHaveRun(r.result) || owed->past.may_have_run) return;
    owed->past.may_have_run = true;
    owed->past.first_run = owed->sent;
    owed->past.run_zone = owed->out_zone;
  }
  void operator()(const Ended& r) {
    Owed* owed = Find(r.serial);
    if (owed == nullptr || owed->ended) return;
    owed->ended = r;
    state_.by_id.erase(owed->taken.id);
    owed->taken.body = {};  // nothing is sent any more
    SetRoom(*owed, r.end == End::kNothingOwed ? 0 : RecordBytes(owed->taken) + kLaterRecords);
    if (r.end != End::kNothingOwed) {
      state_.notices[r.serial] = {r.serial, owed->taken.id, r.end, r.not_before};
    }
  }
  void operator()(const Noticed& r) {
    state_.notices.erase(r.serial);
    if (Owed* owed = Find(r.serial)) SetRoom(*owed, 0);
  }
  void operator()(const Resumed& r) {
    if (Owed* owed = Find(r.serial)) owed->past = r.past;
  }

  Owed* Find(Serial serial) {
    auto it = state_.owed.find(serial);
    return it == state_.owed.end() ? nullptr : &it->second;
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
std::string Snapshot(const State& state) {
  std::string journal = JournalHead();
  for (const auto& [serial, owed] : state.owed) {
    if (owed.ended && !state.notices.contains(serial)) continue;
    AppendRecord(journal, owed.taken);
    Past past = owed.past;
    if (owed.out && !owed.ended) --past.attempts;  // counted by the record of the attempt that is out
    if (past.attempts > 0 || past.may_have_run) AppendRecord(journal, Resumed{serial, past});
    if (owed.out && !owed.ended && owed.connecting) {
      AppendRecord(journal, Connecting{serial, owed.endpoint, owed.out_zone, owed.sent});
    } else if (owed.out && !owed.ended) {
      AppendRecord(journal, Attempted{serial, owed.endpoint, owed.out_zone, owed.sent});
    }
    if (owed.ended) AppendRecord(journal, *owed.ended);
  }
  return journal;
}

class Reducer {
 public:
  Reducer(State& state, Effects& effects) : state_(state), effects_(effects), keep_(state) {}

  // At the start, and again where a successor takes over what the process before it left: only what the
  // records bring is resumed, for messages that this process took are its own.
  void operator()(const Recovered& e) {
    state_.last_serial = std::max(state_.last_serial, e.numbered_past);
    std::set<Serial> before;
    for (const auto& [serial, owed] : state_.owed) before.insert(serial);
    for (const Record& record : e.records) std::visit(keep_, record);
    std::vector<Serial> serials;
    for (const auto& [serial, owed] : state_.owed) {
      if (!before.contains(serial)) serials.push_back(serial);
    }
    int resumed = 0;
    for (Serial serial : serials) {
      Owed& owed = state_.owed.at(serial);
      // Cut off: it may have run, unless its connection was never up.
      if (owed.out) keep_(Settled{serial, owed.connecting ? Result::kNoConnection : Result::kReset});
      if (!owed.ended) ++resumed;
      // Of what is over the module hears only where its key waits for the notice.
      if (!owed.ended || (state_.notices.contains(serial) && !owed.taken.order_key.empty()))
        effects_.emplace_back(TellMessage{ForModule(owed)});
      keep_.Drop(serial);
    }
    state_.rewrite_due = true;
    effects_.emplace_back(Note{"resumed " + std::to_string(resumed) + " messages, " +
                               std::to_string(state_.notices.size()) + " notices"});
  }

  void operator()(const ClientMessage& e) {
    if (state_.by_id.contains(e.message.id)) {  // the same request once more: it stays taken on
      const Owed& owed = state_.owed.at(state_.by_id.at(e.message.id));
      if (owed.unanswered) return Answer_(e.client, Answer::kBusy, Micros(0), e.message.message_class);
      return Answer_(e.client, Answer::kTaken, Micros(0), e.message.message_class);
    }
    const std::size_t room = RecordBytes(e.message) + kLaterRecords;
    const bool full = state_.limits.most_open > 0 && state_.open() >= state_.limits.most_open;
    if (full || state_.room + room > state_.limits.journal_bytes * kOwedOfJournal / 100) {
      return Answer_(e.client, Answer::kBusy, Micros(0), e.message.message_class);
    }
    Taken taken = e.message;
    taken.serial = ++state_.last_serial;
    keep_(taken);
    Owed& owed = state_.owed.at(taken.serial);
    owed.unanswered = e.client;
    owed.taken_at = e.at;
    state_.fresh.push_back(taken.serial);
    effects_.emplace_back(TellMessage{ForModule(owed)});
  }

  void operator()(const ClientGone& e) {
    for (Serial serial : std::vector<Serial>(state_.fresh)) {
      const Owed& owed = state_.owed.at(serial);
      if (!owed.unanswered || owed.unanswered->connection != e.connection) continue;
      effects_.emplace_back(TellWithdrawn{serial});
      Forget(serial);
    }
  }

  void operator()(const ListNews& e) {
    TellList told{{}, e.whole};
    auto before = e.whole ? std::exchange(state_.listed, {}) : std::map<EndpointId, Listed>();
    for (const Listed& entry : e.entries) {
      told.entries.push_back(entry.endpoint);
      before.erase(entry.endpoint.id);
      if (entry.endpoint.state != EndpointState::kGone) {
        state_.listed[entry.endpoint.id] = entry;
      } else if (auto node = state_.listed.extract(entry.endpoint.id); !node.empty()) {
        before.insert(std::move(node));
      }
    }
    for (const auto& [id, gone] : before) effects_.emplace_back(CloseIdle{id});
    effects_.emplace_back(std::move(told));
  }

  void operator()(const ListLost& e) { effects_.emplace_back(TellListLost{e.outdated_from}); }

  void operator()(const CallEnded& e) {
    Owed* owed = keep_.Find(e.serial);
    if (owed == nullptr || !owed->out) return;
    const Meaning meaning = MeaningOf(e.ending);
    Outcome outcome;
    outcome.id = e.serial;
    outcome.attempt = owed->attempts_made - 1;
    outcome.endpoint = owed->endpoint;
    outcome.result = meaning.result;
    outcome.latency = e.latency;
    outcome.last = meaning.over || owed->ended;
    // An answer in the last moment may have come too late for its client, whose clock began before: the end
    // is told as well, which does no harm where it was in time.
    outcome.untold =
        meaning.result == Result::kOk && e.at >= owed->taken.give_up_at - kTimeDoubt && !owed->ended;
    outcome.wait = e.wait;
    outcome.load = e.load;
    effects_.emplace_back(TellOutcome{outcome});
    Record_(Settled{e.serial, meaning.result});
    if (meaning.over) {
      if (!owed->ended) SayOver(*owed, meaning.result == Result::kOk ? Over::kDelivered : Over::kWithdrawn);
      Record_(Ended{e.serial, outcome.untold ? End::kFailed : End::kNothingOwed, Micros(0)});
    }
    keep_.Drop(e.serial);
  }

  void operator()(const NoticesTaken& e) {
    state_.notices_out = false;
    for (Serial serial : e.serials) {
      if (!state_.notices.contains(serial)) continue;
      Record_(Noticed{serial});
      effects_.emplace_back(TellAnswerTold{serial});
      keep_.Drop(serial);
    }
  }

  void operator()(const StopAsked& e) { effects_.emplace_back(TellStop{e.ends_at}); }

  void operator()(const SettingsChanged& e) {
    state_.limits.most_open = e.most_open;
    state_.limits.classes = e.classes;
    state_.limits.tenants = e.tenants;
    effects_.emplace_back(TellSettings{e.settings});
  }

  void operator()(const WantsSend& e) {
    Owed* owed = keep_.Find(e.serial);
    const auto listed = state_.listed.find(e.endpoint);
    if (owed == nullptr || owed->ended || owed->out || listed == state_.listed.end()) return;
    const int zone = listed->second.endpoint.zone;
    if (e.connected) {
      Record_(Attempted{e.serial, e.endpoint, zone, e.now});
    } else {
      Record_(Connecting{e.serial, e.endpoint, zone, e.now});
    }
    ++owed->attempts_made;
    const Taken& t = owed->taken;
    state_.after_write.emplace_back(
        StartCall{e.serial, e.endpoint, listed->second.dial, t.id, t.idempotency_key, t.body, e.timeout});
  }

  void operator()(const WantsRefusal& e) { Finish(e.serial, End::kReturned, e.not_before); }
  void operator()(const WantsFailure& e) { Finish(e.serial, End::kFailed, Micros(0)); }
  void operator()(const WantsTimer& e) { effects_.emplace_back(ArmTimer{e.at}); }
  void operator()(const WantsWatch&) { effects_.emplace_back(RenewWatch{}); }
  void operator()(const WantsIdleClosed& e) { effects_.emplace_back(CloseIdle{e.endpoint}); }

  // Between turns, or where a turn's calls start: nothing else is staged then, unless the file is in doubt.
  void operator()(const CallBegins& e) {
    Owed* owed = keep_.Find(e.serial);
    if (owed == nullptr || !owed->connecting || state_.rewrite_due) return;
    Record_(Attempted{e.serial, owed->endpoint, owed->out_zone, owed->sent});
    Commit({});
  }

  // Taken records come first: what else this turn recorded may speak of these messages.
  void operator()(const TurnEnded&) {
    std::string bytes;
    for (Serial serial : state_.fresh) {
      Owed& owed = state_.owed.at(serial);
      AppendRecord(bytes, owed.taken);
      state_.after_write.emplace_back(
          Reply{*owed.unanswered, Answer::kTaken, Micros(0), owed.taken.message_class});
    }
    Commit(std::move(bytes));
  }

  void operator()(const JournalWritten& e) {
    if (e.ok) {
      state_.rewrite_due = false;
      return Release();
    }
    // Nothing that needed these records may happen: messages are handed back, calls do not start. What the
    // file holds is in doubt, so the next turn writes it anew.
    state_.rewrite_due = true;
    for (Serial serial : std::vector<Serial>(state_.fresh)) {
      const Owed& owed = state_.owed.at(serial);
      Answer_(*owed.unanswered, Answer::kBusy, Micros(0), owed.taken.message_class);
      effects_.emplace_back(TellWithdrawn{serial});
      // A send of this turn is over for the module as well, before its message is forgotten.
      if (state_.owed.at(serial).out)
        (*this)(CallEnded{serial, Ending::kNotStarted, Micros(0), Micros(0), {}});
      Forget(serial);
    }
    for (Effect& effect : std::exchange(state_.after_write, {})) {
      if (const auto* call = std::get_if<StartCall>(&effect)) {
        (*this)(CallEnded{call->serial, Ending::kNotStarted, Micros(0), Micros(0), {}});
      } else if (std::holds_alternative<CloseIdle>(effect)) {
        effects_.push_back(std::move(effect));
      }
    }
  }

 private:
  // What is staged, behind `bytes`, becomes one write; answered by JournalWritten.
  void Commit(std::string bytes) {
    bytes += std::exchange(state_.staged, {});
    const std::size_t reserve = state_.room + JournalHead().size() + 2 * kBlock;  // of a rewrite, rounded up
    if (!bytes.empty() || state_.rewrite_due) {
      if (state_.rewrite_due || state_.journal_size + bytes.size() + reserve > state_.limits.journal_bytes) {
        bytes = Snapshot(state_);
        state_.journal_size = bytes.size();
        effects_.emplace_back(RewriteJournal{std::move(bytes)});
      } else {
        state_.journal_size += bytes.size();
        effects_.emplace_back(AppendJournal{std::move(bytes)});
      }
    } else {
      Release();
    }
  }

  Message ForModule(const Owed& owed) const {
    Message message;
    message.id = owed.taken.serial;
    message.message_class = Number(state_.limits.classes, owed.taken.message_class);
    message.tenant = Number(state_.limits.tenants, owed.taken.tenant);
    message.key = owed.taken.order_key;
    message.give_up_at = owed.taken.give_up_at;
    message.destination = owed.taken.destination;
    message.place = owed.taken.serial;
    message.past = owed.past;
    message.ended = owed.ended.has_value();
    return message;
  }

  static int Number(const std::map<std::string, int>& names, const std::string& name) {
    const auto it = names.find(name);
    return it == names.end() ? -1 : it->second;  // a name that the settings no longer have
  }

  template <typename T>
  void Record_(const T& record) {
    keep_(record);
    AppendRecord(state_.staged, record);
  }

  void Answer_(const ClientRef& client, Answer answer, Micros not_before, const std::string& message_class) {
    effects_.emplace_back(Reply{client, answer, not_before, message_class});
  }

  // A final answer: to the client while it waits, by a notice after that.
  void Finish(Serial serial, End end, Micros not_before) {
    Owed* owed = keep_.Find(serial);
    if (owed == nullptr || owed->ended) return;
    if (owed->unanswered) {
      Answer_(*owed->unanswered, end == End::kReturned ? Answer::kBusy : Answer::kFailed, not_before,
              owed->taken.message_class);
      return Forget(serial);
    }
    SayOver(*owed, end == End::kReturned ? Over::kReturned : Over::kFailed);
    Record_(Ended{serial, end, not_before});
  }

  void SayOver(const Owed& owed, Over over) {
    const Taken& t = owed.taken;
    effects_.emplace_back(
        MessageOver{t.id, t.message_class, t.tenant, t.destination, over, owed.past.attempts, owed.taken_at});
  }

  void Forget(Serial serial) {
    std::erase(state_.fresh, serial);
    keep_.Forget(serial);
  }

  // The journal holds this turn: its replies, calls and notices may go out.
  void Release() {
    for (Serial serial : std::exchange(state_.fresh, {})) state_.owed.at(serial).unanswered.reset();
    for (Effect& effect : std::exchange(state_.after_write, {})) effects_.push_back(std::move(effect));
    if (state_.notices_out || state_.notices.empty()) return;
    state_.notices_out = true;
    PostNotices post;
    for (const auto& [serial, notice] : state_.notices) {
      if (post.notices.size() == kNoticesAtOnce) break;
      post.notices.push_back(notice);
    }
    effects_.emplace_back(std::move(post));
  }

  State& state_;
  Effects& effects_;
  Keeper keep_;
};

}  // namespace

void Reduce(State& state, const Event& event, Effects& effects) {
  std::visit(Reducer(state, effects), event);
}

}  // namespace indigosaddle::state
