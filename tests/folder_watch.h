// Watches how much the files of a folder hold together.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

namespace indigosaddle::testing {

// Adds up the files of a folder as the platform does, again and again.
class FolderWatch {
 public:
  explicit FolderWatch(std::string folder)
      : folder_(std::move(folder)), thread_([this] {
          while (!stopped_) largest_ = std::max(largest_.load(), Sum());
        }) {}
  ~FolderWatch() { Stop(); }
  FolderWatch(const FolderWatch&) = delete;
  FolderWatch& operator=(const FolderWatch&) = delete;
  std::uintmax_t Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    return largest_;
  }

 private:
  static constexpr std::uintmax_t kBlock = 512;

  std::uintmax_t Sum() const {
    std::uintmax_t sum = 0;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
      const std::uintmax_t size = entry.is_regular_file(error) ? entry.file_size(error) : 0;
      if (!error) sum += (size + kBlock - 1) / kBlock * kBlock;
    }
    return sum;
  }

  const std::string folder_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uintmax_t> largest_{0};
  std::thread thread_;
};

}  // namespace indigosaddle::testing
