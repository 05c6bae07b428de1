// What a voter must not forget, in one file of the state folder. Written whole beside the old one, synced and
// renamed, so that the machine may go down at any instant. A file that is damaged is told apart from none and
// counts as lost: the voter then asks the others.
#pragma once

#include <string>
#include <string_view>

#include "fleet/acceptor.h"

namespace indigosaddle::fleet {

class MemoryFile {
 public:
  explicit MemoryFile(const std::string& folder);

  // True where the file was whole. `trouble` says what was wrong with one that is there; empty where none is.
  bool Read(Memory& memory, std::string& trouble) const;
  bool Write(const Memory& memory) const;  // false: not on the disk, and nothing may be promised

  static std::string Text(const Memory& memory);
  static bool Parse(std::string_view text, Memory& memory);

 private:
  std::string folder_, path_;
};

}  // namespace indigosaddle::fleet
