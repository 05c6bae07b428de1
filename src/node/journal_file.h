// The journal's file in the lasting folder. Its one owner: reads it at the start, appends, and puts a
// rewritten one in its place. Writes outlast the process without a sync.
//
// Two processes share the folder while one replaces the other. The owner holds a lock on `journal.lock` and
// writes `journal`; the other, the successor, writes `journal.next` until the lock is free, then takes the
// owner's journal over and writes `journal` in its place. A lock that its process has lost, by exit or kill,
// is free at once, so no process that is gone can hold the folder.
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

  // True where this process now owns the folder; once true, it stays true. A process that found it owned
  // writes a journal of its own from then on. Unclaimed, the owner's file is used, as by tools.
  bool Claim();
  bool owner() const { return lock_ >= 0; }

  // What an earlier process left, at most `most` bytes of it; removes a rewrite that was cut off. False where
  // the folder can't be used. The owner reads the successor's file too, which a successor that died before
  // it took over leaves; a successor reads the owner's, to number its messages past it.
  bool Read(std::size_t most, std::string& bytes, std::string& trouble);
  bool ReadNext(std::size_t most, std::string& bytes, std::string& trouble);

  bool Append(std::string_view bytes);   // all of it, or nothing
  bool Rewrite(std::string_view bytes);  // the old file stays until the new one is whole

 private:
  void Close();
  bool ReadFile(const std::string& path, std::size_t most, std::string& bytes, std::string& trouble) const;

  const std::string folder_, owners_path_, next_path_;
  std::string path_, new_path_;  // of the file that this process writes
  int descriptor_ = -1, lock_ = -1;
  bool successor_ = false;
  std::size_t size_ = 0;
};

}  // namespace indigosaddle::node
