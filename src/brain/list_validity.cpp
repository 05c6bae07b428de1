#include "brain/list_validity.h"

#include <utility>

namespace indigosaddle {

ListClock ListClock::ForMove(Micros now) {
  ListClock clock(now);
  clock.named_at_ = clock.first_named_at_ = now;
  return clock;
}

void ListClock::OnConfirmed(Micros now) {
  confirmed_at_ = now;
  first_named_at_ = named_at_;
  first_failure_at_.reset();
  refused_ = false;
  inherited_limit_ = Micros::max();
}

// Once discovery was seen to be reachable, an unanswered request changes nothing: it may have had a change
// before.
void ListClock::OnFailure(const ListRequestFailure& failure) {
  if (!first_failure_at_) first_failure_at_ = failure.failed_at;
  if (failure.kind == ListFailure::kNoList) refused_ = true;
  if (failure.kind == ListFailure::kNoResponse && !refused_)
    unreachable_at_ = std::max(unreachable_at_, failure.requested_at);
}

void ListClock::OnNamedAgain(const ListClock& next, Micros now) {
  if (!current()) inherited_limit_ = std::min(outdated_from(), next.outdated_from());
  first_named_at_ = current() ? now : next.first_named_at_;
  named_at_ = now;
}

bool ListClock::confirmed_since_move() const {
  if (!named_at_) return true;
  return confirmed_at_ && first_failure_at_.value_or(Micros::max()) >= *named_at_ + kListMoveDeadline;
}

Micros ListClock::outdated_from() const {
  if (!refused_) return inherited_limit_;
  const Micros confirmed = std::max(unreachable_at_, confirmed_at_.value_or(Micros::min()));
  Micros deadline = confirmed + kListChangeDeadline;
  if (!confirmed_since_move()) {
    const Micros named = std::max(unreachable_at_, first_named_at_.value_or(Micros::min()));
    deadline = std::min(deadline, named + kListMoveDeadline);
  }
  return std::min(inherited_limit_, deadline - kListChangeMargin);
}

void ListValidity::OnMove(Micros now) {
  if (next_) return next_->OnReplaced(now);
  next_ = ListClock::ForMove(now);
}

void ListValidity::OnMoveBack(Micros now) {
  if (next_) in_use_.OnNamedAgain(*next_, now);
  next_.reset();
}

void ListValidity::OnSwitch() {
  if (next_) in_use_ = *std::exchange(next_, std::nullopt);
}

void ListValidity::OnConfirmed(Address address, Micros now) {
  if (address == Address::kInUse) return in_use_.OnConfirmed(now);
  if (next_) next_->OnConfirmed(now);
}

void ListValidity::OnFailure(Address address, const ListRequestFailure& failure) {
  if (address == Address::kInUse) return in_use_.OnFailure(failure);
  if (next_) next_->OnFailure(failure);
}

Micros ListValidity::outdated_from() const {
  const Micros by_next = next_ ? next_->outdated_from() : Micros::max();
  return std::min(in_use_.outdated_from(), by_next);
}

ListValidity::Address ListValidity::limited_by() const {
  const bool next_is_earlier = next_ && next_->outdated_from() < in_use_.outdated_from();
  return next_is_earlier ? Address::kNext : Address::kInUse;
}

}  // namespace indigosaddle
