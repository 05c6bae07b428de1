// An event that comes again and again while something lasts, such as a lost watch: told once, then counted.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace indigosaddle::node {

class RepeatedEvent {
 public:
  // True where it is to be told: the first for this reason since the last Over.
  bool Happened(std::string_view reason) {
    ++total_;
    const bool tell = told_.insert(std::string(reason)).second;
    untold_ += tell ? 0 : 1;
    return tell;
  }
  // What lasted is over; how many were counted and not told meanwhile.
  std::uint64_t Over() {
    told_.clear();
    return std::exchange(untold_, 0);
  }
  std::uint64_t total() const { return total_; }

 private:
  std::set<std::string> told_;  // reasons
  std::uint64_t untold_ = 0, total_ = 0;
};

}  // namespace indigosaddle::node
