// The host of instances on the simulator's protocol: starts, kills, dispatch and the exit status.
#include "wirehost/wire_host.h"

#include <gtest/gtest.h>

#include <sstream>

namespace indigosaddle::wirehost {
namespace {

struct Result {
  int status;
  std::string out, err;
};

Result ServeText(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int status = Serve(in, out, err);
  return {status, out.str(), err.str()};
}

std::string ConfigureEvents(int node) {
  return "configure nodeId=" + std::to_string(node) +
         " randomSeed=1 balancers=2 caps.attemptsCap=5 caps.maxOpen=50 classes.count=1 classes.0.aim=2000 "
         "classes.0.deadline=20000 classes.0.effect=read_like classes.0.worth=1 familyInfo.callSlots=4 "
         "familyInfo.perCall=1 familyInfo.separateRoutes=false tick=5\n"
         "register bank=0 items=1\n"
         "row endpoint=a:1 destination=7 state=ready\n"
         "announce nodeId=" +
         std::to_string(node) + " mode=cached epoch=1 bank=0\n";
}

std::string InboundEvent(int node, int id) {
  return "inbound nodeId=" + std::to_string(node) + " opId=" + std::to_string(id) +
         " tierClass=0 giveUpAt=21000 toDest=7\n";
}

std::string PassOnLine(int node, int id) {
  return "pass_on nodeId=" + std::to_string(node) + " opId=" + std::to_string(id) + " endpoint=a:1";
}

TEST(Host, EachBatchGetsAReplyAndEndOfInputExitsWith0) {
  const Result r = ServeText("turn moment=1\neob\nturn moment=2\neob\n");
  EXPECT_EQ(r.status, 0);
  EXPECT_EQ(r.out, "ack\nack\n");
  EXPECT_EQ(r.err, "");
}

TEST(Host, InstancesShareNothingAndActOnlyOnTheirEvents) {
  const Result r = ServeText("turn moment=1000\n" + ConfigureEvents(1) + ConfigureEvents(2) +
                             "eob\nturn moment=1001\n" + InboundEvent(2, 5) + "eob\n");
  EXPECT_NE(r.out.find(PassOnLine(2, 5)), std::string::npos);
  EXPECT_EQ(r.out.find("nodeId=1"), std::string::npos);
}

TEST(Host, ARestartAfterAKillInOneBatchBeginsWithoutState) {
  const Result r =
      ServeText("turn moment=1000\n" + ConfigureEvents(1) + InboundEvent(1, 5) + "eob\nturn moment=1001\n" +
                InboundEvent(1, 6) + "kill nodeId=1\n" + ConfigureEvents(1) + "eob\nturn moment=1002\n" +
                "settled nodeId=1 opId=5 go=0 endpoint=a:1 status=502\n" + InboundEvent(1, 7) + "eob\n");
  EXPECT_EQ(r.status, 0);
  EXPECT_NE(r.out.find(PassOnLine(1, 5)), std::string::npos);
  EXPECT_EQ(r.out.find(PassOnLine(1, 6)), std::string::npos);  // enqueued and killed in one batch
  EXPECT_NE(r.out.find(PassOnLine(1, 7)), std::string::npos);
  EXPECT_EQ(r.out.find(PassOnLine(1, 5)), r.out.rfind(PassOnLine(1, 5)));  // not sent again after the restart
}

TEST(Host, EventsForInstancesNotRunningAreNotedOnce) {
  const Result r =
      ServeText("turn moment=1\n" + InboundEvent(9, 1) + InboundEvent(9, 2) + "kill nodeId=9\neob\n");
  EXPECT_EQ(r.status, 0);
  EXPECT_EQ(r.out, "ack\n");
  EXPECT_EQ(r.err, "passing over events for node 9: not running\n");
}

TEST(Host, MalformedInputEndsWithStatus2AndNoPartialReply) {
  const Result r = ServeText("turn moment=1\neob\nturn moment=2\n" + ConfigureEvents(1) + InboundEvent(1, 1) +
                             "inbound nodeId=1 opId=zz giveUpAt=1 toDest=7\neob\n");
  EXPECT_EQ(r.status, 2);
  EXPECT_EQ(r.out, "ack\n");  // of the first batch only
  EXPECT_EQ(r.err, "indigosaddle_wirehost: batch line 7: field 'opId': expected a whole number from 0 up\n");
}

}  // namespace
}  // namespace indigosaddle::wirehost
