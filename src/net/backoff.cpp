#include "net/backoff.h"

#include <algorithm>

namespace indigosaddle::net {
namespace {

constexpr Micros kMoment = std::chrono::milliseconds(100);  // one node's least pause
constexpr Micros kMostAlone = std::chrono::seconds(1);      // and its most
// However many nodes ask: a change counts as told 6 s after discovery can be reached, so that a node which
// was refused asks again within twice this, and has the rest for its answer.
constexpr Micros kMostTurn = std::chrono::seconds(2);
// An agent on the machine answers at once. Where requests cost discovery work it may be slow for all of them,
// and one that is given up and made again costs twice.
constexpr Micros kAgentPatience = std::chrono::milliseconds(1200), kPatience = std::chrono::seconds(3);

}  // namespace

Backoff::Backoff(Micros least, Micros most, std::uint64_t seed)
    : least_(least), most_(std::max(least, most)), ceiling_(std::min(2 * least, most_)), random_(seed) {}

Micros Backoff::Next() {
  const Micros wait = least_ + Within(ceiling_ - least_);
  ceiling_ = std::min(2 * ceiling_, most_);
  return wait;
}

void Backoff::Reset() { ceiling_ = std::min(2 * least_, most_); }

Micros Backoff::Within(Micros most) {
  return Micros(static_cast<std::int64_t>(random_() % (static_cast<std::uint64_t>(most.count()) + 1)));
}

AskPace PaceOfAsking(int senders, Micros must_ask_in) {
  if (must_ask_in <= Micros(0)) return {Micros(0), kMoment, kMostAlone, kAgentPatience};
  const Micros turn = std::min<Micros>({kMoment * std::max(1, senders), must_ask_in, kMostTurn});
  const Micros least = std::max(turn, kMoment);
  return {turn / 2, least, std::max(kMostAlone, 2 * least), kPatience};
}

}  // namespace indigosaddle::net
