// One node of a soak of planned stops: all its processes, the signals that the platform sends, and hold-ups
// of up to 0.15 s anywhere in their lives, alone or in a row.
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

// The platform's planned restart: SIGKILL so long behind SIGTERM, the next start so long behind that.
constexpr milliseconds kStopKillAfter(3700), kStopStartAfter(600);

class StopSoakNode {
 public:
  StopSoakNode(PlatformStandIn& platform, int number, int senders, std::uint64_t seed)
      : platform_(platform), number_(number), senders_(senders), random_(seed), hold_random_(seed + 1) {}
  ~StopSoakNode() { StopHoldUps(); }

  // The first process, on a port that its successors and later ones have too.
  void Start() {
    processes_.push_back(std::make_unique<NodeProcess>(platform_.address()));
    NodeProcess& first = *processes_.back();
    first.config["name"] = "n" + std::to_string(number_);
    first.config["settings"]["balancers"] = senders_;
    ASSERT_TRUE(first.Start());
    first.config["listen"] = "127.0.0.1:" + std::to_string(first.port);
    Use(first);
    holder_ = std::thread([this] { HoldUps(); });
  }
  void StopHoldUps() {
    over_ = true;
    if (holder_.joinable()) holder_.join();
  }

  // One of the ways in which a platform stops a process, with what may come in series.
  void PlannedStop() {
    const int kind = Draw(5);
    if (kind == 0) return Upgrade();
    Signal(SIGTERM);
    if (kind == 1) Signal(SIGTERM);
    if (kind == 2) Signal(SIGHUP), Signal(SIGINT);
    stopping_ = true;
    const auto kill_at = Clock::now() + kStopKillAfter;
    if (kind == 3) {
      std::this_thread::sleep_for(milliseconds(Draw(3600)));
      Signal(SIGHUP);
    }
    AwaitEnd(*Current(), kill_at);
    view.port = 0;
    std::this_thread::sleep_for(kStopStartAfter);
    Restart();
  }
  // SIGKILL with no word before: all that its clients asked meanwhile may meet it.
  void Crash() {
    ++view.kills;
    view.port = 0;
    {
      const std::lock_guard lock(mutex_);
      current_->Signal(SIGCONT);
      current_->Kill(SIGKILL);
    }
    ++view.kills;
    std::this_thread::sleep_for(kStopStartAfter);
    Restart();
  }
  std::string Logs() const {
    std::string all;
    for (const auto& process : processes_) all += process->logs();
    return all;
  }
  // The steps of its stops, for a failure's trace.
  std::string Phases() const { return Lines({" phase ", " serving "}); }
  // What it did against its own tables.
  std::string Breaks() const { return Lines({".break "}); }
  bool Ended() {
    const std::lock_guard lock(mutex_);
    return current_->Ended();
  }
  int alive_at_kill() const { return alive_at_kill_; }

  SoakClient::NodeView view;

 private:
  std::string Lines(const std::vector<std::string>& marks) const {
    std::istringstream lines(Logs());
    std::string found;
    for (std::string line; std::getline(lines, line);) {
      const bool marked = std::any_of(marks.begin(), marks.end(), [&](const std::string& mark) {
        return line.find(mark) != std::string::npos;
      });
      if (marked) found += line + "\n";
    }
    return found;
  }

  // Milliseconds, at most.
  static constexpr int kPause = 900, kPauseInStop = 120, kBetweenInARow = 20, kMostHeld = 150;
  static constexpr int kMostInARow = 4;

  // A process that replaces this one while it serves; SIGTERM to the old one behind the new one's yes.
  void Upgrade() {
    NodeProcess& old = *Current();
    processes_.push_back(std::make_unique<NodeProcess>(platform_.address()));
    NodeProcess& next = *processes_.back();
    next.config = old.config;
    next.shared_state = processes_.front()->folder + "/state";
    ASSERT_TRUE(next.Start());
    Signal(SIGTERM);
    stopping_ = true;
    AwaitEnd(old, Clock::now() + kStopKillAfter);
    Use(next);
  }
  void Restart() {
    NodeProcess& process = *Current();
    ASSERT_TRUE(process.Start());
    Use(process);
  }
  void Use(NodeProcess& process) {
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
  // Until its end or the earliest kill.
  void AwaitEnd(NodeProcess& process, Clock::time_point kill_at) {
    const auto ended = [&] {
      const std::lock_guard lock(mutex_);
      return process.Ended();
    };
    while (Clock::now() < kill_at && !ended()) std::this_thread::sleep_for(milliseconds(2));
    const std::lock_guard lock(mutex_);
    if (!process.Ended()) ++alive_at_kill_;
    process.Signal(SIGKILL);
    const int status = process.Wait();
    EXPECT_TRUE(status == 0 || status == -SIGKILL) << "it ended with " << status;
  }

  void HoldUps() {
    while (!over_) {
      std::this_thread::sleep_for(milliseconds(HoldDraw(stopping_ ? kPauseInStop : kPause)));
      for (int in_a_row = 1 + HoldDraw(kMostInARow - 1); in_a_row > 0 && !over_; --in_a_row) {
        HoldUpOnce();
        std::this_thread::sleep_for(milliseconds(HoldDraw(kBetweenInARow)));
      }
    }
  }
  void HoldUpOnce() {
    if (view.port == 0) return;
    NodeProcess* held = nullptr;
    {
      const std::lock_guard lock(mutex_);
      if (current_->Ended()) return;
      held = current_;
      held->Signal(SIGSTOP);
    }
    std::this_thread::sleep_for(milliseconds(HoldDraw(1) == 0 ? kMostHeld : HoldDraw(kMostHeld)));
    const std::lock_guard lock(mutex_);
    held->Signal(SIGCONT);  // nobody, where it was killed meanwhile
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  int HoldDraw(int most) { return std::uniform_int_distribution<int>(0, most)(hold_random_); }

  PlatformStandIn& platform_;
  const int number_, senders_;
  std::mt19937_64 random_, hold_random_;
  std::vector<std::unique_ptr<NodeProcess>> processes_;  // all: the first one's folder is everyone's
  std::mutex mutex_;  // over each signal and each look at an end: no signal goes to a process that is reaped
  NodeProcess* current_ = nullptr;
  std::atomic<bool> stopping_{false}, over_{false};
  int alive_at_kill_ = 0;
  std::thread holder_;
};

}  // namespace indigosaddle::testing
