#include "net/resp.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "net/client_memory.h"

namespace indigosaddle::net {
namespace {

constexpr std::int64_t kMaxParts = 64;
constexpr std::size_t kMaxLineBytes = 32;  // a type character, a number and the line end
constexpr std::size_t kMaxCommandBytes = kMaxBodyBytes + std::size_t{8} * 1024;  // sum of all parts
constexpr std::int64_t kMaxTimeLeftMillis = 1'000'000'000;  // of `d`: more than eleven days
constexpr std::size_t kMaxNameBytes = 256;                  // of an id or a key

template <typename T>
bool ParseNumber(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

// Whether the text can be an id or a key. These are sent on as HTTP header values and in JSON, so only
// visible ASCII is allowed.
bool IsValidIdOrKey(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// The fields of an ENQUEUE with their unparsed values. Each may be given once or not at all.
struct EnqueueFields {
  std::optional<std::string_view> message_class, tenant, key, thread, time_left, retry_mark, again_mark,
      destination;

  std::optional<std::string_view>* Find(std::string_view name) {
    if (name == "c") return &message_class;
    if (name == "t") return &tenant;
    if (name == "k") return &key;
    if (name == "thread") return &thread;
    if (name == "d") return &time_left;
    if (name == "r") return &retry_mark;
    if (name == "again") return &again_mark;
    if (name == "dest") return &destination;
    return nullptr;  // names that are not known here are ignored
  }
};

// Each of the following Read functions returns what is wrong; empty if nothing is.
std::string ReadFields(std::string_view text, EnqueueFields& fields) {
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return "a name without a value";
    const std::string_view name = pair.substr(0, equals);
    std::optional<std::string_view>* const value = fields.Find(name);
    if (value == nullptr) continue;
    if (value->has_value()) return std::string(name) + " is given twice";
    *value = pair.substr(equals + 1);
  }
  return {};
}

// Reads the order key, which is used if the class is ordered. A key of zeros means none. It can be the
// command's first argument (`key_argument`) or the field "thread".
std::string ReadOrderKey(const std::string& key_argument, const EnqueueFields& fields, Enqueue& out) {
  if (key_argument.empty()) return "the key is empty";
  if (key_argument.find_first_not_of('0') != std::string::npos) {
    if (!IsValidIdOrKey(key_argument)) return "the key is too long, or not visible ASCII";
    out.order_key = key_argument;
  }
  if (!fields.thread) return {};
  if (!IsValidIdOrKey(*fields.thread)) return "thread is empty, too long, or not visible ASCII";
  if (!out.order_key.empty() && out.order_key != *fields.thread) return "the key and thread differ";
  out.order_key = *fields.thread;
  return {};
}

// Whether the field says that the message was enqueued before. Only the value 0 says that it was not.
bool SaysEnqueuedBefore(const std::optional<std::string_view>& mark) { return mark && *mark != "0"; }

std::string ReadValues(const EnqueueFields& fields, Enqueue& out) {
  if (!fields.message_class || fields.message_class->empty()) return "c is missing";
  out.message_class = *fields.message_class;
  out.tenant = fields.tenant.value_or("");
  if (fields.key && !IsValidIdOrKey(*fields.key)) return "k is empty, too long, or not visible ASCII";
  out.idempotency_key = fields.key.value_or("");
  double millis = 0;
  if (!fields.time_left) return "d is missing";
  if (!ParseNumber(*fields.time_left, millis) || !(millis >= 0 && millis <= kMaxTimeLeftMillis))
    return "d is no time";
  out.time_left = std::chrono::duration_cast<Micros>(std::chrono::duration<double, std::milli>(millis));
  if (!fields.destination) return "dest is missing";
  if (!ParseNumber(*fields.destination, out.destination)) return "dest is no number";
  out.enqueued_before = SaysEnqueuedBefore(fields.retry_mark) || SaysEnqueuedBefore(fields.again_mark);
  return {};
}

}  // namespace

RespReader::Status RespReader::Fail(std::string error) {
  phase_ = Phase::kMalformed;
  error_ = std::move(error);
  return Status::kMalformed;
}

bool RespReader::ReadLine(std::string_view& bytes) {
  while (!bytes.empty() && line_.size() <= kMaxLineBytes) {
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (c == '\n') return true;
    line_ += c;
  }
  return false;
}

bool RespReader::ParseLength(char mark, std::int64_t max, std::int64_t& value) {
  std::string_view line = line_;
  if (line.empty() || line.front() != mark || line.back() != '\r') return false;
  line = line.substr(1, line.size() - 2);
  return ParseNumber(line, value) && value >= 0 && value <= max;
}

std::size_t RespReader::held_bytes() const {
  std::size_t bytes = HeapBytes(line_) + command_.capacity() * sizeof(std::string);
  for (const std::string& part : command_) bytes += HeapBytes(part);
  return bytes;
}

void RespReader::Close() {
  phase_ = Phase::kMalformed;
  line_ = {};
  command_ = {};
}

RespReader::Status RespReader::Next(std::string_view& bytes) {
  if (phase_ == Phase::kMalformed) return Status::kMalformed;
  if (std::exchange(command_done_, false)) {
    command_.clear();
    command_size_ = 0;
  }
  while (true) {
    if (phase_ == Phase::kBulk) {
      // The part and its line end. A part that is longer than announced has something else in place of the
      // line end.
      const auto wanted = static_cast<std::size_t>(part_size_) + 2 - command_.back().size();
      const std::size_t count = std::min(wanted, bytes.size());
      command_.back().append(bytes.substr(0, count));
      bytes.remove_prefix(count);
      if (count < wanted) return Status::kNeedsMore;
      if (!command_.back().ends_with("\r\n")) return Fail("a bulk string that does not end where told");
      command_.back().resize(static_cast<std::size_t>(part_size_));
      --parts_left_;
      phase_ = parts_left_ > 0 ? Phase::kLength : Phase::kArray;
      if (parts_left_ > 0) continue;
      command_done_ = true;
      return Status::kCommand;
    }
    if (!ReadLine(bytes)) {
      return line_.size() > kMaxLineBytes ? Fail("a line that is too long") : Status::kNeedsMore;
    }
    if (phase_ == Phase::kArray) {
      if (!ParseLength('*', kMaxParts, parts_left_)) return Fail("expected an array of at most 64 parts");
      line_.clear();
      if (parts_left_ == 0) continue;  // an empty array is no command
      phase_ = Phase::kLength;
    } else {
      if (!ParseLength('$', static_cast<std::int64_t>(kMaxBodyBytes), part_size_)) {
        return Fail("expected a bulk string of at most 65536 bytes");
      }
      line_.clear();
      command_size_ += static_cast<std::size_t>(part_size_);
      if (command_size_ > kMaxCommandBytes) return Fail("a command that is too long");
      command_.emplace_back();
      phase_ = Phase::kBulk;
    }
  }
}

std::string ParseEnqueue(const std::vector<std::string>& command, Enqueue& out) {
  if (command.size() != 5) return "ENQUEUE takes a key, an id, a list of names and values, and a body";
  out.id = command[2];
  if (!IsValidIdOrKey(out.id)) return "the id is empty, too long, or not visible ASCII";
  EnqueueFields fields;
  std::string error = ReadFields(command[3], fields);
  if (error.empty()) error = ReadOrderKey(command[1], fields, out);
  if (error.empty()) error = ReadValues(fields, out);
  if (error.empty()) out.body = command[4];
  return error;
}

}  // namespace indigosaddle::net
