// An incremental reader of the HTTP/1.1 responses on one connection, based on http-parser. The sizes of heads
// and bodies are limited. Of the head it keeps only the headers that its owner asks for, so that many readers
// of heads near the limit hold little memory.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::net {

// Reads one response at a time, from bytes in any split.
class HttpReader {
 public:
  // A value longer than this counts as empty.
  static constexpr std::size_t kMaxValueBytes = 1024;

  // `header_names`: in lower case, of the headers that are kept; they must outlive the reader. `on_body` gets
  // the bytes of the body as they arrive; without it they are counted and dropped.
  explicit HttpReader(std::size_t max_body_bytes, std::span<const std::string_view> header_names = {},
                      std::function<void(std::string_view)> on_body = {});
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Prepares for the next response on the same connection.
  void Reset();

  // Returns false if the bytes are no HTTP, continue after the response's end, or exceed a limit.
  bool Read(std::string_view bytes);
  // The connection ended, which may complete the response.
  void ReadEnd();

  // 0 until the status line is complete, including its line end.
  int status() const { return status_; }
  // A response other than 1xx has begun, or one whose status is not known yet.
  bool begun() const { return begun_; }
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  bool keep_alive() const { return keep_alive_; }
  // The response has no length, so that the connection's end completes it. Valid after head_done.
  bool ends_with_connection() const { return ends_with_connection_; }
  // These take one of the names that are kept.
  bool has(std::string_view name) const;
  // The header's value; empty if there is none. Values of several lines are joined by ", ".
  std::string_view header(std::string_view name) const;

 private:
  // A header that is kept, if the response has it.
  struct Header {
    bool present = false, too_long = false;
    std::string value;
  };
  // The status line, of which nothing is kept but what its status depends on.
  struct StatusLine {
    enum class Part : std::uint8_t { kVersion, kSpace, kDigits, kRest };
    Part part = Part::kVersion;
    std::size_t digits = 0;
    bool leading_zero = false;

    void Read(std::string_view piece);
    // Whether the status has exactly three digits. The parser alone accepts leading zeros.
    bool valid() const;
  };

  static HttpReader& ReaderOf(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  static const http_parser_settings& Callbacks();
  bool CountHeadBytes(std::size_t bytes);
  bool ReadStatusLine(std::string_view piece, bool complete);
  bool Parse(std::string_view bytes);
  void ReadHeaderName(std::string_view piece);
  void ReadHeaderValue(std::string_view piece);
  // Forgets the headers, and returns their memory.
  void ClearHeaders();
  const Header* Find(std::string_view name) const;

  http_parser parser_{};
  std::size_t max_body_bytes_;
  std::function<void(std::string_view)> on_body_;
  int status_ = 0;
  bool begun_ = false, head_done_ = false, done_ = false, keep_alive_ = false, ends_with_connection_ = false,
       in_value_ = false, status_line_done_ = false, malformed_ = false;
  std::size_t head_bytes_ = 0, body_bytes_ = 0;
  StatusLine status_line_;
  std::span<const std::string_view> header_names_;
  std::size_t max_name_bytes_ = 0;  // of the names that are kept
  std::string name_;                // in lower case, as far as it can be one of those
  std::vector<Header> headers_;     // by the index of their name
  Header* current_ = nullptr;       // whose value is being read; null: one that is not kept
};

}  // namespace indigosaddle::net
