// One line an event on standard error, with the time since the start. Repeats are held back, so that a flood
// of one kind of trouble can't fill what the lines go to.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::node {

class Logger {
 public:
  enum class Level { kInfo, kWarn, kError };

  explicit Logger(std::string name) : name_(std::move(name)) {}

  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) {
    Line(Level::kInfo, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void Warn(fmt::format_string<Args...> format, Args&&... args) {
    Line(Level::kWarn, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) {
    Line(Level::kError, fmt::format(format, std::forward<Args>(args)...));
  }

 private:
  void Line(Level level, std::string_view text);

  std::string name_;
  std::int64_t second_ = 0;  // the present one
  int lines_ = 0, held_back_ = 0;
};

}  // namespace indigosaddle::node
