// RESP2 as a server reads it: arrays of bulk strings, in any split of bytes, and the commands in them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "brain.h"

namespace indigosaddle::net {

// Reads one connection's bytes. Holds at most one unfinished command.
class RespReader {
 public:
  enum class Status { kNeedsMore, kCommand, kBroken };  // broken: the stream can't be followed further

  // Takes bytes up to the end of the next command; `bytes` loses what was taken.
  Status Next(std::string_view& bytes);

  const std::vector<std::string>& command() const { return command_; }  // after kCommand, until Next
  const std::string& trouble() const { return trouble_; }               // after kBroken
  bool between_commands() const { return phase_ == Phase::kArray && line_.empty(); }
  std::size_t held() const;  // bytes of an unfinished command

 private:
  enum class Phase { kArray, kLength, kBulk, kBroken };

  Status Break(std::string trouble);
  bool ReadLine(std::string_view& bytes);  // true: line_ is whole
  bool Number(char mark, std::int64_t most, std::int64_t& value);

  Phase phase_ = Phase::kArray;
  std::string line_;
  std::vector<std::string> command_;
  std::int64_t left_ = 0, bulk_ = 0;
  std::size_t size_ = 0;  // of the command's parts, as told
  bool fresh_ = true;
  std::string trouble_;
};

// What ENQUEUE hands in, still in the client's words.
struct Enqueue {
  std::string id, message_class, tenant, idempotency_key, order_key, body;
  std::uint64_t destination = 0;
  Micros time_left{0};  // from when the client sent it
  Micros begun{0};      // its first byte came
  bool handed_in_before = false;
};

// Empty where the command is well formed, else what is wrong with it; no name may be given twice.
std::string ParseEnqueue(const std::vector<std::string>& command, Enqueue& out);

constexpr std::size_t kMostBody = std::size_t{64} * 1024;

}  // namespace indigosaddle::net
