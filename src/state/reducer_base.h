// What the reducer's event handlers share: a record is applied and staged in one step, all staged records
// become one journal write, and effects that need it are released after it. A part of the reducer.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "state/record_applier.h"

namespace indigosaddle::state {

// Files of the state folder count in whole blocks of this size.
constexpr std::size_t kBlockBytes = 512;
// Notices in one PostNotices at most.
constexpr std::size_t kMaxNoticesPerPost = 500;
// Percent of the journal folder that pending messages may fill: a rewrite needs room beside the old file, and
// so do appends between rewrites.
constexpr std::size_t kPendingJournalPercent = 45;
// Percent of the journal folder that completed messages may fill, out of the share above.
constexpr std::size_t kCompletedJournalPercent = 10;

// Holds references only: state and effects outlive it.
class ReducerBase {
 public:
  ReducerBase(State& state, Effects& effects) : state_(state), effects_(effects), applier_(state) {}

 protected:
  // Writes `bytes` and the staged records behind them in one write, which JournalWritten answers.
  void Commit(std::string bytes) {
    bytes += std::exchange(state_.staged, {});
    LimitCompleted();
    if (bytes.empty() && !state_.rewrite_due) return ReleaseAfterWrite();
    if (state_.rewrite_due || MustRewrite(bytes.size())) {
      bytes = Snapshot(state_);
      state_.journal_size = bytes.size();
      effects_.emplace_back(RewriteJournal{std::move(bytes)});
    } else {
      state_.journal_size += bytes.size();
      effects_.emplace_back(AppendJournal{std::move(bytes)});
    }
  }

  // Whether the journal is to be rewritten in place of appending to it. Beside the file there is always room
  // for the largest rewrite, as the messages of one turn may fill all that pending messages may. Where more
  // than that is pending, because the limit was lowered, records are appended without that room: those that
  // end messages make it.
  bool MustRewrite(std::size_t appended_bytes) const {
    const std::size_t limit = state_.limits.journal_bytes;
    const std::size_t rewrite = FileBytes(state_.reserved_bytes + state_.completed.bytes());
    const std::size_t largest_rewrite = std::max(rewrite, FileBytes(limit * kPendingJournalPercent / 100));
    const std::size_t appended = state_.journal_size + appended_bytes;
    if (appended + largest_rewrite <= limit) return false;
    return state_.journal_size + rewrite <= limit || appended > limit;
  }

  // Bytes of the folder that a file with so many bytes of records may count as, with the rounding of the file
  // beside it.
  static std::size_t FileBytes(std::size_t records) {
    return records + JournalHeader().size() + 2 * kBlockBytes;
  }

  // Keeps as many completed messages as the journal has room for beside the pending ones.
  void LimitCompleted() {
    const std::size_t all = state_.limits.journal_bytes * kPendingJournalPercent / 100;
    const std::size_t left = all - std::min(all, state_.reserved_bytes);
    state_.completed.LimitTo(std::min(left, state_.limits.journal_bytes * kCompletedJournalPercent / 100));
  }

  // The message as the decision engine sees it.
  Message ToPolicyMessage(const PendingMessage& pending) const {
    Message message;
    message.id = pending.message.serial;
    message.message_class = NumberOf(state_.limits.classes, pending.message.message_class);
    message.tenant = NumberOf(state_.limits.tenants, pending.message.tenant);
    message.key = pending.message.order_key;
    message.deadline = pending.message.deadline;
    message.destination = pending.message.destination;
    message.order_position = pending.message.serial;
    message.past = pending.past;
    message.past.run_zone = NumberOf(state_.limits.zones, pending.run_zone, kUnknownZone);
    message.rules = pending.message.rules;
    message.ended = pending.ended.has_value();
    return message;
  }

  // The number of a name in the settings; `unknown` where they do not have it, or no longer.
  static int NumberOf(const std::map<std::string, int>& names, const std::string& name, int unknown = -1) {
    const auto it = names.find(name);
    return it == names.end() ? unknown : it->second;
  }

  // The zone's name in the settings; empty: not known.
  std::string ZoneName(int number) const {
    for (const auto& [name, of_name] : state_.limits.zones)
      if (of_name == number) return name;
    return {};
  }

  // Applies the record now and stages it for the next Commit.
  template <typename T>
  void StageRecord(const T& record) {
    applier_(record);
    AppendRecord(state_.staged, record);
  }

  // Answers one command, and remembers the answer of a message that is not accepted.
  void ReplyTo(const ClientRef& client, Answer answer, Micros retry_after, const AcceptedMessage& message,
               Refusal refusal, std::optional<GiveUpCause> cause = std::nullopt) {
    if (answer != Answer::kAccepted) state_.refusals.Add(message.id, answer, state_.last_command_at);
    effects_.emplace_back(
        Reply{client, answer, retry_after, message.id, message.message_class, refusal, cause});
  }
  // Answers the message's client, and the clients that sent the same command since.
  void AnswerAll(const PendingMessage& pending, Answer answer, Micros retry_after, Refusal refusal,
                 std::optional<GiveUpCause> cause = std::nullopt) {
    ReplyTo(*pending.waiting_client, answer, retry_after, pending.message, refusal, cause);
    for (const ClientRef& copy : pending.duplicates)
      ReplyTo(copy, answer, retry_after, pending.message, Refusal::kSameId, cause);
  }

  // Gives the final answer: to the client while it waits, by a notice after that.
  void End(Serial serial, MessageEnd end, Micros retry_after, GiveUpCause cause) {
    PendingMessage* pending = applier_.Find(serial);
    if (pending == nullptr || pending->ended) return;
    if (pending->waiting_client) {
      AnswerAll(*pending, end == MessageEnd::kReturned ? Answer::kBusy : Answer::kFailed, retry_after,
                Refusal::kPolicy, cause);
      return Forget(serial);
    }
    ReportEnd(*pending, end == MessageEnd::kReturned ? MessageResult::kReturned : MessageResult::kFailed,
              cause);
    StageRecord(MessageEnded{serial, end, retry_after});
  }

  // Reports the end of an accepted message to the log.
  void ReportEnd(const PendingMessage& pending, MessageResult result,
                 std::optional<GiveUpCause> cause = std::nullopt) {
    const AcceptedMessage& message = pending.message;
    effects_.emplace_back(MessageFinished{message.id, message.message_class, message.tenant,
                                          message.destination, result, pending.past.attempts, message.rules,
                                          pending.accepted_at, cause});
  }

  // Removes a message of the present turn.
  void Forget(Serial serial) {
    std::erase(state_.accepted_in_turn, serial);
    applier_.Discard(serial);
  }

  // The journal holds the records of this turn: its replies, calls and notices are released.
  void ReleaseAfterWrite() {
    for (Serial serial : std::exchange(state_.accepted_in_turn, {})) {
      state_.pending.at(serial).waiting_client.reset();
      state_.pending.at(serial).duplicates.clear();
    }
    for (Effect& effect : std::exchange(state_.after_write, {})) effects_.push_back(std::move(effect));
    if (state_.notices_in_flight || state_.notices.empty()) return;
    state_.notices_in_flight = true;
    PostNotices post;
    for (const auto& [serial, notice] : state_.notices) {
      if (post.notices.size() == kMaxNoticesPerPost) break;
      post.notices.push_back(notice);
    }
    effects_.emplace_back(std::move(post));
  }

  State& state_;
  Effects& effects_;
  RecordApplier applier_;
};

}  // namespace indigosaddle::state
