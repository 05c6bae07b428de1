// CheckConnectionUse state by state: what a connection may carry, and which answers are accepted.
#include <gtest/gtest.h>

#include <vector>

#include "brain/connection_trust.h"
#include "test_node.h"

namespace indigosaddle::testing {
namespace {

const std::vector<ConnectionState> kAllStates = {ConnectionState::kConnecting,  ConnectionState::kFresh,
                                                 ConnectionState::kInFirstCall, ConnectionState::kInLaterCall,
                                                 ConnectionState::kReadingRest, ConnectionState::kSettling,
                                                 ConnectionState::kReusable,    ConnectionState::kClosed};

ConnectionFacts FactsIn(ConnectionState state) {
  ConnectionFacts facts;
  facts.state = state;
  facts.request_sent = true;
  return facts;
}
DenialReason CheckSend(const ConnectionFacts& facts) {
  return CheckConnectionUse(facts, ConnectionUse::kSendCall);
}
DenialReason CheckAnswer(const ConnectionFacts& facts) {
  return CheckConnectionUse(facts, ConnectionUse::kAcceptAnswer);
}
DenialReason CheckKeep(const ConnectionFacts& facts) {
  return CheckConnectionUse(facts, ConnectionUse::kKeepOpen);
}

// Guards against a call on a connection on which another answer can still arrive.
TEST(ConnectionTrust, OnlyFreshOrReusableConnectionsCarryACall) {
  for (const ConnectionState state : kAllStates) {
    const bool may = state == ConnectionState::kFresh || state == ConnectionState::kReusable;
    EXPECT_EQ(CheckSend(FactsIn(state)) == DenialReason::kNone, may) << NameOf(state);
  }
}

TEST(ConnectionTrust, EachReasonDeniesACallOnAReusedConnection) {
  const auto with = [](auto change) {
    ConnectionFacts facts = FactsIn(ConnectionState::kReusable);
    change(facts);
    return CheckSend(facts);
  };
  EXPECT_EQ(with([](ConnectionFacts& f) { f.suspect_endpoint = true; }), DenialReason::kSuspectEndpoint);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.unread_input = true; }), DenialReason::kUnreadInput);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.idle_too_long = true; }), DenialReason::kIdleTooLong);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.address_changed = true; }), DenialReason::kAddressChanged);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.first_call_only = true; }), DenialReason::kFirstCallOnly);
  ConnectionFacts fresh = FactsIn(ConnectionState::kFresh);
  fresh.first_call_only = fresh.suspect_endpoint = true;
  EXPECT_EQ(CheckSend(fresh), DenialReason::kNone);
  fresh.unread_input = true;
  EXPECT_EQ(CheckSend(fresh), DenialReason::kUnreadInput);
}

// Guards against an answer that ends a call which is not in flight, or whose endpoint sends duplicates.
TEST(ConnectionTrust, AnAnswerIsAcceptedOnlyIfItMustBelongToTheCall) {
  for (const ConnectionState state : kAllStates) {
    const bool may = state == ConnectionState::kInFirstCall || state == ConnectionState::kInLaterCall;
    EXPECT_EQ(CheckAnswer(FactsIn(state)) == DenialReason::kNone, may) << NameOf(state);
  }
  for (const bool first : {true, false}) {
    ConnectionFacts facts = FactsIn(first ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall);
    facts.suspect_endpoint = true;
    EXPECT_EQ(CheckAnswer(facts), first ? DenialReason::kNone : DenialReason::kSuspectEndpoint);
    facts.suspect_endpoint = false;
    facts.trailing_bytes = true;
    EXPECT_EQ(CheckAnswer(facts), first ? DenialReason::kNone : DenialReason::kTrailingBytes);
    facts.trailing_bytes = false;
    facts.malformed = true;
    EXPECT_EQ(CheckAnswer(facts), first ? DenialReason::kNone : DenialReason::kMalformedAnswer);
    facts.write_delayed = true;
    EXPECT_EQ(CheckAnswer(facts), DenialReason::kWriteDelayed);
  }
}

// Guards against an early answer to another call: before the call's last byte was sent, only a refusal
// counts, and only on a first call.
TEST(ConnectionTrust, AnEarlyAnswerIsAcceptedOnlyAsARefusalOfAnUnsentFirstCall) {
  for (const bool first : {true, false})
    for (const bool refusal : {true, false})
      for (const bool sent : {true, false}) {
        ConnectionFacts facts =
            FactsIn(first ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall);
        facts.answered_early = true;
        facts.refusal = refusal;
        facts.request_sent = sent;
        EXPECT_EQ(CheckAnswer(facts) == DenialReason::kNone, first && refusal && !sent);
        EXPECT_EQ(CheckKeep(facts), DenialReason::kEarlyAnswer);
      }
}

// Guards against a repeat beside a call that still runs: a duplicate of an earlier refusal was taken for its
// answer.
TEST(ConnectionTrust, AReusedConnectionIsKeptOnlyAfterADelivery) {
  for (const bool delivered : {true, false}) {
    ConnectionFacts facts = FactsIn(ConnectionState::kInLaterCall);
    facts.delivered = delivered;
    EXPECT_EQ(CheckKeep(facts), delivered ? DenialReason::kNone : DenialReason::kNotDelivered);
    facts.state = ConnectionState::kInFirstCall;
    EXPECT_EQ(CheckKeep(facts), DenialReason::kNone);
  }
}

TEST(ConnectionTrust, AConnectionBecomesReusableAfterTheQuietPeriod) {
  ConnectionLifecycle life(seconds(1));
  EXPECT_EQ(life.At(seconds(1)), ConnectionState::kConnecting);
  life.MarkConnected(seconds(2));
  life.MarkCallStarted(seconds(2));
  EXPECT_EQ(life.At(seconds(9)), ConnectionState::kInFirstCall);
  life.MarkAnswered(seconds(10));
  EXPECT_EQ(life.At(seconds(10) + ConnectionLifecycle::kQuietPeriod - milliseconds(1)),
            ConnectionState::kSettling);
  EXPECT_EQ(life.At(seconds(10) + ConnectionLifecycle::kQuietPeriod), ConnectionState::kReusable);
  life.MarkCallStarted(seconds(12));
  EXPECT_EQ(life.At(seconds(12)), ConnectionState::kInLaterCall);
}

TEST(ConnectionTrust, SeveralSuspectEndpointsMakeAllSuspect) {
  SuspectEndpoints suspects;
  EXPECT_FALSE(suspects.ReportUnsolicitedData("a", seconds(1)));
  EXPECT_TRUE(suspects.IsSuspect("a", seconds(1)));
  EXPECT_FALSE(suspects.IsSuspect("b", seconds(1)));
  EXPECT_FALSE(suspects.ReportUnsolicitedData("a", seconds(2)));
  EXPECT_FALSE(suspects.AllSuspect(seconds(2)));
  EXPECT_TRUE(suspects.ReportUnsolicitedData("b", seconds(3)));
  EXPECT_TRUE(suspects.IsSuspect("c", seconds(3)));
  EXPECT_FALSE(suspects.ReportUnsolicitedData("c", seconds(3)));  // all were suspect before
  SuspectEndpoints apart;                                         // reports too far apart for a common cause
  EXPECT_FALSE(apart.ReportUnsolicitedData("a", seconds(1)));
  EXPECT_FALSE(apart.ReportUnsolicitedData("b", seconds(2) + SuspectEndpoints::kCommonCauseWindow));
  EXPECT_TRUE(apart.IsSuspect("a", seconds(40)));
  EXPECT_FALSE(apart.IsSuspect("c", seconds(40)));
  const Micros over = seconds(3) + SuspectEndpoints::kSuspectDuration;
  EXPECT_FALSE(suspects.IsSuspect("c", over));
  EXPECT_EQ(suspects.Count(over), 0u);
}

// Guards against a call during a Retry-After that came with a call's own answer, after a duplicate of an
// earlier answer had ended that call.
TEST(ConnectionTrust, ARetryAfterOutsideOfACallPausesItsDestination) {
  TestNode node(BaseSettings());
  node.Turn(seconds(1), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b")});
  });
  node.Turn(seconds(2), [&] {
    node.brain().OnRetryAfter("a", milliseconds(500));
    node.Enqueue(1, 1);
    node.Enqueue(2, 2);
  });
  EXPECT_EQ(node.CountSends(1), 0);
  EXPECT_EQ(node.CountSends(2), 1);
  node.Turn(milliseconds(2499), [] {});
  EXPECT_EQ(node.CountSends(1), 0);
  node.Turn(milliseconds(2501), [] {});
  EXPECT_EQ(node.CountSends(1), 1);
}

}  // namespace
}  // namespace indigosaddle::testing
