#include "state/reducer.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "state/list_update.h"
#include "state/repeated_commands.h"

namespace indigosaddle::state {
namespace {

// A client counts its deadline from its first byte sent, an unknown network delay before this node does.
constexpr Micros kClientClockUncertainty = std::chrono::milliseconds(50);

class Reducer : private RepeatedCommands {
 public:
  using RepeatedCommands::RepeatedCommands;

  // At the start, and again where a successor takes over the journal of the process before it. Only the
  // messages of the records are resumed: those that this process accepted are already known.
  void operator()(const Recovered& e) {
    state_.last_serial = std::max(state_.last_serial, e.min_last_serial);
    state_.last_command_at = std::max(state_.last_command_at, e.now);
    std::set<Serial> before;
    for (const auto& [serial, pending] : state_.pending) before.insert(serial);
    for (const Record& record : e.records) std::visit(applier_, record);
    WithdrawDuplicates(before);
    std::vector<Serial> serials;
    for (const auto& [serial, pending] : state_.pending) {
      if (!before.contains(serial)) serials.push_back(serial);
    }
    int resumed = 0;
    for (Serial serial : serials) {
      PendingMessage& pending = state_.pending.at(serial);
      // The call was cut off by the end of the process: it may have run, unless its connection never came up.
      if (pending.in_flight)
        applier_(AttemptFinished{serial, pending.connecting ? Result::kNoConnection : Result::kReset});
      if (e.in_doubt.contains(serial)) applier_.MarkInDoubt(pending);
      if (!pending.ended) {
        ++resumed;
        const AcceptedMessage& message = pending.message;
        effects_.emplace_back(
            MessageResumed{message.id, message.destination, message.rules, pending.past, message.deadline});
      }
      // Of ended messages the decision engine is told only those whose order key waits for the notice.
      if (!pending.ended || (state_.notices.contains(serial) && !pending.message.order_key.empty()))
        effects_.emplace_back(TellMessage{ToPolicyMessage(pending)});
      applier_.RemoveIfDone(serial);
    }
    state_.completed.Forget(state_.last_command_at);
    state_.rewrite_due = true;
    effects_.emplace_back(Note{"resumed " + std::to_string(resumed) + " messages, " +
                               std::to_string(state_.notices.size()) + " notices"});
  }

  void operator()(const ClientMessage& e) {
    state_.last_command_at = std::max(state_.last_command_at, e.at);
    state_.completed.Forget(state_.last_command_at);
    state_.refusals.Forget(state_.last_command_at);
    if (AnswerRepeated(e)) return;
    if (e.refusal != Refusal::kNone) return ReplyTo(e.client, Answer::kBusy, Micros(0), e.message, e.refusal);
    const std::size_t bytes = RecordSize(e.message) + kReservedForLaterRecords;
    const bool full = state_.limits.max_open > 0 && state_.open() >= state_.limits.max_open;
    if (full || state_.reserved_bytes + bytes > state_.limits.journal_bytes * kPendingJournalPercent / 100) {
      return ReplyTo(e.client, Answer::kBusy, Micros(0), e.message, Refusal::kNoRoom);
    }
    AcceptedMessage message = e.message;
    message.serial = ++state_.last_serial;
    applier_(message);
    PendingMessage& pending = state_.pending.at(message.serial);
    pending.waiting_client = e.client;
    pending.accepted_at = e.at;
    state_.accepted_in_turn.push_back(message.serial);
    effects_.emplace_back(TellMessage{ToPolicyMessage(pending)});
  }

  void operator()(const ClientGone& e) {
    for (Serial serial : std::vector<Serial>(state_.accepted_in_turn)) {
      const PendingMessage& pending = state_.pending.at(serial);
      if (!pending.waiting_client || !RemoveClient(state_.pending.at(serial), e.connection)) continue;
      effects_.emplace_back(TellWithdrawn{serial});
      Forget(serial);
    }
  }

  void operator()(const ListUpdate& e) { ApplyListUpdate(state_.endpoints, e, effects_); }
  void operator()(const ListWatchLost&) { effects_.emplace_back(TellListWatchLost{}); }
  void operator()(const ListValidityChanged& e) { effects_.emplace_back(TellListValidity{e.outdated_from}); }

  void operator()(const CallEnded& e) {
    PendingMessage* pending = applier_.Find(e.serial);
    if (pending == nullptr || !pending->in_flight) return;
    const AttemptMeaning meaning = MeaningOf(e.attempt_result);
    Outcome outcome;
    outcome.id = e.serial;
    outcome.attempt = pending->attempts_made - 1;
    outcome.endpoint = pending->endpoint;
    outcome.result = meaning.result;
    outcome.latency = e.latency;
    outcome.last = meaning.message_done || pending->ended;
    // A response just before the deadline may be too late for the client, whose clock started earlier: a
    // notice is sent as well, which does no harm where the response was in time.
    outcome.answer_pending = meaning.result == Result::kOk &&
                             e.at >= pending->message.deadline - kClientClockUncertainty && !pending->ended;
    outcome.wait = e.wait;
    outcome.load = e.load;
    effects_.emplace_back(TellOutcome{outcome});
    StageRecord(AttemptFinished{e.serial, meaning.result});
    if (meaning.message_done) {
      if (!pending->ended) {
        ReportEnd(*pending,
                  meaning.result == Result::kOk ? MessageResult::kDelivered : MessageResult::kWithdrawn);
      }
      StageRecord(MessageEnded{e.serial, outcome.answer_pending ? MessageEnd::kFailed : MessageEnd::kNoNotice,
                               Micros(0)});
    }
    applier_.RemoveIfDone(e.serial);
  }

  void operator()(const RetryAfterReceived& e) { effects_.emplace_back(TellRetryAfter{e.endpoint, e.wait}); }

  // A notice is sent after all: it does no harm where the response was the message's own.
  void operator()(const AnswersInDoubt& e) {
    for (Serial serial : e.serials) {
      const CompletedMessages::Entry* entry = state_.completed.Find(serial);
      if (entry == nullptr || entry->end != MessageEnd::kNoNotice) continue;
      effects_.emplace_back(MessageInDoubt{entry->message.id});
      StageRecord(MessageEnded{serial, MessageEnd::kFailed, Micros(0)});
    }
  }

  void operator()(const NoticesAccepted& e) {
    state_.notices_in_flight = false;
    for (Serial serial : e.serials) {
      if (!state_.notices.contains(serial)) continue;
      StageRecord(NoticeAccepted{serial});
      effects_.emplace_back(TellAnswerDelivered{serial});
      applier_.RemoveIfDone(serial);
    }
  }

  void operator()(const StopRequested& e) { effects_.emplace_back(TellStop{e.ends_at}); }

  void operator()(const SettingsChanged& e) {
    state_.limits.max_open = e.max_open;
    state_.limits.classes = e.classes;
    state_.limits.tenants = e.tenants;
    effects_.emplace_back(TellSettings{e.settings});
  }

  void operator()(const SendRequested& e) {
    PendingMessage* pending = applier_.Find(e.serial);
    const auto listed = state_.endpoints.find(e.endpoint);
    if (pending == nullptr || pending->ended || pending->in_flight || listed == state_.endpoints.end())
      return;
    const std::string zone = ZoneName(listed->second.endpoint.zone);
    if (e.connected) {
      StageRecord(AttemptStarted{e.serial, e.endpoint, zone, e.now});
    } else {
      StageRecord(AttemptConnecting{e.serial, e.endpoint, zone, e.now});
    }
    ++pending->attempts_made;
    pending->address = listed->second.address;
    const AcceptedMessage& message = pending->message;
    state_.after_write.emplace_back(StartCall{e.serial, e.endpoint, listed->second.address, message.id,
                                              message.idempotency_key, message.body, e.timeout});
  }

  void operator()(const ReturnRequested& e) { End(e.serial, MessageEnd::kReturned, e.retry_after, e.cause); }
  void operator()(const FailRequested& e) { End(e.serial, MessageEnd::kFailed, Micros(0), e.cause); }
  void operator()(const TimerRequested& e) { effects_.emplace_back(ArmTimer{e.at}); }
  void operator()(const WatchRequested&) { effects_.emplace_back(RenewWatch{}); }
  void operator()(const CloseIdleRequested& e) { effects_.emplace_back(CloseIdle{e.endpoint}); }

  // Comes between turns or as a turn's calls start: nothing else is staged then, unless a rewrite is due.
  void operator()(const CallConnected& e) {
    PendingMessage* pending = applier_.Find(e.serial);
    if (pending == nullptr || !pending->connecting || state_.rewrite_due) return;
    StageRecord(AttemptStarted{e.serial, pending->endpoint, pending->attempt_zone, pending->attempt_at});
    Commit({});
  }

  // AcceptedMessage records come first, since the other records of this turn may refer to these messages.
  // Their replies come first among the effects: if the process is killed once the first byte of a call has
  // left, the client has been told that the message is accepted.
  void operator()(const TurnEnded&) {
    std::string bytes;
    Effects replies;
    for (Serial serial : state_.accepted_in_turn) {
      PendingMessage& pending = state_.pending.at(serial);
      AppendRecord(bytes, pending.message);
      const auto reply = [&](const ClientRef& client, Refusal refusal) {
        replies.emplace_back(Reply{client, Answer::kAccepted, Micros(0), pending.message.id,
                                   pending.message.message_class, refusal, std::nullopt});
      };
      reply(*pending.waiting_client, Refusal::kNone);
      for (const ClientRef& duplicate : pending.duplicates) reply(duplicate, Refusal::kSameId);
    }
    auto& after_write = state_.after_write;
    after_write.insert(after_write.begin(), std::make_move_iterator(replies.begin()),
                       std::make_move_iterator(replies.end()));
    Commit(std::move(bytes));
  }

  void operator()(const JournalWritten& e) {
    if (e.ok) {
      state_.rewrite_due = false;
      return ReleaseAfterWrite();
    }
    // Nothing that needed these records may happen: messages are returned, calls do not start. What the file
    // holds is not known, so the next turn rewrites it.
    state_.rewrite_due = true;
    for (Serial serial : std::vector<Serial>(state_.accepted_in_turn)) {
      const PendingMessage& pending = state_.pending.at(serial);
      AnswerAll(pending, Answer::kBusy, Micros(0), Refusal::kNotWritten);
      effects_.emplace_back(TellWithdrawn{serial});
      // The decision engine is told that an attempt of this turn has ended before its message is removed.
      if (state_.pending.at(serial).in_flight)
        (*this)(CallEnded{serial, AttemptResult::kNotStarted, Micros(0), Micros(0), {}});
      Forget(serial);
    }
    for (Effect& effect : std::exchange(state_.after_write, {})) {
      if (const auto* call = std::get_if<StartCall>(&effect)) {
        (*this)(CallEnded{call->serial, AttemptResult::kNotStarted, Micros(0), Micros(0), {}});
      } else if (std::holds_alternative<CloseIdle>(effect)) {
        effects_.push_back(std::move(effect));
      }
    }
  }
};

}  // namespace

void Reduce(State& state, const Event& event, Effects& effects) {
  std::visit(Reducer(state, effects), event);
}

}  // namespace indigosaddle::state
