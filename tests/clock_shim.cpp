// Loaded into the built node by LD_PRELOAD: offsets its wall clock by the number in a file, so that a test
// can move the clock while the node runs or between two processes. The monotonic clocks are not affected.
//
//   CLOCK_SHIM_FILE  holds one 64-bit number of microseconds, which is read at each query of the wall clock
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>

namespace {

constexpr std::int64_t kMicros = 1000000;

// The offset in microseconds; 0 where no file is given.
std::int64_t OffsetMicros() {
  static const std::int64_t* const offset = [] {
    const char* path = std::getenv("CLOCK_SHIM_FILE");
    const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return static_cast<const std::int64_t*>(nullptr);
    void* mapped = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    return mapped == MAP_FAILED ? nullptr : static_cast<const std::int64_t*>(mapped);
  }();
  return offset == nullptr ? 0 : __atomic_load_n(offset, __ATOMIC_RELAXED);
}

// The definition of a function that this library replaces.
template <typename F>
F NextDefinition(F, const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) {
  static const auto real_clock_gettime = NextDefinition(&clock_gettime, "clock_gettime");
  const int result = real_clock_gettime(clock, now);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  const std::int64_t micros = now->tv_sec * kMicros + now->tv_nsec / 1000 + OffsetMicros();
  now->tv_sec = micros / kMicros;
  now->tv_nsec = micros % kMicros * 1000;
  return 0;
}

int gettimeofday(timeval* now, void*) noexcept {
  timespec exact{};
  clock_gettime(CLOCK_REALTIME, &exact);
  now->tv_sec = exact.tv_sec;
  now->tv_usec = exact.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* now) noexcept {
  timespec exact{};
  clock_gettime(CLOCK_REALTIME, &exact);
  if (now != nullptr) *now = exact.tv_sec;
  return exact.tv_sec;
}

}  // extern "C"
