// A recovering destination and a fleet of real processes on loopback, each of which has far less than one
// call a second for it: the sum of all their calls stays within the slow-start budget (incident 41).
//
//   INDIGOSADDLE_FLEET=46   number of nodes for a run by hand; the automatic checks start fewer
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

// The capacity is in calls a second. The demand, the share at which slow start begins and the overload factor
// are multiples of it.
constexpr double kCapacity = 15, kInitialShare = 0.23, kOverloadFactor = 2, kDemand = 1.4;
constexpr seconds kWarmUp(6), kOutage(8), kSlowStart(14), kBudgetWindow(2);

// A destination with a limited capacity that its responses report. It records each call and whether a call of
// the same sender had failed in the outage before.
class LimitedDestination {
 public:
  struct Call {
    Clock::time_point at;
    bool saw_outage = false;
  };

  std::string address() const { return endpoint_.address(); }
  void SetDown(bool down) {
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
  bool Respond(Socket& socket, const HttpRequest& request) {
    const std::string id = request.headers.at("x-trace-id");
    const std::string sender = id.substr(0, id.find('-'));
    int status = 500;
    {
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      available_calls_ =
          std::min(kCapacity,
                   available_calls_ + kCapacity * std::chrono::duration<double>(now - refilled_at_).count());
      refilled_at_ = now;
      calls_.push_back({now, senders_in_outage_.contains(sender)});
      if (down_) senders_in_outage_.insert(sender);
      if (!down_) status = available_calls_ >= 1 ? 200 : 503;
      if (status == 200) {
        available_calls_ -= 1;
        ++served_;
      }
    }
    return socket.Write(
        Answer(status, "Endpoint-Load-Metrics: x0=0.1,x1=" + std::to_string(kCapacity) + "\r\n"));
  }

  std::mutex mutex_;
  std::vector<Call> calls_;
  std::set<std::string> senders_in_outage_;
  bool down_ = false;
  int served_ = 0;
  double available_calls_ = kCapacity;
  Clock::time_point refilled_at_ = Clock::now();
  EndpointStandIn endpoint_{[this](Socket& s, const HttpRequest& r, int) { return Respond(s, r); }};
};

// A node with a client that enqueues messages at random times, a few seconds apart.
class FleetNode {
 public:
  FleetNode(PlatformStandIn& platform, int number, int senders) : process_(platform.address()) {
    process_.config["name"] = "n" + std::to_string(number);
    auto& settings = process_.config["settings"];
    settings["balancers"] = senders;
    settings["guarantees"] = {{"mustAskIn", 0.0},
                              {"coldFrom", kInitialShare},
                              {"cold", milliseconds(kSlowStart).count()},
                              {"fall", milliseconds(kBudgetWindow).count()},
                              {"overloadFactor", kOverloadFactor}};
    started_ = process_.Start();
    if (started_) client_ = std::thread([this, number, senders] { EnqueueUntilStopped(number, senders); });
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
  void EnqueueUntilStopped(int number, int senders) {
    std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
    std::exponential_distribution<double> pause(kDemand * kCapacity / senders);
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

// The most calls that the budget allows in the window of kBudgetWindow that begins `after` the recovery, with
// an allowance for random variation.
double AllowedCalls(Clock::duration after) {
  const double progress = std::chrono::duration<double>(after + kBudgetWindow / 2) / kSlowStart;
  const double budget = kOverloadFactor * std::min(1.0, kInitialShare + (1 - kInitialShare) * progress) *
                        kCapacity * kBudgetWindow.count();
  return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}

TEST(FleetSlowStart, TheSumOfRealNodesStaysWithinTheBudget) {
  const char* fleet_size = std::getenv("INDIGOSADDLE_FLEET");
  const int senders = fleet_size == nullptr ? 24 : std::atoi(fleet_size);
  PlatformStandIn platform;
  LimitedDestination destination;
  platform.Set(PlatformStandIn::Member("s-1", destination.address(), 7));
  std::vector<std::unique_ptr<FleetNode>> nodes;
  for (int i = 0; i < senders; ++i) {
    nodes.push_back(std::make_unique<FleetNode>(platform, i, senders));
    ASSERT_TRUE(nodes.back()->started());
  }
  std::this_thread::sleep_for(kWarmUp);
  destination.SetDown(true);
  std::this_thread::sleep_for(kOutage - seconds(1));
  nodes[0]->Restart();  // as in the incident: SIGKILL in the outage; its resumed messages are due at once
  std::this_thread::sleep_for(seconds(1));
  destination.SetDown(false);
  const auto recovered_at = Clock::now();
  const int served_before = destination.served();
  std::this_thread::sleep_for(kSlowStart);
  const int served = destination.served() - served_before;
  for (auto& node : nodes) node->Stop();
  nodes.clear();
  const auto calls = destination.calls();
  double worst_excess = -1e9;
  for (Clock::duration after{0}; after + kBudgetWindow <= kSlowStart; after += milliseconds(100)) {
    int all = 0, from_senders_in_outage = 0;
    for (const LimitedDestination::Call& call : calls) {
      if (call.at < recovered_at + after || call.at >= recovered_at + after + kBudgetWindow) continue;
      ++all;
      from_senders_in_outage += call.saw_outage ? 1 : 0;
    }
    const double excess = all - AllowedCalls(after);
    worst_excess = std::max(worst_excess, excess);
    EXPECT_FALSE(excess > 0 && from_senders_in_outage * 3 > all * 2)
        << all << " calls, " << from_senders_in_outage << " from nodes that had seen the outage, "
        << AllowedCalls(after) << " allowed, " << std::chrono::duration<double>(after).count()
        << " s after the recovery";
  }
  std::cout << "[   slow   ] " << senders << " nodes: worst " << worst_excess << ", served "
            << served / (kCapacity * kSlowStart.count()) << " of the capacity\n";
  EXPECT_GT(served, kCapacity * kSlowStart.count() * 0.2);
}

}  // namespace
}  // namespace indigosaddle::testing
