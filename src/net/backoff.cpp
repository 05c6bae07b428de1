#include "net/backoff.h"

#include <algorithm>

namespace indigosaddle::net {
namespace {

constexpr Micros kMinDelayOfOneNode = std::chrono::milliseconds(100);
constexpr Micros kMaxDelayOfOneNode = std::chrono::seconds(1);
// Limit on the interval per node, however many nodes ask. A node counts as knowing a change 6 s after
// discovery becomes reachable: a node that was refused asks again within twice this limit, and the remaining
// time is left for the response.
constexpr Micros kMaxIntervalPerNode = std::chrono::seconds(2);
// An agent on the same machine responds at once. Where requests cost discovery work, it may be slow for all
// nodes, and a request that is abandoned and repeated costs it twice.
constexpr Micros kAgentResponseTimeout = std::chrono::milliseconds(1200),
                 kResponseTimeout = std::chrono::seconds(3);

}  // namespace

Backoff::Backoff(Micros min_delay, Micros max_delay, std::uint64_t seed)
    : min_delay_(min_delay),
      max_delay_(std::max(min_delay, max_delay)),
      ceiling_(std::min(2 * min_delay, max_delay_)),
      random_(seed) {}

Micros Backoff::NextDelay() {
  const Micros delay = min_delay_ + Jitter(ceiling_ - min_delay_);
  ceiling_ = std::min(2 * ceiling_, max_delay_);
  return delay;
}

void Backoff::Reset() { ceiling_ = std::min(2 * min_delay_, max_delay_); }

Micros Backoff::Jitter(Micros max_jitter) {
  return Micros(static_cast<std::int64_t>(random_() % (static_cast<std::uint64_t>(max_jitter.count()) + 1)));
}

RequestPacing RequestPacingFor(int senders, Micros must_ask_in) {
  if (must_ask_in <= Micros(0))
    return {Micros(0), kMinDelayOfOneNode, kMaxDelayOfOneNode, kAgentResponseTimeout};
  const Micros interval =
      std::min<Micros>({kMinDelayOfOneNode * std::max(1, senders), must_ask_in, kMaxIntervalPerNode});
  const Micros min_delay = std::max(interval, kMinDelayOfOneNode);
  return {interval / 2, min_delay, std::max(kMaxDelayOfOneNode, 2 * min_delay), kResponseTimeout};
}

}  // namespace indigosaddle::net
