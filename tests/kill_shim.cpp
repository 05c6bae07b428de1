// Loaded into the built node by LD_PRELOAD: ends the process by SIGKILL before the n-th step, counted from
// the first read that returns a given text. Steps are reads and writes on files and sockets, connects and
// renames. With it a test forces a kill between any two steps that are visible from outside.
//
//   KILL_SHIM_AFTER  the text
//   KILL_SHIM_AT     n, from 1
//   KILL_SHIM_TOLD   file that receives the name of the step before which the process was killed
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
long steps = 0;

// The next definition of a function behind this library, usually libc's.
template <typename F>
F NextDefinition(F, const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

// Counts a step and ends the process if it is the one asked for.
void CountStep(const char* name) {
  static const char* const kill_step = std::getenv("KILL_SHIM_AT");
  if (!counting || kill_step == nullptr || ++steps != std::atol(kill_step)) return;
  if (const char* report_path = std::getenv("KILL_SHIM_TOLD")) {
    const long file = syscall(SYS_openat, AT_FDCWD, report_path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    syscall(SYS_write, file, name, std::strlen(name));
  }
  syscall(SYS_kill, getpid(), SIGKILL);
}

// Counts a step on a file or a socket. Calls on the log and on the wake-up descriptor of the loop don't
// count.
void CountStepOn(int descriptor, const char* file_step, const char* socket_step) {
  struct stat status {};
  if (!counting || descriptor <= 2 || fstat(descriptor, &status) != 0) return;
  if (S_ISREG(status.st_mode)) CountStep(file_step);
  if (S_ISSOCK(status.st_mode)) CountStep(socket_step);
}

}  // namespace

extern "C" {

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto next = NextDefinition(&read, "read");
  CountStepOn(descriptor, "read file", "read socket");
  const ssize_t count = next(descriptor, bytes, size);
  static const char* const after = std::getenv("KILL_SHIM_AFTER");
  if (!counting && after != nullptr && count > 0)
    counting = memmem(bytes, static_cast<size_t>(count), after, std::strlen(after)) != nullptr;
  return count;
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto next = NextDefinition(&write, "write");
  CountStepOn(descriptor, "write file", "write socket");
  return next(descriptor, bytes, size);
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static const auto next = NextDefinition(&writev, "writev");
  CountStepOn(descriptor, "write file", "write socket");
  return next(descriptor, parts, count);
}

int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto next = NextDefinition(&connect, "connect");
  CountStepOn(descriptor, "", "connect");
  return next(descriptor, to, size);
}

int rename(const char* from, const char* to) {
  static const auto next = NextDefinition(&rename, "rename");
  CountStep("rename");
  return next(from, to);
}

}  // extern "C"
