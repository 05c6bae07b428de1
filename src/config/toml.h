// Includes toml++ with its internal assertions turned into exceptions. In the library a failed assertion is
// undefined behaviour or a call of abort(), depending on the build, and malformed files reach some of them.
// Here each throws std::logic_error in every build. Only one source file may include this header.
#pragma once

#include <stdexcept>

namespace indigosaddle::config {

constexpr void CheckTomlAssertion(bool holds) {
  if (!holds) throw std::logic_error("malformed");
}

}  // namespace indigosaddle::config

#ifdef NDEBUG
#define INDIGOSADDLE_HAD_NDEBUG
#undef NDEBUG
#endif
#define TOML_ASSERT(expr) ::indigosaddle::config::CheckTomlAssertion(static_cast<bool>(expr))
#include <toml++/toml.h>
#ifdef INDIGOSADDLE_HAD_NDEBUG
#define NDEBUG
#endif
