// Limits the log lines of an event that repeats while a condition lasts, such as a lost watch: it is logged
// once for each reason and only counted after that.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace indigosaddle::node {

// Counts occurrences of one event and decides which of them are logged.
class RepeatedEvent {
 public:
  // Counts one occurrence. Returns true if it is to be logged: the first with this reason since the last
  // Reset.
  bool Record(std::string_view reason) {
    ++total_;
    const bool first = logged_reasons_.insert(std::string(reason)).second;
    suppressed_ += first ? 0 : 1;
    return first;
  }
  // The condition is over. Returns how many occurrences were counted but not logged since the last Reset.
  std::uint64_t Reset() {
    logged_reasons_.clear();
    return std::exchange(suppressed_, 0);
  }
  // Occurrences since the start.
  std::uint64_t total() const { return total_; }

 private:
  std::set<std::string> logged_reasons_;
  std::uint64_t suppressed_ = 0, total_ = 0;
};

}  // namespace indigosaddle::node
