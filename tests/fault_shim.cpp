// Loaded into the built node by LD_PRELOAD: makes system calls fail as the FaultPlan in a mapped file says.
//
//   FAULT_SHIM_PLAN    path of the mapped file
//   FAULT_SHIM_FOLDER  folder in which opens and renames fail
#include <dlfcn.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>

#include "fault_plan.h"

namespace {

using indigosaddle::testing::FaultPlan;

// The plan of this process; one without faults if no file is mapped.
FaultPlan& Plan() {
  static FaultPlan no_faults{};
  static FaultPlan* const plan = [] {
    const char* path = std::getenv("FAULT_SHIM_PLAN");
    const long file = path == nullptr ? -1 : syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (file < 0) return &no_faults;
    void* mapped =
        mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, static_cast<int>(file), 0);
    syscall(SYS_close, file);
    return mapped == MAP_FAILED ? &no_faults : static_cast<FaultPlan*>(mapped);
  }();
  return *plan;
}

// The next definition of a function behind this library, usually libc's.
template <typename F>
F NextDefinition(F, const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

// Whether this call is to fail with the errno in `error`, as one call in `interval` does; sets errno if so.
bool ShouldFail(const std::atomic<int>& error, unsigned interval = 1) {
  static std::atomic<unsigned> calls{0};
  const int error_number = error.load();
  if (error_number == 0) return false;
  if (calls++ % (error_number == EINTR ? std::max(2u, interval) : interval) != 0) return false;
  ++Plan().faults;
  errno = error_number;
  return true;
}

bool IsOfType(int descriptor, mode_t type) {
  struct stat status {};
  return descriptor > 2 && fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

bool InFolder(const char* path) {
  static const char* const folder = std::getenv("FAULT_SHIM_FOLDER");
  return folder != nullptr && std::strncmp(path, folder, std::strlen(folder)) == 0;
}

constexpr unsigned kConnectionFaultInterval = 8;  // one of so many calls on connections fails
constexpr size_t kShortTransferBytes = 7;

// The size of a transfer, cut to a few bytes on sockets if the plan asks for short transfers.
size_t TransferSize(int descriptor, size_t size) {
  return Plan().short_io != 0 && IsOfType(descriptor, S_IFSOCK) ? std::min(size, kShortTransferBytes) : size;
}

}  // namespace

extern "C" {

int accept4(int descriptor, sockaddr* from, socklen_t* size, int flags) {
  static const auto next = NextDefinition(&accept4, "accept4");
  return ShouldFail(Plan().accept) ? -1 : next(descriptor, from, size, flags);
}

int socket(int family, int type, int protocol) noexcept {
  static const auto next = NextDefinition(&socket, "socket");
  return ShouldFail(Plan().socket) ? -1 : next(family, type, protocol);
}

int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto next = NextDefinition(&connect, "connect");
  return ShouldFail(Plan().connect) ? -1 : next(descriptor, to, size);
}

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto next = NextDefinition(&read, "read");
  if (Plan().read_socket != 0 && IsOfType(descriptor, S_IFSOCK) &&
      ShouldFail(Plan().read_socket, kConnectionFaultInterval))
    return -1;
  return next(descriptor, bytes, TransferSize(descriptor, size));
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto next = NextDefinition(&write, "write");
  if (Plan().write_socket != 0 && IsOfType(descriptor, S_IFSOCK) &&
      ShouldFail(Plan().write_socket, kConnectionFaultInterval))
    return -1;
  const bool file =
      (Plan().write_file != 0 || Plan().kill_half_written != 0) && IsOfType(descriptor, S_IFREG);
  if (file && Plan().kill_half_written != 0) {
    next(descriptor, bytes, size / 2);
    syscall(SYS_kill, getpid(), SIGKILL);
  }
  if (file && ShouldFail(Plan().write_file)) {
    const int error = errno;
    if (Plan().fail_half_written != 0 && size > 1) return next(descriptor, bytes, size / 2);
    errno = error;
    return -1;
  }
  return next(descriptor, bytes, TransferSize(descriptor, size));
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  if (count == 1) return write(descriptor, parts->iov_base, parts->iov_len);
  static const auto next = NextDefinition(&writev, "writev");
  return next(descriptor, parts, count);
}

int close(int descriptor) {
  static const auto next = NextDefinition(&close, "close");
  int listening = 0;
  socklen_t size = sizeof listening;
  if (Plan().slow_close_ms != 0 &&
      getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0) {
    ++Plan().faults;
    usleep(static_cast<useconds_t>(Plan().slow_close_ms) * 1000);
  }
  return next(descriptor);
}

int open(const char* path, int flags, ...) {
  static const auto next = NextDefinition(&open, "open");
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  return InFolder(path) && ShouldFail(Plan().open_file) ? -1 : next(path, flags, mode);
}

int rename(const char* from, const char* to) noexcept {
  static const auto next = NextDefinition(&rename, "rename");
  return InFolder(to) && ShouldFail(Plan().rename_file) ? -1 : next(from, to);
}

int fsync(int descriptor) {
  static const auto next = NextDefinition(&fsync, "fsync");
  return ShouldFail(Plan().sync_file) ? -1 : next(descriptor);
}

int fdatasync(int descriptor) {
  static const auto next = NextDefinition(&fdatasync, "fdatasync");
  return ShouldFail(Plan().sync_file) ? -1 : next(descriptor);
}

}  // extern "C"
