// Non-blocking output of log lines: writes what the descriptor accepts at once and queues the rest.
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <string>
#include <utility>

#include "base/log.h"

namespace indigosaddle::base {

LineQueue::LineQueue(int descriptor, std::size_t max_bytes) : descriptor_(descriptor), max_bytes_(max_bytes) {
  struct stat file_status {};
  if (fstat(descriptor, &file_status) != 0) return;
  if (S_ISREG(file_status.st_mode)) {
    kind_ = Kind::kFile;
  } else if (S_ISSOCK(file_status.st_mode)) {
    kind_ = Kind::kSocket;
  } else if (S_ISFIFO(file_status.st_mode)) {
    const std::string path = fmt::format("/proc/self/fd/{}", descriptor);
    const int reopened = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (reopened >= 0) {
      descriptor_ = reopened;
      kind_ = Kind::kReopenedPipe;
    }
  }
}

LineQueue::~LineQueue() {
  Flush();
  if (kind_ == Kind::kReopenedPipe) close(descriptor_);
}

// Writes as much as is possible without blocking. Returns the number of bytes written, or -1 with errno.
std::ptrdiff_t LineQueue::WriteSome(std::string_view bytes) const {
  if (kind_ == Kind::kSocket)
    return send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  // A terminal, or a pipe that could not be opened again, is a blocking descriptor. When it is writable,
  // PIPE_BUF bytes fit for certain.
  if (kind_ == Kind::kPolled) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      errno = EAGAIN;
      return -1;
    }
    bytes = bytes.substr(0, PIPE_BUF);
  }
  return write(descriptor_, bytes.data(), bytes.size());
}

bool LineQueue::Add(std::string_view line) {
  Flush();
  if (waiting_bytes_ == 0) {
    const std::ptrdiff_t written = WriteSome(line);
    if (written > 0) line.remove_prefix(static_cast<std::size_t>(written));
    if (line.empty()) return true;
    if (written > 0) {  // partly written: the rest must follow, even if it exceeds the limit
      lines_.emplace_back(line);
      waiting_bytes_ = line.size();
      return true;
    }
  }
  if (waiting_bytes_ + line.size() > max_bytes_) return false;
  lines_.emplace_back(line);
  waiting_bytes_ += line.size();
  return true;
}

void LineQueue::Flush() {
  while (!lines_.empty()) {
    const std::string_view rest = std::string_view{lines_.front()}.substr(front_offset_);
    const std::ptrdiff_t written = WriteSome(rest);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return;
    waiting_bytes_ -= static_cast<std::size_t>(written);
    front_offset_ += static_cast<std::size_t>(written);
    if (front_offset_ < lines_.front().size()) continue;
    lines_.pop_front();
    front_offset_ = 0;
  }
}

}  // namespace indigosaddle::base
