// What the reducer's events have in common: a record is kept and staged in one step, what is staged becomes
// one write, and what waited for it is let go behind it. A part of the reducer.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "state/record_applier.h"

namespace indigosaddle::state {

constexpr std::size_t kBlockBytes = 512;  // the folder's files are counted in whole ones
constexpr std::size_t kMaxNoticesPerPost = 500;
constexpr std::size_t kPendingJournalPercent =
    45;  // percent of the folder that pending messages may fill: a rewrite
         // needs room beside the old file, and appends between rewrites
constexpr std::size_t kCompletedJournalPercent =
    10;  // percent, of the same share, for messages that are over

class ReducerBase {
 public:
  ReducerBase(State& state, Effects& effects) : state_(state), effects_(effects), applier_(state) {}

 protected:
  // What is staged, behind `bytes`, becomes one write; answered by JournalWritten.
  void Commit(std::string bytes) {
    bytes += std::exchange(state_.staged, {});
    LimitCompleted();
    // Of a rewrite, rounded up.
    const std::size_t reserve =
        state_.reserved_bytes + state_.completed.bytes() + JournalHeader().size() + 2 * kBlockBytes;
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
      ReleaseAfterWrite();
    }
  }

  void LimitCompleted() {
    const std::size_t all = state_.limits.journal_bytes * kPendingJournalPercent / 100;
    const std::size_t left = all - std::min(all, state_.reserved_bytes);
    state_.completed.LimitTo(std::min(left, state_.limits.journal_bytes * kCompletedJournalPercent / 100));
  }

  Message ToPolicyMessage(const PendingMessage& pending) const {
    Message message;
    message.id = pending.message.serial;
    message.message_class = NumberOf(state_.limits.classes, pending.message.message_class);
    message.tenant = NumberOf(state_.limits.tenants, pending.message.tenant);
    message.key = pending.message.order_key;
    message.give_up_at = pending.message.give_up_at;
    message.destination = pending.message.destination;
    message.place = pending.message.serial;
    message.past = pending.past;
    message.past.run_zone = NumberOf(state_.limits.zones, pending.run_zone, kUnknownZone);
    message.rules = pending.message.rules;
    message.ended = pending.ended.has_value();
    return message;
  }

  // `unknown` where the settings do not have the name, or no longer.
  static int NumberOf(const std::map<std::string, int>& names, const std::string& name, int unknown = -1) {
    const auto it = names.find(name);
    return it == names.end() ? unknown : it->second;
  }

  std::string ZoneName(int number) const {
    for (const auto& [name, of_name] : state_.limits.zones)
      if (of_name == number) return name;
    return {};
  }

  template <typename T>
  void StageRecord(const T& record) {
    applier_(record);
    AppendRecord(state_.staged, record);
  }

  void ReplyTo(const ClientRef& client, Answer answer, Micros not_before, const AcceptedMessage& taken,
               Refusal refusal, std::optional<GiveUpCause> cause = std::nullopt) {
    if (answer != Answer::kAccepted) state_.refusals.Add(taken.id, answer, state_.last_command_at);
    effects_.emplace_back(Reply{client, answer, not_before, taken.id, taken.message_class, refusal, cause});
  }
  // The message's client, and whoever has sent the same command since.
  void AnswerAll(const PendingMessage& pending, Answer answer, Micros not_before, Refusal refusal,
                 std::optional<GiveUpCause> cause = std::nullopt) {
    ReplyTo(*pending.waiting_client, answer, not_before, pending.message, refusal, cause);
    for (const ClientRef& copy : pending.duplicates)
      ReplyTo(copy, answer, not_before, pending.message, Refusal::kSameId, cause);
  }

  // A final answer: to the client while it waits, by a notice after that.
  void EndMessage(Serial serial, MessageEnd end, Micros not_before, GiveUpCause cause) {
    PendingMessage* pending = applier_.Find(serial);
    if (pending == nullptr || pending->ended) return;
    if (pending->waiting_client) {
      AnswerAll(*pending, end == MessageEnd::kReturned ? Answer::kBusy : Answer::kFailed, not_before,
                Refusal::kPolicy, cause);
      return Forget(serial);
    }
    EmitFinished(*pending, end == MessageEnd::kReturned ? MessageResult::kReturned : MessageResult::kFailed,
                 cause);
    StageRecord(MessageEnded{serial, end, not_before});
  }

  void EmitFinished(const PendingMessage& pending, MessageResult result,
                    std::optional<GiveUpCause> cause = std::nullopt) {
    const AcceptedMessage& t = pending.message;
    effects_.emplace_back(MessageFinished{t.id, t.message_class, t.tenant, t.destination, result,
                                          pending.past.attempts, t.rules, pending.accepted_at, cause});
  }

  void Forget(Serial serial) {
    std::erase(state_.accepted_in_turn, serial);
    applier_.Discard(serial);
  }

  // The journal holds this turn: its replies, calls and notices may go out.
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
