// A file descriptor that is closed at the end of its scope, how many there may be, and a write that takes all
// of its bytes or fails.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <limits>
#include <string_view>

namespace indigosaddle::base {

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}  // negative: none
  ~Descriptor() {
    if (number_ >= 0) close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return number_; }

 private:
  int number_;
};

// How many the system lets this process have open.
inline std::size_t AllowedDescriptors() {
  rlimit allowed{};
  const bool told = getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY;
  return told ? static_cast<std::size_t>(allowed.rlim_cur) : std::numeric_limits<std::size_t>::max();
}

inline bool WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t wrote = write(descriptor, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return true;
}

}  // namespace indigosaddle::base
