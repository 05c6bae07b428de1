// Results of calls, byte for byte, against a plain socket in one thread: whatever the other side does between
// two passes of the loop is visible in the next pass (docs/design/005).
#include <gtest/gtest.h>

#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "call_pool_fixture.h"
#include "net/call_pool.h"
#include "sockets.h"

namespace indigosaddle::testing {
namespace {

using state::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A status line with 200 is a delivery only once it is complete. If it is truncated, the call may have run
// and its message is still pending; counted as a delivery, the message was lost.
TEST_F(CallPoolFixture, AnAnswerThatBreaksOffAnywhereInItsFirstLineIsNoDelivery) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  for (std::size_t cut = 0; cut <= line.size(); ++cut) {
    Start();
    Socket socket = Accept();
    ASSERT_TRUE(cut == 0 || socket.Write(line.substr(0, cut)));
    socket.Close();
    const AttemptResult result = RunUntilResult();
    if (cut == line.size()) {
      EXPECT_EQ(result, AttemptResult::kDelivered);
    } else {
      EXPECT_TRUE(result == AttemptResult::kBrokenMidAnswer || result == AttemptResult::kBrokenAfterSent)
          << cut;
      EXPECT_TRUE(state::MayHaveRun(state::MeaningOf(result).result)) << cut;
    }
  }
}

// The same if the rest never comes, because the idle timeout or the attempt timeout expires.
TEST_F(CallPoolFixture, AFirstLineThatNeverEndsIsNoDelivery) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 OK"));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
}

// When a call's result is reported, another attempt may start for its message. The call's connection must be
// closed by then, so that there is at most one live attempt.
TEST_F(CallPoolFixture, TheConnectionOfAFinishedCallIsClosed) {
  bool closed = false;
  for (const std::string answer : {"rubbish\r\n\r\n", "HTTP/1.1 200", ""}) {
    Start(milliseconds(300));
    Socket socket = Accept();
    on_result = [&] { closed = IsClosed(socket); };
    ASSERT_TRUE(answer.empty() || socket.Write(answer));
    const AttemptResult result = RunUntilResult();
    EXPECT_TRUE(result == AttemptResult::kMalformedResponse || result == AttemptResult::kTimedOut) << answer;
    EXPECT_TRUE(closed) << answer;
  }
  on_result = nullptr;
}

// After a stall both timers of a call are due in one loop pass: the attempt timeout and the idle timeout of
// its answer. The first ends the call, and the second must find nothing to do. It used the closed connection,
// and the node crashed (signal 11).
TEST_F(CallPoolFixture, TwoTimersDueInOneLoopPassEndACallOnce) {
  for (const milliseconds timeout :
       {milliseconds(300), milliseconds(700)}) {  // before and after the idle timeout
    results.clear();
    Start(timeout);
    Socket socket = Accept();
    ASSERT_TRUE(socket.Write("HTTP/1.1 2"));
    uv_run(loop.raw(), UV_RUN_NOWAIT);  // the bytes are read: the idle timeout of 500 ms runs from here
    std::this_thread::sleep_for(milliseconds(900));
    EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
    for (int step = 0; step < 10; ++step) uv_run(loop.raw(), UV_RUN_NOWAIT);
    EXPECT_EQ(results.size(), 1u);
    EXPECT_TRUE(IsClosed(socket));
  }
}

// The endpoint closes its idle connection just as a call is written to it: the call may have run, so the pool
// does not send it on another connection.
TEST_F(CallPoolFixture, AnIdleConnectionThatEndsAsItsCallIsWrittenIsBrokenAfterSent) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  ASSERT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  WaitUntilReusable();
  Start();  // written to the idle connection
  socket.Close();
  EXPECT_EQ(RunUntilResult(), AttemptResult::kBrokenAfterSent);
  EXPECT_EQ(pool.opened(), 1u);
  pollfd another{listener.get(), POLLIN, 0};
  EXPECT_EQ(poll(&another, 1, 0), 0);  // no second connection was made
}

// The endpoint sends a partial line at that moment instead: the answer that follows cannot be told from it.
TEST_F(CallPoolFixture, APartialLineOnAnIdleConnectionMakesTheNextAnswerMalformed) {
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  ASSERT_EQ(RunUntilResult(), AttemptResult::kDelivered);
  WaitUntilReusable();
  Start();
  ASSERT_TRUE(socket.Write("HTTP/1.1 200 O"));  // not an answer to this call
  ReadRequest(socket);
  ASSERT_TRUE(socket.Write(Answer(503)));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kMalformedResponse);
}

TEST_F(CallPoolFixture, AnAnswerIsReadWhenTheConnectionClosesWithIt) {
  for (const int status : {200, 500, 503, 429, 410}) {
    Start();
    Socket socket = Accept();
    ASSERT_TRUE(socket.Write(Answer(status)));
    socket.Close();
    EXPECT_EQ(RunUntilResult(), state::AttemptResultOfStatus(status, false)) << status;
  }
}

// A 1xx status is not the final answer: the call times out, and its connection is closed.
TEST_F(CallPoolFixture, AnInformationalStatusWithoutAnAnswerTimesOut) {
  Start(milliseconds(300));
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write("HTTP/1.1 102 Processing\r\n\r\n"));
  EXPECT_EQ(RunUntilResult(), AttemptResult::kTimedOut);
  EXPECT_TRUE(IsClosed(socket));
}

// On a new and on an idle connection, the start permit is requested before the first byte, and a denied call
// sends nothing. The new connection is kept for the next call; the idle one is closed.
TEST_F(CallPoolFixture, ACallWhoseStartIsDeniedSendsNothing) {
  start_allowed = false;
  Start();
  EXPECT_EQ(RunUntilResult(), AttemptResult::kNotStarted);
  Socket socket(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  EXPECT_EQ(pool.connections(), 1u);
  EXPECT_EQ(permit_requests, 1);
  Start();                        // on the idle connection
  EXPECT_EQ(results.size(), 1u);  // reported later, never from within Start
  EXPECT_EQ(RunUntilResult(), AttemptResult::kNotStarted);
  EXPECT_EQ(permit_requests, 2);
  EXPECT_EQ(socket.Read(), "");
  EXPECT_EQ(pool.written(), 0u);
}

// A request announces how long the node will wait for its answer; the time spent connecting is deducted.
TEST_F(CallPoolFixture, TheAnnouncedTimeOfACallCountsFromItsFirstByte) {
  connect_delay = milliseconds(300);
  Start(milliseconds(1000));
  const Socket socket = Accept();
  const std::string name = "X-Expires-In: ";
  const std::size_t at = received_request.find(name);
  ASSERT_NE(at, std::string::npos);
  const int millis = std::stoi(received_request.substr(at + name.size()));
  EXPECT_GT(millis, 0);
  EXPECT_LE(millis, 700);
  EXPECT_EQ(RunUntilResult(), AttemptResult::kTimedOut);
}

// A call that gets one of the counted connections is recorded as started in the turn that decided it. So the
// count includes only quiet connections with no unread data.
TEST_F(CallPoolFixture, IdleCountIncludesOnlyReusableConnections) {
  const std::string address = "127.0.0.1:" + std::to_string(port);
  EXPECT_EQ(pool.idle("s-1", address), 0u);
  Start();
  Socket socket = Accept();
  ASSERT_TRUE(socket.Write(Answer(200)));
  RunUntilResult();
  EXPECT_EQ(pool.idle("s-1", address), 0u);  // not quiet for long enough
  WaitUntilReusable();
  EXPECT_EQ(pool.idle("s-1", address), 1u);
  EXPECT_EQ(pool.idle("s-1", address, true), 0u);  // limited to connections without an earlier call
  EXPECT_EQ(pool.idle("s-1", "127.0.0.1:1"), 0u);
  EXPECT_EQ(pool.idle("s-2", address), 0u);
  ASSERT_TRUE(socket.Write("x"));
  EXPECT_EQ(pool.idle("s-1", address), 0u);
}

// The connection is not established before the attempt timeout, so the call never started.
TEST_F(CallPoolFixture, AConnectionNotEstablishedInTimeCarriesNothing) {
  int full_port = 0;
  Socket full = Socket::Listen(full_port);
  listen(full.get(), 0);
  std::vector<Socket> waiting;  // fill the accept queue, so that the next connection is not established
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(full_port));
    connect(waiting.back().get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
  pool.Start({++serial, "127.0.0.1:" + std::to_string(full_port), "s-1", "m", "", "body", milliseconds(300)});
  EXPECT_EQ(RunUntilResult(), AttemptResult::kConnectFailed);
  EXPECT_EQ(permit_requests, 0);
  EXPECT_EQ(pool.written(), 0u);
}

}  // namespace
}  // namespace indigosaddle::testing
