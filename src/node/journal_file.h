// The journal's file in the lasting folder. Its one owner: reads it at the start, appends, and puts a
// rewritten one in its place. Writes outlast the process without a sync.
//
// Two processes share the folder while one replaces the other. The owner holds a lock on `journal.lock` and
// writes `journal`; the other, the successor, holds one on `journal.next.lock` and writes `journal.next`
// until the owner's lock is free, then takes the owner's journal over and writes `journal` in its place. A
// lock that its process has lost, by exit or kill, is free at once, so no process that is gone can hold the
// folder.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace indigosaddle::node {

class JournalFile {
 public:
  explicit JournalFile(std::string folder);
  ~JournalFile();
  JournalFile(const JournalFile&) = delete;
  JournalFile& operator=(const JournalFile&) = delete;

  enum class Role : std::uint8_t { kOwner, kSuccessor, kNone };
  // What this process is to the folder from now on; an owner stays one. None: two others share it already.
  // Unclaimed, the owner's file is used, as by tools. A successor that has become the owner goes on writing
  // its own file until it has read the owner's.
  Role Claim();
  // Whether another process waits to take over from this owner.
  bool HasSuccessor() const;
  // What `journal.next` holds belongs to a process that is gone: true for an owner until its first rewrite,
  // unless a successor has come meanwhile.
  bool absorbs_next() const { return lock_ >= 0 && next_lock_ >= 0 && path_ == owners_path_; }

  // What an earlier process left; removes a rewrite that was cut off. False where the folder can't be used,
  // or the file can't be read to its end, holds over `most` bytes or is of another version: a part of it
  // would pass for all that is owed. An owner that absorbs it reads the successor's file too, which a
  // successor that died before it took over leaves; a successor reads the owner's, to number its messages
  // past it.
  bool Read(std::size_t most, std::string& bytes, std::string& trouble);
  bool ReadNext(std::size_t most, std::string& bytes, std::string& trouble);

  bool Append(std::string_view bytes);   // all of it, or nothing
  bool Rewrite(std::string_view bytes);  // the old file stays until the new one is whole

 private:
  int Lock(const char* name) const;  // the descriptor that holds it; negative: another process does
  void WriteTo(const std::string& path);
  void Close();
  bool ReadFile(const std::string& path, std::size_t most, std::string& bytes, std::string& trouble) const;
  static bool ReadWhole(int file, std::size_t most, std::string& bytes, std::string& trouble);

  const std::string folder_, owners_path_, next_path_;
  std::string path_, new_path_;  // of the file that this process writes
  int descriptor_ = -1, lock_ = -1, next_lock_ = -1;
  std::size_t size_ = 0;
};

}  // namespace indigosaddle::node
