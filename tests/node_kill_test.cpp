// SIGKILL between any two steps of a message's life at the built node, from the read of the command to the
// last record (docs/design/005). kill_shim.cpp ends the process before the n-th step, for every n; the next
// process with the same folder shows which messages were pending.
#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class KilledAtMessageStep : public NodeTest {
 protected:
  static constexpr int kSteps = 14;  // more than one message has; the others belong to a later message

  ~KilledAtMessageStep() override { UnsetVariables(); }
  static void UnsetVariables() {
    for (const char* name :
         {"LD_PRELOAD", "ASAN_OPTIONS", "KILL_SHIM_AFTER", "KILL_SHIM_AT", "KILL_SHIM_TOLD"})
      unsetenv(name);
  }

  struct KilledRun {
    std::string reply;  // to the command; empty if none came
    std::string step;   // before which the shim killed the process; empty if it did not
  };
  // Enqueues a message with these fields at a process that is killed before its n-th step, and waits until it
  // is killed or `done` holds. Leaves the next process running.
  KilledRun RunKilledAt(int n, const std::string& id, const std::string& fields,
                        const std::function<bool()>& done) {
    const std::string report_path = node.folder + "/step";
    std::filesystem::remove(report_path);
    setenv("LD_PRELOAD", INDIGOSADDLE_KILL_SHIM, 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("KILL_SHIM_AFTER", id.c_str(), 1);
    setenv("KILL_SHIM_AT", std::to_string(n).c_str(), 1);
    setenv("KILL_SHIM_TOLD", report_path.c_str(), 1);
    EXPECT_TRUE(node.Start());
    UnsetVariables();
    Settle("listed-" + std::to_string(n));  // the list has arrived; this id doesn't contain KILL_SHIM_AFTER
    KilledRun run;
    run.reply = Enqueue(id, fields);
    EXPECT_TRUE(Eventually([&] { return node.Ended() || done(); }));
    if (!node.Ended()) {  // its remaining steps are done once another message is delivered
      Enqueue("behind-" + id, "c=safe,d=60000,dest=99");
      EXPECT_TRUE(Eventually([&] { return node.Ended() || settler.CallsFor("behind-" + id) > 0; }));
    }
    if (!node.Ended()) node.Kill(SIGKILL);
    std::ifstream file(report_path);
    std::getline(file, run.step);
    if (!run.step.empty()) steps_.insert(run.step);
    EXPECT_TRUE(node.Start());
    return run;
  }
  // The process was killed before every kind of step.
  void ExpectEveryStepKind() {
    EXPECT_EQ(steps_, (std::set<std::string>{"connect", "read socket", "write file", "write socket"}));
  }

  std::set<std::string> steps_;
};

// Steps: accepted, recorded, answered, call recorded, connected, written, response read, result recorded. An
// accepted message is tried, and never a second time.
TEST_F(KilledAtMessageStep, AcceptedUnsafeMessageIsCalledOnceOrReportedAsFailed) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    return s.Write(Answer(200, "Connection: close\r\n")), false;  // each call has its own connection
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps; ++n) {
    const std::string id = "unsafe-" + std::to_string(n);
    const auto called = [&] { return endpoint.CallsFor(id) > 0; };
    const KilledRun run = RunKilledAt(n, id, "c=unsafe,d=60000,dest=7", called);
    if (run.reply == "+OK") {
      EXPECT_TRUE(Eventually([&] { return called() || HasNotice(id, "failed"); })) << n;
    }
    Settle("after-" + id);
    EXPECT_LE(endpoint.CallsFor(id), 1) << n;
    // It fails without a call only if the next step was the first byte of the call; else it is still tried.
    if (HasNotice(id, "failed") && !called()) {
      EXPECT_EQ(run.step, "write socket") << n;
    }
    node.Kill(SIGKILL);
  }
  ExpectEveryStepKind();
}

// Steps of a result that is reported by a notice: decided, recorded, sent, answered, recorded. The notice is
// sent, and the call is not repeated.
TEST_F(KilledAtMessageStep, UnsafeMessageWithoutAResponseGetsANoticeAndAtMostOneCall) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps; ++n) {
    const std::string id = "fails-" + std::to_string(n);
    const auto notified = [&] { return HasNotice(id, "failed") || HasNotice(id, "returned"); };
    const KilledRun run = RunKilledAt(n, id, "c=unsafe,d=400,dest=7", notified);
    if (run.reply == "+OK") {
      EXPECT_TRUE(Eventually(notified)) << n;
    }
    Settle("after-" + id);
    EXPECT_LE(endpoint.CallsFor(id), 1) << n;
    if (endpoint.CallsFor(id) > 0) {
      EXPECT_FALSE(HasNotice(id, "returned")) << n;  // it may have run
    }
    node.Kill(SIGKILL);
  }
  ExpectEveryStepKind();
}

// A repeat after an error takes one more record, and at most one more call for each process.
TEST_F(KilledAtMessageStep, SafeMessageIsRepeatedAfterAnErrorAndGetsNoNotice) {
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest& request, int) {
    const bool first = endpoint.CallsFor(request.headers.at("x-trace-id")) == 1;
    return s.Write(Answer(first ? 500 : 200, "Connection: close\r\n")), false;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps + 6; ++n) {
    const std::string id = "safe-" + std::to_string(n);
    const auto called_twice = [&] { return endpoint.CallsFor(id) >= 2; };
    const KilledRun run = RunKilledAt(n, id, "c=safe,d=60000,dest=7", called_twice);
    if (run.reply == "+OK") {
      EXPECT_TRUE(Eventually(called_twice)) << n;
    }
    Settle("after-" + id);
    EXPECT_TRUE(platform.notices().empty()) << n;
    node.Kill(SIGKILL);
  }
  ExpectEveryStepKind();
}

}  // namespace
}  // namespace indigosaddle::testing
