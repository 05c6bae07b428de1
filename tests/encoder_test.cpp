// The decision engine's actions as text of the simulator's protocol.
#include <gtest/gtest.h>

#include <sstream>

#include "wire/codec.h"

namespace indigosaddle::wire {
namespace {

TEST(Encode, EveryAction) {
  Encoder encoder;
  encoder.Send(3, 1564119492, "10.18.74.7:11203", Micros(80000));
  encoder.Refuse(3, 1, Micros(0));
  encoder.Refuse(3, 2, Micros(1500500));
  encoder.Fail(3, 4);
  encoder.Sleep(3, Micros(8912250), 77);
  encoder.Watch(3, true);
  encoder.Watch(3, false);
  encoder.Reload(3);
  encoder.Cancel(3, 5, 1);
  encoder.Probe(3, "a:1");
  encoder.CloseIdle(3, "a:1");
  encoder.SendToPeer(3, -1, "aGkgNw==");
  encoder.Log(3, "two servers known");
  encoder.Crash(3, "broken");
  EXPECT_EQ(encoder.Finish(),
            "pass_on nodeId=3 opId=1564119492 endpoint=10.18.74.7:11203 cap=80.000\n"
            "not_now nodeId=3 opId=1\n"
            "not_now nodeId=3 opId=2 notBeforeFor=1500.500\n"
            "finish_error nodeId=3 opId=4\n"
            "sleep nodeId=3 at=8912.250 cookie=77\n"
            "stream_changes nodeId=3 enable=1\n"
            "stream_changes nodeId=3 enable=0\n"
            "reload nodeId=3\n"
            "recall nodeId=3 opId=5 go=1\n"
            "poll nodeId=3 endpoint=a:1\n"
            "drop_conns nodeId=3 endpoint=a:1\n"
            "memo_to nodeId=3 dst=-1 data=aGkgNw==\n"
            "say_log nodeId=3 reasonText=two servers known\n"
            "crash nodeId=3 reasonText=broken\n"
            "ack\n");
  EXPECT_EQ(encoder.Finish(), "ack\n");
}

TEST(Encode, MillisecondsKeepMicroseconds) {
  EXPECT_EQ(FormatMillis(Micros(0)), "0.000");
  EXPECT_EQ(FormatMillis(Micros(1)), "0.001");
  EXPECT_EQ(FormatMillis(Micros(343191066447)), "343191066.447");
  EXPECT_EQ(FormatMillis(Micros(-1500)), "-1.500");
}

}  // namespace
}  // namespace indigosaddle::wire
