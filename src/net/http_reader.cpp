#include "net/http_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
constexpr std::size_t kStatusDigits = 3;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsInformational(unsigned status) { return status >= 100 && status < 200; }

}  // namespace

void HttpReader::StatusLine::Read(std::string_view piece) {
  for (const char c : piece) {
    const bool ends_word = c == ' ' || c == '\r' || c == '\n';
    if (part == Part::kVersion && c == ' ') part = Part::kSpace;
    if (part == Part::kSpace && !ends_word) {
      part = Part::kDigits;
      leading_zero = c == '0';
    }
    if (part == Part::kDigits && ends_word) part = Part::kRest;
    if (part == Part::kDigits) ++digits;
  }
}

bool HttpReader::StatusLine::valid() const { return digits == kStatusDigits && !leading_zero; }

HttpReader::HttpReader(std::size_t max_body_bytes, std::span<const std::string_view> header_names,
                       std::function<void(std::string_view)> on_body)
    : max_body_bytes_(max_body_bytes),
      on_body_(std::move(on_body)),
      header_names_(header_names),
      headers_(header_names.size()) {
  for (const std::string_view name : header_names_) max_name_bytes_ = std::max(max_name_bytes_, name.size());
  Reset();
}

void HttpReader::Reset() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  status_ = 0;
  begun_ = head_done_ = done_ = keep_alive_ = ends_with_connection_ = in_value_ = status_line_done_ =
      malformed_ = false;
  status_line_ = {};
  head_bytes_ = body_bytes_ = 0;
  ClearHeaders();
}

void HttpReader::ClearHeaders() {
  name_.clear();
  for (Header& header : headers_) {
    header.present = header.too_long = false;
    std::string().swap(header.value);
  }
  current_ = nullptr;
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
      self.ReadHeaderName({data, size});
      return self.CountHeadBytes(size) ? 0 : 1;
    };
    s.on_header_value = [](http_parser* p, const char* data, std::size_t size) {
      HttpReader& self = ReaderOf(p);
      self.ReadHeaderValue({data, size});
      return self.CountHeadBytes(size) ? 0 : 1;
    };
    s.on_headers_complete = [](http_parser* p) {
      HttpReader& self = ReaderOf(p);
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
        self.ClearHeaders();
        self.status_line_ = {};
        self.in_value_ = false;
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

// Fields behind the head, in the trailer of a chunked body, are counted and dropped.
void HttpReader::ReadHeaderName(std::string_view piece) {
  if (std::exchange(in_value_, false)) name_.clear();
  if (head_done_) return;
  // One character more than the longest name tells that this is a longer one.
  for (const char c : piece.substr(0, max_name_bytes_ + 1 - std::min(name_.size(), max_name_bytes_ + 1)))
    name_ += ToLower(c);
}

void HttpReader::ReadHeaderValue(std::string_view piece) {
  if (!std::exchange(in_value_, true)) {
    const auto kept = std::find(header_names_.begin(), header_names_.end(), name_);
    const bool is_kept = !head_done_ && kept != header_names_.end();
    current_ = is_kept ? &headers_[static_cast<std::size_t>(kept - header_names_.begin())] : nullptr;
    if (current_ != nullptr && std::exchange(current_->present, true) && !current_->too_long)
      current_->value += ", ";
  }
  if (current_ == nullptr || current_->too_long) return;
  if (current_->value.size() + piece.size() <= kMaxValueBytes) {
    current_->value += piece;
  } else {
    current_->too_long = true;
    std::string().swap(current_->value);
  }
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
  status_line_.Read(piece);
  if (!complete) return true;
  status_line_done_ = true;
  malformed_ = !status_line_.valid();
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

const HttpReader::Header* HttpReader::Find(std::string_view name) const {
  const auto kept = std::find(header_names_.begin(), header_names_.end(), name);
  if (kept == header_names_.end()) return nullptr;
  return &headers_[static_cast<std::size_t>(kept - header_names_.begin())];
}

bool HttpReader::has(std::string_view name) const {
  const Header* header = Find(name);
  return header != nullptr && header->present;
}

std::string_view HttpReader::header(std::string_view name) const {
  const Header* header = Find(name);
  if (header == nullptr) return {};
  return header->value;
}

}  // namespace indigosaddle::net
