// Writes, opens, renames and syncs in the state folder of the built node fail for a while (fault_shim.cpp),
// or the process is killed in the middle of a write. Accepted messages remain pending and are delivered.
#include <gtest/gtest.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

#include "system_faults.h"

namespace indigosaddle::testing {
namespace {

// A fault of the state folder and the field of the plan that injects it.
struct FolderFault {
  const char* name = "";
  std::atomic<int> FaultPlan::*call = nullptr;
  int error = 0;
  bool half_written = false;  // a failing write writes half of its bytes
  bool killed = false;        // the process is killed while the fault lasts
};

class FolderFails : public SystemFaults, public ::testing::WithParamInterface<FolderFault> {};

// Messages accepted before the fault are delivered. Commands that arrive meanwhile are either accepted and
// delivered, or not accepted.
TEST_P(FolderFails, AcceptedMessagesStayPendingAndNewCommandsAreAnswered) {
  EndpointStandIn endpoint([](Socket& s, const HttpRequest&, int number) {
    return s.Write(Answer(number < 4 ? 503 : 200));  // some messages are still pending when the fault begins
  });
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  std::vector<std::string> accepted = EnqueueFor("before", milliseconds(300), "c=unsafe,d=30000,dest=7");
  ASSERT_FALSE(accepted.empty());
  const FolderFault& fault = GetParam();
  plan->fail_half_written = fault.half_written ? 1 : 0;
  (*plan).*fault.call = fault.error;
  for (std::string& id : EnqueueFor("during", milliseconds(1200), "c=unsafe,d=30000,dest=7"))
    accepted.push_back(std::move(id));
  if (fault.killed) node.Kill(SIGKILL);
  (*plan).*fault.call = 0;
  if (fault.killed) {
    ASSERT_TRUE(node.Start());
  }
  for (std::string& id : EnqueueFor("after", milliseconds(300), "c=unsafe,d=30000,dest=7"))
    accepted.push_back(std::move(id));
  EXPECT_TRUE(Eventually([&] { return Enqueue("last", "c=unsafe,d=30000,dest=7") == "+OK"; }));
  accepted.emplace_back("last");
  ExpectAllEnded(endpoint, accepted, false);
  for (const std::string& id : accepted) {
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
                         [](const auto& param_info) { return std::string(param_info.param.name); });

// The state folder can't be written when the node starts: the node still serves what it can, and delivers the
// messages that it resumed.
TEST_F(SystemFaults, AStartWithAnUnwritableFolderRefusesNewMessagesAndKeepsResumedOnes) {
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

// After a kill in the middle of a write, the truncated record is ignored and all records before it are kept.
TEST_F(SystemFaults, AKillInTheMiddleOfAWriteLosesOnlyTheTruncatedRecord) {
  EndpointStandIn endpoint;
  ASSERT_TRUE(node.Start());
  ASSERT_EQ(Enqueue("whole", "c=unsafe,d=30000,dest=7"), "+OK");
  plan->kill_half_written = 1;
  EXPECT_EQ(Enqueue("half", "c=unsafe,d=30000,dest=7"), "");
  node.Wait();
  plan->kill_half_written = 0;
  platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
  ASSERT_TRUE(node.Start());
  EXPECT_TRUE(Eventually([&] { return endpoint.CallsFor("whole") == 1; }));
  EXPECT_EQ(endpoint.CallsFor("half"), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
