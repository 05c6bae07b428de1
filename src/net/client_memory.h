// The memory that the connections of clients hold together, against its limit. Decides who must give way; the
// connections (resp_connection.h) and the server (resp_server.h) carry it out. No I/O.
#pragma once

#include <cstddef>
#include <string>

namespace indigosaddle::net {

// Bytes of the heap that a string uses; a short one is kept within the object.
inline std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInPlace = std::string().capacity();
  return text.capacity() > kInPlace ? text.capacity() + 1 : 0;
}

// What one connection holds, in bytes.
struct ClientBytes {
  std::size_t input = 0;      // received, but not executed yet
  std::size_t executing = 0;  // commands without a reply
  std::size_t replies = 0;    // not handed to the system yet
};

// The sums over all connections. Each kind has a share of the limit of its own, so that clients that stop
// half way through a command, or read no replies, leave memory to the others.
class ClientMemory {
 public:
  explicit ClientMemory(std::size_t limit) : limit_(limit) {}
  void SetLimit(std::size_t limit) { limit_ = limit; }

  // A connection that held `before` holds `now`.
  void Replace(const ClientBytes& before, const ClientBytes& now) {
    sum_.input += now.input - before.input;
    sum_.executing += now.executing - before.executing;
    sum_.replies += now.replies - before.replies;
  }

  // Connections must be closed, the one that holds most first.
  bool TooMuchInput() const { return sum_.input > limit_ / 2; }
  // Connections must read less at once.
  bool InputIsScarce() const { return sum_.input > limit_ / 8; }
  // No connection may execute a further command. Commands are answered at the end of a turn.
  bool TooMuchExecuting() const { return sum_.executing > limit_ / 4; }
  // A connection whose replies are not read may execute no further command.
  bool TooManyReplies() const { return sum_.replies > limit_ / 4; }

  const ClientBytes& sum() const { return sum_; }

 private:
  std::size_t limit_;
  ClientBytes sum_;
};

}  // namespace indigosaddle::net
