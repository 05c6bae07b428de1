// A built node whose calls to the system fail as a test asks (fault_shim.cpp).
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

class SystemFaults : public NodeTest {
 protected:
  SystemFaults() : plan(node.folder + "/plan", node.folder + "/state") {
    node.extra_variables = plan.Variables();
  }

  // Takes messages on, one every 20 ms, for so long; the ids of those that got +OK. Each must be answered.
  std::vector<std::string> Feed(const std::string& prefix, milliseconds span, const char* names) {
    std::vector<std::string> taken;
    const auto end = Clock::now() + span;
    for (int i = 0; Clock::now() < end; ++i) {
      const std::string id = prefix + "-" + std::to_string(i);
      const std::string reply = Enqueue(id, names);
      EXPECT_FALSE(reply.empty()) << id << " was read and got no answer";
      if (reply == "+OK") taken.push_back(id);
      std::this_thread::sleep_for(milliseconds(20));
    }
    return taken;
  }
  // Each was delivered, or its end told; `most_calls` for those that may not be repeated.
  void ExpectAllOver(EndpointStandIn& endpoint, const std::vector<std::string>& taken, bool unsafe = false) {
    for (const std::string& id : taken) {
      EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) > 0 || platform.notices().contains(id); }))
          << id;
      if (unsafe) {
        EXPECT_LE(endpoint.CallsFor(id), 1) << id;
      }
    }
  }
  void ExpectDelivered(EndpointStandIn& endpoint, const std::vector<std::string>& taken) {
    for (const std::string& id : taken) {
      EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor(id) > 0; })) << id;
      EXPECT_FALSE(platform.notices().contains(id)) << id;
    }
  }

  MappedFaultPlan plan;
};

}  // namespace indigosaddle::testing
