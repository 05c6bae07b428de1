// Fixture of a built node whose system calls fail as a test asks (fault_shim.cpp).
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "mapped_fault_plan.h"
#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The faults are set through `plan`, also while the node runs.
class SystemFaults : public NodeTest {
 protected:
  SystemFaults() : plan(node.folder + "/plan", node.folder + "/state") {
    node.extra_variables = plan.Variables();
  }

  // Enqueues a message every 20 ms for `span`, with the fields `fields`; each must be answered. Returns the
  // ids of those that got +OK.
  std::vector<std::string> EnqueueFor(const std::string& prefix, milliseconds span, const char* fields) {
    std::vector<std::string> accepted;
    const auto end = Clock::now() + span;
    for (int i = 0; Clock::now() < end; ++i) {
      const std::string id = prefix + "-" + std::to_string(i);
      const std::string reply = Enqueue(id, fields);
      EXPECT_FALSE(reply.empty()) << id << " was read and not answered";
      if (reply == "+OK") accepted.push_back(id);
      std::this_thread::sleep_for(milliseconds(20));
    }
    return accepted;
  }
  // Each message was delivered or its end reported by a notice; an unsafe one was called at most once.
  void ExpectAllEnded(EndpointStandIn& endpoint, const std::vector<std::string>& accepted,
                      bool unsafe = false) {
    for (const std::string& id : accepted) {
      EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) > 0 || platform.notices().contains(id); }))
          << id;
      if (unsafe) {
        EXPECT_LE(endpoint.CallsFor(id), 1) << id;
      }
    }
  }
  void ExpectDelivered(EndpointStandIn& endpoint, const std::vector<std::string>& accepted) {
    for (const std::string& id : accepted) {
      EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) > 0; })) << id;
      EXPECT_FALSE(platform.notices().contains(id)) << id;
    }
  }

  MappedFaultPlan plan;
};

}  // namespace indigosaddle::testing
