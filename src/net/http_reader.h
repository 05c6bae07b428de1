// An incremental reader of the HTTP/1.1 responses on one connection, based on http-parser. The sizes of heads
// and bodies are limited.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace indigosaddle::net {

// Reads one response at a time, from bytes in any split.
class HttpReader {
 public:
  // `on_body` gets the bytes of the body as they arrive; without it they are counted and dropped.
  explicit HttpReader(std::size_t max_body_bytes, std::function<void(std::string_view)> on_body = {});
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
  bool has(const std::string& lower_name) const { return headers_.contains(lower_name); }
  // The header's value; empty if there is none. Values of several lines are joined by ", ".
  std::string_view header(const std::string& lower_name) const;

 private:
  static HttpReader& ReaderOf(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  static const http_parser_settings& Callbacks();
  bool CountHeadBytes(std::size_t bytes);
  bool ReadStatusLine(std::string_view piece, bool complete);
  bool Parse(std::string_view bytes);
  void StoreHeader();

  http_parser parser_{};
  std::size_t max_body_bytes_;
  std::function<void(std::string_view)> on_body_;
  int status_ = 0;
  bool begun_ = false, head_done_ = false, done_ = false, keep_alive_ = false, ends_with_connection_ = false,
       in_value_ = false, status_line_done_ = false, malformed_ = false;
  std::size_t head_bytes_ = 0, body_bytes_ = 0;
  std::string status_line_;  // as far as it has arrived
  std::string name_, value_;
  std::map<std::string, std::string> headers_;  // names in lower case
};

}  // namespace indigosaddle::net
