// When what a node knows of the list may have become outdated. No I/O.
//
// A change counts as told 6 s after discovery had it and could be reached, whatever went before. Discovery
// that does not answer can't be reached; one that refuses can. So a refusal starts nothing anew: what is
// known holds for those 6 s from the latest instant at which the list was confirmed or discovery was out of
// reach, and from then on nothing new may be sent until a list has come.
#pragma once

#include <algorithm>
#include <chrono>

#include "brain.h"

namespace indigosaddle::net {

constexpr Micros kToldAfter = std::chrono::seconds(6);
constexpr Micros kToldMargin = std::chrono::milliseconds(300);  // for the way of what is on its way by then

class ListClock {
 public:
  void OnLife(Micros now) { sure_at_ = std::max(sure_at_, now), refused_ = false; }  // a whole line or list
  // A request that was begun at `asked` was not answered at all: discovery may have been out of reach then.
  void OnNoAnswer(Micros asked) { sure_at_ = std::max(sure_at_, asked); }
  void OnRefused() { refused_ = true; }  // or answered by what can't be read
  // From then on the list counts as outdated; Micros::max() while discovery has not been reached.
  Micros outdated_from() const { return refused_ ? sure_at_ + kToldAfter - kToldMargin : Micros::max(); }

 private:
  Micros sure_at_{0};
  bool refused_ = false;  // since the latest sign of life
};

}  // namespace indigosaddle::net
