#include "net/http_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMostHead = std::size_t{16} * 1024;
constexpr std::size_t kStatusDigits = 3;

// Whether a first line has a status of three digits, no more and no fewer: the parser takes zeros in front.
bool HasStatus(std::string_view line) {
  line.remove_prefix(std::min(line.find(' '), line.size()));
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  const std::size_t digits = line.substr(0, line.find_first_of(" \r\n")).size();
  return digits == kStatusDigits && line.front() != '0';
}

bool Informational(unsigned status) { return status >= 100 && status < 200; }

}  // namespace

HttpReader::HttpReader(std::size_t most_body, std::function<void(std::string_view)> on_body)
    : most_body_(most_body), on_body_(std::move(on_body)) {
  Reset();
}

void HttpReader::Reset() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  status_ = 0;
  begun_ = head_done_ = done_ = keep_alive_ = ends_with_connection_ = in_value_ = line_done_ = broken_ =
      false;
  line_.clear();
  head_bytes_ = body_bytes_ = 0;
  name_.clear();
  value_.clear();
  headers_.clear();
}

bool HttpReader::CountHead(std::size_t bytes) { return (head_bytes_ += bytes) <= kMostHead; }

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      Of(p).begun_ = true;
      return 0;
    };
    s.on_status = [](http_parser* p, const char* at, std::size_t size) {
      HttpReader& self = Of(p);
      // Half a line that lay there when this answer's began: neither of the two can be told.
      const bool crossed = std::string_view(at, size).find("HTTP/") != std::string_view::npos;
      return self.CountHead(size) && !crossed ? 0 : 1;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      HttpReader& self = Of(p);
      if (self.in_value_) self.TakeHeader();
      for (char c : std::string_view(at, size)) {
        self.name_ += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      }
      return self.CountHead(size) ? 0 : 1;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      HttpReader& self = Of(p);
      self.in_value_ = true;
      self.value_.append(at, size);
      return self.CountHead(size) ? 0 : 1;
    };
    s.on_headers_complete = [](http_parser* p) {
      HttpReader& self = Of(p);
      if (self.in_value_) self.TakeHeader();
      if (Informational(p->status_code)) return 0;
      self.status_ = static_cast<int>(p->status_code);  // a first line may lack its phrase
      self.head_done_ = true;
      self.keep_alive_ = http_should_keep_alive(p) != 0;
      const bool bodiless = p->status_code == 204 || p->status_code == 304;
      const bool length_told = p->content_length != std::numeric_limits<std::uint64_t>::max();
      self.ends_with_connection_ = !bodiless && !length_told && (p->flags & F_CHUNKED) == 0;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t size) {
      HttpReader& self = Of(p);
      self.body_bytes_ += size;
      if (self.body_bytes_ > self.most_body_) return 1;
      if (self.on_body_) self.on_body_({at, size});
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      HttpReader& self = Of(p);
      if (Informational(p->status_code)) {
        self.headers_.clear();
        self.line_.clear();
        self.begun_ = self.line_done_ = false;
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

void HttpReader::TakeHeader() {
  const auto [at, first] = headers_.try_emplace(std::exchange(name_, {}));
  if (!first) at->second += ", ";
  at->second += std::exchange(value_, {});
  in_value_ = false;
}

// A first line tells nothing before its end has come: one that breaks off may say anything.
bool HttpReader::Take(std::string_view bytes) {
  while (status_ == 0 && !done_ && !bytes.empty()) {
    const std::string_view line = bytes.substr(0, bytes.find('\n') + 1);  // npos + 1 is no byte
    const std::string_view piece = line.empty() ? bytes : line;
    if (!Feed(piece) || !TakeLine(piece, !line.empty())) return false;
    bytes.remove_prefix(piece.size());
  }
  return bytes.empty() || Feed(bytes);
}

// A piece of a line that has been fed: of the first one, the status is taken at its end.
bool HttpReader::TakeLine(std::string_view piece, bool ends) {
  if (!begun_ || line_done_ || broken_) return !broken_;
  line_ += piece;
  if (!ends) return true;
  line_done_ = true;
  broken_ = !HasStatus(line_);
  if (!broken_ && !Informational(parser_.status_code)) status_ = static_cast<int>(parser_.status_code);
  return !broken_;
}

bool HttpReader::Feed(std::string_view bytes) {
  if (broken_) return false;
  if (done_) return bytes.empty();
  const std::size_t taken = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  // A pause at the answer's last byte counts that byte as not taken.
  if (done_) return error == HPE_PAUSED && taken + 1 >= bytes.size();
  return error == HPE_OK && parser_.upgrade == 0;
}

void HttpReader::TakeEnd() {
  if (!done_ && !broken_) http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
}

std::string_view HttpReader::header(const std::string& lower_name) const {
  const auto it = headers_.find(lower_name);
  if (it == headers_.end()) return {};
  return it->second;
}

}  // namespace indigosaddle::net
