// Where the log's lines go: what can be written without waiting is, the rest is kept up to a bound.
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

LineRing::LineRing(int descriptor, std::size_t most) : descriptor_(descriptor), most_(most) {
  struct stat about {};
  if (fstat(descriptor, &about) != 0) return;
  if (S_ISREG(about.st_mode)) {
    kind_ = Kind::kFile;
  } else if (S_ISSOCK(about.st_mode)) {
    kind_ = Kind::kSocket;
  } else if (S_ISFIFO(about.st_mode)) {
    const std::string path = fmt::format("/proc/self/fd/{}", descriptor);
    const int own = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (own >= 0) descriptor_ = own, kind_ = Kind::kOwnPipe;
  }
}

LineRing::~LineRing() {
  Flush();
  if (kind_ == Kind::kOwnPipe) close(descriptor_);
}

std::ptrdiff_t LineRing::WriteSome(std::string_view bytes) const {
  if (kind_ == Kind::kSocket)
    return send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (kind_ ==
      Kind::kPolled) {  // a terminal, or a pipe that could not be opened again: as much as surely fits
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      errno = EAGAIN;
      return -1;
    }
    bytes = bytes.substr(0, PIPE_BUF);
  }
  return write(descriptor_, bytes.data(), bytes.size());
}

bool LineRing::Add(std::string_view line) {
  Flush();
  if (waiting_ == 0) {
    const std::ptrdiff_t wrote = WriteSome(line);
    if (wrote > 0) line.remove_prefix(static_cast<std::size_t>(wrote));
    if (line.empty()) return true;
    if (wrote > 0) {  // begun: its rest has to follow
      lines_.emplace_back(line);
      waiting_ = line.size();
      return true;
    }
  }
  if (waiting_ + line.size() > most_) return false;
  lines_.emplace_back(line);
  waiting_ += line.size();
  return true;
}

void LineRing::Flush() {
  while (!lines_.empty()) {
    const std::string_view rest = std::string_view{lines_.front()}.substr(offset_);
    const std::ptrdiff_t wrote = WriteSome(rest);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return;
    waiting_ -= static_cast<std::size_t>(wrote);
    offset_ += static_cast<std::size_t>(wrote);
    if (offset_ < lines_.front().size()) continue;
    lines_.pop_front();
    offset_ = 0;
  }
}

}  // namespace indigosaddle::base
