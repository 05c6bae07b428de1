// The bytes that discovery writes on a watch: the response head and HTTP chunks.
#pragma once

#include <cstdio>
#include <string>

namespace indigosaddle::testing {

inline const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string Chunk(const std::string& bytes) {
  char length[16];
  std::snprintf(length, sizeof length, "%zx\r\n", bytes.size());
  return length + bytes + "\r\n";
}

}  // namespace indigosaddle::testing
