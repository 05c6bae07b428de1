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
      owners_path_(folder_ + "/journal"),
      next_path_(folder_ + "/journal.next"),
      path_(owners_path_),
      new_path_(owners_path_ + ".new") {}

JournalFile::~JournalFile() {
  Close();
  for (const int lock : {lock_, next_lock_}) {
    if (lock >= 0) close(lock);
  }
}

int JournalFile::Lock(const char* name) const {
  const int file = open((folder_ + "/" + name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0) return file;
  if (file >= 0) close(file);
  return -1;
}

void JournalFile::WriteTo(const std::string& path) {
  Close();
  path_ = path;
  new_path_ = path + ".new";
}

JournalFile::Role JournalFile::Claim() {
  if (lock_ >= 0) return Role::kOwner;
  lock_ = Lock("journal.lock");
  const bool was_successor = next_lock_ >= 0;
  if (!was_successor) next_lock_ = Lock("journal.next.lock");
  if (lock_ >= 0) return Role::kOwner;
  if (next_lock_ < 0) return Role::kNone;
  if (!was_successor) WriteTo(next_path_);
  return Role::kSuccessor;
}

bool JournalFile::HasSuccessor() const {
  if (lock_ < 0 || next_lock_ >= 0) return false;
  const int file = Lock("journal.next.lock");
  if (file >= 0) close(file);
  return file < 0;
}

void JournalFile::Close() {
  if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
}

bool JournalFile::Read(std::size_t most, std::string& bytes, std::string& trouble) {
  bytes.clear();
  struct stat about {};
  if (stat(folder_.c_str(), &about) != 0 || !S_ISDIR(about.st_mode)) {
    trouble = "it is no folder";
    return false;
  }
  const bool successor = lock_ < 0 && next_lock_ >= 0;
  if (!successor && unlink((owners_path_ + ".new").c_str()) == 0) {
    trouble = "a rewrite was cut off; the journal before it holds";
  }
  if (!ReadFile(owners_path_, most, bytes, trouble)) return false;
  // Taken over: the next write is a rewrite of all that is owed, into the owner's file. Until then this
  // process's own file stays, for it holds what is owed; and it is written on until the owner's has been
  // read.
  if (lock_ >= 0 && path_ != owners_path_) WriteTo(owners_path_);
  return true;
}

bool JournalFile::ReadNext(std::size_t most, std::string& bytes, std::string& trouble) {
  bytes.clear();
  if (unlink((next_path_ + ".new").c_str()) == 0)
    trouble = "a rewrite was cut off; the journal before it holds";
  return ReadFile(next_path_, most, bytes, trouble);
}

bool JournalFile::ReadFile(const std::string& path, std::size_t most, std::string& bytes,
                           std::string& trouble) const {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    if (errno == ENOENT) return true;
    trouble = std::strerror(errno);
    return false;
  }
  const base::Descriptor owned(file);
  if (!ReadWhole(file, most, bytes, trouble)) return false;
  if (!state::IsOtherVersion(bytes)) return true;
  trouble = path + " is of another version: only a program that knows it may write it";
  return false;
}

bool JournalFile::ReadWhole(int file, std::size_t most, std::string& bytes, std::string& trouble) {
  std::string block(1 << 16, '\0');
  while (true) {
    const ssize_t count = read(file, block.data(), block.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0)
      return trouble = std::strerror(errno), false;  // a part of it would pass for all that is owed
    if (count == 0) return true;
    if (bytes.size() + static_cast<std::size_t>(count) > most)
      return trouble = "the journal is longer than " + std::to_string(most) + " bytes", false;
    bytes.append(block, 0, static_cast<std::size_t>(count));
  }
}

bool JournalFile::Append(std::string_view bytes) {
  if (descriptor_ < 0) return false;  // until a rewrite has made one
  if (WriteAll(descriptor_, bytes)) {
    size_ += bytes.size();
    return true;
  }
  // Not a part of it: what follows would be unreadable behind a torn record.
  if (ftruncate(descriptor_, static_cast<off_t>(size_)) != 0) Close();
  return false;
}

bool JournalFile::Rewrite(std::string_view bytes) {
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
  if (absorbs_next()) {  // the owner's file now holds all; from here on `journal.next` is a successor's
    unlink(next_path_.c_str());
    close(std::exchange(next_lock_, -1));
  }
  return true;
}

}  // namespace indigosaddle::node
