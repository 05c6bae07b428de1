// Loaded into the built node by LD_PRELOAD: ends the process by SIGKILL in front of the n-th call to the
// system by which bytes, files or connections change, counted from the first read in which a given text has
// come. So a test forces a kill between each two steps that anybody outside can see.
//
//   KILL_SHIM_AFTER  the text         KILL_SHIM_AT  n, from 1
//   KILL_SHIM_TOLD   a file that takes the name of the step in front of which the process was ended
#include <dlfcn.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

bool counting = false;
long seen = 0;

template <typename F>
F Next(F, const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

void Step(const char* name) {
  static const char* const at = std::getenv("KILL_SHIM_AT");
  if (!counting || at == nullptr || ++seen != std::atol(at)) return;
  if (const char* told = std::getenv("KILL_SHIM_TOLD")) {
    const long file = syscall(SYS_openat, AT_FDCWD, told, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    syscall(SYS_write, file, name, std::strlen(name));
  }
  syscall(SYS_kill, getpid(), SIGKILL);
}

// A step on a file or a socket; nothing on the log, nor on what wakes the loop.
void StepOn(int descriptor, const char* on_file, const char* on_socket) {
  struct stat about {};
  if (!counting || descriptor <= 2 || fstat(descriptor, &about) != 0) return;
  if (S_ISREG(about.st_mode)) Step(on_file);
  if (S_ISSOCK(about.st_mode)) Step(on_socket);
}

}  // namespace

extern "C" {

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto next = Next(&read, "read");
  StepOn(descriptor, "read file", "read socket");
  const ssize_t count = next(descriptor, bytes, size);
  static const char* const after = std::getenv("KILL_SHIM_AFTER");
  if (!counting && after != nullptr && count > 0)
    counting = memmem(bytes, static_cast<size_t>(count), after, std::strlen(after)) != nullptr;
  return count;
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto next = Next(&write, "write");
  StepOn(descriptor, "write file", "write socket");
  return next(descriptor, bytes, size);
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static const auto next = Next(&writev, "writev");
  StepOn(descriptor, "write file", "write socket");
  return next(descriptor, parts, count);
}

int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto next = Next(&connect, "connect");
  StepOn(descriptor, "", "connect");
  return next(descriptor, to, size);
}

int rename(const char* from, const char* to) {
  static const auto next = Next(&rename, "rename");
  Step("rename");
  return next(from, to);
}

}  // extern "C"
