// The journal's file in the lasting folder. Its one owner: reads it at the start, appends, and puts a
// rewritten one in its place. Writes outlast the process without a sync.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace indigosaddle::node {

class JournalFile {
 public:
  explicit JournalFile(std::string folder);
  ~JournalFile();
  JournalFile(const JournalFile&) = delete;
  JournalFile& operator=(const JournalFile&) = delete;

  // What an earlier process left, at most `most` bytes of it; removes a rewrite that was cut off. False where
  // the folder can't be used.
  bool Read(std::size_t most, std::string& bytes, std::string& trouble);

  bool Append(std::string_view bytes);   // all of it, or nothing
  bool Rewrite(std::string_view bytes);  // the old file stays until the new one is whole

 private:
  void Close();

  const std::string folder_, path_, new_path_;
  int descriptor_ = -1;
  std::size_t size_ = 0;
};

}  // namespace indigosaddle::node
