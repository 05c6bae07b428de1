#include "node/journal_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/descriptor.h"
#include "state/journal.h"

namespace indigosaddle::node {

using base::WriteAll;

JournalFile::JournalFile(std::string folder)
    : folder_(std::move(folder)),
      path_(folder_ + "/journal"),
      new_path_(path_ + ".new"),
      next_path_(folder_ + "/journal.next") {}

JournalFile::~JournalFile() {
  Close();
  for (const int lock : {owner_lock_, next_lock_}) {
    if (lock >= 0) close(lock);
  }
}

int JournalFile::TryLock(const char* name) const {
  const int file = open((folder_ + "/" + name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0) return file;
  if (file >= 0) close(file);
  return -1;
}

JournalFile::Role JournalFile::Claim() {
  if (owner_lock_ >= 0) return Role::kOwner;
  // The successor's lock comes first: a process that starts as the owner ends must not overtake the successor
  // that waits for it.
  if (next_lock_ < 0) next_lock_ = TryLock("journal.next.lock");
  if (next_lock_ < 0) return Role::kNone;
  owner_lock_ = TryLock("journal.lock");
  if (owner_lock_ >= 0) return Role::kOwner;
  may_write_ = false;
  return Role::kSuccessor;
}

bool JournalFile::HasSuccessor() const {
  if (owner_lock_ < 0 || next_lock_ >= 0) return false;
  const int file = TryLock("journal.next.lock");
  if (file >= 0) close(file);
  return file < 0;
}

void JournalFile::Close() {
  if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
}

bool JournalFile::Read(std::size_t max_bytes, std::string& bytes, std::string& error) {
  bytes.clear();
  struct stat folder_status {};
  if (stat(folder_.c_str(), &folder_status) != 0 || !S_ISDIR(folder_status.st_mode)) {
    error = "it is no folder";
    return false;
  }
  const bool successor = owner_lock_ < 0 && next_lock_ >= 0;
  if (!successor && unlink(new_path_.c_str()) == 0) {
    error = "an unfinished rewrite was removed; the journal before it is used";
  }
  if (!ReadFile(path_, max_bytes, bytes, error)) return false;
  if (!successor) may_write_ = true;
  return true;
}

bool JournalFile::ReadNext(std::size_t max_bytes, std::string& bytes, std::string& error) {
  bytes.clear();
  if (unlink((next_path_ + ".new").c_str()) == 0)
    error = "an unfinished rewrite was removed; the journal before it is used";
  return ReadFile(next_path_, max_bytes, bytes, error);
}

bool JournalFile::ReadFile(const std::string& path, std::size_t max_bytes, std::string& bytes,
                           std::string& error) const {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    if (errno == ENOENT) return true;
    error = std::strerror(errno);
    return false;
  }
  const base::Descriptor owned(file);
  if (!ReadToEnd(file, max_bytes, bytes, error)) return false;
  if (!state::IsOtherVersion(bytes)) return true;
  error = path + " is of another version: only a program that knows it may write it";
  return false;
}

bool JournalFile::ReadToEnd(int file, std::size_t max_bytes, std::string& bytes, std::string& error) {
  std::string block(1 << 16, '\0');
  while (true) {
    const ssize_t count = read(file, block.data(), block.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0)
      return error = std::strerror(errno), false;  // a part would be mistaken for all pending messages
    if (count == 0) return true;
    if (bytes.size() + static_cast<std::size_t>(count) > max_bytes)
      return error = "the journal is longer than " + std::to_string(max_bytes) + " bytes", false;
    bytes.append(block, 0, static_cast<std::size_t>(count));
  }
}

bool JournalFile::Append(std::string_view bytes) {
  if (descriptor_ < 0) return false;  // no file is open before the first rewrite
  if (WriteAll(descriptor_, bytes)) {
    size_ += bytes.size();
    return true;
  }
  // Removes the part that was written: records behind a truncated one would be unreadable.
  if (ftruncate(descriptor_, static_cast<off_t>(size_)) != 0) Close();
  return false;
}

bool JournalFile::Rewrite(std::string_view bytes) {
  if (!may_write_) return false;
  const int file = open(new_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) return false;
  if (!WriteAll(file, bytes) || rename(new_path_.c_str(), path_.c_str()) != 0) {
    close(file);
    unlink(new_path_.c_str());
    return false;
  }
  Close();
  descriptor_ = file;
  size_ = bytes.size();
  // The owner's file now holds all messages. From here on, `journal.next` belongs to the next successor.
  if (next_is_leftover()) {
    unlink(next_path_.c_str());
    close(std::exchange(next_lock_, -1));
  }
  return true;
}

}  // namespace indigosaddle::node
