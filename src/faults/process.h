// Runs a program as a child process for fault tests: starts it, sends it signals and waits for its exit. The
// child is killed when its Process is destroyed.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigosaddle::faults {

// A child process.
class Process {
 public:
  // Starts `program`. Variables in `environment` are added to this process's own and replace those of the
  // same name. The child's standard error is appended to the file `log_path`. Throws std::runtime_error if
  // the program can't be started.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& environment, const std::string& log_path);
  // Kills the child if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  // Sends a signal. Does nothing once WaitForExit has seen the child exit.
  void Signal(int signal_number) const;
  // Waits up to `timeout` for the child to exit. Returns its exit status, or 128 plus the number of the
  // signal that killed it; nothing if it still runs.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);
  // Limits the size of each file that the child writes, which simulates a full disk.
  void LimitFileSize(std::uint64_t bytes) const;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_status_;  // once the child has exited
};

}  // namespace indigosaddle::faults
