// Stores the state that a voter must keep (VoterMemory) in the file fleet.memory of the state folder. The new
// content is written to a second file, synced and renamed, so that a crash at any instant leaves a whole
// file. A damaged file is reported apart from a missing one, and counts as lost: the voter then asks the
// others.
#pragma once

#include <string>
#include <string_view>

#include "fleet/acceptor.h"

namespace indigosaddle::fleet {

class VoterMemoryFile {
 public:
  explicit VoterMemoryFile(const std::string& folder);

  // Reads the file. Returns true where it was whole; else `error` says what is wrong with it, and is empty
  // where there is no file.
  bool Read(VoterMemory& memory, std::string& error) const;
  // Returns false where the content is not on disk: then nothing may be promised.
  bool Write(const VoterMemory& memory) const;

  // The file's content: JSON with a checksum.
  static std::string Serialize(const VoterMemory& memory);
  // Returns false, and leaves `memory` as it is, where the text is damaged.
  static bool Parse(std::string_view text, VoterMemory& memory);

 private:
  std::string folder_;
  std::string path_;
};

}  // namespace indigosaddle::fleet
