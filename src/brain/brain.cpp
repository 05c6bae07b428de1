// Events of a turn: what the module hears, and when it acts. Its interface is src/brain.h.
#include "brain/outcomes.h"

namespace indigosaddle::brain {

constexpr Micros kForgetAfter = seconds(60), kSweepEvery = seconds(5);  // idle: dropped; between such walks
constexpr Micros kRecheck = milliseconds(20);  // while messages wait, look again this often

class Impl final : public Brain, private Outcomes {
 public:
  Impl(Settings settings, Host& host) {
    set_ = std::move(settings), host_ = &host;
    set_.senders = std::max(1, set_.senders), random_.seed(set_.seed);
    watch_due_ = set_.discovery == Discovery::kOnRequest ? Micros::min() : Micros::max();
    SetUnknownClass();
  }

  void OnTurnStart(Micros now) override { now_ = now, timer_ = timer_ <= now ? Micros::max() : timer_; }

  void OnList(const std::vector<Endpoint>& entries, bool whole) override {
    outdated_from_ = Micros::max();
    for (auto& [id, home] : destinations_) {
      for (Route& route : home.routes)
        if (whole) route.endpoint.state = EndpointState::kGone, home.listed = now_;
    }
    if (!entries.empty() && !std::exchange(list_told_, true)) LookAtAll();
    for (const Endpoint& entry : entries) {
      Destination& home = destinations_[entry.destination];
      if (home.listed = now_; !home.waiting.empty()) changed_.insert(&home);
      Route* route = Find(home, entry.id);
      if (route == nullptr) route = &home.routes.emplace_back();
      route->endpoint = entry;
      const auto kind = static_cast<std::size_t>(entry.kind);
      if (kind < set_.kinds.size()) route->kind = set_.kinds[kind];
      route->home = &home;
      if (home.unsure) Distrust(*route);
      (route->kind.separate_routes ? route->own : home.shared).listed = entry.weight;
    }
  }

  void OnListOutdated(Micros from) override { outdated_from_ = from; }

  // The watch may or may not stand: ask anew, well before an old list counts as told (rule 3).
  void OnListFailed() override {
    const Micros due = now_ + std::max<Micros>(set_.must_ask_in / 4, kMoment);
    if (set_.discovery == Discovery::kOnRequest) watch_due_ = std::min(watch_due_, due);
  }

  void OnMessage(const Message& message) override {
    auto [it, is_new] = held_.try_emplace(message.id);
    if (!is_new) return;
    Held& held = it->second;
    held.message = message, held.c = ClassOf(message);
    ++(held.home = &destinations_[message.destination])->held;
    EarnAt(*held.home);
    for (Route& route : held.home->routes) {  // apart: to each an even part of it
      if (route.kind.separate_routes)
        CountAsked(route.own, 1.0 / static_cast<double>(held.home->routes.size()));
    }
    CountAsked(held.home->shared, 1);
    held.over_share = TakeShare(message.tenant);
    ++open_, Place(held), JoinOrder(held);
    if (message.ended) {
      held.untold = true, End(held);
    } else if (message.past.attempts > 0) {
      DistrustAll(*held.home);
    }
  }

  void OnOutcome(const Outcome& outcome) override {
    auto it = held_.find(outcome.id);
    if (it == held_.end() || !it->second.out) return;
    Held& held = it->second;
    Call& call = calls_.at(held.call);
    Route& route = *Find(*call.home, call.endpoint);  // kept while a call is out
    held.out = false, held.untold |= outcome.answer_pending;
    NoteAttempt(held, call, route, outcome.result);
    NoteEndpoint(call, route, outcome);
    if (--call.waiting == 0) EndCall(held.call, call, route, outcome.result);
    if (!held.ended) Place(held);
    outcome.last && !held.ended ? End(held) : Release(held);
  }

  void OnRetryAfter(const EndpointId& endpoint, Micros wait) override {
    for (auto& [id, home] : destinations_) {
      Route* route = Find(home, endpoint);
      if (route != nullptr) Pause(home, LaneOf(*route), wait);
    }
  }

  void OnWithdrawn(MessageId id) override {
    if (auto it = held_.find(id); it != held_.end()) End(it->second);
  }

  void OnAnswerDelivered(MessageId id) override {
    if (const auto it = held_.find(id); it != held_.end() && std::exchange(it->second.untold, false))
      if (it->second.ordered) Release(it->second);
  }

  void OnStop(Micros at) override { stop_at_ = at; }

  void OnZoneLost(int zone) override {
    for (auto& [id, home] : destinations_) {
      for (Route& route : home.routes)
        if (route.endpoint.zone == zone) LoseZone(route);
    }
  }

  void OnSettings(Settings settings) override {
    set_ = std::move(settings), set_.senders = std::max(1, set_.senders);
    SetUnknownClass();
    for (auto& [id, held] : held_) held.c = ClassOf(held.message), JoinOrder(held);
    LookAtAll();
  }

  // A call whose connection took its time: what holds by now (rules 1, 2, 3 and 6) binds it still.
  bool MayStillStart(MessageId id, Micros now) override {
    const auto it = held_.find(id);
    if (it == held_.end() || it->second.ended || !it->second.out) return false;
    const Call& call = calls_.at(it->second.call);
    Route& route = *Find(*call.home, call.endpoint);  // kept while a call is out
    const Micros end = std::min({it->second.message.deadline, outdated_from_, RepeatUntil(it->second)});
    return now < end && route.endpoint.state == EndpointState::kReady && now >= LaneOf(route).pause_until;
  }

  Micros LastByteBy(MessageId id) const override {
    const auto it = held_.find(id);
    return it == held_.end() ? Micros::max() : RepeatUntil(it->second);
  }

  void OnTurnEnd() override {
    if (watch_due_ <= now_) watch_due_ = Micros::max(), host_->Watch();
    turn_from_call_ = last_call_;
    for (MessageId id : std::exchange(done_, {})) --held_.at(id).home->held, held_.erase(id);
    AnswerWhatIsOver();
    MakeRoom();
    Pump();
    for (const auto& [home, id] : std::exchange(freed_, {})) {
      Route* route = Find(*home, id);
      if (route != nullptr && !route->idle.empty() && (Crowded(*route) || !UsedSoon(*route))) Close(*route);
    }
    if (now_ >= sweep_due_) ForgetIdle();
    ArmTimer();
  }

  SlowStartFigures slow_start() const override {
    SlowStartFigures figures{0, slow_start_calls_};
    for (const auto& [id, home] : destinations_) {
      figures.recovering += RecoveryOf(home.shared.health) != Recovery::kHealthy;
      for (const Route& route : home.routes)
        figures.recovering += route.kind.separate_routes && RecoveryOf(route.own.health) != Recovery::kHealthy;
    }
    return figures;
  }

  Footprint footprint() const override {
    Footprint sizes{held_.size(), keys_.size(), 0, 0, calls_.size()};
    for (const auto& [id, destination] : destinations_) {
      sizes.endpoints += destination.routes.size();
      sizes.rate_scopes += destination.shared.used > Micros::min();
      for (const Route& route : destination.routes) sizes.rate_scopes += route.own.used > Micros::min();
    }
    return sizes;
  }

 private:
  void CountAsked(Lane& lane, double messages) {
    lane.asked.Add(now_, messages), lane.asked_long.Add(now_, messages);
  }

  void ForgetIdle() {
    sweep_due_ = now_ + kSweepEvery;
    std::erase_if(keys_, [&](auto& k) { return k.second.order.empty() && k.second.rest_until <= now_; });
    for (auto& [id, destination] : destinations_) {
      if (!destination.waiting.empty()) changed_.insert(&destination);
      std::erase_if(destination.routes, [this](Route& route) {
        const bool gone = route.endpoint.state == EndpointState::kGone;
        Forget(route.own, !gone);
        if (!route.idle.empty() && Crowded(route)) Close(route);
        return gone && route.out == 0 && route.own.used == Micros::min();
      });
      Forget(destination.shared, !destination.routes.empty());
    }
    std::erase_if(destinations_, [this](const auto& entry) {
      const Destination& home = entry.second;
      const bool unused = home.routes.empty() && home.held == 0 && home.shared.used == Micros::min();
      return unused && home.listed < now_ - kForgetAfter;
    });
  }

  void Forget(Lane& lane, bool listed) const {
    if (lane.used == Micros::min() || lane.out > 0 || now_ - lane.used <= kForgetAfter) return;
    if (now_ >= lane.pause_until && (!listed || RecoveryOf(lane.health) == Recovery::kHealthy))
      lane = Lane(lane.listed);
  }

  void ArmTimer() {
    Micros next = busy_.empty() ? watch_due_ : std::min(watch_due_, now_ + kRecheck);
    if (!out_due_.empty()) next = std::min(next, out_due_.begin()->first);
    if (next < timer_) host_->SetTimer(timer_ = std::max(next, now_));
  }
};

}  // namespace indigosaddle::brain

std::unique_ptr<indigosaddle::Brain> indigosaddle::MakeBrain(Settings settings, Host& host) {
  return std::make_unique<brain::Impl>(std::move(settings), host);
}
