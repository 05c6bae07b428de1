// Duplicated, early and unsolicited responses of an endpoint, byte for byte against a plain socket in one
// thread.
#include <gtest/gtest.h>

#include "call_pool_fixture.h"

namespace indigosaddle::testing {
namespace {

class DuplicateAnswers : public CallPoolFixture, private net::CallObserver {
 protected:
  DuplicateAnswers() { pool.Observe(*this); }

  // Returns a connection that has carried one call, was quiet since, and now has the next call in flight.
  Socket StartCallOnReusedConnection() {
    Start();
    Socket socket = Accept();
    EXPECT_TRUE(socket.Write(Answer(200)));
    RunUntilResult();
    WaitUntilReusable();
    Start();
    ReadRequest(socket);
    return socket;
  }
  void RunLoopPasses() {
    for (int step = 0; step < 10; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
  }

  std::vector<std::uint64_t> doubtful_calls;
  int unsolicited_count = 0, rejected_count = 0;
  Micros unsolicited_retry_after{0};

 private:
  void OnUnsolicitedData(const net::UnsolicitedData& data) override {
    ++unsolicited_count;
    unsolicited_retry_after = data.retry_after;
  }
  void OnAnswerRejected(const net::RejectedAnswer&) override { ++rejected_count; }
  void OnConnectionClosed(const net::ClosedConnection&) override {}
  void OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) override { doubtful_calls = serials; }
  void OnTrustViolation(const net::ClosedConnection&) override { FAIL(); }
};

// Guards against a message that is completed by a duplicate of an earlier answer while its own answer, which
// comes later, is ignored.
TEST_F(DuplicateAnswers, AnAnswerAfterAnAcceptedOneMakesTheResultDoubtful) {
  const Socket socket = StartCallOnReusedConnection();
  ASSERT_TRUE(socket.Write(Answer(200)));  // a duplicate of the first call's answer
  EXPECT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(Answer(503)));  // the second call's own answer
  RunLoopPasses();
  EXPECT_EQ(doubtful_calls, std::vector<std::uint64_t>{serial});
  EXPECT_EQ(unsolicited_count, 1);
  EXPECT_TRUE(IsClosed(socket));
}

// The answer to the first call of a connection cannot belong to another call.
TEST_F(DuplicateAnswers, AnAnswerAfterAFirstCallsAnswerMakesNoResultDoubtful) {
  Start();
  const Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunUntilResult();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunLoopPasses();
  EXPECT_TRUE(doubtful_calls.empty());
  EXPECT_EQ(unsolicited_count, 1);
  EXPECT_EQ(pool.suspects(), 1u);
}

// Guards against a repeat that runs beside a call which a duplicated error status has ended.
TEST_F(DuplicateAnswers, AnErrorStatusOnAReusedConnectionClosesItBeforeTheResultIsReported) {
  const Socket socket = StartCallOnReusedConnection();
  bool closed = false;
  on_result = [&] { closed = IsClosed(socket); };
  ASSERT_TRUE(socket.Write(Answer(503)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kUnavailable);
  EXPECT_TRUE(closed);
}

// Of two answers at once on a reused connection, one belongs to another call.
TEST_F(DuplicateAnswers, TwoAnswersAtOnceOnAReusedConnectionAreBothRejected) {
  const Socket socket = StartCallOnReusedConnection();
  ASSERT_TRUE(socket.Write(Answer(200) + Answer(503)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(rejected_count, 1);
}

// The endpoint sends the whole status line of a duplicate, then the call's own answer.
TEST_F(DuplicateAnswers, APartialDuplicateBeforeAnAnswerIsNoDelivery) {
  const Socket socket = StartCallOnReusedConnection();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nCont" + Answer(503)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
}

// A partial duplicate does not make the endpoint suspect: an endpoint that truncates its own answers
// duplicates none.
TEST_F(DuplicateAnswers, APartialDuplicateCutOffByTheConnectionsEndIsNoDelivery) {
  Socket socket = StartCallOnReusedConnection();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nCont"));
  socket.Close();
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(rejected_count, 1);
  EXPECT_EQ(unsolicited_count, 0);
}

// Guards against a Retry-After that is ignored because a duplicate has already ended the call it belongs to.
TEST_F(DuplicateAnswers, ARetryAfterInAnUnsolicitedAnswerIsReported) {
  const Socket socket = StartCallOnReusedConnection();
  const std::string wait = Answer(429, "X-Retry-In-Ms: 700\r\n");
  ASSERT_TRUE(socket.Write(Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(wait));
  RunLoopPasses();
  EXPECT_EQ(unsolicited_retry_after, milliseconds(700));
}

TEST_F(DuplicateAnswers, ARetryAfterInARejectedAnswerIsReported) {
  const Socket socket = StartCallOnReusedConnection();
  ASSERT_TRUE(socket.Write(Answer(429, "X-Retry-In-Ms: 700\r\n") + Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
  EXPECT_EQ(results.back().retry_after, milliseconds(700));
}

// Once an endpoint is suspect, no answer on its reused connections is accepted for the call in flight there.
TEST_F(DuplicateAnswers, AViolationOnAnotherConnectionOfTheEndpointEndsTrustInAReusedOne) {
  const Socket used = StartCallOnReusedConnection();
  Start();
  const Socket other = Accept();
  ASSERT_TRUE(other.Write(Answer(200) + Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  EXPECT_EQ(pool.suspects(), 1u);
  ASSERT_TRUE(used.Write(Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
  Start();
  const Socket fresh = Accept();
  ASSERT_TRUE(fresh.Write(Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  EXPECT_EQ(pool.connections(), 0u);  // not kept
}

// An unsolicited answer that is sent as the connection is established is no answer to the call.
TEST_F(DuplicateAnswers, DataThatArrivedBeforeTheRequestWasWrittenIsNoAnswer) {
  connect_delay = milliseconds(200);
  Start();
  Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  ASSERT_TRUE(socket.Write(Answer(200)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kBrokenBeforeSent);
  EXPECT_EQ(pool.written(), 0u);
}

// The rest of a body may belong to a duplicate: data left over after it makes the endpoint suspect.
TEST_F(DuplicateAnswers, DataBeyondTheRestOfABodyClosesTheConnection) {
  Start();
  const Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunLoopPasses();
  EXPECT_EQ(unsolicited_count, 1);
  EXPECT_EQ(pool.connections(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
