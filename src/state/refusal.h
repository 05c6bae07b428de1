// Why commands are refused. A part of the reducer's events and effects.
#pragma once

#include <cstdint>
#include <string_view>

namespace indigosaddle::state {

// Why a command's message was not newly accepted.
enum class Refusal : std::uint8_t {
  // It was accepted.
  kNone,
  // Another command with the same id came before: this one is answered alike.
  kSameId,
  // The limit on messages or on the journal's size is reached.
  kNoRoom,
  // The journal could not be written.
  kNotWritten,
  // The decision engine returned or failed it in the turn in which it came.
  kPolicy,
  // Intake is closed, as the process stops.
  kStopping,
  // The client has ended its sending: whether it still reads can't be known.
  kClientEnded
};
// The name in logs.
std::string_view NameOf(Refusal refusal);

}  // namespace indigosaddle::state
