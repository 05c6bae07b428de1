// A fleet of the program as it is built: N processes with a folder and a file each, a relay between each
// pair, and an eye on who says that it holds which lease. Schedules come from a seed, which a failing test
// prints.
#pragma once

#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "faults/process.h"
#include "faults/relay.h"

namespace indigosaddle::faults {

struct ClusterOptions {
  std::string program, folder;
  int nodes = 3, sites = 3, voters = 3;
  std::uint64_t seed = 1;
  int probe_ms = 200, timeout_ms = 70, exchange_ms = 3000, lease_ms = 2000;
  int hold_ms = 1500;  // fleet.site_hold
  double drift = 0.02;
  std::function<std::string(int)> discovery;  // its address for each node; none: nobody there
  std::string more;                           // further lines of each file, in front of its first table
  std::string tables;                         // further tables of each file
  std::map<int, double> rates;                // clocks that run fast or slow
};

class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  static std::string Name(int i) { return "n" + std::to_string(i); }
  void Start(int i);
  void StartAll();
  void Kill(int i);                // SIGKILL
  std::optional<int> Stop(int i);  // SIGTERM, and how it ended
  void Freeze(int i) { processes_.at(i)->Signal(SIGSTOP); }
  void Thaw(int i) { processes_.at(i)->Signal(SIGCONT); }
  void Forget(int i);  // the folder is lost with the machine
  bool Up(int i) const { return processes_.contains(i); }
  Process& process(int i) { return *processes_.at(i); }
  Relay& relay() { return *relay_; }

  // The node's `status`; null where it does not answer within a second.
  nlohmann::json Status(int i) const;
  nlohmann::json Fleet(int i) const;
  std::string State(int i, int of) const;  // what i believes of another
  int Holder() const;                      // of the coordinator's lease, by its own word; -1: nobody
  std::string Log(int i) const;
  std::string Folder(int i) const { return options_.folder + "/" + Name(i); }

  // Whether it comes to hold within the time: asked again and again, no sleep stands for an event.
  static bool Eventually(const std::function<bool()>& holds, std::chrono::milliseconds within);

  // Watches who holds the coordinator's lease until the cluster ends. What it must never see, a line each.
  void WatchLeases();
  std::string Broken() const;
  std::uint64_t epochs() const;  // different ones seen

 private:
  struct Span {  // held no later than `from` to no sooner than `to`, by the clock of the watcher
    int node;
    std::chrono::steady_clock::time_point from, to;
  };
  void WriteFile(int i) const;
  void Look(int i);

  const ClusterOptions options_;
  std::vector<std::string> addresses_;
  std::unique_ptr<Relay> relay_;
  std::map<int, std::unique_ptr<Process>> processes_;
  std::atomic<bool> done_{false};
  mutable std::mutex mutex_;                             // of the spans
  std::map<std::pair<std::uint64_t, int>, Span> spans_;  // by epoch and holder
  std::vector<std::thread> watchers_;                    // one a process: a frozen one hides no other
};

}  // namespace indigosaddle::faults
