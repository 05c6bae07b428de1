#include "node/logger.h"

#include <unistd.h>

#include <chrono>

namespace indigosaddle::node {
namespace {

constexpr int kMostLinesASecond = 100;

std::string_view Word(Logger::Level level) {
  switch (level) {
    case Logger::Level::kInfo: return "info";
    case Logger::Level::kWarn: return "warn";
    case Logger::Level::kError: return "error";
  }
  return "?";
}

}  // namespace

void Logger::Line(Level level, std::string_view text) {
  using std::chrono::milliseconds;
  const auto wall =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  const std::int64_t second = wall.count() / 1000;
  if (second != second_) {
    if (held_back_ > 0) fmt::print(stderr, "{} warn {} lines held back\n", name_, held_back_);
    second_ = second;
    lines_ = held_back_ = 0;
  }
  if (++lines_ > kMostLinesASecond) {
    ++held_back_;
    return;
  }
  fmt::print(stderr, "{}.{:03} {} {} {}\n", second, wall.count() % 1000, name_, Word(level), text);
}

}  // namespace indigosaddle::node
