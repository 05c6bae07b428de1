// The wall clock is moved forward or back, by seconds or an hour, while the built node runs or is down:
// deadlines and key lifetimes are still measured in real time.
#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <thread>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A step of the wall clock, and whether the node is down meanwhile (killed before it and started after it).
struct ClockStep {
  const char* name = "";
  seconds by{0};
  bool down = false;
};

class WallClockStep : public NodeTest, public ::testing::WithParamInterface<ClockStep> {
 protected:
  WallClockStep() : offset_path_(node.folder + "/step") {
    WriteOffset(seconds(0));
    setenv("LD_PRELOAD", INDIGOSADDLE_CLOCK_SHIM, 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("CLOCK_SHIM_FILE", offset_path_.c_str(), 1);
  }
  ~WallClockStep() override {
    for (const char* name : {"LD_PRELOAD", "ASAN_OPTIONS", "CLOCK_SHIM_FILE"}) unsetenv(name);
  }
  // Writes the offset in place, since the node has the file mapped.
  void WriteOffset(seconds by) const {
    const std::int64_t micros = std::chrono::microseconds(by).count();
    std::fstream file(offset_path_, std::ios::binary | std::ios::in | std::ios::out);
    if (!file) file.open(offset_path_, std::ios::binary | std::ios::out);
    file.write(reinterpret_cast<const char*>(&micros), sizeof micros);
  }
  // Steps the clock, with a kill before and a start after it where the node is to be down.
  void ApplyStep() {
    if (GetParam().down) node.Kill(SIGKILL);
    WriteOffset(GetParam().by);
    if (GetParam().down) {
      ASSERT_TRUE(node.Start());
    }
  }

 private:
  std::string offset_path_;
};

// Guards against a deadline that moves with the wall clock. No endpoint is listed, so that the message stays
// until its deadline: it is returned no earlier, and no later than the platform allows.
TEST_P(WallClockStep, DeadlineIsMeasuredInRealTime) {
  constexpr milliseconds kDeadline(4000), kMaxEarly(500), kMaxLate(400);
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("timed", "c=keyed,k=a,d=4000,dest=7"), "+OK");
  const auto accepted_at = Clock::now();
  std::this_thread::sleep_for(milliseconds(500));
  ApplyStep();
  ASSERT_TRUE(Eventually([&] { return !platform.notices().empty(); }));
  const auto elapsed = Clock::now() - accepted_at;
  EXPECT_GE(elapsed, kDeadline - kMaxEarly);
  EXPECT_LE(elapsed, kDeadline + kMaxLate);
  EXPECT_TRUE(HasNotice("timed", "returned"));
}

// Guards against a repeat after the end of a key's lifetime. A call that may have run hangs, and its key is
// remembered for 3 s: no repeat comes later, also where the step hides how long the node was down.
TEST_P(WallClockStep, KeyLifetimeIsMeasuredInRealTime) {
  constexpr seconds kKeyLifetime(3);
  for (auto& message_class : node.config["settings"]["classes"]) message_class["keyTtl"] = 3000.0;
  std::mutex mutex;
  std::vector<Clock::time_point> calls;
  EndpointStandIn endpoint([&](Socket& s, const HttpRequest&, int) {
    {
      const std::lock_guard lock(mutex);
      calls.push_back(Clock::now());
    }
    return Hang(s);
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(EnqueueOnceListed("window", "c=keyed,k=b,d=7000,dest=7"));
  ASSERT_TRUE(Eventually([&] { return endpoint.CallsFor("window") > 0; }));
  if (GetParam().down) {
    node.Kill(SIGKILL);
    std::this_thread::sleep_for(kKeyLifetime);
  }
  ApplyStep();
  ASSERT_TRUE(Eventually([&] { return platform.notices().contains("window"); }));
  const std::lock_guard lock(mutex);
  for (const Clock::time_point call : calls) EXPECT_LE(call - calls.front(), kKeyLifetime);
}

const ClockStep kSteps[] = {
    {"RunningNone", seconds(0), false},        {"RunningBack5s", seconds(-5), false},
    {"RunningOn5s", seconds(5), false},        {"RunningBackAnHour", seconds(-3600), false},
    {"RunningOnAnHour", seconds(3600), false}, {"DownNone", seconds(0), true},
    {"DownBack5s", seconds(-5), true},         {"DownOn5s", seconds(5), true},
    {"DownBackAnHour", seconds(-3600), true},  {"DownOnAnHour", seconds(3600), true},
};
INSTANTIATE_TEST_SUITE_P(Steps, WallClockStep, ::testing::ValuesIn(kSteps),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace indigosaddle::testing
