// The answers of an HTTP/1.1 connection, read by http-parser. Heads and bodies are bounded.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace indigosaddle::net {

class HttpReader {
 public:
  // `on_body` gets the body's bytes as they come; without it they count and are dropped.
  explicit HttpReader(std::size_t most_body, std::function<void(std::string_view)> on_body = {});
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  void Reset();  // for the next answer on the same connection

  // False where the bytes are no HTTP, go on after the answer, or pass a limit.
  bool Take(std::string_view bytes);
  void TakeEnd();  // the connection's end may be the answer's

  int status() const { return status_; }  // 0 until the first line has come whole, its end included
  bool begun() const { return begun_; }   // an answer that is more than 1xx in front, or may be
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  bool keep_alive() const { return keep_alive_; }
  bool ends_with_connection() const { return ends_with_connection_; }  // no length told; after head_done
  bool has(const std::string& lower_name) const { return headers_.contains(lower_name); }
  // Empty where it has none; the values of several lines are joined by ", ".
  std::string_view header(const std::string& lower_name) const;

 private:
  static HttpReader& Of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  static const http_parser_settings& Callbacks();
  bool CountHead(std::size_t bytes);
  bool TakeLine(std::string_view piece, bool ends);
  bool Feed(std::string_view bytes);
  void TakeHeader();

  http_parser parser_{};
  std::size_t most_body_;
  std::function<void(std::string_view)> on_body_;
  int status_ = 0;
  bool begun_ = false, head_done_ = false, done_ = false, keep_alive_ = false, ends_with_connection_ = false,
       in_value_ = false, line_done_ = false, broken_ = false;
  std::size_t head_bytes_ = 0, body_bytes_ = 0;
  std::string line_;  // the first, so far
  std::string name_, value_;
  std::map<std::string, std::string> headers_;  // names in lower case
};

}  // namespace indigosaddle::net
