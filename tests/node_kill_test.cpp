// SIGKILL between each two steps of a message's life at the built node, from the command's read to the last
// record (docs/design/005): kill_shim.cpp ends the process in front of the n-th step, for every n, and the
// next process with the folder shows what was owed.
#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

class KilledAtEachStep : public NodeTest {
 protected:
  static constexpr int kSteps = 14;  // more than a message has; the rest are a later one's

  ~KilledAtEachStep() override { Unset(); }
  static void Unset() {
    for (const char* name :
         {"LD_PRELOAD", "ASAN_OPTIONS", "KILL_SHIM_AFTER", "KILL_SHIM_AT", "KILL_SHIM_TOLD"})
      unsetenv(name);
  }

  struct Played {
    std::string reply, step;  // empty: none came; it was not ended by the shim
  };
  // Plays a message with these names; its process ends in front of its n-th step. Leaves the next one
  // running.
  Played Play(int n, const std::string& id, const std::string& names, const std::function<bool()>& over) {
    const std::string told = node.folder + "/step";
    std::filesystem::remove(told);
    setenv("LD_PRELOAD", INDIGOSADDLE_KILL_SHIM, 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("KILL_SHIM_AFTER", id.c_str(), 1);
    setenv("KILL_SHIM_AT", std::to_string(n).c_str(), 1);
    setenv("KILL_SHIM_TOLD", told.c_str(), 1);
    EXPECT_TRUE(node.Start());
    Unset();
    Settle("listed-" + std::to_string(n));  // the list is there; its id does not hold the other
    Played played;
    played.reply = Enqueue(id, names);
    EXPECT_TRUE(Eventually([&] { return node.Ended() || over(); }));
    if (!node.Ended()) {  // what is left of it shows by the time that another is through
      Enqueue("behind-" + id, "c=safe,d=60000,dest=99");
      EXPECT_TRUE(Eventually([&] { return node.Ended() || settler.CallsFor("behind-" + id) > 0; }));
    }
    if (!node.Ended()) node.Kill(SIGKILL);
    std::ifstream file(told);
    std::getline(file, played.step);
    if (!played.step.empty()) steps_.insert(played.step);
    EXPECT_TRUE(node.Start());
    return played;
  }
  // Every kind of step was forced.
  void ExpectAll() {
    EXPECT_EQ(steps_, (std::set<std::string>{"connect", "read socket", "write file", "write socket"}));
  }

  std::set<std::string> steps_;
};

// Taken, recorded, answered, call recorded, connected, written, answered, end recorded. What was promised is
// tried, and never a second time.
TEST_F(KilledAtEachStep, AnUnsafeMessageThatIsDelivered) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) {
    return s.Write(Answer(200, "Connection: close\r\n")), false;  // each call has its own connection
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps; ++n) {
    const std::string id = "unsafe-" + std::to_string(n);
    const auto called = [&] { return endpoint.CallsFor(id) > 0; };
    const Played played = Play(n, id, "c=unsafe,d=60000,dest=7", called);
    if (played.reply == "+OK") {
      EXPECT_TRUE(Eventually([&] { return called() || HasNotice(id, "failed"); })) << n;
    }
    Settle("after-" + id);
    EXPECT_LE(endpoint.CallsFor(id), 1) << n;
    // Failed with no call only where the next step was the call's first byte: else it is still tried.
    if (HasNotice(id, "failed") && !called()) {
      EXPECT_EQ(played.step, "write socket") << n;
    }
    node.Kill(SIGKILL);
  }
  ExpectAll();
}

// The end by a notice: decided, recorded, sent, answered, recorded. It is told, and the call not repeated.
TEST_F(KilledAtEachStep, AnUnsafeMessageThatFails) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int) { return Hang(s); });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps; ++n) {
    const std::string id = "fails-" + std::to_string(n);
    const auto told = [&] { return HasNotice(id, "failed") || HasNotice(id, "returned"); };
    const Played played = Play(n, id, "c=unsafe,d=400,dest=7", told);
    if (played.reply == "+OK") {
      EXPECT_TRUE(Eventually(told)) << n;
    }
    Settle("after-" + id);
    EXPECT_LE(endpoint.CallsFor(id), 1) << n;
    if (endpoint.CallsFor(id) > 0) {
      EXPECT_FALSE(HasNotice(id, "returned")) << n;  // it may have run
    }
    node.Kill(SIGKILL);
  }
  ExpectAll();
}

// A repeat after an error: one record more, and one call more at most for each life.
TEST_F(KilledAtEachStep, ASafeMessageThatIsTriedTwice) {
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest& request, int) {
    const bool first = endpoint.CallsFor(request.headers.at("x-trace-id")) == 1;
    return s.Write(Answer(first ? 500 : 200, "Connection: close\r\n")), false;
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ListSettler();
  for (int n = 1; n <= kSteps + 6; ++n) {
    const std::string id = "safe-" + std::to_string(n);
    const auto twice = [&] { return endpoint.CallsFor(id) >= 2; };
    const Played played = Play(n, id, "c=safe,d=60000,dest=7", twice);
    if (played.reply == "+OK") {
      EXPECT_TRUE(Eventually(twice)) << n;
    }
    Settle("after-" + id);
    EXPECT_TRUE(platform.notices().empty()) << n;
    node.Kill(SIGKILL);
  }
  ExpectAll();
}

}  // namespace
}  // namespace indigosaddle::testing
