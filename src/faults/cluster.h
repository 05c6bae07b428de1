// A fleet of real processes of the program, for fault tests: each node has its own folder and configuration
// file, a relay connects each pair of nodes, and watcher threads record which node reports to hold which
// lease. Random choices come from a seed, which a failing test prints.
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
  std::string program;  // path of the program
  std::string folder;   // for all files of the cluster; emptied at the start
  int nodes = 3;
  int sites = 3;   // node i is at site i modulo this
  int voters = 3;  // the first nodes
  std::uint64_t seed = 1;
  // Settings of [fleet]. In the file the five in milliseconds are named probe_every, probe_timeout,
  // exchange_every, lease and site_hold.
  int probe_interval_ms = 200;
  int probe_timeout_ms = 70;
  int exchange_interval_ms = 3000;
  int lease_ms = 2000;
  int site_hold_ms = 1500;
  double clock_drift = 0.02;
  // Returns the address of discovery for a node. Empty: an address where nothing listens.
  std::function<std::string(int)> discovery;
  std::string top_level_lines;        // further lines of each file, before its first table
  std::string extra_tables;           // further tables of each file; empty: one class
  std::map<int, double> clock_rates;  // by node: clocks that run fast (over 1) or slow
};

// Nodes are numbered from 0. Functions that act on a running node need one that has been started.
class Cluster {
 public:
  // Writes the files and starts the relay; starts no node. Throws std::runtime_error if no port is free.
  explicit Cluster(ClusterOptions options);
  // Kills all nodes.
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // The node's name in the fleet.
  static std::string Name(int i) { return "n" + std::to_string(i); }
  // Starts a node that is not running. Throws std::runtime_error if the program can't be started.
  void Start(int i);
  void StartAll();
  // Ends a node by SIGKILL.
  void Kill(int i);
  // Ends a node by SIGTERM. Returns its exit status as Process::WaitForExit does.
  std::optional<int> Stop(int i);
  // Stops a node by SIGSTOP, and lets it run on by SIGCONT.
  void Suspend(int i) { processes_.at(i)->Signal(SIGSTOP); }
  void Resume(int i) { processes_.at(i)->Signal(SIGCONT); }
  // Empties the node's state folder, as if its machine and disk were lost.
  void WipeState(int i);
  // Whether the node was started and neither killed nor stopped since. True also for a suspended node.
  bool IsRunning(int i) const { return processes_.contains(i); }
  Process& process(int i) { return *processes_.at(i); }
  Relay& relay() { return *relay_; }

  // The node's answer to the `status` request; null if it does not answer within a second.
  nlohmann::json Status(int i) const;
  // The part of the status about the fleet; null likewise.
  nlohmann::json FleetStatus(int i) const;
  // The state of node `member` as node `observer` reports it; empty if `observer` does not answer.
  std::string MemberState(int observer, int member) const;
  // The first node that reports to hold the coordinator's lease; -1: none.
  int LeaseHolder() const;
  // All that the node has logged.
  std::string Log(int i) const;
  // The node's state folder.
  std::string Folder(int i) const { return options_.folder + "/" + Name(i); }

  // Polls until the condition holds, so that no test relies on a fixed sleep. False if it does not hold
  // within `timeout`.
  static bool Eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

  // Starts to watch which node reports to hold the coordinator's lease, until the cluster is destroyed.
  void WatchLeases();
  // What the watchers have seen that must never happen, one line each: two holders of one epoch, or
  // overlapping holders. Empty: nothing.
  std::string LeaseViolations() const;
  // Number of pairs of epoch and holder that the watchers have seen.
  std::uint64_t epochs_seen() const;

 private:
  // When a node held the lease, by the watcher's clock: it began no later than `from` and stopped no earlier
  // than `to`.
  struct HoldInterval {
    int node;
    std::chrono::steady_clock::time_point from;
    std::chrono::steady_clock::time_point to;
  };
  void WriteFile(int i) const;
  void SampleLease(int i);

  const ClusterOptions options_;
  std::vector<std::string> addresses_;  // of the nodes in the fleet, by number
  std::unique_ptr<Relay> relay_;
  std::map<int, std::unique_ptr<Process>> processes_;
  std::atomic<bool> stopping_{false};                                     // watchers end
  mutable std::mutex mutex_;                                              // guards hold_intervals_
  std::map<std::pair<std::uint64_t, int>, HoldInterval> hold_intervals_;  // by epoch and holder
  std::vector<std::thread> watchers_;  // one per node, so that a suspended node delays no other's watcher
};

}  // namespace indigosaddle::faults
