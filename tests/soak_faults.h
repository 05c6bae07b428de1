// System calls that fail for a short time in a node of a soak test, selected by a seed.
#pragma once

#include <cerrno>
#include <initializer_list>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "mapped_fault_plan.h"
#include "soak_record.h"

namespace indigosaddle::testing {

// Injects system call faults into the processes of one node through the fault plan that they map.
class SoakFaults {
 public:
  // `folder` is the node's; the files of the fault plan are in it.
  SoakFaults(std::uint64_t seed, const std::string& folder)
      : random_(seed), plan_(folder + "/plan", folder + "/state") {}
  // Environment variables that the node's processes need.
  std::vector<std::string> Variables() const { return plan_.Variables(); }

  // Makes one kind of call fail for up to 0.3 s; a client waits 0.4 s for its reply. Blocks meanwhile.
  void FailOneCallBriefly() {
    std::atomic<int>& call = *DrawOneOf({&plan_->accept, &plan_->connect, &plan_->socket, &plan_->read_socket,
                                         &plan_->write_socket, &plan_->short_io, &plan_->write_file,
                                         &plan_->open_file, &plan_->rename_file});
    call = ErrorFor(call);
    plan_->fail_half_written = DrawOneOf({0, 1});
    std::this_thread::sleep_for(milliseconds(DrawOneOf({50, 150, 300})));
    call = 0;
    plan_->fail_half_written = 0;
  }
  // Kills the process in the middle of its next write to its folder.
  void KillDuringNextWrite() { plan_->kill_half_written = 1; }
  void CancelKill() { plan_->kill_half_written = 0; }

 private:
  template <typename T>
  T DrawOneOf(std::initializer_list<T> values) {
    const std::vector<T> choices(values);
    return choices[std::uniform_int_distribution<std::size_t>(0, choices.size() - 1)(random_)];
  }
  int ErrorFor(const std::atomic<int>& call) {
    if (&call == &plan_->accept) return DrawOneOf({ECONNABORTED, ENOBUFS, EINTR, EPROTO});
    if (&call == &plan_->connect)
      return DrawOneOf({ENETUNREACH, EADDRNOTAVAIL, ETIMEDOUT, EHOSTUNREACH, EINTR});
    if (&call == &plan_->socket) return DrawOneOf({ENFILE, EMFILE, ENOBUFS});
    if (&call == &plan_->read_socket || &call == &plan_->write_socket) return EINTR;
    if (&call == &plan_->short_io) return 1;
    return DrawOneOf({ENOSPC, EIO, EDQUOT});
  }

  std::mt19937_64 random_;
  MappedFaultPlan plan_;
};

}  // namespace indigosaddle::testing
