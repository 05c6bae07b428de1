// What an endpoint says twice, early or to nothing, byte for byte against a bare socket in one thread.
#include <gtest/gtest.h>

#include "call_endings.h"

namespace indigosaddle::testing {
namespace {

class CallCopies : public CallEndings, private net::CallObserver {
 protected:
  CallCopies() { pool.Observe(*this); }

  // A connection that has carried one call and is silent; the next call is out on it.
  Socket InLaterCall() {
    Start();
    Socket socket = Accept();
    EXPECT_TRUE(socket.Write(Answer(200)));
    RunToAnEnd();
    Settle();
    Start();
    ReadCall(socket);
    return socket;
  }
  void Pass() {
    for (int step = 0; step < 10; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  }

  std::vector<std::uint64_t> doubted;
  int unasked = 0, not_believed = 0;
  Micros unasked_wait{0};

 private:
  void OnUnsolicitedData(const net::UnsolicitedData& said) override {
    ++unasked;
    unasked_wait = said.wait;
  }
  void OnAnswerRejected(const net::RejectedAnswer&) override { ++not_believed; }
  void OnConnectionClosed(const net::ClosedConnection&) override {}
  void OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) override { doubted = serials; }
  void OnTrustViolation(const net::ClosedConnection&) override { FAIL(); }
};

// Guards against a message that ends by a copy, whose own answer nobody heeds any more.
TEST_F(CallCopies, AnAnswerBehindABelievedOneDoubtsItsMessage) {
  const Socket socket = InLaterCall();
  ASSERT_TRUE(socket.Write(Answer(200)));  // a copy
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(Answer(503)));  // its own
  Pass();
  EXPECT_EQ(doubted, std::vector<std::uint64_t>{serial});
  EXPECT_EQ(unasked, 1);
  EXPECT_TRUE(Closed(socket));
}

// The first call's answer can be no other's.
TEST_F(CallCopies, AnAnswerBehindAFirstCallsDoubtsNothing) {
  Start();
  const Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunToAnEnd();
  ASSERT_TRUE(socket.Write(Answer(200)));
  Pass();
  EXPECT_TRUE(doubted.empty());
  EXPECT_EQ(unasked, 1);
  EXPECT_EQ(pool.suspects(), 1u);
}

// Guards against a repeat beside a call that a copied refusal has ended.
TEST_F(CallCopies, ARefusalOnAUsedConnectionEndsItBeforeTheCallIsOver) {
  const Socket socket = InLaterCall();
  bool closed = false;
  on_end = [&] { closed = Closed(socket); };
  ASSERT_TRUE(socket.Write(Answer(503)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kUnavailable);
  EXPECT_TRUE(closed);
}

// Two answers at once on a used connection: one of them is another call's.
TEST_F(CallCopies, OfTwoAnswersOnAUsedConnectionNeitherIsBelieved) {
  const Socket socket = InLaterCall();
  ASSERT_TRUE(socket.Write(Answer(200) + Answer(503)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(not_believed, 1);
}

// A whole first line of a copy, then the call's own answer.
TEST_F(CallCopies, HalfACopyInFrontOfAnAnswerIsNoDelivery) {
  const Socket socket = InLaterCall();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nCont" + Answer(503)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
}

// Nor is it a sign: an endpoint that spoils its own answers says nothing twice.
TEST_F(CallCopies, HalfACopyThatTheConnectionsEndCutsIsNoDelivery) {
  Socket socket = InLaterCall();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nCont"));
  socket.Close();
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(not_believed, 1);
  EXPECT_EQ(unasked, 0);
}

// Guards against a wait that is not heeded since a copy has ended the call which it was told to.
TEST_F(CallCopies, AWaitThatComesUnaskedIsTold) {
  const Socket socket = InLaterCall();
  const std::string wait = Answer(429, "X-Retry-In-Ms: 700\r\n");
  ASSERT_TRUE(socket.Write(Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(wait));
  Pass();
  EXPECT_EQ(unasked_wait, milliseconds(700));
}

TEST_F(CallCopies, AWaitInAnAnswerThatIsNotBelievedIsTold) {
  const Socket socket = InLaterCall();
  ASSERT_TRUE(socket.Write(Answer(429, "X-Retry-In-Ms: 700\r\n") + Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(results.back().wait, milliseconds(700));
}

// Once an endpoint is suspect, a call that is out on a used connection of it is not ended by what comes.
TEST_F(CallCopies, ASignElsewhereAtItsEndpointTakesTheTrustFromAUsedConnection) {
  const Socket used = InLaterCall();
  Start();
  const Socket other = Accept();
  ASSERT_TRUE(other.Write(Answer(200) + Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  EXPECT_EQ(pool.suspects(), 1u);
  ASSERT_TRUE(used.Write(Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
  Start();
  const Socket fresh = Accept();
  ASSERT_TRUE(fresh.Write(Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  EXPECT_EQ(pool.connections(), 0u);  // not kept
}

// An answer to nothing, said as the connection comes up, is no answer to the call.
TEST_F(CallCopies, WhatLiesThereAsACallIsWrittenIsNoAnswer) {
  late = milliseconds(200);
  Start();
  Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  ASSERT_TRUE(socket.Write(Answer(200)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kBrokenBeforeSent);
  EXPECT_EQ(pool.written(), 0u);
}

// The rest of a body may be a copy's: what is left over behind it is a sign.
TEST_F(CallCopies, MoreThanTheRestOfABodyEndsTheConnection) {
  Start();
  const Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(Answer(200)));
  Pass();
  EXPECT_EQ(unasked, 1);
  EXPECT_EQ(pool.connections(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
