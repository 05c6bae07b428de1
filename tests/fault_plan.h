// What a test asks of fault_shim.cpp, shared through a mapped file: which calls to the system fail, how, and
// how many did. All fields may change while the node runs.
#pragma once

#include <atomic>
#include <cstdint>

namespace indigosaddle::testing {

struct FaultPlan {
  // An errno, 0: none. Sockets: while it is set each call fails. EINTR: every second one, as signals would.
  std::atomic<int> accept, socket, connect;
  std::atomic<int> read_socket, write_socket;  // on connections that are up: every eighth call
  std::atomic<int> slow_close;  // milliseconds that the close of a listening socket takes to begin
  std::atomic<int> short_io;    // 1: reads and writes on sockets take a byte or a few at a time
  // Files of the state folder, while it is set.
  std::atomic<int> write_file, open_file, rename_file, sync_file;
  std::atomic<int> half;       // 1: a write that fails has written half of its bytes
  std::atomic<int> kill_half;  // 1: the process ends by SIGKILL behind the first half of its next write
  std::atomic<std::uint64_t> failed;
};

}  // namespace indigosaddle::testing
