// The faults of one document, of bounded size whatever the document holds.
#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "config/document.h"

namespace indigosaddle::config {

class FaultList {
 public:
  explicit FaultList(const std::string& file) : file_(file) {}

  bool full() const { return faults_.size() >= kMost; }
  // Past the most, a fault is only counted.
  void Add(const std::string& path, std::string what) {
    if (full()) {
      ++more_;
    } else {
      faults_.push_back({file_, {}, path, std::move(what)});
    }
  }
  // The faults, the last of them the number of those that were only counted.
  std::vector<Fault> Take() {
    if (more_ > 0) faults_.push_back({file_, {}, "", fmt::format("{} more faults", more_)});
    more_ = 0;
    return std::move(faults_);
  }

 private:
  static constexpr std::size_t kMost = 50;

  const std::string& file_;
  std::vector<Fault> faults_;
  std::size_t more_ = 0;
};

}  // namespace indigosaddle::config
