// Delayed writes on a peer's connection, independent of what the peer's own thread writes there: a duplicate
// of an answer, or a late line.
#pragma once

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "sockets.h"

namespace indigosaddle::testing {

// One thread that performs each write when it is due. A write on a connection that has ended has no effect.
class DelayedWrites {
 public:
  DelayedWrites() : thread_([this] { Run(); }) {}
  ~DelayedWrites() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  // Writes `bytes` once `delay` has passed, on a duplicate of the socket's descriptor. `then_close` shuts the
  // connection down afterwards.
  void Write(const Socket& socket, std::chrono::microseconds delay, std::string bytes,
             bool then_close = false) {
    const int descriptor = fcntl(socket.get(), F_DUPFD_CLOEXEC, 0);
    if (descriptor < 0) return;
    const std::lock_guard lock(mutex_);
    pending_writes_.emplace(Clock::now() + delay,
                            PendingWrite{Socket(descriptor), std::move(bytes), then_close});
    changed_.notify_all();
  }
  // The number of writes that succeeded.
  int written() {
    const std::lock_guard lock(mutex_);
    return written_;
  }

 private:
  struct PendingWrite {
    Socket socket;
    std::string bytes;
    bool then_close = false;
  };

  void Run() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
      if (pending_writes_.empty()) {
        changed_.wait(lock);
        continue;
      }
      if (Clock::now() < pending_writes_.begin()->first) {
        changed_.wait_until(lock, pending_writes_.begin()->first);
        continue;
      }
      const PendingWrite pending = std::move(pending_writes_.begin()->second);
      pending_writes_.erase(pending_writes_.begin());
      written_ += pending.socket.Write(pending.bytes) ? 1 : 0;
      if (pending.then_close) shutdown(pending.socket.get(), SHUT_RDWR);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, PendingWrite> pending_writes_;
  int written_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace indigosaddle::testing
