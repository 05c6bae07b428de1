// Delays before retries: capped exponential back-off with jitter. It keeps many nodes that lost the same
// service at the same moment from asking for it again all at once, and from keeping a server that refuses
// them busy with refusing. No I/O; the same seed gives the same delays.
#pragma once

#include <cstdint>
#include <random>

#include "brain.h"

namespace indigosaddle::net {

// Draws the delays before the retries of one operation.
class Backoff {
 public:
  // Delays are drawn evenly from `min_delay` up to a ceiling that starts at twice that and doubles up to
  // `max_delay`.
  Backoff(Micros min_delay, Micros max_delay, std::uint64_t seed);

  // The delay before the next retry. Raises the ceiling.
  Micros NextDelay();
  // The operation succeeded: the ceiling starts at its first value again.
  void Reset();
  // Drawn evenly from zero to `max_jitter`, independently of earlier failures.
  Micros Jitter(Micros max_jitter);

 private:
  Micros min_delay_, max_delay_, ceiling_;
  std::mt19937_64 random_;
};

// Timing of a node's requests to discovery. Nodes that retry too soon keep an overloaded discovery refusing
// all of them, however long it lasts. So the rate that one node alone may use is shared by all: with many
// nodes, each waits that many times as long.
struct RequestPacing {
  // Limit of the random delay before the first request after a start or a lost watch.
  Micros initial_jitter{0};
  Micros min_retry_delay{0}, max_retry_delay{0};  // before a refused request is repeated
  Micros response_timeout{0};                     // at first, until the response begins
};

// `must_ask_in`: a node that has not asked for this long counts as knowing the list. Zero where requests cost
// discovery nothing: they may then come as soon as those of a single node. In any case a node that was
// refused asks again within 4 s.
RequestPacing RequestPacingFor(int senders, Micros must_ask_in);

}  // namespace indigosaddle::net
