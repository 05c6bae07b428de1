// Bytes that a peer says on a connection some time from now, beside whatever its own thread says there: a
// second copy of an answer, a line that comes late.
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

// One thread that writes each piece at its time. Where the connection has ended meanwhile, nothing happens.
class LaterWrites {
 public:
  LaterWrites() : thread_([this] { Run(); }) {}
  ~LaterWrites() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  // `then_end`: the connection ends behind it.
  void Write(const Socket& socket, std::chrono::microseconds after, std::string bytes,
             bool then_end = false) {
    const int descriptor = fcntl(socket.get(), F_DUPFD_CLOEXEC, 0);
    if (descriptor < 0) return;
    const std::lock_guard lock(mutex_);
    due_.emplace(Clock::now() + after, Piece{Socket(descriptor), std::move(bytes), then_end});
    changed_.notify_all();
  }
  int written() {
    const std::lock_guard lock(mutex_);
    return written_;
  }

 private:
  struct Piece {
    Socket socket;
    std::string bytes;
    bool then_end = false;
  };

  void Run() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
      if (due_.empty()) {
        changed_.wait(lock);
        continue;
      }
      if (Clock::now() < due_.begin()->first) {
        changed_.wait_until(lock, due_.begin()->first);
        continue;
      }
      const Piece piece = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      written_ += piece.socket.Write(piece.bytes) ? 1 : 0;
      if (piece.then_end) shutdown(piece.socket.get(), SHUT_RDWR);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, Piece> due_;
  int written_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace indigosaddle::testing
