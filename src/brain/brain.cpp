// The events of a turn, and the actions at its end. The interface is src/brain.h.
#include "brain/cleanup.h"

namespace indigosaddle::brain {

constexpr Micros kRecheck = milliseconds(20);  // between turns while messages wait

// Implements Brain: the last in the chain of classes that state.h lists.
class DecisionEngine final : public Brain, private StateCleanup {
 public:
  DecisionEngine(Settings settings, Host& host) {
    set_ = std::move(settings);
    host_ = &host;
    set_.senders = std::max(1, set_.senders);
    random_.seed(set_.seed);
    watch_due_ = set_.discovery == Discovery::kOnRequest ? Micros::min() : Micros::max();
    ResetUnknownClass();
  }

  void OnTurnStart(Micros now) override {
    now_ = now;
    timer_ = timer_ <= now ? Micros::max() : timer_;
  }

  void OnList(const std::vector<Endpoint>& entries, bool whole) override {
    for (auto& [id, destination] : destinations_) {
      for (EndpointRecord& record : destination.endpoints) {
        if (whole) {
          record.endpoint.state = EndpointState::kGone;
          destination.last_listed = now_;
        }
      }
    }
    if (!entries.empty() && !std::exchange(list_received_, true)) CheckAll();
    for (const Endpoint& entry : entries) {
      Destination& destination = destinations_[entry.destination];
      destination.last_listed = now_;
      if (!destination.waiting.empty()) changed_destinations_.insert(&destination);
      EndpointRecord* record = Find(destination, entry.id);
      if (record == nullptr) record = &destination.endpoints.emplace_back();
      record->endpoint = entry;
      const auto kind = static_cast<std::size_t>(entry.kind);
      if (kind < set_.kinds.size()) record->kind = set_.kinds[kind];
      record->destination = &destination;
      if (destination.maybe_cold) AssumeCold(*record);
      (record->kind.separate_routes ? record->own : destination.shared).listed_limit = entry.weight;
    }
  }

  void OnListOutdated(Micros from) override { outdated_from_ = from; }

  // The subscription may or may not exist: asks again, well before the time (must_ask_in) after which a
  // changed list counts as known (rule 3).
  void OnListFailed() override {
    const Micros due = now_ + std::max<Micros>(set_.must_ask_in / 4, kRetryGap);
    if (set_.discovery == Discovery::kOnRequest) watch_due_ = std::min(watch_due_, due);
  }

  void OnMessage(const Message& message) override {
    auto [it, is_new] = held_.try_emplace(message.id);
    if (!is_new) return;
    HeldMessage& held = it->second;
    held.message = message;
    held.class_settings = ClassOf(message);
    ++(held.destination = &destinations_[message.destination])->held;
    EarnAll(*held.destination);
    for (EndpointRecord& record : held.destination->endpoints) {  // each gets an even part
      if (record.kind.separate_routes)
        CountDemand(record.own, 1.0 / static_cast<double>(held.destination->endpoints.size()));
    }
    CountDemand(held.destination->shared, 1);
    held.over_share = CountTenant(message.tenant);
    ++open_messages_;
    UpdateQueues(held);
    EnterKeyOrder(held);
    if (message.ended) {
      held.answer_pending = true;
      End(held);
    } else if (message.past.attempts > 0) {
      AssumeAllCold(*held.destination);
    }
  }

  void OnOutcome(const Outcome& outcome) override {
    auto it = held_.find(outcome.id);
    if (it == held_.end() || !it->second.in_flight) return;
    HeldMessage& held = it->second;
    Call& call = calls_.at(held.call_number);
    EndpointRecord& record = *Find(*call.destination, call.endpoint);  // kept while a call is in flight
    held.in_flight = false;
    held.answer_pending |= outcome.answer_pending;
    NoteAttempt(held, call, record, outcome.result);
    NoteEndpoint(call, record, outcome);
    if (--call.pending_outcomes == 0) EndCall(held.call_number, call, record, outcome.result);
    if (!held.ended) UpdateQueues(held);
    outcome.last && !held.ended ? End(held) : ReleaseIfFinished(held);
  }

  void OnRetryAfter(const EndpointId& endpoint, Micros wait) override {
    for (auto& [id, destination] : destinations_) {
      EndpointRecord* record = Find(destination, endpoint);
      if (record != nullptr) Pause(destination, ScopeOf(*record), wait);
    }
  }

  void OnWithdrawn(MessageId id) override {
    if (auto it = held_.find(id); it != held_.end()) End(it->second);
  }

  void OnAnswerDelivered(MessageId id) override {
    if (const auto it = held_.find(id); it != held_.end() && std::exchange(it->second.answer_pending, false))
      if (it->second.ordered) ReleaseIfFinished(it->second);
  }

  void OnStop(Micros at) override { stop_at_ = at; }

  void OnZoneLost(int zone) override {
    for (auto& [id, destination] : destinations_) {
      for (EndpointRecord& record : destination.endpoints)
        if (record.endpoint.zone == zone) LoseZone(record);
    }
  }

  void OnSettings(Settings settings) override {
    set_ = std::move(settings);
    set_.senders = std::max(1, set_.senders);
    ResetUnknownClass();
    for (auto& [id, held] : held_) {
      held.class_settings = ClassOf(held.message);
      EnterKeyOrder(held);
    }
    CheckAll();
  }

  // A connection may take time: rules 1, 2, 3 and 6 are checked again as they apply now.
  bool MayStillStart(MessageId id, Micros now) override {
    const auto it = held_.find(id);
    if (it == held_.end() || it->second.ended || !it->second.in_flight) return false;
    const Call& call = calls_.at(it->second.call_number);
    EndpointRecord& record = *Find(*call.destination, call.endpoint);  // kept while a call is in flight
    const Micros end = std::min({it->second.message.deadline, outdated_from_, RepeatUntil(it->second)});
    return now < end && record.endpoint.state == EndpointState::kReady && now >= ScopeOf(record).pause_until;
  }

  Micros LastByteBy(MessageId id) const override {
    const auto it = held_.find(id);
    return it == held_.end() ? Micros::max() : RepeatUntil(it->second);
  }

  void OnTurnEnd() override {
    if (watch_due_ <= now_) {
      watch_due_ = Micros::max();
      host_->Watch();
    }
    last_call_before_turn_ = last_call_;
    RemoveFinished();
    AnswerUndeliverable();
    ShedLoad();
    SendWaiting();
    for (const auto& [destination, id] : std::exchange(freed_endpoints_, {})) {
      EndpointRecord* record = Find(*destination, id);
      if (record != nullptr && !record->idle.empty() &&
          (ConnectionTableFull(*record) || !WorthKeepingIdle(*record)))
        Close(*record);
    }
    if (now_ >= sweep_due_) RemoveUnusedState();
    ArmTimer();
  }

  SlowStartFigures slow_start() const override {
    SlowStartFigures figures{0, slow_start_calls_};
    for (const auto& [id, destination] : destinations_) {
      figures.recovering += RecoveryOf(destination.shared.health) != Recovery::kHealthy;
      for (const EndpointRecord& record : destination.endpoints) {
        figures.recovering +=
            record.kind.separate_routes && RecoveryOf(record.own.health) != Recovery::kHealthy;
      }
    }
    return figures;
  }

  Footprint footprint() const override {
    Footprint sizes{held_.size(), keys_.size(), 0, 0, calls_.size(), destinations_.size()};
    for (const auto& [id, destination] : destinations_) {
      sizes.endpoints += destination.endpoints.size();
      sizes.rate_scopes += destination.shared.last_used > Micros::min();
      for (const EndpointRecord& record : destination.endpoints)
        sizes.rate_scopes += record.own.last_used > Micros::min();
    }
    return sizes;
  }

 private:
  // Counts messages that came for the scope.
  void CountDemand(RateScope& scope, double messages) {
    scope.demand.Add(now_, messages);
    scope.demand_long.Add(now_, messages);
  }

  // Asks the host for the next turn that is needed.
  void ArmTimer() {
    Micros next = waiting_destinations_.empty() ? watch_due_ : std::min(watch_due_, now_ + kRecheck);
    if (!in_flight_due_.empty()) next = std::min(next, in_flight_due_.begin()->first);
    if (next < timer_) host_->SetTimer(timer_ = std::max(next, now_));
  }
};

}  // namespace indigosaddle::brain

std::unique_ptr<indigosaddle::Brain> indigosaddle::MakeBrain(Settings settings, Host& host) {
  return std::make_unique<brain::DecisionEngine>(std::move(settings), host);
}
