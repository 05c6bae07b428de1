// Results of calls whose answer has a head with missing or malformed parts.
#include <gtest/gtest.h>

#include <string>

#include "call_pool_fixture.h"
#include "net/call_format.h"

namespace indigosaddle::testing {
namespace {

class CallPoolMalformedAnswers : public CallPoolFixture {
 protected:
  net::CallResult ResultOf(const std::string& line, const std::string& headers) {
    Start();
    Socket socket = Accept();
    EXPECT_TRUE(socket.Write("HTTP/1.1 " + line + "\r\n" + headers + "Content-Length: 0\r\n\r\n"));
    RunUntilResult();
    return results.back();
  }
};

// A 429 always asks for a pause. An endpoint that gave no readable duration was called again at once.
TEST_F(CallPoolMalformedAnswers, A429AlwaysHasARetryAfter) {
  for (const std::string malformed :
       {"", "X-Retry-In-Ms:\r\n", "X-Retry-In-Ms: soon\r\n", "X-Retry-In-Ms: -1\r\n", "X-Retry-In: 5\r\n"}) {
    const net::CallResult result = ResultOf("429 Full", malformed);
    EXPECT_EQ(result.attempt_result, AttemptResult::kTooManyRequests) << malformed;
    EXPECT_EQ(result.retry_after, net::kUnreadableRetryAfter) << malformed;
  }
  EXPECT_EQ(ResultOf("429 Full", "X-Retry-In-Ms: 0\r\n").retry_after, Micros(0));
  EXPECT_EQ(ResultOf("429 Full", "X-Retry-In-Ms: 5000\r\nX-Retry-In-Ms: 0\r\n").retry_after, seconds(5));
}

// A 503 asks for a pause only if it has a Retry-After header.
TEST_F(CallPoolMalformedAnswers, A503HasARetryAfterOnlyIfTheHeaderIsPresent) {
  EXPECT_EQ(ResultOf("503 Full", "").retry_after, Micros(0));
  EXPECT_EQ(ResultOf("503 Full", "X-Retry-In-Ms: 250\r\n").retry_after, milliseconds(250));
  EXPECT_EQ(ResultOf("503 Full", "X-Retry-In-Ms: soon\r\n").retry_after, net::kUnreadableRetryAfter);
  EXPECT_EQ(ResultOf("503 Full", "X-Retry-In-Ms:\r\n").retry_after, net::kUnreadableRetryAfter);
}

// Only the exact header value says that no slot was free; with any other the endpoint rejected the call.
TEST_F(CallPoolMalformedAnswers, AMalformedNoSlotHeaderIsIgnored) {
  EXPECT_EQ(ResultOf("503 Full", "X-No-Slot: 1\r\n").attempt_result, AttemptResult::kNoSlot);
  for (const std::string malformed : {"X-No-Slot: 0\r\n", "X-No-Slot:\r\n", "X-No-Slot: yes\r\n",
                                      "X-No-Slot: 11\r\n", "X-No-Slot: 0\r\nX-No-Slot: 1\r\n"})
    EXPECT_EQ(ResultOf("503 Full", malformed).attempt_result, AttemptResult::kUnavailable) << malformed;
}

// Read as a 200, such a status completed a message whose call may have failed.
TEST_F(CallPoolMalformedAnswers, AStatusThatIsNotThreeDigitsMayHaveRun) {
  for (const std::string malformed : {"0200 OK", "00200 OK", "20 0", "2", "2000"}) {
    const AttemptResult result = ResultOf(malformed, "").attempt_result;
    EXPECT_NE(result, AttemptResult::kDelivered) << malformed;
    EXPECT_TRUE(state::MayHaveRun(state::MeaningOf(result).result)) << malformed;
  }
}

}  // namespace
}  // namespace indigosaddle::testing
