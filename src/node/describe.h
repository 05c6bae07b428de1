// Words for the log: the rules that a message goes by, and why it was given up.
#pragma once

#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::node {

// Such as "unsafe", "safe", "keyed by zone for 20000 ms", each with ", in order" where its key's order binds.
std::string Describe(const RepeatRules& rules);

std::string_view NameOf(GiveUpCause cause);

}  // namespace indigosaddle::node
