// Computes from when a node's copy of the endpoint list may be outdated. No I/O.
//
// A node counts as knowing a change 6 s after discovery had it and was reachable, whatever happened before.
// Discovery that does not respond is not reachable; discovery that refuses a request is. So a refusal does
// not restart the 6 s: the list stays valid for 6 s from the latest instant, before the first refusal, at
// which it was confirmed or discovery was unreachable. After that nothing new may be sent until a list
// arrives.
#pragma once

#include <algorithm>
#include <chrono>

#include "brain.h"

namespace indigosaddle::net {

// A node counts as knowing a change of the list this long after discovery had it and was reachable.
constexpr Micros kListChangeDeadline = std::chrono::seconds(6);
// Subtracted from that, for calls that are still on their way at the deadline.
constexpr Micros kListChangeMargin = std::chrono::milliseconds(300);

// Tracks the validity of one list.
class ListClock {
 public:
  // A complete line or list arrived and could be read.
  void OnConfirmed(Micros now) { confirmed_at_ = std::max(confirmed_at_, now), refused_ = false; }
  // A request sent at `asked_at` got no response: discovery may have been unreachable at that time. Once a
  // request was refused this changes nothing: discovery had been reachable, and may have had a change then.
  void OnNoResponse(Micros asked_at) {
    if (!refused_) confirmed_at_ = std::max(confirmed_at_, asked_at);
  }
  // A request was refused, or its response could not be read.
  void OnRefused() { refused_ = true; }
  // The list counts as outdated from then on. Micros::max(): no request was refused since the list was last
  // confirmed. A discovery that is only unreachable does not outdate the list.
  Micros outdated_from() const {
    return refused_ ? confirmed_at_ + kListChangeDeadline - kListChangeMargin : Micros::max();
  }

 private:
  // The latest instant at which the list was confirmed, or discovery may have been unreachable before it
  // refused a request.
  Micros confirmed_at_{0};
  bool refused_ = false;  // since the list was last confirmed
};

}  // namespace indigosaddle::net
