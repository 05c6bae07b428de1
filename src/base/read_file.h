// Reads a regular file of limited size.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace indigosaddle::base {

// The result of ReadFile.
struct FileText {
  std::string text;
  // Why the file could not be read, with its path, for people. Empty: `text` is the whole file.
  std::string error;
};

// Reads a whole file. Fails on anything but a regular file, since a pipe or a device could block the caller,
// and on a file of more than `max_bytes`.
inline FileText ReadFile(const std::string& path, std::size_t max_bytes) {
  std::error_code ignored;
  if (!std::filesystem::is_regular_file(path, ignored)) return {"", fmt::format("{}: is no file", path)};
  std::ifstream file(path, std::ios::binary);
  if (!file) return {"", fmt::format("{}: can't be read", path)};
  std::string text;
  for (std::array<char, 4096> block{}; text.size() <= max_bytes && file;) {
    file.read(block.data(), block.size());
    text.append(block.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad()) return {"", fmt::format("{}: can't be read to its end", path)};
  if (text.size() > max_bytes) return {"", fmt::format("{}: is too long", path)};
  return {text, ""};
}

}  // namespace indigosaddle::base
