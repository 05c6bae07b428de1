// The memory that a response holds, whatever its head looks like: many connections read one at a time each.
#include <gtest/gtest.h>

#include <array>
#include <list>
#include <string>
#include <string_view>

#include "heap_bytes.h"
#include "net/http_reader.h"

namespace indigosaddle::net {
namespace {

using testing::HeapBytesInUse;

constexpr std::size_t kMaxBodyBytes = 65536;
constexpr std::size_t kReaders = 64;

// Lines with many names of one to three letters and no values.
std::string ShortFields(std::size_t count) {
  std::string fields;
  for (std::size_t i = 0; i < count; ++i) {
    for (std::size_t rest = i + 1; rest > 0; rest /= 26) fields += static_cast<char>('a' + rest % 26);
    fields += ":\r\n";
  }
  return fields;
}

std::string LongFields(std::size_t count, std::size_t value_bytes) {
  std::string fields;
  for (std::size_t i = 0; i < count; ++i)
    fields += "field" + std::to_string(i) + ": " + std::string(value_bytes, 'x') + "\r\n";
  return fields;
}

// The heap bytes of one reader that has read `text`, as an average over many.
std::size_t HeldBytes(std::string_view text) {
  const std::size_t before = HeapBytesInUse();
  std::list<HttpReader> readers;
  for (std::size_t i = 0; i < kReaders; ++i) {
    HttpReader& reader = readers.emplace_back(kMaxBodyBytes);
    // In pieces, as a socket passes them.
    for (std::size_t at = 0; at < text.size() && reader.Read(text.substr(at, 1000)); at += 1000) continue;
  }
  return (HeapBytesInUse() - before) / kReaders;
}

// Issue 68, review/9: a head of 6,000 short fields was counted as 16 kB and held 0.65 MB.
TEST(AnswerMemory, AHeadHoldsLittleWhateverItsFields) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::array texts = {
      ok + ShortFields(6000),                                    // the head does not end
      ok + ShortFields(4000) + "Content-Length: 0\r\n\r\n",      // a good response
      ok + LongFields(9, 1700) + "Content-Length: 0\r\n\r\n",    // the same
      ok + LongFields(1, 16000),                                 // a value that does not end
      ok + std::string(16000, 'n'),                              // a name that does not end
      "HTTP/1.1 200 " + std::string(16000, 'x'),                 // a status line that does not end
      "HTTP/1.1" + std::string(60000, ' '),                      // the same, without a status
      "HTTP/1.1 100 Continue\r\n" + ShortFields(4000) + "\r\n",  // an interim response
      chunked + "0\r\n" + ShortFields(4000),                     // a trailer
      chunked + "1;" + std::string(60000, 'e') + "\r\nx\r\n",    // a chunk extension
  };
  constexpr std::size_t kMaxHeldBytes = 1024;  // the reader itself included
  for (const std::string& text : texts) EXPECT_LE(HeldBytes(text), kMaxHeldBytes) << text.substr(0, 60);
}

// A header that is kept may be as long as the head: its value is then dropped.
TEST(AnswerMemory, AValueThatIsTooLongCountsAsEmpty) {
  constexpr std::array<std::string_view, 2> kNames = {"x-retry-in-ms", "endpoint-load-metrics"};
  HttpReader reader(kMaxBodyBytes, kNames);
  const std::size_t before = HeapBytesInUse();
  ASSERT_TRUE(reader.Read("HTTP/1.1 429 Full\r\nX-Retry-In-Ms: 5\r\nX-Retry-In-Ms: " +
                          std::string(8000, ' ') + std::string(8000, '1')));
  ASSERT_TRUE(reader.Read("\r\nEndpoint-Load-Metrics: x0=0.4\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_LE(HeapBytesInUse() - before, 4 * HttpReader::kMaxValueBytes);
  ASSERT_TRUE(reader.done());
  EXPECT_TRUE(reader.has("x-retry-in-ms"));
  EXPECT_EQ(reader.header("x-retry-in-ms"), "");
  EXPECT_EQ(reader.header("endpoint-load-metrics"), "x0=0.4");
}

}  // namespace
}  // namespace indigosaddle::net
