// The fault plan that a test shares with fault_shim.cpp through a mapped file: which system calls fail and
// how, and the count of those that did. All fields may change while the node runs.
#pragma once

#include <atomic>
#include <cstdint>

namespace indigosaddle::testing {

// The faults to inject. The fields for system calls hold an errno, or 0 for no fault.
struct FaultPlan {
  // While one of these is set, every such call fails. With EINTR only every second one does, as if signals
  // interrupted them.
  std::atomic<int> accept, socket, connect;
  std::atomic<int> read_socket, write_socket;  // of these calls on sockets only every eighth fails
  std::atomic<int> slow_close_ms;              // delay before a listening socket is closed, in milliseconds
  std::atomic<int> short_io;  // 1: reads and writes on sockets transfer a few bytes at a time
  // While one of these is set, every such call fails: writes to any regular file, opens and renames in the
  // state folder, and all syncs.
  std::atomic<int> write_file, open_file, rename_file, sync_file;
  std::atomic<int> fail_half_written;  // 1: a failing write first writes half of its bytes
  std::atomic<int> kill_half_written;  // 1: SIGKILL ends the process after half of its next write
  std::atomic<std::uint64_t> faults;   // how many calls failed or were delayed so far
};

}  // namespace indigosaddle::testing
