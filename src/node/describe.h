// Descriptions for the log: the rules that a message follows, and why it was given up.
#pragma once

#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::node {

// For example "unsafe", "safe" or "keyed by zone for 20000 ms", followed by ", in order" if messages with the
// same order key must be delivered in order.
std::string Describe(const RepeatRules& rules);

std::string_view NameOf(GiveUpCause cause);

}  // namespace indigosaddle::node
