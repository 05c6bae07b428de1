// How long to wait before something is tried again: capped exponential back-off with full jitter. Many nodes
// that lost the same thing in one instant must not ask for it again in one instant, nor keep a server that
// refuses them busy with refusing. No I/O; the same seed gives the same waits.
#pragma once

#include <cstdint>
#include <random>

#include "brain.h"

namespace indigosaddle::net {

class Backoff {
 public:
  // Waits are drawn evenly from `least` up to a ceiling that starts at twice that and doubles up to `most`.
  Backoff(Micros least, Micros most, std::uint64_t seed);

  Micros Next();
  void Reset();                // it worked: the next failure starts anew
  Micros Within(Micros most);  // drawn evenly from zero up, whatever failed before

 private:
  Micros least_, most_, ceiling_;
  std::mt19937_64 random_;
};

// How a node asks discovery where each request costs that work. Nodes that come back too soon keep it
// refusing all of them, however long: so what one node alone may ask in a moment, each of many asks in as
// many moments.
struct AskPace {
  Micros spread{0};          // the first request after a start or a lost watch comes within so long
  Micros least{0}, most{0};  // until a refused one is repeated
  Micros patience{0};        // with a request whose answer has not begun, at first
};

// `must_ask_in`: a node that has not asked for so long counts as told, and zero where requests cost discovery
// nothing and may come as soon as one node's. Whatever it is, a refused node asks again within 4 s.
AskPace PaceOfAsking(int senders, Micros must_ask_in);

}  // namespace indigosaddle::net
