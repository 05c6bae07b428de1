// The bytes of the heap that the test process uses now.
#pragma once

#include <malloc.h>

#include <cstddef>

#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace indigosaddle::testing {

inline std::size_t HeapBytesInUse() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  return mallinfo2().uordblks;
#endif
}

}  // namespace indigosaddle::testing
