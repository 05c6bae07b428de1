// Final answers: when a message is over, which one is returned to its client when the node is full, and the
// queues in which messages stand until then.
#pragma once

#include "brain/eligibility.h"

namespace indigosaddle::brain {

constexpr double kAdmissionReserve = 0.05;  // part of Settings::max_open kept free for new messages

// Keeps the queues of messages and gives every message its one final answer.
struct FinalAnswers : Eligibility {
  EvictionQueue& EvictionQueueOf(const HeldMessage& held) {
    return eviction_queues_[{held.message.message_class, held.over_share}];
  }

  // Puts a message into the queues that its state calls for, and out of all others. To be called when it is
  // accepted, sent, answered or ended.
  void UpdateQueues(HeldMessage& held) {
    const MessageId id = held.message.id;
    const std::pair by_deadline(held.message.deadline, id);
    const std::pair newest_first(held.message.deadline, ~id);
    waiting_due_.erase({held.due, id}), in_flight_due_.erase({held.due, id});
    held.destination->waiting.erase(by_deadline);
    if (held.destination->waiting.empty()) waiting_destinations_.erase(held.message.destination);
    if (std::exchange(held.in_eviction_queue, false)) {
      EvictionQueueOf(held).by_deadline.erase(newest_first);
      EvictionQueueOf(held).by_id.erase(id);
    }
    if (held.ended) return;
    held.due = held.in_flight ? held.message.deadline + set_.tick
                              : std::min(held.message.deadline - 2 * set_.tick, RepeatUntil(held));
    (held.in_flight ? in_flight_due_ : waiting_due_).emplace(held.due, id);
    if (held.in_flight) return;
    held.destination->waiting.emplace(by_deadline, &held);
    waiting_destinations_.emplace(held.message.destination, held.destination);
    to_check_.insert(id);
    if (!(held.in_eviction_queue = MayRefuse(held))) return;
    EvictionQueueOf(held).by_deadline.emplace(newest_first, &held),
        EvictionQueueOf(held).by_id.emplace(id, &held);
  }

  // Adds the message to its key's order, if it counts there. A resumed message goes by its order_position,
  // but behind a message that is in flight.
  void EnterKeyOrder(HeldMessage& held) {
    const Message& message = held.message;
    if (held.ordered || (held.ended && !held.answer_pending) || !CountsInKeyOrder(held)) return;
    held.ordered = true;
    auto& order = keys_[message.key].order;
    const auto older = [&](auto at, auto id) {
      return !held_.at(id).in_flight && at < held_.at(id).message.order_position;
    };
    order.insert(std::upper_bound(order.begin(), order.end(), message.order_position, older), message.id);
    if (message.past.may_have_run)
      keys_[message.key].blocked_until = now_ + set_.turn_gap;  // the attempt may still be running
  }

  // Removes a message that has its final answer and no attempt in flight. A message in its key's order stays
  // until its answer has arrived; then the next of the key has its turn.
  void ReleaseIfFinished(const HeldMessage& held) {
    if (!held.ended || held.in_flight || (held.answer_pending && held.ordered)) return;
    if (held.ordered)
      std::erase(keys_[held.message.key].order, held.message.id);  // RemoveFinished removes the key
    finished_.push_back(held.message.id);
  }

  // Marks a message as ended. Does nothing the second time.
  void End(HeldMessage& held) {
    if (held.ended) return;
    held.ended = true;
    --open_messages_;
    UpdateQueues(held);
    ReleaseIfFinished(held);
  }

  // Gives the final answer, once (rule 1). No other place gives one.
  void GiveFinalAnswer(HeldMessage& held, GiveUpCause cause) {
    if (held.ended) return;
    const Micros wait = set_.retry_advice ? set_.max_retry_after : Micros(0);
    held.answer_pending = !(MayRefuse(held) ? host_->Refuse(held.message.id, wait, cause)
                                            : host_->Fail(held.message.id, cause));
    End(held);
  }

  // Whether a delivery before the deadline is possible, by time and by Retry-After of the endpoints.
  bool CanStillArrive(const HeldMessage& held) {
    if (held.message.deadline - now_ <= 2 * set_.tick) return false;
    std::vector<EndpointRecord>& endpoints = held.destination->endpoints;  // none: the list may be late
    if (endpoints.empty()) return held.destination->shared.pause_until < held.message.deadline;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](EndpointRecord& record) {
      return ScopeOf(record).pause_until < held.message.deadline;
    });
  }

  // Has all waiting messages checked in this turn.
  void CheckAll() {
    for (const auto& [number, destination] : waiting_destinations_)
      for (const auto& [key, held] : destination->waiting) to_check_.insert(key.second);
  }

  // Answers messages at their deadline, and at once those that can't be delivered (rule 1). Checks only those
  // for which this can have changed.
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
      // Whether its destination was never on the list.
      const bool unlisted = list_received_ && held.destination->last_listed == Micros::min();
      if (unlisted || (held.in_flight ? overdue : !MayAttempt(held) || !CanStillArrive(held)))
        GiveFinalAnswer(held, unlisted ? GiveUpCause::kNotListed : GiveUpCauseOf(held));
    }
  }

  // Sheds load so that the node stays below max_open: gives the messages that are worth least back to their
  // clients. A full node would reject new messages whatever they are worth.
  void ShedLoad() {
    const int reserve = std::max(1, static_cast<int>(kAdmissionReserve * set_.max_open));
    while (set_.max_open > 0 && open_messages_ > set_.max_open - reserve) {
      std::tuple<double, MessageId> best;
      HeldMessage* least = nullptr;
      for (const auto& [kind, queue] : eviction_queues_) {
        if (queue.by_deadline.empty()) continue;
        HeldMessage* first = queue.by_deadline.begin()->second;
        HeldMessage* newest = queue.by_id.rbegin()->second;
        const double lost = Worth(*first, Micros(0));
        HeldMessage* held = lost < Worth(*newest, Micros(0)) ? first : newest;
        const std::tuple rank(lost, ~held->message.id);
        if (least == nullptr || rank < best) {
          least = held;
          best = rank;
        }
      }
      if (least == nullptr) return;
      GiveFinalAnswer(*least, GiveUpCause::kLoadShed);
    }
  }
};

}  // namespace indigosaddle::brain
