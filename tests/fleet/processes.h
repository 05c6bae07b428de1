// Fixture of tests that run a fleet of real processes (src/faults/cluster.h): checks the watched invariants
// at the end of each test, and reads what the nodes report about themselves.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "faults/cluster.h"

namespace indigosaddle::faults {

constexpr std::chrono::seconds kDefaultTimeout(60);

class FleetProcesses : public ::testing::Test {
 protected:
  void StartCluster(int nodes, int voters, std::function<void(ClusterOptions&)> change = {}) {
    ClusterOptions options;
    options.program = INDIGOSADDLE_PROGRAM;
    options.folder =
        ::testing::TempDir() + "fleet-" + ::testing::UnitTest::GetInstance()->current_test_info()->name();
    options.nodes = nodes, options.voters = voters;
    if (change) change(options);
    nodes_ = nodes;
    cluster = std::make_unique<Cluster>(options);
    cluster->WatchLeases();
    cluster->StartAll();
  }
  void TearDown() override {
    if (cluster == nullptr) return;
    EXPECT_EQ(cluster->LeaseViolations(), "");
    if (!HasFailure()) return;
    for (int i = 0; i < nodes_; ++i) std::cerr << "---- " << Cluster::Name(i) << "\n" << cluster->Log(i);
  }
  static bool Eventually(const std::function<bool()>& holds,
                         std::chrono::milliseconds within = kDefaultTimeout) {
    return Cluster::Eventually(holds, within);
  }
  // Whether each of these nodes reports that standing and that number of senders.
  bool AllHave(const std::vector<int>& who, const std::string& standing, int senders) const {
    for (const int i : who) {
      const auto fleet = cluster->FleetStatus(i);
      if (!fleet.is_object() || fleet["standing"] != standing || fleet["senders"] != senders) return false;
    }
    return true;
  }
  std::vector<int> AllNodes() const {
    std::vector<int> all;
    for (int i = 0; i < nodes_; ++i) all.push_back(i);
    return all;
  }
  bool AllConnected() const { return AllHave(AllNodes(), "connected", nodes_); }
  std::uint64_t Epoch(int i) const { return cluster->FleetStatus(i)["leases"]["coordinator"]["epoch"]; }
  // The epoch under which the node reports to hold the coordinator's lease; 0 where it does not, or is down.
  std::uint64_t HeldEpoch(int i) const {
    const auto fleet = cluster->FleetStatus(i);
    return fleet.is_object() && fleet["leases"].contains("coordinator")
               ? fleet["leases"]["coordinator"]["epoch"].get<std::uint64_t>()
               : 0;
  }

  std::unique_ptr<Cluster> cluster;
  int nodes_ = 0;
};

}  // namespace indigosaddle::faults
