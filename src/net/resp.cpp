#include "net/resp.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::int64_t kMostParts = 64;
constexpr std::size_t kMostLine = 32;  // a mark, a number and the line's end
constexpr std::size_t kMostCommand = kMostBody + std::size_t{8} * 1024;  // all parts together
constexpr std::int64_t kMostMillis = 1'000'000'000;                      // of `d`: over eleven days
constexpr std::size_t kMostName = 256;                                   // an id or a key

template <typename T>
bool ParseNumber(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

// Ids and keys go on as header values and in JSON: visible ASCII only.
bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMostName &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// The names that an ENQUEUE may give, each once or not at all, with their values as they came.
struct Names {
  std::optional<std::string_view> message_class, tenant, key, thread, time_left, marked, again, destination;

  std::optional<std::string_view>* Find(std::string_view name) {
    if (name == "c") return &message_class;
    if (name == "t") return &tenant;
    if (name == "k") return &key;
    if (name == "thread") return &thread;
    if (name == "d") return &time_left;
    if (name == "r") return &marked;
    if (name == "again") return &again;
    if (name == "dest") return &destination;
    return nullptr;  // other names are for others
  }
};

// Each of these is empty where all is well, else what is wrong.
std::string ReadNames(std::string_view rest, Names& names) {
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view pair = rest.substr(0, comma);
    rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return "a name without a value";
    const std::string_view name = pair.substr(0, equals);
    std::optional<std::string_view>* const value = names.Find(name);
    if (value == nullptr) continue;
    if (value->has_value()) return std::string(name) + " is given twice";
    *value = pair.substr(equals + 1);
  }
  return {};
}

// Of the order, where the class has one; zeros: none.
std::string ReadOrderKey(const std::string& first_word, const Names& names, Enqueue& out) {
  if (first_word.empty()) return "the key is empty";
  if (first_word.find_first_not_of('0') != std::string::npos) {
    if (!IsName(first_word)) return "the key is too long, or not visible ASCII";
    out.order_key = first_word;
  }
  if (!names.thread) return {};
  if (!IsName(*names.thread)) return "thread is empty, too long, or not visible ASCII";
  if (!out.order_key.empty() && out.order_key != *names.thread) return "the key and thread differ";
  out.order_key = *names.thread;
  return {};
}

// A mark of an earlier hand-in; only 0 says that there was none.
bool IsMarked(const std::optional<std::string_view>& mark) { return mark && *mark != "0"; }

std::string ReadValues(const Names& names, Enqueue& out) {
  if (!names.message_class || names.message_class->empty()) return "c is missing";
  out.message_class = *names.message_class;
  out.tenant = names.tenant.value_or("");
  if (names.key && !IsName(*names.key)) return "k is empty, too long, or not visible ASCII";
  out.idempotency_key = names.key.value_or("");
  double millis = 0;
  if (!names.time_left) return "d is missing";
  if (!ParseNumber(*names.time_left, millis) || !(millis >= 0 && millis <= kMostMillis))
    return "d is no time";
  out.time_left = std::chrono::duration_cast<Micros>(std::chrono::duration<double, std::milli>(millis));
  if (!names.destination) return "dest is missing";
  if (!ParseNumber(*names.destination, out.destination)) return "dest is no number";
  out.handed_in_before = IsMarked(names.marked) || IsMarked(names.again);
  return {};
}

}  // namespace

RespReader::Status RespReader::Break(std::string trouble) {
  phase_ = Phase::kBroken;
  trouble_ = std::move(trouble);
  return Status::kBroken;
}

bool RespReader::ReadLine(std::string_view& bytes) {
  while (!bytes.empty() && line_.size() <= kMostLine) {
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (c == '\n') return true;
    line_ += c;
  }
  return false;
}

bool RespReader::Number(char mark, std::int64_t most, std::int64_t& value) {
  std::string_view line = line_;
  if (line.empty() || line.front() != mark || line.back() != '\r') return false;
  line = line.substr(1, line.size() - 2);
  return ParseNumber(line, value) && value >= 0 && value <= most;
}

std::size_t RespReader::held() const {
  std::size_t bytes = line_.size();
  if (!fresh_ && phase_ != Phase::kBroken) {
    for (const std::string& part : command_) bytes += part.size();
  }
  return bytes;
}

RespReader::Status RespReader::Next(std::string_view& bytes) {
  if (phase_ == Phase::kBroken) return Status::kBroken;
  if (std::exchange(fresh_, false)) {
    command_.clear();
    size_ = 0;
  }
  while (true) {
    if (phase_ == Phase::kBulk) {
      // The body and its line end; a body that is longer than told shows in the latter.
      const auto wanted = static_cast<std::size_t>(bulk_) + 2 - command_.back().size();
      const std::size_t taken = std::min(wanted, bytes.size());
      command_.back().append(bytes.substr(0, taken));
      bytes.remove_prefix(taken);
      if (taken < wanted) return Status::kNeedsMore;
      if (!command_.back().ends_with("\r\n")) return Break("a bulk string that does not end where told");
      command_.back().resize(static_cast<std::size_t>(bulk_));
      --left_;
      phase_ = left_ > 0 ? Phase::kLength : Phase::kArray;
      if (left_ > 0) continue;
      fresh_ = true;
      return Status::kCommand;
    }
    if (!ReadLine(bytes)) {
      return line_.size() > kMostLine ? Break("a line that is too long") : Status::kNeedsMore;
    }
    if (phase_ == Phase::kArray) {
      if (!Number('*', kMostParts, left_)) return Break("expected an array of at most 64 parts");
      line_.clear();
      if (left_ == 0) continue;  // an empty array asks nothing
      phase_ = Phase::kLength;
    } else {
      if (!Number('$', static_cast<std::int64_t>(kMostBody), bulk_)) {
        return Break("expected a bulk string of at most 65536 bytes");
      }
      line_.clear();
      size_ += static_cast<std::size_t>(bulk_);
      if (size_ > kMostCommand) return Break("a command that is too long");
      command_.emplace_back();
      phase_ = Phase::kBulk;
    }
  }
}

std::string ParseEnqueue(const std::vector<std::string>& command, Enqueue& out) {
  if (command.size() != 5) return "ENQUEUE takes a key, an id, a list of names and values, and a body";
  out.id = command[2];
  if (!IsName(out.id)) return "the id is empty, too long, or not visible ASCII";
  Names names;
  std::string trouble = ReadNames(command[3], names);
  if (trouble.empty()) trouble = ReadOrderKey(command[1], names, out);
  if (trouble.empty()) trouble = ReadValues(names, out);
  if (trouble.empty()) out.body = command[4];
  return trouble;
}

}  // namespace indigosaddle::net
