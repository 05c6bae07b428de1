// What a call's result says of an answer whose head lacks a part or has an odd one.
#include <gtest/gtest.h>

#include <string>

#include "call_endings.h"
#include "net/call_format.h"

namespace indigosaddle::testing {
namespace {

class OddAnswer : public CallEndings {
 protected:
  net::CallResult To(const std::string& line, const std::string& headers) {
    Start();
    Socket socket = Accept();
    EXPECT_TRUE(socket.Write("HTTP/1.1 " + line + "\r\n" + headers + "Content-Length: 0\r\n\r\n"));
    RunToAnEnd();
    return results.back();
  }
};

// A 429 says to wait. Where it does not say how long, it was called again at once.
TEST_F(OddAnswer, A429AlwaysTellsAWait) {
  for (const std::string odd :
       {"", "X-Retry-In-Ms:\r\n", "X-Retry-In-Ms: soon\r\n", "X-Retry-In-Ms: -1\r\n", "X-Retry-In: 5\r\n"}) {
    const net::CallResult result = To("429 Full", odd);
    EXPECT_EQ(result.attempt_result, AttemptResult::kTooManyRequests) << odd;
    EXPECT_EQ(result.wait, net::kUnreadableRetryAfter) << odd;
  }
  EXPECT_EQ(To("429 Full", "X-Retry-In-Ms: 0\r\n").wait, Micros(0));
  EXPECT_EQ(To("429 Full", "X-Retry-In-Ms: 5000\r\nX-Retry-In-Ms: 0\r\n").wait, seconds(5));
}

// A 503 tells a wait only where it has one.
TEST_F(OddAnswer, A503TellsTheWaitThatItHas) {
  EXPECT_EQ(To("503 Full", "").wait, Micros(0));
  EXPECT_EQ(To("503 Full", "X-Retry-In-Ms: 250\r\n").wait, milliseconds(250));
  EXPECT_EQ(To("503 Full", "X-Retry-In-Ms: soon\r\n").wait, net::kUnreadableRetryAfter);
  EXPECT_EQ(To("503 Full", "X-Retry-In-Ms:\r\n").wait, net::kUnreadableRetryAfter);
}

// Only the mark itself says that a call was not sent for want of a slot; else the endpoint turned it away.
TEST_F(OddAnswer, AnOddNoSlotMarkIsNone) {
  EXPECT_EQ(To("503 Full", "X-No-Slot: 1\r\n").attempt_result, AttemptResult::kNoSlot);
  for (const std::string odd : {"X-No-Slot: 0\r\n", "X-No-Slot:\r\n", "X-No-Slot: yes\r\n",
                                "X-No-Slot: 11\r\n", "X-No-Slot: 0\r\nX-No-Slot: 1\r\n"})
    EXPECT_EQ(To("503 Full", odd).attempt_result, AttemptResult::kUnavailable) << odd;
}

// Taken for a 200, a message whose call may have failed was over.
TEST_F(OddAnswer, AStatusThatIsNotThreeDigitsMayHaveRun) {
  for (const std::string odd : {"0200 OK", "00200 OK", "20 0", "2", "2000"}) {
    const AttemptResult ending = To(odd, "").attempt_result;
    EXPECT_NE(ending, AttemptResult::kDelivered) << odd;
    EXPECT_TRUE(state::MayHaveRun(state::MeaningOf(ending).result)) << odd;
  }
}

}  // namespace
}  // namespace indigosaddle::testing
