// A program as it is built, as a child process of a fault run: started, killed, frozen, thawed, waited for.
// Ends with its owner.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigosaddle::faults {

class Process {
 public:
  // `environment` is added to this program's own. Standard error is appended to the file `log`.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& environment, const std::string& log);
  ~Process();  // killed if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int number) const;
  // How it ended, within the time: its exit status, or 128 and the signal.
  std::optional<int> Ended(std::chrono::milliseconds within);
  void LimitFiles(std::uint64_t bytes) const;  // no file may grow past this: a full disk

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace indigosaddle::faults
