// Heads of endpoints' answers with missing, malformed or repeated parts. Uses no sockets.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include "net/call_format.h"
#include "net/http_reader.h"

namespace indigosaddle::net {
namespace {

using std::chrono::milliseconds;

// Guards against an unreadable Retry-After that is treated as absent: the destination was called again at
// once.
TEST(MalformedRetryAfter, AnUnreadableValueIsNotTreatedAsAbsent) {
  for (const char* malformed :
       {"", "  ", "abc", "-5", "nan", "inf", "-inf", "1e999", "5s", "0x10", "5 5", "soon,", ",", "--1"})
    EXPECT_EQ(ParseRetryAfter(malformed), kUnreadableRetryAfter) << malformed;
}

TEST(MalformedRetryAfter, AValidValueIsUsedWhateverItsSize) {
  EXPECT_EQ(ParseRetryAfter("0"), Micros(0));
  EXPECT_EQ(ParseRetryAfter(" 250 "), milliseconds(250));
  EXPECT_EQ(ParseRetryAfter("0.5"), Micros(500));
  EXPECT_EQ(ParseRetryAfter("60000"), milliseconds(60000));
  EXPECT_EQ(ParseRetryAfter("1e300"), milliseconds(1'000'000'000));  // the longest Retry-After
}

// Guards against using the last of two values, however short.
TEST(MalformedRetryAfter, OfSeveralValuesTheLongestIsUsed) {
  EXPECT_EQ(ParseRetryAfter("5000, 0"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("0, 5000"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("5000, abc"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("5, abc"), kUnreadableRetryAfter);
}

// Guards against using only the last line of a repeated header.
TEST(RepeatedHeader, ValuesOfARepeatedHeaderAreJoined) {
  constexpr std::array<std::string_view, 4> kNames = {"a", "x-retry-in-ms", "x-no-slot", "x-none"};
  HttpReader reader(10, kNames);
  ASSERT_TRUE(
      reader.Read("HTTP/1.1 429 Full\r\nX-Retry-In-Ms: 5000\r\nA: b\r\nx-retry-in-ms: 0\r\nX-No-Slot: \r\n"
                  "Content-Length: 0\r\n\r\n"));
  EXPECT_EQ(reader.header("x-retry-in-ms"), "5000, 0");
  EXPECT_EQ(reader.header("a"), "b");
  EXPECT_EQ(reader.header("x-no-slot"), "");
  EXPECT_TRUE(reader.has("x-no-slot"));
  EXPECT_FALSE(reader.has("x-none"));
  reader.Reset();
  ASSERT_TRUE(reader.Read("HTTP/1.1 200 OK\r\nA: c\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_EQ(reader.header("a"), "c");
}

// Guards against using the last of two contradicting fields, which may be the larger limit.
TEST(MalformedLoadReport, AReportWithARepeatedFieldIsRejected) {
  for (const char* malformed : {"x0=0.4,x1=25,x1=1000", "x0=0.4,x1=25, x0=0.9,x1=25", "x1=25,x1=25"}) {
    EXPECT_EQ(ParseLoadReport(malformed).left, -1) << malformed;
    EXPECT_EQ(ParseLoadReport(malformed).limit, -1) << malformed;
  }
}

// A report with one field sets only that field; a report with an unreadable field is rejected as a whole.
TEST(MalformedLoadReport, MissingFieldsStayUnknownAndMalformedOnesRejectTheReport) {
  EXPECT_EQ(ParseLoadReport("x0=0.4").left, 0.4);
  EXPECT_EQ(ParseLoadReport("x0=0.4").limit, -1);
  EXPECT_EQ(ParseLoadReport("x1=25").left, -1);
  EXPECT_EQ(ParseLoadReport("x1=25").limit, 25);
  for (const char* malformed : {"x0=0.4,x1=", "x0=0.4,x1=-25", "x0=0.4,x1=2e9", "x0=0.4,x1=25;",
                                "x0=-1,x1=25", "x0=0.4,x1", "x0=0.4,x1=inf"}) {
    EXPECT_EQ(ParseLoadReport(malformed).left, -1) << malformed;
    EXPECT_EQ(ParseLoadReport(malformed).limit, -1) << malformed;
  }
}

// A status has three digits. One with leading zeros was taken for a delivery.
TEST(MalformedStatus, AStatusThatIsNotThreeDigitsIsRejected) {
  for (const std::string line : {"HTTP/1.1 0200 OK", "HTTP/1.1 00200", "HTTP/1.1 20 0", "HTTP/1.1 2",
                                 "HTTP/1.1 99 x", "HTTP/1.1 0100 C", "HTTP/1.1 2000", "HTTP/1.1 -200"}) {
    HttpReader whole(10), split(10);
    EXPECT_FALSE(whole.Read(line + "\r\nContent-Length: 0\r\n\r\n")) << line;
    EXPECT_NE(whole.status(), 200) << line;
    bool accepted = true;
    for (const char c : line + "\r\nContent-Length: 0\r\n\r\n")
      accepted = accepted && split.Read(std::string_view(&c, 1));
    EXPECT_FALSE(accepted) << line;
    EXPECT_NE(split.status(), 200) << line;
  }
}

}  // namespace
}  // namespace indigosaddle::net
