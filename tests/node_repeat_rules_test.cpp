// A class is loosened while its messages come in: what may not be repeated is not, whoever handed it in when.
//
// Seen: in pre-production, with a new file and SIGHUP three times a minute, requests that may have run were
// sent again, and some of them handed back to their clients. How: a class went from "may not be repeated" to
// "may", and calls ended in doubt. Clients learn of the change about a second after the node; what they hand
// in meanwhile, or hand in again later, or had handed in before a kill, was written under the old rules.
// Cause: the node looked a message's rules up by the name of its class, in whatever settings were in force
// when it came or was read from the journal. Shown by hand-ins at chosen times round the change, with an
// endpoint that breaks each call behind its last byte: one call and a failure before the change, eight calls
// and a hand-back 0.4 s behind it.
#include <gtest/gtest.h>

#include <thread>

#include "rule_changes.h"

namespace indigosaddle::testing {
namespace {

TEST_F(RuleChanges, WhatWasTakenOnBeforeKeepsItsRules) {
  StartNode();
  break_after_ = 500;
  ASSERT_EQ(HandIn("before"), "+OK");
  SetEffect("read_like");
  Reload();
  EXPECT_FALSE(platform.notices().contains("before"));  // its call is out
  ExpectOneCallAndFailure("before");
}

TEST_F(RuleChanges, WhatIsHandedInShortlyBehindALooseningMayBeOfTheOldRules) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(400));
  ASSERT_EQ(HandIn("soon"), "+OK");
  ExpectOneCallAndFailure("soon");
}

TEST_F(RuleChanges, WhatIsHandedInAgainMayHaveBeenBornBefore) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(HandIn("again", 2000, ",r=1"), "+OK");
  ASSERT_EQ(HandIn("old", 2000), "+OK");  // its time left says so too
  ExpectOneCallAndFailure("again");
  ExpectOneCallAndFailure("old");
}

// The same as it comes from a node that died or did not answer.
TEST_F(RuleChanges, WhatComesFromANodeThatDiedMayHaveBeenBornBefore) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(HandIn("again", 7900, ",again=1"), "+OK");
  ExpectOneCallAndFailure("again");
}

TEST_F(RuleChanges, AKillAndAStartWithTheNewFileChangeNothingForWhatWasTakenOn) {
  StartNode();
  EndpointStandIn slow([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-2", slow.address(), 8));
  ASSERT_TRUE(EnqueueOnceListed("out", std::string("c=") + kClass + ",d=8000,dest=8"));
  ASSERT_TRUE(Eventually([&] { return slow.CallsFor("out") == 1; }));
  node.Kill(SIGKILL);
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return platform.notices().contains("out"); }));
  EXPECT_TRUE(HasNotice("out", "failed"));
  EXPECT_EQ(slow.CallsFor("out"), 1);
}

// The file was replaced while the node was down: what comes at once may be of the old rules as well.
TEST_F(RuleChanges, WhatIsHandedInBehindAStartWithANewFileMayBeOfTheOldRules) {
  StartNode();
  node.Kill(SIGKILL);
  SetEffect("read_like");
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(Eventually([&] { return HandIn("soon") == "+OK"; }));
  ExpectOneCallAndFailure("soon");
}

// No class stays strict for ever.
TEST_F(RuleChanges, WhatIsSurelyBornBehindTheChangeGoesByTheNewRules) {
  StartNode();
  SetEffect("read_like");
  Reload();
  std::this_thread::sleep_for(milliseconds(3600));
  ASSERT_EQ(HandIn("new"), "+OK");
  ExpectRepeated("new");
}

TEST_F(RuleChanges, ATighteningBindsAtOnce) {
  SetEffect("read_like");
  StartNode();
  SetEffect("non_idempotent");
  Reload();
  ASSERT_EQ(HandIn("strict"), "+OK");
  ExpectOneCallAndFailure("strict");
}

}  // namespace
}  // namespace indigosaddle::testing
