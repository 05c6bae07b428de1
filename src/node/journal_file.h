// The journal's file in the state folder. Its one owner reads it at the start, appends to it and replaces it
// by a rewritten one. Written data outlasts the process without a sync.
//
// Two processes share the folder while one replaces the other. The owner holds a lock on `journal.lock` and
// writes `journal`. The other one, the successor, holds a lock on `journal.next.lock` and writes nothing
// until the owner's lock is free. Then it takes over `journal`. The system releases the locks of a process
// that exits or is killed, so no dead process can hold the folder.
//
// A successor of an earlier version wrote `journal.next` until its take-over. Where such a process ended
// before that, the file is left, and the owner reads it with its own.
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

  // Role of this process in the folder. kNone: another process waits to own it, or has just come to own it.
  enum class Role : std::uint8_t { kOwner, kSuccessor, kNone };
  // Tries to take the locks and returns the role from now on; an owner stays the owner. Without a call, as in
  // tools, the owner's file is used. A successor that has become the owner writes nothing until it has read
  // what the owner before it has left.
  Role Claim();
  // Whether another process waits to take over from this owner.
  bool HasSuccessor() const;
  // Whether `journal.next` can't be a running successor's: this owner holds that file's lock too, until its
  // first rewrite. The file was then left by a process that has ended.
  bool next_is_leftover() const { return owner_lock_ >= 0 && next_lock_ >= 0; }

  // Read the journal that an earlier process left, and remove an unfinished rewrite. They return false and
  // set `error` if the folder can't be used, or if the file can't be read to its end, is longer than
  // `max_bytes` or has another version: a part of it would be mistaken for all pending messages. Read reads
  // the owner's file; a successor may read it too, to find out whether it can. ReadNext reads the file that a
  // successor of an earlier version left. Both set `error` also on success, if they removed an unfinished
  // rewrite.
  bool Read(std::size_t max_bytes, std::string& bytes, std::string& error);
  bool ReadNext(std::size_t max_bytes, std::string& bytes, std::string& error);

  // Appends all bytes, or returns false and appends none of them, as before the first rewrite.
  bool Append(std::string_view bytes);
  // Replaces the file by one that holds `bytes`. The old file stays until the new one is complete. Returns
  // false where that fails or where this process may not write yet.
  bool Rewrite(std::string_view bytes);

 private:
  // Returns the file descriptor that holds the lock; negative if another process holds it.
  int TryLock(const char* name) const;
  void Close();
  bool ReadFile(const std::string& path, std::size_t max_bytes, std::string& bytes, std::string& error) const;
  static bool ReadToEnd(int file, std::size_t max_bytes, std::string& bytes, std::string& error);

  const std::string folder_, path_, new_path_, next_path_;
  bool may_write_ = true;  // false from when this process waits as a successor until it has read the journal
  int descriptor_ = -1, owner_lock_ = -1, next_lock_ = -1;
  std::size_t size_ = 0;  // bytes in the open file
};

}  // namespace indigosaddle::node
