// Turns: events go in; effects and the engine's decisions come out. Nothing is sent before its record is in
// the journal.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log_events.h"
#include "node/describe.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

constexpr Micros kJournalRetryDelay = milliseconds(50);

}  // namespace

void Node::Push(state::Event event) {
  events_.push_back(std::move(event));
  uv_idle_start(&idle_, [](uv_idle_t*) {});
}

// The loop's timers count whole milliseconds and may fire early by less than one. A turn before the time that
// the engine asked for would leave the engine waiting for a timer that has already fired.
void Node::OnTurnTimer() {
  const Micros left = next_turn_at_ - loop_.Now();
  if (left > Micros(0)) return turn_timer_.Start(left);
  turn_due_ = true;
}

void Node::OnLoopIteration() {
  previous_iteration_began_at_ = std::exchange(iteration_began_at_, loop_.Now());
  ++iterations_since_step_;
  RunTurnIfDue();
}

void Node::RunTurnIfDue() {
  if (turn_due_ || !events_.empty()) RunTurn();
}

// Passes the events since the last turn to the engine and then carries out its decisions. Nothing is sent
// before its record is in the journal.
void Node::RunTurn() {
  turn_due_ = false;
  uv_idle_stop(&idle_);
  turn_time_ = std::max(turn_time_, loop_.Now());
  brain_->OnTurnStart(turn_time_);
  if (shadow_evaluation_) shadow_evaluation_->OnTurnStart(turn_time_);
  for (state::Effect& effect : std::exchange(deferred_effects_, {})) ExecuteEffect(effect);
  may_accept_messages_ = false;
  for (state::Event& event : std::exchange(events_, {})) {
    if (auto* message = std::get_if<state::ClientMessage>(&event)) {
      HandleMessage(*message);
    } else {
      Reduce(event);
    }
  }
  brain_->OnTurnEnd();
  if (shadow_evaluation_) shadow_evaluation_->OnTurnEnd();
  idle_connections_assigned_.clear();
  for (const state::Event& decision : std::exchange(decisions_, {})) Reduce(decision);
  Reduce(state::TurnEnded{});
}

// A client that is gone has withdrawn its messages, and one that has ended its sending may be gone: nothing
// new is accepted of either, even if the loop has not read the end yet.
void Node::HandleMessage(state::ClientMessage& message) {
  const net::PeerState client = server_.StateOf(message.client.connection);
  // Once granted, the permission holds for the turn, as +OK is sent after all events of the turn.
  may_accept_messages_ = may_accept_messages_ || May(Action::kAcceptMessage);
  if (client != net::PeerState::kOpen) {
    message.refusal = state::Refusal::kClientEnded;
  } else if (!may_accept_messages_) {
    message.refusal = state::Refusal::kStopping;
  }
  Reduce(message);
  if (client == net::PeerState::kGone) Reduce(state::ClientGone{message.client.connection});
}

void Node::Reduce(const state::Event& event) {
  state::Effects effects;
  state::Reduce(state_, event, effects);
  for (state::Effect& effect : effects) ExecuteEffect(effect);
}

// Handles the result of a journal write. If it failed, the effects for the engine are deferred to a later
// turn, so that a full disk is not retried in a tight loop.
void Node::OnJournalWritten(bool ok) {
  if (ok == journal_failed_) log_.Write(base::kJournalWritable, ok);
  journal_failed_ = !ok;
  if (ok) return Reduce(state::JournalWritten{true});
  state::Effects effects;
  state::Reduce(state_, state::JournalWritten{false}, effects);
  for (state::Effect& effect : effects) {
    if (std::holds_alternative<state::Reply>(effect)) {
      ExecuteEffect(effect);
    } else {
      deferred_effects_.push_back(std::move(effect));
    }
  }
  journal_retry_timer_.Start(kJournalRetryDelay);
}

void Node::ExecuteEffect(state::Effect& effect) {
  std::visit([this](auto& typed_effect) { Execute(typed_effect); }, effect);
}

void Node::Execute(state::TellMessage& effect) {
  brain_->OnMessage(effect.message);
  if (shadow_evaluation_) shadow_evaluation_->OnMessage(effect.message);
}
void Node::Execute(state::TellWithdrawn& effect) {
  brain_->OnWithdrawn(effect.id);
  if (shadow_evaluation_) shadow_evaluation_->OnWithdrawn(effect.id);
}
void Node::Execute(state::TellAnswerDelivered& effect) { brain_->OnAnswerDelivered(effect.id); }
void Node::Execute(state::TellOutcome& effect) {
  brain_->OnOutcome(effect.outcome);
  if (shadow_evaluation_) shadow_evaluation_->OnOutcome(effect.outcome);
}
void Node::Execute(state::TellList& effect) {
  brain_->OnList(effect.entries, effect.whole);
  if (shadow_evaluation_) shadow_evaluation_->OnList(effect.entries, effect.whole);
}
void Node::Execute(state::TellListWatchLost&) {
  brain_->OnListFailed();
  if (shadow_evaluation_) shadow_evaluation_->OnListFailed();
}
void Node::Execute(state::TellListValidity& effect) {
  brain_->OnListOutdated(effect.outdated_from);
  if (shadow_evaluation_) shadow_evaluation_->OnListOutdated(effect.outdated_from);
}
void Node::Execute(state::TellRetryAfter& effect) {
  brain_->OnRetryAfter(effect.endpoint, effect.wait);
  if (shadow_evaluation_) shadow_evaluation_->OnRetryAfter(effect.endpoint, effect.wait);
}
void Node::Execute(state::TellStop& effect) {
  brain_->OnStop(effect.at);
  if (shadow_evaluation_) shadow_evaluation_->OnStop(effect.at);
}
void Node::Execute(state::TellZoneLost& effect) {
  brain_->OnZoneLost(effect.zone);
  if (shadow_evaluation_) shadow_evaluation_->OnZoneLost(effect.zone);
}
void Node::Execute(state::AppendJournal& effect) { OnJournalWritten(journal_.Append(effect.bytes)); }
void Node::Execute(state::RewriteJournal& effect) { OnJournalWritten(journal_.Rewrite(effect.bytes)); }
void Node::Execute(state::ArmTimer& effect) {
  next_turn_at_ = effect.at;
  turn_timer_.Start(std::max(Micros(0), next_turn_at_ - loop_.Now()));
}
void Node::Execute(state::RenewWatch&) {
  if (May(Action::kWatchDiscovery)) discovery_.Renew();
}
void Node::Execute(state::CloseIdle& effect) { pool_.CloseIdle(effect.endpoint); }
void Node::Execute(state::Note& effect) { log_.Write(base::kJournalResumed, effect.text); }
void Node::Execute(state::TellSettings& effect) {
  brain_->OnSettings(effect.settings);
  if (shadow_evaluation_) shadow_evaluation_->OnSettings(effect.settings);
}

void Node::Execute(state::Reply& effect) {
  std::string line = "-ERR failed\r\n";
  if (effect.answer == state::Answer::kAccepted) line = "+OK\r\n";
  if (effect.answer == state::Answer::kBusy) {
    const auto retry_after_ms = std::chrono::ceil<milliseconds>(effect.retry_after).count();
    line = retry_after_ms > 0 ? fmt::format("-BUSY {}\r\n", retry_after_ms) : "-BUSY\r\n";
  }
  if (effect.answer == state::Answer::kAccepted && effect.refusal == state::Refusal::kNone)
    Did(Action::kAcceptMessage);
  ++(effect.answer == state::Answer::kAccepted ? accepted_
     : effect.answer == state::Answer::kBusy   ? answered_busy_
                                               : answered_failed_);
  if (effect.answer != state::Answer::kAccepted && !effect.message_class.empty()) {
    ClassCounts& counts = counts_by_class_[effect.message_class];
    ++(effect.answer == state::Answer::kBusy ? counts.rejected : counts.failed);
  }
  if (effect.answer != state::Answer::kAccepted && effect.refusal != state::Refusal::kStopping) {
    config_changes_.Count(effect.answer == state::Answer::kBusy ? config::GuardOutcome::kRefused
                                                                : config::GuardOutcome::kFailed,
                          loop_.Now());
  }
  if (effect.answer != state::Answer::kAccepted) {
    const char* answer = effect.answer == state::Answer::kBusy ? "busy" : "failed";
    log_.Write(base::kRequestRefused, effect.id, effect.message_class, answer, state::NameOf(effect.refusal),
               effect.cause ? NameOf(*effect.cause) : "");
  }
  server_.Reply(effect.client.connection, effect.client.command, std::move(line));
}

void Node::Execute(state::StartCall& effect) {
  const auto pending = state_.pending.find(effect.serial);
  if (pending == state_.pending.end() || !May(CallAction(pending->second))) {
    const Micros zero(0);
    return Push(
        state::CallEnded{effect.serial, state::AttemptResult::kNotStarted, zero, zero, {}, loop_.Now()});
  }
  pool_.Start({effect.serial, std::move(effect.address), std::move(effect.endpoint), std::move(effect.id),
               std::move(effect.idempotency_key), std::move(effect.body), effect.timeout,
               NeedsFreshConnection(effect.serial)});
}

void Node::Execute(state::PostNotices& effect) {
  if (!May(Action::kSendNotice)) return;
  Did(Action::kSendNotice);
  std::vector<net::NoticeLine> lines;
  for (const state::Notice& notice : effect.notices) {
    lines.push_back({notice.serial, notice.end == state::MessageEnd::kReturned
                                        ? net::FormatReturnedNotice(notice.id, notice.retry_after)
                                        : net::FormatFailedNotice(notice.id)});
  }
  notices_.Post(std::move(lines));
}

}  // namespace indigosaddle::node
