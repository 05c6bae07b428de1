// The journal's file in the state folder. Its one owner reads it at the start, appends to it and replaces it
// by a rewritten one. Written data outlasts the process without a sync.
//
// Two processes share the folder while one replaces the other. The owner holds a lock on `journal.lock` and
// writes `journal`. The other one, the successor, holds a lock on `journal.next.lock` and writes
// `journal.next` until the owner's lock is free. Then it takes over the owner's journal and writes `journal`.
// The system releases the locks of a process that exits or is killed, so no dead process can hold the folder.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace indigosaddle::node {

// Reads and writes the journal of one state folder. The destructor closes the file and releases the locks.
class JournalFile {
 public:
  explicit JournalFile(std::string folder);
  ~JournalFile();
  JournalFile(const JournalFile&) = delete;
  JournalFile& operator=(const JournalFile&) = delete;

  // Role of this process in the folder. kNone: two other processes already share it.
  enum class Role : std::uint8_t { kOwner, kSuccessor, kNone };
  // Tries to take the locks and returns the role from now on; an owner stays the owner. Without a call, as in
  // tools, the owner's file is used. A successor that has become the owner goes on writing its own file until
  // it has read the owner's.
  Role Claim();
  // Whether another process waits to take over from this owner.
  bool HasSuccessor() const;
  // Whether `journal.next` can't be a running successor's: this owner holds that file's lock too, until its
  // first rewrite. The file was then left by a process that has ended, or by this one before its take-over.
  bool next_is_leftover() const { return owner_lock_ >= 0 && next_lock_ >= 0 && path_ == owner_path_; }

  // Read the journal that an earlier process left, and remove an unfinished rewrite. They return false and
  // set `error` if the folder can't be used, or if the file can't be read to its end, is longer than
  // `max_bytes` or has another version: a part of it would be mistaken for all pending messages. Read reads
  // the owner's file; a successor reads it as well, to number its messages past those in it. ReadNext reads
  // the successor's file, which a successor that died before its take-over leaves to the owner. Both set
  // `error` also on success, if they removed an unfinished rewrite.
  bool Read(std::size_t max_bytes, std::string& bytes, std::string& error);
  bool ReadNext(std::size_t max_bytes, std::string& bytes, std::string& error);

  // Appends all bytes, or returns false and appends none of them.
  bool Append(std::string_view bytes);
  // Replaces the file by one that holds `bytes`. The old file stays until the new one is complete. Returns
  // false where that fails.
  bool Rewrite(std::string_view bytes);

 private:
  // Returns the file descriptor that holds the lock; negative if another process holds it.
  int TryLock(const char* name) const;
  void SetPath(const std::string& path);
  void Close();
  bool ReadFile(const std::string& path, std::size_t max_bytes, std::string& bytes, std::string& error) const;
  static bool ReadToEnd(int file, std::size_t max_bytes, std::string& bytes, std::string& error);

  const std::string folder_, owner_path_, next_path_;
  std::string path_, new_path_;  // of the file that this process writes, and of its rewrite
  int descriptor_ = -1, owner_lock_ = -1, next_lock_ = -1;
  std::size_t size_ = 0;  // bytes in the open file
};

}  // namespace indigosaddle::node
