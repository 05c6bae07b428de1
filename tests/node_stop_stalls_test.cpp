// A planned stop of the built node with stalls of the process, clients that send slowly meanwhile, and a kill
// at the earliest moment that the platform allows.
#include <gtest/gtest.h>

#include "stopped_node.h"

namespace indigosaddle::testing {
namespace {

class StalledStop : public StoppedNode {};

// Guards against a request that is written whole to an open connection and has no answer when the kill comes.
TEST_F(StalledStop, ALateCommandIsAnsweredOrItsConnectionEndedBefore) {
  ASSERT_TRUE(node.Start());
  std::vector<milliseconds> last_bytes;
  for (int at = 3300; at <= 3680; at += 10) last_bytes.push_back(milliseconds(at));
  Stop({milliseconds(-5), milliseconds(2850), milliseconds(3010), milliseconds(3170), milliseconds(3490),
        milliseconds(3645)},
       last_bytes);
  ExpectEachAnsweredOrEndedBefore();
  EXPECT_FALSE(killed()) << "still alive at the earliest kill";
}

// Guards against reads, admissions and calls in the rest of the loop's turn after the end of the stop.
TEST_F(StalledStop, NothingIsAcceptedOrCalledAfterTheEnd) {
  ASSERT_TRUE(node.Start());
  std::vector<milliseconds> last_bytes;
  for (int at = 3505; at <= 3640; at += 15) last_bytes.push_back(milliseconds(at));
  Stop({milliseconds(3500)}, last_bytes);
  ExpectEachAnsweredOrEndedBefore();
  ExpectNoneAccepted();
}

// Guards against a command that is half sent when the process ends and whose client gets no reply at all.
TEST_F(StalledStop, AnUnfinishedCommandIsRefusedBeforeTheEnd) {
  ASSERT_TRUE(node.Start());
  Stop({}, std::vector<milliseconds>(8, milliseconds(4000)));
  for (const LateSender& sender : senders())
    EXPECT_TRUE(sender.reply().starts_with("-BUSY")) << "got: " << sender.reply();
  EXPECT_FALSE(killed());
}

// Guards against a request that is accepted so late that a stall leaves no time to answer before the kill.
TEST_F(StalledStop, ACommandThatEndsLateIsNotAccepted) {
  ASSERT_TRUE(node.Start());
  std::vector<milliseconds> last_bytes;
  for (int at = 3310; at <= 3540; at += 10) last_bytes.push_back(milliseconds(at));
  Stop({}, last_bytes);
  ExpectEachAnsweredOrEndedBefore();
  ExpectNoneAccepted();
}

// Guards against steps of the stop that are timed from when the process sees the signal, not from its
// arrival.
TEST_F(StalledStop, AStallAtTheSignalDoesNotDelayTheEnd) {
  ASSERT_TRUE(node.Start());
  Stop({milliseconds(-5), milliseconds(2700), milliseconds(2870), milliseconds(3040)},
       {milliseconds(3300), milliseconds(3400), milliseconds(3500), milliseconds(3600)});
  ExpectEachAnsweredOrEndedBefore();
  EXPECT_LE(ended_after(), kEarliestKill - kStall);
}

}  // namespace
}  // namespace indigosaddle::testing
