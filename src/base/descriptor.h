// Helpers for file descriptors: an owner that closes its descriptor, the process's limit of open descriptors,
// and a write that writes all bytes or fails.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <limits>
#include <string_view>

namespace indigosaddle::base {

// Owns a file descriptor and closes it when destroyed.
class Descriptor {
 public:
  // Takes ownership. A negative number means that there is no descriptor to close.
  explicit Descriptor(int descriptor) : descriptor_(descriptor) {}
  ~Descriptor() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return descriptor_; }

 private:
  int descriptor_;
};

// How many descriptors the system lets this process have open at once. The largest number if there is no
// limit or it can't be read.
inline std::size_t DescriptorLimit() {
  rlimit limit{};
  const bool limited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return limited ? static_cast<std::size_t>(limit.rlim_cur) : std::numeric_limits<std::size_t>::max();
}

// Writes all bytes, and blocks if the descriptor does. False on an error: a part may have been written then.
inline bool WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace indigosaddle::base
