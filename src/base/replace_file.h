// Atomic replacement of a small file: readers find either the whole old text or the whole new text, even if
// the process is killed meanwhile.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <string>
#include <string_view>

#include "base/descriptor.h"

namespace indigosaddle::base {

// Writes the text to `path`.new and renames that file to `path`. False if this fails: the old text remains.
// Doesn't sync the file to the disk.
inline bool ReplaceFile(const std::string& path, std::string_view text) {
  const std::string new_path = path + ".new";
  const int file = open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  const bool written = WriteAll(file, text);
  const bool replaced = close(file) == 0 && written && std::rename(new_path.c_str(), path.c_str()) == 0;
  if (!replaced) unlink(new_path.c_str());
  return replaced;
}

}  // namespace indigosaddle::base
