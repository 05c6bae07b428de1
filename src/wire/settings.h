// Reads the settings that a configure event carries into the decision engine's types.
#pragma once

#include "brain.h"
#include "wire/fields.h"

namespace indigosaddle::wire {

// Missing fields get defaults. Throws WireError on a malformed value.
Settings ReadSettings(const Fields& fields);

}  // namespace indigosaddle::wire
