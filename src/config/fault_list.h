// A list of the faults of one document that stays small however many faults the document has.
#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

// Collects the faults of one document. The string passed as `file` must outlive the list.
class ConfigFaultList {
 public:
  explicit ConfigFaultList(const std::string& file) : file_(file) {}

  // Whether further faults are only counted.
  bool full() const { return faults_.size() >= kMaxFaults; }
  // Adds a fault at a path in the document. A full list only counts it.
  void Add(const std::string& path, std::string problem) {
    if (full()) {
      ++omitted_;
    } else {
      faults_.push_back({file_, {}, path, std::move(problem)});
    }
  }
  // Moves the faults out of the list. Where faults were only counted, a last entry says how many.
  std::vector<ConfigFault> Take() {
    if (omitted_ > 0) faults_.push_back({file_, {}, "", fmt::format("{} more faults", omitted_)});
    omitted_ = 0;
    return std::move(faults_);
  }

 private:
  static constexpr std::size_t kMaxFaults = 50;

  const std::string& file_;
  std::vector<ConfigFault> faults_;
  std::size_t omitted_ = 0;
};

}  // namespace indigosaddle::config
