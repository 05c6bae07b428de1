// Writes, opens, renames and syncs in the state folder fail for a while under the built node
// (fault_shim.cpp), and a kill comes in the middle of a write: what was taken on is still owed.
#include <gtest/gtest.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

#include "system_faults.h"

namespace indigosaddle::testing {
namespace {

// What fails in the folder, and how it is asked for.
struct FolderFault {
  const char* name = "";
  std::atomic<int> FaultPlan::*call = nullptr;
  int error = 0;
  bool half = false, killed = false;  // killed: and the process ends before it passes
};

class FolderFails : public SystemFaults, public ::testing::WithParamInterface<FolderFault> {};

// What was promised before is delivered; what comes meanwhile is promised and delivered, or not promised.
TEST_P(FolderFails, WhatWasTakenOnIsStillOwedAndWhatComesIsAnswered) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int number) {
    return s.Write(Answer(number < 4 ? 503 : 200));  // some is still held when it begins
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  std::vector<std::string> taken = Feed("before", milliseconds(300), "c=unsafe,d=30000,dest=7");
  ASSERT_FALSE(taken.empty());
  const FolderFault& fault = GetParam();
  plan->half = fault.half ? 1 : 0;
  (*plan).*fault.call = fault.error;
  for (std::string& id : Feed("during", milliseconds(1200), "c=unsafe,d=30000,dest=7"))
    taken.push_back(std::move(id));
  if (fault.killed) node.Kill(SIGKILL);
  (*plan).*fault.call = 0;
  if (fault.killed) {
    ASSERT_TRUE(node.Start());
  }
  for (std::string& id : Feed("after", milliseconds(300), "c=unsafe,d=30000,dest=7"))
    taken.push_back(std::move(id));
  EXPECT_TRUE(Eventually([&] { return Enqueue("last", "c=unsafe,d=30000,dest=7") == "+OK"; }));
  taken.emplace_back("last");
  ExpectAllOver(endpoint, taken, false);
  for (const std::string& id : taken) {
    int delivered = 0;
    for (const HttpRequest& call : endpoint.calls()) delivered += call.headers.at("x-trace-id") == id ? 1 : 0;
    EXPECT_LE(delivered, 5) << id;
  }
}

const FolderFault kFolderFaults[] = {
    {"WriteNoSpace", &FaultPlan::write_file, ENOSPC, false, false},
    {"WriteNoSpaceHalf", &FaultPlan::write_file, ENOSPC, true, false},
    {"WriteNoSpaceHalfKilled", &FaultPlan::write_file, ENOSPC, true, true},
    {"WriteFails", &FaultPlan::write_file, EIO, false, false},
    {"WriteFailsKilled", &FaultPlan::write_file, EIO, false, true},
    {"OpenFails", &FaultPlan::open_file, EIO, false, false},
    {"RenameFails", &FaultPlan::rename_file, EIO, false, true},
    {"SyncFails", &FaultPlan::sync_file, EIO, false, false},
};
INSTANTIATE_TEST_SUITE_P(Faults, FolderFails, ::testing::ValuesIn(kFolderFaults),
                         [](const auto& given) { return std::string(given.param.name); });

// The folder takes nothing when the node starts: it serves all the same what it can, and what it resumed is
// delivered.
TEST_F(SystemFaults, AStartWhileTheFolderTakesNothing) {
  EndpointStandIn endpoint;
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("owed", "c=unsafe,d=30000,dest=7"), "+OK");
  node.Kill(SIGKILL);
  plan->write_file = ENOSPC;
  plan->rename_file = EIO;
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Enqueue("refused", "c=unsafe,d=30000,dest=7").starts_with("-BUSY"));
  plan->write_file = 0;
  plan->rename_file = 0;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("owed") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("refused"), 0);
}

// A kill in the middle of a write: the half record is not there, all before it is.
TEST_F(SystemFaults, AKillInTheMiddleOfAWrite) {
  EndpointStandIn endpoint;
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("whole", "c=unsafe,d=30000,dest=7"), "+OK");
  plan->kill_half = 1;
  EXPECT_EQ(Enqueue("half", "c=unsafe,d=30000,dest=7"), "");
  node.Wait();
  plan->kill_half = 0;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("whole") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("half"), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
