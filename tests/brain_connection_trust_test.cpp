// What a connection may be used for, and which answers are believed: the table of Judge, state by state.
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

ConnectionFacts In(ConnectionState state) {
  ConnectionFacts facts;
  facts.state = state;
  facts.sent = true;
  return facts;
}
Distrust Carry(const ConnectionFacts& facts) { return Judge(facts, ConnectionUse::kCarryCall); }
Distrust Believe(const ConnectionFacts& facts) { return Judge(facts, ConnectionUse::kBelieveAnswer); }
Distrust Keep(const ConnectionFacts& facts) { return Judge(facts, ConnectionUse::kKeep); }

// Guards against a call on a connection on which something can still come.
TEST(ConnectionTrust, OnlyAFreshOrASilentOneCarriesACall) {
  for (const ConnectionState state : kAllStates) {
    const bool may = state == ConnectionState::kFresh || state == ConnectionState::kReusable;
    EXPECT_EQ(Carry(In(state)) == Distrust::kNone, may) << NameOf(state);
  }
}

TEST(ConnectionTrust, EachReasonKeepsAUsedOneFromACall) {
  const auto with = [](auto change) {
    ConnectionFacts facts = In(ConnectionState::kReusable);
    change(facts);
    return Carry(facts);
  };
  EXPECT_EQ(with([](ConnectionFacts& f) { f.suspect_endpoint = true; }), Distrust::kSuspect);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.unread = true; }), Distrust::kUnread);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.worn = true; }), Distrust::kWorn);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.moved = true; }), Distrust::kMoved);
  EXPECT_EQ(with([](ConnectionFacts& f) { f.first_call_only = true; }), Distrust::kFirstOnly);
  ConnectionFacts fresh = In(ConnectionState::kFresh);
  fresh.first_call_only = fresh.suspect_endpoint = true;
  EXPECT_EQ(Carry(fresh), Distrust::kNone);
  fresh.unread = true;
  EXPECT_EQ(Carry(fresh), Distrust::kUnread);
}

// Guards against an answer that ends a call which is not out, or whose endpoint says things twice.
TEST(ConnectionTrust, AnAnswerIsBelievedWhereItCanBeNoOther) {
  for (const ConnectionState state : kAllStates) {
    const bool may = state == ConnectionState::kInFirstCall || state == ConnectionState::kInLaterCall;
    EXPECT_EQ(Believe(In(state)) == Distrust::kNone, may) << NameOf(state);
  }
  for (const bool first : {true, false}) {
    ConnectionFacts facts = In(first ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall);
    facts.suspect_endpoint = true;
    EXPECT_EQ(Believe(facts), first ? Distrust::kNone : Distrust::kSuspect);
    facts.suspect_endpoint = false;
    facts.more_behind = true;
    EXPECT_EQ(Believe(facts), first ? Distrust::kNone : Distrust::kMoreBehind);
    facts.more_behind = false;
    facts.spoilt = true;
    EXPECT_EQ(Believe(facts), first ? Distrust::kNone : Distrust::kSpoilt);
    facts.held_up = true;
    EXPECT_EQ(Believe(facts), Distrust::kHeldUp);
  }
}

// Before the call's last byte has left, only that it will not run, and only where nobody else can say so.
TEST(ConnectionTrust, AnEarlyAnswerIsBelievedOnlyAsARefusalOfAFirstCallThatHasNotLeft) {
  for (const bool first : {true, false})
    for (const bool refusal : {true, false})
      for (const bool sent : {true, false}) {
        ConnectionFacts facts = In(first ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall);
        facts.early = true;
        facts.refusal = refusal;
        facts.sent = sent;
        EXPECT_EQ(Believe(facts) == Distrust::kNone, first && refusal && !sent);
        EXPECT_EQ(Keep(facts), Distrust::kEarly);
      }
}

// Guards against a repeat beside a call that a copied refusal has ended.
TEST(ConnectionTrust, AUsedOneIsKeptBehindDeliveriesOnly) {
  for (const bool delivered : {true, false}) {
    ConnectionFacts facts = In(ConnectionState::kInLaterCall);
    facts.delivered = delivered;
    EXPECT_EQ(Keep(facts), delivered ? Distrust::kNone : Distrust::kNotDelivered);
    facts.state = ConnectionState::kInFirstCall;
    EXPECT_EQ(Keep(facts), Distrust::kNone);
  }
}

TEST(ConnectionTrust, SettlesByTime) {
  ConnectionLife life(seconds(1));
  EXPECT_EQ(life.At(seconds(1)), ConnectionState::kConnecting);
  life.Up(seconds(2));
  life.Call(seconds(2));
  EXPECT_EQ(life.At(seconds(9)), ConnectionState::kInFirstCall);
  life.Answered(seconds(10));
  EXPECT_EQ(life.At(seconds(10) + ConnectionLife::kSilence - milliseconds(1)), ConnectionState::kSettling);
  EXPECT_EQ(life.At(seconds(10) + ConnectionLife::kSilence), ConnectionState::kReusable);
  life.Call(seconds(12));
  EXPECT_EQ(life.At(seconds(12)), ConnectionState::kInLaterCall);
}

TEST(ConnectionTrust, OneEndpointIsSuspectAloneAndSeveralSpeakForAll) {
  SuspectEndpoints suspects;
  EXPECT_FALSE(suspects.Sign("a", seconds(1)));
  EXPECT_TRUE(suspects.Suspect("a", seconds(1)));
  EXPECT_FALSE(suspects.Suspect("b", seconds(1)));
  EXPECT_FALSE(suspects.Sign("a", seconds(2)));
  EXPECT_FALSE(suspects.All(seconds(2)));
  EXPECT_TRUE(suspects.Sign("b", seconds(3)));
  EXPECT_TRUE(suspects.Suspect("c", seconds(3)));
  EXPECT_FALSE(suspects.Sign("c", seconds(3)));  // no news
  SuspectEndpoints apart;                        // each for a reason of its own
  EXPECT_FALSE(apart.Sign("a", seconds(1)));
  EXPECT_FALSE(apart.Sign("b", seconds(2) + SuspectEndpoints::kOneCauseWithin));
  EXPECT_TRUE(apart.Suspect("a", seconds(40)));
  EXPECT_FALSE(apart.Suspect("c", seconds(40)));
  const Micros over = seconds(3) + SuspectEndpoints::kSuspectFor;
  EXPECT_FALSE(suspects.Suspect("c", over));
  EXPECT_EQ(suspects.Count(over), 0u);
}

// Guards against a call during a wait that was told by the own answer of a call which a copy has ended.
TEST(ConnectionTrust, AWaitToldOutsideOfACallPausesItsDestination) {
  TestNode node(BaseSettings());
  node.Turn(seconds(1), [&] {
    node.UpdateList({TestNode::MakeEndpoint(1, "a"), TestNode::MakeEndpoint(2, "b")});
  });
  node.Turn(seconds(2), [&] {
    node.brain().OnToldWait("a", milliseconds(500));
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
