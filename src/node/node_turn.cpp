// Turns: events in, effects and the module's decisions out. Nothing leaves before the journal holds it.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log_events.h"
#include "node/describe.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

constexpr Micros kJournalAgain = milliseconds(50);

}  // namespace

void Node::Push(state::Event event) {
  events_.push_back(std::move(event));
  uv_idle_start(&idle_, [](uv_idle_t*) {});
}

// The loop's timers count whole milliseconds and may be early by a part of one. A turn before the time that
// the module asked for would leave it waiting for a timer that is gone.
void Node::Wake() {
  const Micros left = wake_at_ - loop_.Now();
  if (left > Micros(0)) return turn_timer_.Start(left);
  turn_due_ = true;
}

void Node::BeginPass() {
  pass_before_began_ = std::exchange(pass_began_, loop_.Now());
  ++passes_since_step_;
  RunTurnIfDue();
}

void Node::RunTurnIfDue() {
  if (turn_due_ || !events_.empty()) RunTurn();
}

// What came since the last turn goes to the module, then its decisions are carried out. Nothing leaves before
// the journal holds it.
void Node::RunTurn() {
  turn_due_ = false;
  uv_idle_stop(&idle_);
  now_ = std::max(now_, loop_.Now());
  brain_->OnTurnStart(now_);
  if (watcher_) watcher_->OnTurnStart(now_);
  for (state::Effect& effect : std::exchange(later_, {})) Carry(effect);
  bool may_take = false;
  for (state::Event& event : std::exchange(events_, {})) {
    auto* message = std::get_if<state::ClientMessage>(&event);
    // Once granted it holds for the turn: its +OK comes behind all of the turn's events.
    if (message != nullptr) message->may_accept = may_take = may_take || May(Action::kAcceptMessage);
    Reduce(event);
    // A client that has closed meanwhile has withdrawn, though the loop has not read that yet.
    if (message != nullptr && server_.Gone(message->client.connection)) {
      Reduce(state::ClientGone{message->client.connection});
    }
  }
  brain_->OnTurnEnd();
  if (watcher_) watcher_->OnTurnEnd();
  on_idle_.clear();
  for (const state::Event& decision : std::exchange(decisions_, {})) Reduce(decision);
  Reduce(state::TurnEnded{});
}

void Node::Reduce(const state::Event& event) {
  state::Effects effects;
  state::Reduce(state_, event, effects);
  for (state::Effect& effect : effects) Carry(effect);
}

// The end of a journal write. Where it failed, what the module must hear comes with a later turn, so that a
// full disk is not tried in a tight circle.
void Node::Write(bool ok) {
  if (ok == journal_failed_) log_.Write(base::kJournalWritable, ok);
  journal_failed_ = !ok;
  if (ok) return Reduce(state::JournalWritten{true});
  state::Effects effects;
  state::Reduce(state_, state::JournalWritten{false}, effects);
  for (state::Effect& effect : effects) {
    if (std::holds_alternative<state::Reply>(effect)) {
      Carry(effect);
    } else {
      later_.push_back(std::move(effect));
    }
  }
  later_timer_.Start(kJournalAgain);
}

void Node::Carry(state::Effect& effect) {
  std::visit([this](auto& e) { Do(e); }, effect);
}

void Node::Do(state::TellMessage& e) {
  brain_->OnMessage(e.message);
  if (watcher_) watcher_->OnMessage(e.message);
}
void Node::Do(state::TellWithdrawn& e) {
  brain_->OnWithdrawn(e.id);
  if (watcher_) watcher_->OnWithdrawn(e.id);
}
void Node::Do(state::TellAnswerDelivered& e) { brain_->OnAnswerDelivered(e.id); }
void Node::Do(state::TellOutcome& e) {
  brain_->OnOutcome(e.outcome);
  if (watcher_) watcher_->OnOutcome(e.outcome);
}
void Node::Do(state::TellList& e) {
  brain_->OnList(e.entries, e.whole);
  if (watcher_) watcher_->OnList(e.entries, e.whole);
}
void Node::Do(state::TellListWatchLost& e) {
  brain_->OnListFailed();
  brain_->OnListOutdated(e.outdated_from);
  if (watcher_) watcher_->OnListFailed(e.outdated_from);
}
void Node::Do(state::TellRetryAfter& e) {
  brain_->OnRetryAfter(e.endpoint, e.wait);
  if (watcher_) watcher_->OnToldWait(e.endpoint, e.wait);
}
void Node::Do(state::TellStop& e) {
  brain_->OnStop(e.at);
  if (watcher_) watcher_->OnStop(e.at);
}
void Node::Do(state::TellZoneLost& e) {
  brain_->OnZoneLost(e.zone);
  if (watcher_) watcher_->OnZoneUnsure(e.zone);
}
void Node::Do(state::AppendJournal& e) { Write(journal_.Append(e.bytes)); }
void Node::Do(state::RewriteJournal& e) { Write(journal_.Rewrite(e.bytes)); }
void Node::Do(state::ArmTimer& e) {
  wake_at_ = e.at;
  turn_timer_.Start(std::max(Micros(0), wake_at_ - loop_.Now()));
}
void Node::Do(state::RenewWatch&) {
  if (May(Action::kWatchDiscovery)) discovery_->Renew();
}
void Node::Do(state::CloseIdle& e) { pool_.CloseIdle(e.endpoint); }
void Node::Do(state::Note& e) { log_.Write(base::kJournalResumed, e.text); }
void Node::Do(state::TellSettings& e) {
  brain_->OnSettings(e.settings);
  if (watcher_) watcher_->OnSettings(e.settings);
}

void Node::Do(state::Reply& e) {
  std::string line = "-ERR failed\r\n";
  if (e.answer == state::Answer::kAccepted) line = "+OK\r\n";
  if (e.answer == state::Answer::kBusy) {
    const auto millis = std::chrono::ceil<milliseconds>(e.not_before).count();
    line = millis > 0 ? fmt::format("-BUSY {}\r\n", millis) : "-BUSY\r\n";
  }
  if (e.answer == state::Answer::kAccepted && e.refusal == state::Refusal::kNone) Did(Action::kAcceptMessage);
  ++(e.answer == state::Answer::kAccepted ? taken_ : e.answer == state::Answer::kBusy ? busy_ : failed_);
  if (e.answer != state::Answer::kAccepted && !e.message_class.empty()) {
    ClassFigures& figures = by_class_[e.message_class];
    ++(e.answer == state::Answer::kBusy ? figures.rejected : figures.failed);
  }
  if (e.answer != state::Answer::kAccepted && e.refusal != state::Refusal::kStopping) {
    changes_.Count(e.answer == state::Answer::kBusy ? config::Sign::kRefused : config::Sign::kFailed,
                   loop_.Now());
  }
  if (e.answer != state::Answer::kAccepted) {
    const char* answer = e.answer == state::Answer::kBusy ? "busy" : "failed";
    log_.Write(base::kRequestRefused, e.id, e.message_class, answer, state::NameOf(e.refusal),
               e.cause ? NameOf(*e.cause) : "");
  }
  server_.Reply(e.client.connection, e.client.command, std::move(line));
}

void Node::Do(state::StartCall& e) {
  const auto owed = state_.pending.find(e.serial);
  if (owed == state_.pending.end() || !May(CallAction(owed->second))) {
    const Micros none(0);
    return Push(state::CallEnded{e.serial, state::AttemptResult::kNotStarted, none, none, {}, loop_.Now()});
  }
  pool_.Start({e.serial, std::move(e.dial), std::move(e.endpoint), std::move(e.id),
               std::move(e.idempotency_key), std::move(e.body), e.timeout, FirstCallOnly(e.serial)});
}

void Node::Do(state::PostNotices& e) {
  if (!May(Action::kSendNotice)) return;
  Did(Action::kSendNotice);
  std::vector<net::NoticeLine> lines;
  for (const state::Notice& notice : e.notices) {
    lines.push_back({notice.serial, notice.end == state::MessageEnd::kReturned
                                        ? net::FormatReturned(notice.id, notice.not_before)
                                        : net::FormatFailed(notice.id)});
  }
  notices_.Post(std::move(lines));
}

// The module's decisions, as events of the turn.
void Node::Send(MessageId id, const EndpointId& endpoint, Micros timeout) {
  if (watcher_) watcher_->Sent(id, endpoint);
  const auto listed = state_.endpoints.find(endpoint);
  const bool connected = listed != state_.endpoints.end() &&
                         on_idle_[endpoint] < pool_.idle(endpoint, listed->second.dial, FirstCallOnly(id));
  on_idle_[endpoint] += connected ? 1 : 0;
  decisions_.emplace_back(state::SendRequested{id, endpoint, timeout, now_, connected});
}
bool Node::FirstCallOnly(state::Serial serial) const {
  const auto owed = state_.pending.find(serial);
  return owed == state_.pending.end() || RequiresFreshConnection(owed->second.message.rules);
}
bool Node::Refuse(MessageId id, Micros not_before, GiveUpCause cause) {
  if (watcher_) watcher_->Refused(id);
  decisions_.emplace_back(state::ReturnRequested{id, not_before, cause});
  return AnswersItsClient(id);
}
bool Node::Fail(MessageId id, GiveUpCause cause) {
  if (watcher_) watcher_->Failed(id);
  decisions_.emplace_back(state::FailRequested{id, cause});
  return AnswersItsClient(id);
}
// Else the end is a notice, and told once the platform has it.
bool Node::AnswersItsClient(state::Serial serial) const {
  const auto owed = state_.pending.find(serial);
  return owed != state_.pending.end() && owed->second.waiting_client.has_value();
}
void Node::SetTimer(Micros at) { decisions_.emplace_back(state::TimerRequested{at}); }
void Node::Watch() { decisions_.emplace_back(state::WatchRequested{}); }
void Node::CloseIdle(const EndpointId& endpoint) {
  decisions_.emplace_back(state::CloseIdleRequested{endpoint});
}

}  // namespace indigosaddle::node
