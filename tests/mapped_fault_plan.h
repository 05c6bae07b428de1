// A FaultPlan in a mapped file, and the environment variables that make a process load fault_shim.cpp with
// it.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <string>
#include <utility>
#include <vector>

#include "fault_plan.h"

namespace indigosaddle::testing {

// Owns the mapping of a fault plan; the file itself is left to the caller.
class MappedFaultPlan {
 public:
  // Creates `file`. Faults of open and rename apply only to paths that begin with `folder`.
  MappedFaultPlan(const std::string& file, std::string folder) : file_(file), folder_(std::move(folder)) {
    const int descriptor = open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    EXPECT_EQ(ftruncate(descriptor, sizeof(FaultPlan)), 0);
    void* mapped = mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    plan_ = new (mapped) FaultPlan{};
  }
  ~MappedFaultPlan() { munmap(plan_, sizeof(FaultPlan)); }
  MappedFaultPlan(const MappedFaultPlan&) = delete;
  MappedFaultPlan& operator=(const MappedFaultPlan&) = delete;

  // Environment variables, each as NAME=value.
  std::vector<std::string> Variables() const {
    return {std::string("LD_PRELOAD=") + INDIGOSADDLE_FAULT_SHIM, "ASAN_OPTIONS=verify_asan_link_order=0",
            "FAULT_SHIM_PLAN=" + file_, "FAULT_SHIM_FOLDER=" + folder_};
  }
  FaultPlan& operator*() { return *plan_; }
  FaultPlan* operator->() { return plan_; }

 private:
  const std::string file_, folder_;
  FaultPlan* plan_ = nullptr;
};

}  // namespace indigosaddle::testing
