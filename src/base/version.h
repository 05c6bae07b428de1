// The version of the program, for --version, the status and the log.
#pragma once

namespace indigosaddle::base {

inline constexpr const char* kVersion = "0.5.0";

}  // namespace indigosaddle::base
