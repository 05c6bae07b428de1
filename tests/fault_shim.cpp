// Loaded into the built node by LD_PRELOAD: calls to the system fail as the FaultPlan in a mapped file says.
//
//   FAULT_SHIM_PLAN  the file        FAULT_SHIM_FOLDER  whose files fail
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

FaultPlan& Plan() {
  static FaultPlan none{};
  static FaultPlan* const plan = [] {
    const char* path = std::getenv("FAULT_SHIM_PLAN");
    const long file = path == nullptr ? -1 : syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (file < 0) return &none;
    void* mapped =
        mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, static_cast<int>(file), 0);
    syscall(SYS_close, file);
    return mapped == MAP_FAILED ? &none : static_cast<FaultPlan*>(mapped);
  }();
  return *plan;
}

template <typename F>
F Next(F, const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

bool Fails(const std::atomic<int>& error, unsigned one_of = 1) {
  static std::atomic<unsigned> calls{0};
  const int number = error.load();
  if (number == 0) return false;
  if (calls++ % (number == EINTR ? std::max(2u, one_of) : one_of) != 0) return false;
  ++Plan().failed;
  errno = number;
  return true;
}

bool Is(int descriptor, mode_t kind) {
  struct stat about {};
  return descriptor > 2 && fstat(descriptor, &about) == 0 && (about.st_mode & S_IFMT) == kind;
}

bool InFolder(const char* path) {
  static const char* const folder = std::getenv("FAULT_SHIM_FOLDER");
  return folder != nullptr && std::strncmp(path, folder, std::strlen(folder)) == 0;
}

constexpr unsigned kOneOf = 8;  // calls on connections
constexpr size_t kFewBytes = 7;

size_t Part(int descriptor, size_t size) {
  return Plan().short_io != 0 && Is(descriptor, S_IFSOCK) ? std::min(size, kFewBytes) : size;
}

}  // namespace

extern "C" {

int accept4(int descriptor, sockaddr* from, socklen_t* size, int flags) {
  static const auto next = Next(&accept4, "accept4");
  return Fails(Plan().accept) ? -1 : next(descriptor, from, size, flags);
}

int socket(int family, int type, int protocol) noexcept {
  static const auto next = Next(&socket, "socket");
  return Fails(Plan().socket) ? -1 : next(family, type, protocol);
}

int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto next = Next(&connect, "connect");
  return Fails(Plan().connect) ? -1 : next(descriptor, to, size);
}

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto next = Next(&read, "read");
  if (Plan().read_socket != 0 && Is(descriptor, S_IFSOCK) && Fails(Plan().read_socket, kOneOf)) return -1;
  return next(descriptor, bytes, Part(descriptor, size));
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto next = Next(&write, "write");
  if (Plan().write_socket != 0 && Is(descriptor, S_IFSOCK) && Fails(Plan().write_socket, kOneOf)) return -1;
  const bool file = (Plan().write_file != 0 || Plan().kill_half != 0) && Is(descriptor, S_IFREG);
  if (file && Plan().kill_half != 0) {
    next(descriptor, bytes, size / 2);
    syscall(SYS_kill, getpid(), SIGKILL);
  }
  if (file && Fails(Plan().write_file)) {
    const int error = errno;
    if (Plan().half != 0 && size > 1) return next(descriptor, bytes, size / 2);
    errno = error;
    return -1;
  }
  return next(descriptor, bytes, Part(descriptor, size));
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  if (count == 1) return write(descriptor, parts->iov_base, parts->iov_len);
  static const auto next = Next(&writev, "writev");
  return next(descriptor, parts, count);
}

int close(int descriptor) {
  static const auto next = Next(&close, "close");
  int listens = 0;
  socklen_t size = sizeof listens;
  if (Plan().slow_close != 0 && getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 &&
      listens != 0) {
    ++Plan().failed;
    usleep(static_cast<useconds_t>(Plan().slow_close) * 1000);
  }
  return next(descriptor);
}

int open(const char* path, int flags, ...) {
  static const auto next = Next(&open, "open");
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list more;
    va_start(more, flags);
    mode = va_arg(more, mode_t);
    va_end(more);
  }
  return InFolder(path) && Fails(Plan().open_file) ? -1 : next(path, flags, mode);
}

int rename(const char* from, const char* to) noexcept {
  static const auto next = Next(&rename, "rename");
  return InFolder(to) && Fails(Plan().rename_file) ? -1 : next(from, to);
}

int fsync(int descriptor) {
  static const auto next = Next(&fsync, "fsync");
  return Fails(Plan().sync_file) ? -1 : next(descriptor);
}

int fdatasync(int descriptor) {
  static const auto next = Next(&fdatasync, "fdatasync");
  return Fails(Plan().sync_file) ? -1 : next(descriptor);
}

}  // extern "C"
