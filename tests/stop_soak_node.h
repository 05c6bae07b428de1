// One node of a soak test of planned stops, with all its processes, the signals that the platform sends, and
// stalls of up to 0.15 s at any point of their lives, alone or in series.
#pragma once

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "soak_client.h"

namespace indigosaddle::testing {

// Delays of the platform's planned restart: from SIGTERM to SIGKILL, and from there to the next start.
constexpr milliseconds kPlannedStopKillDelay(3700), kPlannedStopStartDelay(600);

// Owns all processes of the node and the thread that stalls them. `platform` must outlive it.
class StopSoakNode {
 public:
  StopSoakNode(PlatformStandIn& platform, int number, int sender_count, std::uint64_t seed)
      : platform_(platform),
        number_(number),
        sender_count_(sender_count),
        random_(seed),
        stall_random_(seed + 1) {}
  ~StopSoakNode() { EndStalls(); }

  // Starts the first process and the stalls. All later processes use the same port.
  void Start() {
    processes_.push_back(std::make_unique<NodeProcess>(platform_.address()));
    NodeProcess& first = *processes_.back();
    first.config["name"] = "n" + std::to_string(number_);
    first.config["settings"]["balancers"] = sender_count_;
    ASSERT_TRUE(first.Start());
    first.config["listen"] = "127.0.0.1:" + std::to_string(first.port);
    SetCurrent(first);
    stall_thread_ = std::thread([this] { InjectStalls(); });
  }
  // Ends the stalls and joins their thread.
  void EndStalls() {
    stalls_ended_ = true;
    if (stall_thread_.joinable()) stall_thread_.join();
  }

  // Stops the process in one of the platform's ways, some of which send several signals, and starts a new
  // one.
  void PlannedStop() {
    const int kind = Draw(5);
    if (kind == 0) return Upgrade();
    Signal(SIGTERM);
    if (kind == 1) Signal(SIGTERM);
    if (kind == 2) {
      Signal(SIGHUP);
      Signal(SIGINT);
    }
    stopping_ = true;
    const auto kill_at = Clock::now() + kPlannedStopKillDelay;
    if (kind == 3) {
      std::this_thread::sleep_for(milliseconds(Draw(3600)));
      Signal(SIGHUP);
    }
    AwaitEnd(*Current(), kill_at);
    view.port = 0;
    std::this_thread::sleep_for(kPlannedStopStartDelay);
    Restart();
  }
  // SIGKILL without a SIGTERM. Any request that clients send meanwhile may be affected.
  void Crash() {
    ++view.kill_counter;
    view.port = 0;
    {
      const std::lock_guard lock(mutex_);
      current_->Signal(SIGCONT);
      current_->Kill(SIGKILL);
    }
    ++view.kill_counter;
    std::this_thread::sleep_for(kPlannedStopStartDelay);
    Restart();
  }
  std::string Logs() const {
    std::string text;
    for (const auto& process : processes_) text += process->logs();
    return text;
  }
  // Log lines about the phases of its stops, for failure messages.
  std::string Phases() const { return LogLines({" phase ", " serving "}); }
  // Log lines about actions that the node's own state tables don't allow; empty if there are none.
  std::string InvariantViolations() const { return LogLines({".break "}); }
  bool Ended() {
    const std::lock_guard lock(mutex_);
    return current_->Ended();
  }
  // How many processes were still running at the earliest SIGKILL.
  int overdue_stops() const { return overdue_stops_; }

  SoakClient::NodeView view;

 private:
  std::string LogLines(const std::vector<std::string>& marks) const {
    std::istringstream lines(Logs());
    std::string matching;
    for (std::string line; std::getline(lines, line);) {
      const bool marked = std::any_of(marks.begin(), marks.end(), [&](const std::string& mark) {
        return line.find(mark) != std::string::npos;
      });
      if (marked) matching += line + "\n";
    }
    return matching;
  }

  // Upper bounds of the random pauses and stalls.
  static constexpr int kMaxPauseMillis = 900, kMaxPauseInStopMillis = 120, kMaxPauseInSeriesMillis = 20,
                       kMaxStallMillis = 150;
  static constexpr int kMaxStallsInSeries = 4;

  // Starts a successor while this process still serves, and sends SIGTERM to the old process once the new one
  // is ready.
  void Upgrade() {
    NodeProcess& old = *Current();
    processes_.push_back(std::make_unique<NodeProcess>(platform_.address()));
    NodeProcess& next = *processes_.back();
    next.config = old.config;
    next.shared_state = processes_.front()->folder + "/state";
    ASSERT_TRUE(next.Start());
    Signal(SIGTERM);
    stopping_ = true;
    AwaitEnd(old, Clock::now() + kPlannedStopKillDelay);
    SetCurrent(next);
  }
  void Restart() {
    NodeProcess& process = *Current();
    ASSERT_TRUE(process.Start());
    SetCurrent(process);
  }
  void SetCurrent(NodeProcess& process) {
    const std::lock_guard lock(mutex_);
    current_ = &process;
    stopping_ = false;
    view.port = process.port;
  }
  NodeProcess* Current() {
    const std::lock_guard lock(mutex_);
    return current_;
  }
  void Signal(int number) {
    const std::lock_guard lock(mutex_);
    current_->Signal(number);
  }
  // Waits until the process ends, and kills it at `kill_at` if it is still running.
  void AwaitEnd(NodeProcess& process, Clock::time_point kill_at) {
    const auto ended = [&] {
      const std::lock_guard lock(mutex_);
      return process.Ended();
    };
    while (Clock::now() < kill_at && !ended()) std::this_thread::sleep_for(milliseconds(2));
    const std::lock_guard lock(mutex_);
    if (!process.Ended()) ++overdue_stops_;
    process.Signal(SIGKILL);
    const int status = process.Wait();
    EXPECT_TRUE(status == 0 || status == -SIGKILL) << "the process ended with status " << status;
  }

  void InjectStalls() {
    while (!stalls_ended_) {
      std::this_thread::sleep_for(
          milliseconds(DrawForStall(stopping_ ? kMaxPauseInStopMillis : kMaxPauseMillis)));
      for (int remaining = 1 + DrawForStall(kMaxStallsInSeries - 1); remaining > 0 && !stalls_ended_;
           --remaining) {
        StallOnce();
        std::this_thread::sleep_for(milliseconds(DrawForStall(kMaxPauseInSeriesMillis)));
      }
    }
  }
  void StallOnce() {
    if (view.port == 0) return;
    NodeProcess* stalled = nullptr;
    {
      const std::lock_guard lock(mutex_);
      if (current_->Ended()) return;
      stalled = current_;
      stalled->Signal(SIGSTOP);
    }
    std::this_thread::sleep_for(
        milliseconds(DrawForStall(1) == 0 ? kMaxStallMillis : DrawForStall(kMaxStallMillis)));
    const std::lock_guard lock(mutex_);
    stalled->Signal(SIGCONT);  // has no effect if it was killed meanwhile
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  int DrawForStall(int most) { return std::uniform_int_distribution<int>(0, most)(stall_random_); }

  PlatformStandIn& platform_;
  const int number_, sender_count_;
  std::mt19937_64 random_, stall_random_;
  std::vector<std::unique_ptr<NodeProcess>> processes_;  // all processes; they share the first one's folder
  // Held for each signal and each check for an end, so that no reaped process is signalled.
  std::mutex mutex_;
  NodeProcess* current_ = nullptr;
  std::atomic<bool> stopping_{false}, stalls_ended_{false};
  int overdue_stops_ = 0;
  std::thread stall_thread_;
};

}  // namespace indigosaddle::testing
