// Heads of partners' answers that lack a part, have an odd one, or say one thing twice. No sockets.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "net/call_format.h"
#include "net/http_reader.h"

namespace indigosaddle::net {
namespace {

using std::chrono::milliseconds;

// A wait that was told, but can't be read, was taken for none, and the destination was called again at once.
TEST(OddWait, AWaitThatCantBeReadIsNotNone) {
  for (const char* odd :
       {"", "  ", "abc", "-5", "nan", "inf", "-inf", "1e999", "5s", "0x10", "5 5", "soon,", ",", "--1"})
    EXPECT_EQ(ParseRetryAfter(odd), kUnreadableRetryAfter) << odd;
}

TEST(OddWait, AGoodOneIsHeededWhateverItsSize) {
  EXPECT_EQ(ParseRetryAfter("0"), Micros(0));
  EXPECT_EQ(ParseRetryAfter(" 250 "), milliseconds(250));
  EXPECT_EQ(ParseRetryAfter("0.5"), Micros(500));
  EXPECT_EQ(ParseRetryAfter("60000"), milliseconds(60000));
  EXPECT_EQ(ParseRetryAfter("1e300"), milliseconds(1'000'000'000));  // as long as a wait may be
}

// Of two waits the last was heeded, however short.
TEST(OddWait, OfSeveralTheLongestIsHeeded) {
  EXPECT_EQ(ParseRetryAfter("5000, 0"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("0, 5000"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("5000, abc"), milliseconds(5000));
  EXPECT_EQ(ParseRetryAfter("5, abc"), kUnreadableRetryAfter);
}

// The last line of a header stood for all.
TEST(OddHeader, AHeaderThatComesTwiceIsReadWithAllItSays) {
  HttpReader reader(10);
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

// A report that says one thing twice was believed in its last: a limit that may be the larger of two.
TEST(OddReport, AReportThatContradictsItselfIsNotBelieved) {
  for (const char* odd : {"x0=0.4,x1=25,x1=1000", "x0=0.4,x1=25, x0=0.9,x1=25", "x1=25,x1=25"}) {
    EXPECT_EQ(ParseLoadReport(odd).left, -1) << odd;
    EXPECT_EQ(ParseLoadReport(odd).limit, -1) << odd;
  }
}

// A report in part tells its part and nothing more; one of which a part can't be read tells nothing.
TEST(OddReport, APartIsNoWhole) {
  EXPECT_EQ(ParseLoadReport("x0=0.4").left, 0.4);
  EXPECT_EQ(ParseLoadReport("x0=0.4").limit, -1);
  EXPECT_EQ(ParseLoadReport("x1=25").left, -1);
  EXPECT_EQ(ParseLoadReport("x1=25").limit, 25);
  for (const char* odd : {"x0=0.4,x1=", "x0=0.4,x1=-25", "x0=0.4,x1=2e9", "x0=0.4,x1=25;", "x0=-1,x1=25",
                          "x0=0.4,x1", "x0=0.4,x1=inf"}) {
    EXPECT_EQ(ParseLoadReport(odd).left, -1) << odd;
    EXPECT_EQ(ParseLoadReport(odd).limit, -1) << odd;
  }
}

// A status is three digits. One with zeros in front was taken for a delivery.
TEST(OddStatus, AStatusThatIsNotThreeDigitsIsNoAnswer) {
  for (const std::string line : {"HTTP/1.1 0200 OK", "HTTP/1.1 00200", "HTTP/1.1 20 0", "HTTP/1.1 2",
                                 "HTTP/1.1 99 x", "HTTP/1.1 0100 C", "HTTP/1.1 2000", "HTTP/1.1 -200"}) {
    HttpReader whole(10), split(10);
    EXPECT_FALSE(whole.Read(line + "\r\nContent-Length: 0\r\n\r\n")) << line;
    EXPECT_NE(whole.status(), 200) << line;
    bool good = true;
    for (const char c : line + "\r\nContent-Length: 0\r\n\r\n")
      good = good && split.Read(std::string_view(&c, 1));
    EXPECT_FALSE(good) << line;
    EXPECT_NE(split.status(), 200) << line;
  }
}

}  // namespace
}  // namespace indigosaddle::net
