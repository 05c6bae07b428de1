// A file of bounded size read whole.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace indigosaddle::base {

struct FileText {
  std::string text;
  std::string trouble;  // empty: `text` is the whole file
};

// Reads no pipes, folders or devices, which could hold the caller up, and no more than `most` bytes.
inline FileText ReadFile(const std::string& path, std::size_t most) {
  std::error_code ignored;
  if (!std::filesystem::is_regular_file(path, ignored)) return {"", fmt::format("{}: is no file", path)};
  std::ifstream file(path, std::ios::binary);
  if (!file) return {"", fmt::format("{}: can't be read", path)};
  std::string text;
  for (std::array<char, 4096> block{}; text.size() <= most && file;) {
    file.read(block.data(), block.size());
    text.append(block.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad()) return {"", fmt::format("{}: can't be read to its end", path)};
  if (text.size() > most) return {"", fmt::format("{}: is too long", path)};
  return {text, ""};
}

}  // namespace indigosaddle::base
