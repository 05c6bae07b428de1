#include "net/http_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
constexpr std::size_t kStatusDigits = 3;

// Whether the status line has a status of exactly three digits. The parser alone accepts leading zeros.
bool HasValidStatus(std::string_view line) {
  line.remove_prefix(std::min(line.find(' '), line.size()));
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  const std::size_t digits = line.substr(0, line.find_first_of(" \r\n")).size();
  return digits == kStatusDigits && line.front() != '0';
}

bool IsInformational(unsigned status) { return status >= 100 && status < 200; }

}  // namespace

HttpReader::HttpReader(std::size_t max_body_bytes, std::function<void(std::string_view)> on_body)
    : max_body_bytes_(max_body_bytes), on_body_(std::move(on_body)) {
  Reset();
}

void HttpReader::Reset() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  status_ = 0;
  begun_ = head_done_ = done_ = keep_alive_ = ends_with_connection_ = in_value_ = status_line_done_ =
      malformed_ = false;
  status_line_.clear();
  head_bytes_ = body_bytes_ = 0;
  name_.clear();
  value_.clear();
  headers_.clear();
}

bool HttpReader::CountHeadBytes(std::size_t bytes) { return (head_bytes_ += bytes) <= kMaxHeadBytes; }

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      ReaderOf(p).begun_ = true;
      return 0;
    };
    s.on_status = [](http_parser* p, const char* data, std::size_t size) {
      HttpReader& self = ReaderOf(p);
      // The reason phrase runs into a second status line: the first one is the cut-off beginning of another
      // response, which lay unread when this one began. It is not known which of the two statuses counts.
      const bool second_status_line = std::string_view(data, size).find("HTTP/") != std::string_view::npos;
      return self.CountHeadBytes(size) && !second_status_line ? 0 : 1;
    };
    s.on_header_field = [](http_parser* p, const char* data, std::size_t size) {
      HttpReader& self = ReaderOf(p);
      if (self.in_value_) self.StoreHeader();
      for (char c : std::string_view(data, size)) {
        self.name_ += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      }
      return self.CountHeadBytes(size) ? 0 : 1;
    };
    s.on_header_value = [](http_parser* p, const char* data, std::size_t size) {
      HttpReader& self = ReaderOf(p);
      self.in_value_ = true;
      self.value_.append(data, size);
      return self.CountHeadBytes(size) ? 0 : 1;
    };
    s.on_headers_complete = [](http_parser* p) {
      HttpReader& self = ReaderOf(p);
      if (self.in_value_) self.StoreHeader();
      if (IsInformational(p->status_code)) return 0;
      self.status_ = static_cast<int>(p->status_code);  // the status line may lack its reason phrase
      self.head_done_ = true;
      self.keep_alive_ = http_should_keep_alive(p) != 0;
      const bool bodiless = p->status_code == 204 || p->status_code == 304;
      const bool has_length = p->content_length != std::numeric_limits<std::uint64_t>::max();
      self.ends_with_connection_ = !bodiless && !has_length && (p->flags & F_CHUNKED) == 0;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* data, std::size_t size) {
      HttpReader& self = ReaderOf(p);
      self.body_bytes_ += size;
      if (self.body_bytes_ > self.max_body_bytes_) return 1;
      if (self.on_body_) self.on_body_({data, size});
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      HttpReader& self = ReaderOf(p);
      if (IsInformational(p->status_code)) {
        self.headers_.clear();
        self.status_line_.clear();
        self.begun_ = self.status_line_done_ = false;
        return 0;
      }
      self.done_ = true;
      http_parser_pause(p, 1);  // nothing may follow
      return 0;
    };
    return s;
  }();
  return settings;
}

void HttpReader::StoreHeader() {
  const auto [entry, is_new] = headers_.try_emplace(std::exchange(name_, {}));
  if (!is_new) entry->second += ", ";
  entry->second += std::exchange(value_, {});
  in_value_ = false;
}

// The status counts only once its line is complete: an incomplete line may go on in any way.
bool HttpReader::Read(std::string_view bytes) {
  while (status_ == 0 && !done_ && !bytes.empty()) {
    const std::string_view line = bytes.substr(0, bytes.find('\n') + 1);  // npos + 1 is 0: an empty line
    const std::string_view piece = line.empty() ? bytes : line;
    if (!Parse(piece) || !ReadStatusLine(piece, !line.empty())) return false;
    bytes.remove_prefix(piece.size());
  }
  return bytes.empty() || Parse(bytes);
}

// Called with each piece of a line after it was parsed. Sets the status at the end of the status line.
// Returns false if that line is malformed.
bool HttpReader::ReadStatusLine(std::string_view piece, bool complete) {
  if (!begun_ || status_line_done_ || malformed_) return !malformed_;
  status_line_ += piece;
  if (!complete) return true;
  status_line_done_ = true;
  malformed_ = !HasValidStatus(status_line_);
  if (!malformed_ && !IsInformational(parser_.status_code)) status_ = static_cast<int>(parser_.status_code);
  return !malformed_;
}

bool HttpReader::Parse(std::string_view bytes) {
  if (malformed_) return false;
  if (done_) return bytes.empty();
  const std::size_t parsed = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  // When the parser is paused at the response's last byte, it does not count that byte as parsed.
  if (done_) return error == HPE_PAUSED && parsed + 1 >= bytes.size();
  return error == HPE_OK && parser_.upgrade == 0;
}

void HttpReader::ReadEnd() {
  if (!done_ && !malformed_) http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
}

std::string_view HttpReader::header(const std::string& lower_name) const {
  const auto it = headers_.find(lower_name);
  if (it == headers_.end()) return {};
  return it->second;
}

}  // namespace indigosaddle::net
