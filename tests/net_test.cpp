// Parsing of HTTP answers and load reports, and formatting of calls and notices. Uses no sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/call_pool.h"
#include "net/http_reader.h"
#include "net/notices.h"

namespace indigosaddle::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(HttpReader, EverySplitPointReadsTheSame) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Too Many\r\nX-Retry-In-Ms: 250\r\nContent-Length: "
      "3\r\n\r\nabc";
  constexpr std::array<std::string_view, 2> kNames = {"absent", "x-retry-in-ms"};
  for (std::size_t i = 0; i <= text.size(); ++i) {
    HttpReader reader(10, kNames);
    ASSERT_TRUE(reader.Read(std::string_view(text).substr(0, i))) << i;
    ASSERT_TRUE(reader.Read(std::string_view(text).substr(i))) << i;
    EXPECT_TRUE(reader.done()) << i;
    EXPECT_EQ(reader.status(), 429);
    EXPECT_EQ(reader.header("x-retry-in-ms"), "250");
    EXPECT_EQ(reader.header("absent"), "");
    EXPECT_TRUE(reader.keep_alive());
  }
}

TEST(HttpReader, TheStatusIsKnownAfterTheStatusLine) {
  HttpReader reader(10);
  ASSERT_TRUE(reader.Read("HTTP/1.1 200 OK\r\nX-A: "));
  EXPECT_EQ(reader.status(), 200);
  EXPECT_FALSE(reader.head_done());
}

// A truncated status line gives no status, even if it already contains 200.
TEST(HttpReader, NoStatusBeforeTheStatusLineIsComplete) {
  for (const std::string before : {"", "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"}) {
    for (const std::string line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\n"}) {
      for (std::size_t cut = 0; cut <= line.size(); ++cut) {
        HttpReader whole(10), split(10);
        ASSERT_TRUE(whole.Read(before + line.substr(0, cut)));
        ASSERT_TRUE(split.Read(before));
        for (const char c : line.substr(0, cut)) ASSERT_TRUE(split.Read(std::string_view(&c, 1)));
        for (HttpReader* reader : {&whole, &split}) {
          EXPECT_EQ(reader->status(), cut == line.size() ? 200 : 0) << line << cut;
          reader->ReadEnd();
          EXPECT_EQ(reader->status(), cut == line.size() ? 200 : 0) << line << cut;
          EXPECT_FALSE(reader->done());
        }
      }
    }
  }
}

// A partial line was on the connection when its call was written. The answer follows it, but the two cannot
// be told apart.
TEST(HttpReader, APartialLineBeforeAnAnswerMakesItMalformed) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  for (std::size_t cut = 1; cut + 2 <= line.size(); ++cut) {
    HttpReader reader(10);
    const bool accepted =
        reader.Read(line.substr(0, cut)) && reader.Read("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    EXPECT_FALSE(accepted) << cut;
    EXPECT_EQ(reader.status(), 0) << cut;
  }
}

TEST(HttpReader, AnAnswerMayEndWithItsConnection) {
  HttpReader reader(10);
  ASSERT_TRUE(reader.Read("HTTP/1.1 503 Full\r\n\r\nabc"));
  EXPECT_TRUE(reader.ends_with_connection());
  EXPECT_FALSE(reader.done());
  reader.ReadEnd();
  EXPECT_TRUE(reader.done());
  EXPECT_FALSE(reader.keep_alive());
}

TEST(HttpReader, SeveralAnswersOnOneConnection) {
  HttpReader reader(10);
  for (const std::string close : {"", "Connection: close\r\n"}) {
    reader.Reset();
    ASSERT_TRUE(reader.Read("HTTP/1.1 200 OK\r\n" + close + "Content-Length: 0\r\n\r\n"));
    EXPECT_TRUE(reader.done());
    EXPECT_EQ(reader.keep_alive(), close.empty());
  }
}

TEST(HttpReader, OversizedAndMalformedAnswersAreRejected) {
  const std::string long_value(20000, 'v');
  for (const std::string& malformed :
       {std::string("rubbish\r\n\r\n"), "HTTP/1.1 200 OK\r\nX: " + long_value + "\r\n\r\n",
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n01234567890"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab and more")}) {
    HttpReader reader(10);
    EXPECT_FALSE(reader.Read(malformed)) << malformed.substr(0, 60);
  }
}

TEST(HttpReader, SeededMutationsNeverCrash) {
  std::mt19937 random(13);
  const std::string valid =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (int round = 0; round < 20000; ++round) {
    std::string malformed = valid;
    for (int i = 0; i < 3; ++i) malformed[random() % malformed.size()] = static_cast<char>(random());
    HttpReader reader(100);
    const std::size_t cut = random() % malformed.size();
    if (reader.Read(std::string_view(malformed).substr(0, cut)))
      reader.Read(std::string_view(malformed).substr(cut));
    reader.ReadEnd();
    EXPECT_GE(reader.status(), 0);
  }
}

TEST(Call, CarriesIdKeyAndBodyUnchanged) {
  CallRequest request;
  request.endpoint = "s-1";
  request.id = "9b1f";
  request.idempotency_key = "5c0f";
  request.body = std::string("\0\r\n", 3);
  request.timeout = Micros(1500001);
  EXPECT_EQ(FormatCall(request),
            std::string("POST /hook HTTP/1.1\r\nHost: s-1\r\nX-Trace-Id: 9b1f\r\nIdempotency-Key: 5c0f\r\n"
                        "X-Expires-In: 1501m\r\nContent-Length: 3\r\n\r\n") +
                request.body);
  request.idempotency_key.clear();
  EXPECT_EQ(FormatCall(request).find("Idempotency-Key"), std::string::npos);
}

TEST(LoadReport, ReadsKnownFieldsOnly) {
  EXPECT_EQ(ParseLoadReport("x0=0.4,x1=25").left, 0.4);
  EXPECT_EQ(ParseLoadReport("x0=0.4, x1=25").limit, 25);
  EXPECT_EQ(ParseLoadReport("cpu=1,x1=3").left, -1);
  for (const char* malformed : {"", "x0", "x0=", "x0=a,", "=,=", "x0=nan", ",,,"}) {
    EXPECT_EQ(ParseLoadReport(malformed).left, -1) << malformed;
    EXPECT_EQ(ParseLoadReport(malformed).limit, -1) << malformed;
  }
}

TEST(Notice, IsOneJsonObject) {
  EXPECT_EQ(FormatFailedNotice("9b\"1"), R"({"id":"9b\"1","state":"failed"})");
  EXPECT_EQ(FormatReturnedNotice("a", milliseconds(500)), R"({"id":"a","state":"returned","after_ms":500})");
  EXPECT_EQ(FormatReturnedNotice("a", Micros(0)), R"({"id":"a","state":"returned"})");
}

}  // namespace
}  // namespace indigosaddle::net
