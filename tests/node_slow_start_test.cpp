// A recovering destination under a fleet of real processes on loopback, each with far less than a call a
// second for it: the sum of all their calls stays within the slow-start budget (incident 41).
//
//   INDIGOSADDLE_FLEET=46   so many nodes, by hand; the checks start fewer
#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <set>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLimit = 15, kColdFrom = 0.23, kOverload = 2, kDemand = 1.4;
constexpr seconds kWarmUp(6), kOutage(8), kCold(14), kFall(2);

// A destination with a limit that its answers tell; it notes each call and whether its sender had been failed
// before.
class LimitedDestination {
 public:
  struct Call {
    Clock::time_point at;
    bool told = false;
  };

  std::string address() const { return endpoint_.address(); }
  void Down(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
  }
  std::vector<Call> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  int served() {
    const std::lock_guard lock(mutex_);
    return served_;
  }

 private:
  bool React(Socket& socket, const HttpRequest& request) {
    const std::string id = request.headers.at("x-trace-id");
    const std::string sender = id.substr(0, id.find('-'));
    int status = 500;
    {
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      level_ = std::min(kLimit, level_ + kLimit * std::chrono::duration<double>(now - filled_).count());
      filled_ = now;
      calls_.push_back({now, told_.contains(sender)});
      if (down_) told_.insert(sender);
      if (!down_) status = level_ >= 1 ? 200 : 503;
      if (status == 200) level_ -= 1, ++served_;
    }
    return socket.Write(
        Answer(status, "Endpoint-Load-Metrics: x0=0.1,x1=" + std::to_string(kLimit) + "\r\n"));
  }

  std::mutex mutex_;
  std::vector<Call> calls_;
  std::set<std::string> told_;
  bool down_ = false;
  int served_ = 0;
  double level_ = kLimit;
  Clock::time_point filled_ = Clock::now();
  EndpointStandIn endpoint_{[this](Socket& s, const HttpRequest& r, int) { return React(s, r); }};
};

// A node with a client that hands messages in at random, a few seconds apart.
class FleetNode {
 public:
  FleetNode(PlatformStandIn& platform, int number, int senders) : process_(platform.address()) {
    process_.config["name"] = "n" + std::to_string(number);
    auto& settings = process_.config["settings"];
    settings["balancers"] = senders;
    settings["guarantees"] = {{"mustAskIn", 0.0},
                              {"coldFrom", kColdFrom},
                              {"cold", milliseconds(kCold).count()},
                              {"fall", milliseconds(kFall).count()},
                              {"overloadFactor", kOverload}};
    started_ = process_.Start();
    if (started_) client_ = std::thread([this, number, senders] { Feed(number, senders); });
  }
  ~FleetNode() {
    Stop();
    if (client_.joinable()) client_.join();
  }
  void Stop() { stop_ = true; }
  bool started() const { return started_; }
  void Restart() {
    process_.Kill(SIGKILL);
    process_.Start();
  }

 private:
  void Feed(int number, int senders) {
    std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
    std::exponential_distribution<double> pause(kDemand * kLimit / senders);
    for (int i = 0; !stop_; ++i) {
      const auto next = Clock::now() + std::chrono::duration<double>(pause(random));
      while (!stop_ && Clock::now() < next) std::this_thread::sleep_for(milliseconds(20));
      const std::string id = "n" + std::to_string(number) + "-" + std::to_string(i);
      ClientStandIn(process_.port).Ask(ClientStandIn::Enqueue(id, "c=safe,d=12000,dest=7"));
    }
  }

  NodeProcess process_;
  bool started_ = false;
  std::atomic<bool> stop_{false};
  std::thread client_;
};

double Allowed(Clock::duration after) {
  const double warming = std::chrono::duration<double>(after + kFall / 2) / kCold;
  const double budget =
      kOverload * std::min(1.0, kColdFrom + (1 - kColdFrom) * warming) * kLimit * kFall.count();
  return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}

TEST(FleetSlowStart, TheSumOfRealNodesStaysWithinTheBudget) {
  const char* told = std::getenv("INDIGOSADDLE_FLEET");
  const int senders = told == nullptr ? 24 : std::atoi(told);
  PlatformStandIn platform;
  LimitedDestination destination;
  platform.Set(PlatformStandIn::Member("s-1", destination.address(), 7));
  std::vector<std::unique_ptr<FleetNode>> nodes;
  for (int i = 0; i < senders; ++i) {
    nodes.push_back(std::make_unique<FleetNode>(platform, i, senders));
    ASSERT_TRUE(nodes.back()->started());
  }
  std::this_thread::sleep_for(kWarmUp);
  destination.Down(true);
  std::this_thread::sleep_for(kOutage - seconds(1));
  nodes[0]->Restart();  // as in the report: SIGKILL in the outage, and what it resumes is due at once
  std::this_thread::sleep_for(seconds(1));
  destination.Down(false);
  const auto back = Clock::now();
  const int served_before = destination.served();
  std::this_thread::sleep_for(kCold);
  const int served = destination.served() - served_before;
  for (auto& node : nodes) node->Stop();
  nodes.clear();
  const auto calls = destination.calls();
  double worst = -1e9;
  for (Clock::duration after{0}; after + kFall <= kCold; after += milliseconds(100)) {
    int all = 0, from_told = 0;
    for (const LimitedDestination::Call& call : calls) {
      if (call.at < back + after || call.at >= back + after + kFall) continue;
      ++all, from_told += call.told ? 1 : 0;
    }
    const double over = all - Allowed(after);
    worst = std::max(worst, over);
    EXPECT_FALSE(over > 0 && from_told * 3 > all * 2)
        << all << " calls, " << from_told << " from nodes that had been told, " << Allowed(after)
        << " allowed, " << std::chrono::duration<double>(after).count() << " s after the return";
  }
  std::cout << "[   slow   ] " << senders << " nodes: worst " << worst << ", served "
            << served / (kLimit * kCold.count()) << " of the capacity\n";
  EXPECT_GT(served, kLimit * kCold.count() * 0.2);
}

}  // namespace
}  // namespace indigosaddle::testing
