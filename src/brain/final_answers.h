// Final answers: when a message is over, what is handed back for room, where each stands meanwhile.
#pragma once

#include "brain/eligibility.h"

namespace indigosaddle::brain {

constexpr double kAdmissionReserve = 0.05;  // part of the holding room kept free for what comes

struct FinalAnswers : Eligibility {
  EvictionQueue& EvictionQueueOf(const HeldMessage& held) {
    return eviction_queues_[{held.message.message_class, held.over_share}];
  }

  // Where a message stands of those that wait or are out; anew when taken, sent, settled or ended.
  void UpdateQueues(HeldMessage& held) {
    const MessageId id = held.message.id;
    const std::pair by_time(held.message.deadline, id), newest(held.message.deadline, ~id);
    waiting_due_.erase({held.due, id}), in_flight_due_.erase({held.due, id});
    held.destination->waiting.erase(by_time);
    if (held.destination->waiting.empty()) waiting_destinations_.erase(held.message.destination);
    if (std::exchange(held.refusable, false))
      EvictionQueueOf(held).by_deadline.erase(newest), EvictionQueueOf(held).by_id.erase(id);
    if (held.ended) return;
    held.due = held.in_flight ? held.message.deadline + set_.tick
                        : std::min(held.message.deadline - 2 * set_.tick, RepeatUntil(held));
    (held.in_flight ? in_flight_due_ : waiting_due_).emplace(held.due, id);
    if (held.in_flight) return;
    held.destination->waiting.emplace(by_time, &held);
    waiting_destinations_.emplace(held.message.destination, held.destination);
    to_check_.insert(id);
    if (!(held.refusable = MayRefuse(held))) return;
    EvictionQueueOf(held).by_deadline.emplace(newest, &held), EvictionQueueOf(held).by_id.emplace(id, &held);
  }

  // A place in its key's order, if it has one: what was resumed goes before all but an attempt that is out.
  void EnterKeyOrder(HeldMessage& held) {
    const Message& message = held.message;
    if (held.ordered || (held.ended && !held.answer_pending) || !CountsInKeyOrder(held)) return;
    held.ordered = true;
    auto& order = keys_[message.key].order;
    const auto older = [&](auto at, auto id) {
      return !held_.at(id).in_flight && at < held_.at(id).message.order_position;
    };
    order.insert(std::upper_bound(order.begin(), order.end(), message.order_position, older), message.id);
    if (message.past.may_have_run) keys_[message.key].blocked_until = now_ + set_.turn_gap;  // may run on
  }

  // A key's turn passes on when its message is over, which its answer has told, and has no attempt out.
  void ReleaseIfFinished(const HeldMessage& held) {
    if (!held.ended || held.in_flight || (held.answer_pending && held.ordered)) return;
    if (held.ordered) std::erase(keys_[held.message.key].order, held.message.id);  // dropped once rested
    finished_.push_back(held.message.id);
  }

  void End(HeldMessage& held) {
    if (held.ended) return;
    held.ended = true, --open_messages_, UpdateQueues(held), ReleaseIfFinished(held);
  }

  // Rule 1: the one place where a final answer is given.
  void GiveFinalAnswer(HeldMessage& held, GiveUpCause cause) {
    if (held.ended) return;
    const Micros wait = set_.retry_advice ? set_.max_retry_after : Micros(0);
    held.answer_pending = !(MayRefuse(held) ? host_->Refuse(held.message.id, wait, cause)
                                            : host_->Fail(held.message.id, cause));
    End(held);
  }

  bool CanStillArrive(const HeldMessage& held) {
    if (held.message.deadline - now_ <= 2 * set_.tick) return false;
    std::vector<EndpointRecord>& endpoints = held.destination->endpoints;  // none: the list may be behind
    if (endpoints.empty()) return held.destination->shared.pause_until < held.message.deadline;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](EndpointRecord& record) {
      return ScopeOf(record).pause_until < held.message.deadline;
    });
  }

  void CheckAll() {
    for (const auto& [number, destination] : waiting_destinations_)
      for (const auto& [key, held] : destination->waiting) to_check_.insert(key.second);
  }

  // Rule 1 at the deadline, and at once for what can't be delivered: looked at where this can have changed.
  void AnswerUndeliverable() {
    for (Destination* destination : std::exchange(changed_destinations_, {})) {
      Micros all_wait = destination->endpoints.empty() ? destination->shared.pause_until : Micros::max();
      for (EndpointRecord& record : destination->endpoints)
        all_wait = std::min(all_wait, ScopeOf(record).pause_until);
      for (auto it = destination->waiting.begin();
           it != destination->waiting.end() && it->first.first <= all_wait; ++it)
        to_check_.insert(it->first.second);
    }
    for (const auto* due : {&waiting_due_, &in_flight_due_})
      for (auto it = due->begin(); it != due->end() && it->first <= now_; ++it) to_check_.insert(it->second);
    for (const MessageId id : std::exchange(to_check_, {})) {
      const auto it = held_.find(id);
      if (it == held_.end()) continue;  // withdrawn since
      HeldMessage& held = it->second;
      const bool overdue = now_ >= held.message.deadline + set_.tick;
      const bool unlisted =
          list_received_ && held.destination->last_listed == Micros::min();  // to what was never on the list
      if (unlisted || (held.in_flight ? overdue : !MayAttempt(held) || !CanStillArrive(held)))
        GiveFinalAnswer(held, unlisted ? GiveUpCause::kNotListed : GiveUpCauseOf(held));
    }
  }

  // EvictionQueue under max_open: what the door turns away was chosen by nobody. Hand back what promises
  // least.
  void ShedLoad() {
    const int reserve = std::max(1, static_cast<int>(kAdmissionReserve * set_.max_open));
    while (set_.max_open > 0 && open_messages_ > set_.max_open - reserve) {
      std::tuple<double, MessageId> best;
      HeldMessage* least = nullptr;
      for (const auto& [kind, room] : eviction_queues_) {
        if (room.by_deadline.empty()) continue;
        HeldMessage *first = room.by_deadline.begin()->second, *newest = room.by_id.rbegin()->second;
        const double lost = Worth(*first, Micros(0));
        HeldMessage* held = lost < Worth(*newest, Micros(0)) ? first : newest;
        const std::tuple rank(lost, ~held->message.id);
        if (least == nullptr || rank < best) least = held, best = rank;
      }
      if (least == nullptr) return;
      GiveFinalAnswer(*least, GiveUpCause::kLoadShed);
    }
  }
};

}  // namespace indigosaddle::brain
