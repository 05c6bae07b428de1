// Delays before retries: capped exponential back-off with jitter. Nodes that lost the same service at the
// same moment then do not all ask for it again at once, and do not keep a server that refuses their requests
// busy with refusing. No I/O; the same seed gives the same delays.
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

// Timing of a node's requests to discovery. If nodes retry too soon, an overloaded discovery goes on refusing
// all of them without end. So all nodes share the rate that a single one may use: with n nodes, each waits
// n times as long, up to a limit.
struct RequestPacing {
  // Limit of the random delay before the first request after a start or a lost watch.
  Micros initial_jitter{0};
  Micros min_retry_delay{0}, max_retry_delay{0};  // before a refused request is repeated
  // From the request until the response begins. The initial value: DiscoveryClient raises it while none
  // comes.
  Micros response_timeout{0};
};

// `senders`: number of nodes that ask, this one included. `must_ask_in`: a node that has not asked for this
// long counts as knowing the list. Zero where requests cost discovery nothing: they may then come as soon as
// those of a single node. In any case a node that was refused asks again within 4 s.
RequestPacing RequestPacingFor(int senders, Micros must_ask_in);

}  // namespace indigosaddle::net
