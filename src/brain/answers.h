// Final answers: when a message is over, what is handed back for room, where each stands meanwhile.
#pragma once

#include "brain/guard.h"

namespace indigosaddle::brain {

constexpr double kOpenReserve = 0.05;  // part of the holding room kept free for what comes

struct Answers : Guard {
  Room& RoomOf(const Held& held) { return room_[{held.message.message_class, held.over_share}]; }

  // Where a message stands of those that wait or are out; anew when taken, sent, settled or ended.
  void Place(Held& held) {
    const MessageId id = held.message.id;
    const std::pair by_time(held.message.deadline, id), newest(held.message.deadline, ~id);
    waiting_due_.erase({held.due, id}), out_due_.erase({held.due, id});
    held.home->waiting.erase(by_time);
    if (held.home->waiting.empty()) busy_.erase(held.message.destination);
    if (std::exchange(held.refusable, false))
      RoomOf(held).by_time.erase(newest), RoomOf(held).by_id.erase(id);
    if (held.ended) return;
    held.due = held.out ? held.message.deadline + set_.tick
                        : std::min(held.message.deadline - 2 * set_.tick, RepeatUntil(held));
    (held.out ? out_due_ : waiting_due_).emplace(held.due, id);
    if (held.out) return;
    held.home->waiting.emplace(by_time, &held);
    busy_.emplace(held.message.destination, held.home);
    look_.insert(id);
    if (!(held.refusable = MayRefuse(held))) return;
    RoomOf(held).by_time.emplace(newest, &held), RoomOf(held).by_id.emplace(id, &held);
  }

  // A place in its key's order, if it has one: what was resumed goes before all but an attempt that is out.
  void JoinOrder(Held& held) {
    const Message& message = held.message;
    if (held.ordered || (held.ended && !held.untold) || !HasPlaceInOrder(held)) return;
    held.ordered = true;
    auto& order = keys_[message.key].order;
    const auto older = [&](auto at, auto id) { return !held_.at(id).out && at < held_.at(id).message.order_position; };
    order.insert(std::upper_bound(order.begin(), order.end(), message.order_position, older), message.id);
    if (message.past.may_have_run) keys_[message.key].rest_until = now_ + set_.turn_gap;  // may run on
  }

  // A key's turn passes on when its message is over, which its answer has told, and has no attempt out.
  void Release(const Held& held) {
    if (!held.ended || held.out || (held.untold && held.ordered)) return;
    if (held.ordered) std::erase(keys_[held.message.key].order, held.message.id);  // dropped once rested
    done_.push_back(held.message.id);
  }

  void End(Held& held) {
    if (held.ended) return;
    held.ended = true, --open_, Place(held), Release(held);
  }

  // Rule 1: the one place where a final answer is given.
  void Answer(Held& held, GiveUpCause cause) {
    if (held.ended) return;
    const Micros wait = set_.retry_advice ? set_.max_retry_after : Micros(0);
    held.untold = !(MayRefuse(held) ? host_->Refuse(held.message.id, wait, cause)
                                    : host_->Fail(held.message.id, cause));
    End(held);
  }

  bool CanStillArrive(const Held& held) {
    if (held.message.deadline - now_ <= 2 * set_.tick) return false;
    std::vector<Route>& routes = held.home->routes;  // none: the list may be behind
    if (routes.empty()) return held.home->shared.pause_until < held.message.deadline;
    return std::any_of(routes.begin(), routes.end(),
                       [&](Route& route) { return LaneOf(route).pause_until < held.message.deadline; });
  }

  void LookAtAll() {
    for (const auto& [destination, home] : busy_)
      for (const auto& [key, held] : home->waiting) look_.insert(key.second);
  }

  // Rule 1 at the deadline, and at once for what can't be delivered: looked at where this can have changed.
  void AnswerWhatIsOver() {
    for (Destination* home : std::exchange(changed_, {})) {
      Micros all_wait = home->routes.empty() ? home->shared.pause_until : Micros::max();
      for (Route& route : home->routes) all_wait = std::min(all_wait, LaneOf(route).pause_until);
      for (auto it = home->waiting.begin(); it != home->waiting.end() && it->first.first <= all_wait; ++it)
        look_.insert(it->first.second);
    }
    for (const auto* due : {&waiting_due_, &out_due_})
      for (auto it = due->begin(); it != due->end() && it->first <= now_; ++it) look_.insert(it->second);
    for (const MessageId id : std::exchange(look_, {})) {
      const auto it = held_.find(id);
      if (it == held_.end()) continue;  // withdrawn since
      Held& held = it->second;
      const bool overdue = now_ >= held.message.deadline + set_.tick;
      const bool stray = list_told_ && held.home->listed == Micros::min();  // to what was never on the list
      if (stray || (held.out ? overdue : !MayAttempt(held) || !CanStillArrive(held)))
        Answer(held, stray ? GiveUpCause::kNotListed : CauseOf(held));
    }
  }

  // Room under max_open: what the door turns away was chosen by nobody. Hand back what promises least.
  void MakeRoom() {
    const int reserve = std::max(1, static_cast<int>(kOpenReserve * set_.max_open));
    while (set_.max_open > 0 && open_ > set_.max_open - reserve) {
      std::tuple<double, MessageId> best;
      Held* least = nullptr;
      for (const auto& [kind, room] : room_) {
        if (room.by_time.empty()) continue;
        Held *first = room.by_time.begin()->second, *newest = room.by_id.rbegin()->second;
        const double lost = Worth(*first, Micros(0));
        Held* held = lost < Worth(*newest, Micros(0)) ? first : newest;
        const std::tuple rank(lost, ~held->message.id);
        if (least == nullptr || rank < best) least = held, best = rank;
      }
      if (least == nullptr) return;
      Answer(*least, GiveUpCause::kLoadShed);
    }
  }
};

}  // namespace indigosaddle::brain
