// How calls end, byte for byte, against a bare socket in one thread: what the other side does between two
// steps of the loop has happened by the next (docs/design/005).
#include <gtest/gtest.h>

#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "call_endings.h"
#include "net/call_pool.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using state::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A first line with 200 is a delivery once it is whole. Cut off a byte before, it says nothing: the call may
// have run, and its message is owed its end. Taken for a delivery, the message was lost.
TEST_F(CallEndings, AnAnswerThatBreaksOffAnywhereInItsFirstLineIsNoDelivery) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  for (std::size_t cut = 0; cut <= line.size(); ++cut) {
    Start();
    Socket socket = Accept();
    ASSERT_TRUE(cut == 0 || socket.Write(line.substr(0, cut)));
    socket.Close();
    const AttemptResult ending = RunToAnEnd();
    if (cut == line.size()) {
      EXPECT_EQ(ending, AttemptResult::kDelivered);
    } else {
      EXPECT_TRUE(ending == AttemptResult::kBrokenMidAnswer || ending == AttemptResult::kBrokenAfterSent)
          << cut;
      EXPECT_TRUE(state::MayHaveRun(state::MeaningOf(ending).result)) << cut;
    }
  }
}

// The same where the rest never comes: patience, or the call's time, is over.
TEST_F(CallEndings, AFirstLineThatNeverEndsIsNoDelivery) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK"));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
}

// In the instant in which a call is over, and something else may be tried for its message, no connection with
// it is open any more: there is one live attempt at most.
TEST_F(CallEndings, ACallThatIsOverIsNoLongerOpen) {
  bool closed = false;
  for (const std::string answer : {"rubbish\r\n\r\n", "HTTP/1.1 200", ""}) {
    Start(milliseconds(300));
    Socket socket = Accept();
    on_end = [&] { closed = Closed(socket); };
    ASSERT_TRUE(answer.empty() || socket.Write(answer));
    const AttemptResult ending = RunToAnEnd();
    EXPECT_TRUE(ending == AttemptResult::kMalformedResponse || ending == AttemptResult::kTimedOut) << answer;
    EXPECT_TRUE(closed) << answer;
  }
  on_end = nullptr;
}

// The loop was held up, and both timers of a call are due in one pass of it, the call's time and the patience
// with its answer: the first ends the call, and the second finds nothing. It looked at the closed connection,
// and the node crashed (signal 11).
TEST_F(CallEndings, TwoTimersThatAreDueInOnePassEndACallOnce) {
  for (const milliseconds timeout :
       {milliseconds(300), milliseconds(700)}) {  // before the patience, behind it
    results.clear();
    Start(timeout);
    Socket socket = Accept();
    ASSERT_TRUE(socket.Write("HTTP/1.1 2"));
    uv_run(loop.raw(), UV_RUN_NOWAIT);  // read: patience of 500 ms runs from here
    std::this_thread::sleep_for(milliseconds(900));
    EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
    for (int step = 0; step < 10; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
    EXPECT_EQ(results.size(), 1u);
    EXPECT_TRUE(Closed(socket));
  }
}

// The endpoint ends its idle connection in the instant in which a call is written to it: the call may have
// run, and the pool sends it nowhere else.
TEST_F(CallEndings, AnIdleConnectionThatEndsUnderItsCallIsAReset) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  ASSERT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  Settle();
  Start();  // written to the idle connection
  socket.Close();
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kBrokenAfterSent);
  EXPECT_EQ(pool.opened(), 1u);
  pollfd another{listener.get(), POLLIN, 0};
  EXPECT_EQ(poll(&another, 1, 0), 0);  // nobody connected once more
}

// Half a line comes on it in that instant instead: what is answered then can't be told from it.
TEST_F(CallEndings, HalfALineOnAnIdleConnectionSpoilsTheNextAnswer) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  ASSERT_EQ(RunToAnEnd(), AttemptResult::kDelivered);
  Settle();
  Start();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 O"));  // no answer to this call
  ReadCall(socket);
  ASSERT_TRUE(socket.Write(Answer(503)));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kMalformedResponse);
}

TEST_F(CallEndings, AnswersAndClosesTogether) {
  for (const int status : {200, 500, 503, 429, 410}) {
    Start();
    Socket socket = Accept();
    ASSERT_TRUE(socket.Write(Answer(status)));
    socket.Close();
    EXPECT_EQ(RunToAnEnd(), state::AttemptResultOfStatus(status, false)) << status;
  }
}

// 1xx in front is no answer: the call times out, and the connection closes with it.
TEST_F(CallEndings, OneHundredAndThenNothingTimesOut) {
  Start(milliseconds(300));
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 102 Processing\r\n\r\n"));
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kTimedOut);
  EXPECT_TRUE(Closed(socket));
}

// Both are asked before their first byte, and what is denied sends none: the new connection serves the next
// call, the idle one is closed.
TEST_F(CallEndings, WhatMayNotStartSendsNothing) {
  allowed = false;
  Start();
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kNotStarted);
  Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  EXPECT_EQ(pool.connections(), 1u);
  EXPECT_EQ(asked, 1);
  Start();                        // on the idle connection
  EXPECT_EQ(results.size(), 1u);  // told later, never from within
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kNotStarted);
  EXPECT_EQ(asked, 2);
  EXPECT_EQ(socket.Read(), "");
  EXPECT_EQ(pool.written(), 0u);
}

// A call tells for how long its node waits from there on; its connection's way is no longer in that.
TEST_F(CallEndings, WhatACallTellsOfItsTimeCountsFromItsFirstByte) {
  late = milliseconds(300);
  Start(milliseconds(1000));
  const Socket socket = Accept();
  const std::string name = "X-Expires-In: ";
  const std::size_t at = taken.find(name);
  ASSERT_NE(at, std::string::npos);
  const int millis = std::stoi(taken.substr(at + name.size()));
  EXPECT_GT(millis, 0);
  EXPECT_LE(millis, 700);
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kTimedOut);
}

// The count by which a call is recorded as begun in its turn: only connections on which nothing lies.
TEST_F(CallEndings, IdleConnectionsAreCountedAsTheyAreUsed) {
  const std::string dial = "127.0.0.1:" + std::to_string(port);
  EXPECT_EQ(pool.idle("s-1", dial), 0u);
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunToAnEnd();
  EXPECT_EQ(pool.idle("s-1", dial), 0u);  // not silent for long enough
  Settle();
  EXPECT_EQ(pool.idle("s-1", dial), 1u);
  EXPECT_EQ(pool.idle("s-1", dial, true), 0u);  // for a first call only
  EXPECT_EQ(pool.idle("s-1", "127.0.0.1:1"), 0u);
  EXPECT_EQ(pool.idle("s-2", dial), 0u);
  ASSERT_TRUE(socket.Write("x"));
  EXPECT_EQ(pool.idle("s-1", dial), 0u);
}

// Its connection comes up when the call's time is over: it never began.
TEST_F(CallEndings, AConnectionThatIsNeverUpInTimeCarriesNothing) {
  int full_port = 0;
  Socket full = Socket::Listen(full_port);
  listen(full.get(), 0);
  std::vector<Socket> waiting;  // fill the queue, so that the next connection does not come up
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(full_port));
    connect(waiting.back().get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
  pool.Start({++serial, "127.0.0.1:" + std::to_string(full_port), "s-1", "m", "", "body", milliseconds(300)});
  EXPECT_EQ(RunToAnEnd(), AttemptResult::kConnectFailed);
  EXPECT_EQ(asked, 0);
  EXPECT_EQ(pool.written(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
