// The server side of RESP2: reads commands, which are arrays of bulk strings, from bytes in any split, and
// parses ENQUEUE. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "brain.h"

namespace indigosaddle::net {

// Reads the commands of one connection. Holds at most one unfinished command.
class RespReader {
 public:
  // kMalformed is final: after it no command can be found in the stream.
  enum class Status { kNeedsMore, kCommand, kMalformed };

  // Reads up to the end of the next command and removes what it read from `bytes`.
  Status Next(std::string_view& bytes);

  // Passes the command's parts on, so that they are not kept until the next command. Once after kCommand.
  std::vector<std::string> TakeCommand() { return std::exchange(command_, {}); }
  // What is wrong with the stream. Valid after kMalformed.
  const std::string& error() const { return error_; }
  bool between_commands() const { return phase_ == Phase::kArray && line_.empty(); }
  // Bytes in memory of the unfinished command.
  std::size_t held_bytes() const;
  // Frees the unfinished command. Nothing can be read after that.
  void Close();

 private:
  // What comes next: the array's length, a part's length, or a part.
  enum class Phase { kArray, kLength, kBulk, kMalformed };

  Status Fail(std::string error);
  // Returns true once line_ is complete.
  bool ReadLine(std::string_view& bytes);
  // Parses line_ as `mark` and a number of at most `max`. Returns false if it is not that.
  bool ParseLength(char mark, std::int64_t max, std::int64_t& value);

  Phase phase_ = Phase::kArray;
  std::string line_;
  std::vector<std::string> command_;
  std::int64_t parts_left_ = 0, part_size_ = 0;
  std::size_t command_size_ = 0;  // sum of the announced sizes of the command's parts
  bool command_done_ = true;      // the next byte belongs to a new command
  std::string error_;
};

// The arguments of an ENQUEUE command, as the client gave them.
struct Enqueue {
  std::string id, message_class, tenant, idempotency_key, order_key, body;
  std::uint64_t destination = 0;
  Micros time_left{0};           // to deliver, from when the client sent it
  Micros received_at{0};         // when the command's first byte arrived
  bool enqueued_before = false;  // the client enqueued it before, at this node or another
};

// Parses an ENQUEUE command. Returns what is wrong with it; empty if it is well formed. No name may be given
// twice.
std::string ParseEnqueue(const std::vector<std::string>& command, Enqueue& out);

// The largest part of a command, and so the largest message body.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

}  // namespace indigosaddle::net
