// The journal file in a folder of its own: restarts, interrupted rewrites, and two processes that share it.
#include "node/journal_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "state/journal.h"

namespace indigosaddle::node {
namespace {

class JournalFileTest : public ::testing::Test {
 protected:
  JournalFileTest() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~JournalFileTest() override { std::filesystem::remove_all(folder_); }

  std::string Read(std::size_t max_bytes = 1 << 20) {
    JournalFile file(folder_);
    std::string bytes;
    EXPECT_TRUE(file.Read(max_bytes, bytes, error_));
    return bytes;
  }
  // An owner writes "owner " and ends beside "successor ", which a process of an earlier version has left;
  // the successor becomes the owner.
  void ReplaceAnEndedOwner(JournalFile& successor) {
    {
      JournalFile owner(folder_);
      ASSERT_EQ(owner.Claim(), JournalFile::Role::kOwner);
      ASSERT_TRUE(owner.Rewrite("owner "));
      ASSERT_EQ(successor.Claim(), JournalFile::Role::kSuccessor);
      WriteFile("journal.next", "successor ");
    }
    ASSERT_EQ(successor.Claim(), JournalFile::Role::kOwner);
  }
  void WriteFile(const std::string& name, const std::string& bytes) {
    std::ofstream(folder_ + "/" + name, std::ios::binary) << bytes;
  }

  std::string folder_, error_;
};

TEST_F(JournalFileTest, EmptyFolderHoldsAnEmptyJournal) {
  EXPECT_EQ(Read(), "");
  EXPECT_EQ(error_, "");
}

TEST_F(JournalFileTest, WrittenBytesAreReadByTheNextProcess) {
  {
    JournalFile file(folder_);
    EXPECT_FALSE(file.Append("too early"));
    EXPECT_TRUE(file.Rewrite("one "));
    EXPECT_TRUE(file.Append("two "));
  }
  EXPECT_EQ(Read(), "one two ");
  {
    JournalFile file(folder_);
    EXPECT_TRUE(file.Rewrite("three "));
    EXPECT_TRUE(file.Append("four"));
  }
  EXPECT_EQ(Read(), "three four");
}

// Guards against a truncated read: the part would be taken for all pending messages, and the next rewrite
// would lose the rest.
TEST_F(JournalFileTest, TooLongOrUnreadableJournalIsRejectedNotTruncated) {
  WriteFile("journal", "three four");
  std::string bytes;
  EXPECT_FALSE(JournalFile(folder_).Read(9, bytes, error_));
  EXPECT_NE(error_.find("longer than 9 bytes"), std::string::npos);
  EXPECT_TRUE(JournalFile(folder_).Read(10, bytes, error_));
  EXPECT_EQ(bytes, "three four");
  std::filesystem::remove(folder_ + "/journal");
  std::filesystem::create_directory(folder_ + "/journal");  // opens, but its first read fails
  EXPECT_FALSE(JournalFile(folder_).Read(1000, bytes, error_));
  EXPECT_NE(error_.find("directory"), std::string::npos);
}

// A predecessor's journal that cannot be read is not overwritten, nor is what an earlier successor has left.
TEST_F(JournalFileTest, SuccessorThatCannotReadTheOwnersJournalWritesNothing) {
  JournalFile successor(folder_);
  ReplaceAnEndedOwner(successor);
  std::string bytes;
  ASSERT_FALSE(successor.Read(3, bytes, error_));
  EXPECT_FALSE(successor.Append("more "));
  EXPECT_FALSE(successor.Rewrite("all its own "));
  EXPECT_EQ(Read(), "owner ");
  ASSERT_TRUE(successor.ReadNext(1000, bytes, error_));
  EXPECT_EQ(bytes, "successor ");
  ASSERT_TRUE(successor.Read(1000, bytes, error_));  // it is readable later
  ASSERT_TRUE(successor.Rewrite("both "));
  EXPECT_EQ(Read(), "both ");
}

// Guards against a journal of a newer program that is taken for an empty one: it would be overwritten, and
// its pending messages would never get a result. A truncated header holds no pending messages.
TEST_F(JournalFileTest, JournalOfANewerVersionIsRejectedAndLeftUnchanged) {
  std::string head = state::JournalHeader();
  head[head.size() - 4] = 99;
  const std::string newer = head + "what is owed";
  for (const char* name : {"journal", "journal.next"}) {
    WriteFile(name, newer);
    std::string bytes;
    JournalFile file(folder_);
    ASSERT_EQ(file.Claim(), JournalFile::Role::kOwner);
    EXPECT_FALSE(file.Read(1000, bytes, error_) && file.ReadNext(1000, bytes, error_)) << name;
    EXPECT_NE(error_.find("another version"), std::string::npos) << error_;
    std::ifstream left(folder_ + "/" + name, std::ios::binary);
    EXPECT_EQ(std::string(std::istreambuf_iterator<char>(left), {}), newer);
    std::filesystem::remove(folder_ + "/" + name);
  }
  WriteFile("journal", state::JournalHeader().substr(0, state::JournalHeader().size() - 1));
  Read();
}

// The same for a successor: it writes nothing.
TEST_F(JournalFileTest, SuccessorOfAnOlderVersionLeavesTheOwnersJournal) {
  JournalFile successor(folder_);
  ReplaceAnEndedOwner(successor);
  std::string head = state::JournalHeader();
  head[head.size() - 4] = 99;
  WriteFile("journal", head);
  std::string bytes;
  EXPECT_FALSE(successor.Read(1000, bytes, error_));
  EXPECT_FALSE(successor.Append("more "));
  EXPECT_FALSE(successor.Rewrite("all its own "));
  std::ifstream left(folder_ + "/journal", std::ios::binary);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(left), {}), head);
}

TEST_F(JournalFileTest, RewriteInterruptedAtAnyStepLeavesTheOldJournal) {
  const std::string old = state::JournalHeader() + "old", rewritten = state::JournalHeader() + "newer";
  for (std::size_t size = 0; size <= rewritten.size();
       ++size) {  // interrupted before the rename, after each byte
    WriteFile("journal", old);
    WriteFile("journal.new", rewritten.substr(0, size));
    error_.clear();
    EXPECT_EQ(Read(), old);
    EXPECT_NE(error_, "");
    EXPECT_FALSE(std::filesystem::exists(folder_ + "/journal.new"));
  }
  WriteFile("journal", rewritten);  // interrupted after the rename
  EXPECT_EQ(Read(), rewritten);
}

TEST_F(JournalFileTest, MissingFolderIsAnError) {
  WriteFile("file", "");
  JournalFile missing(folder_ + "/missing");
  JournalFile file(folder_ + "/file");
  std::string bytes, error;
  EXPECT_FALSE(missing.Read(1000, bytes, error));
  EXPECT_FALSE(file.Read(1000, bytes, error));
  EXPECT_NE(error, "");
  EXPECT_FALSE(file.Rewrite("x"));
}

TEST_F(JournalFileTest, FailedRewriteKeepsTheOldFileInUse) {
  JournalFile file(folder_);
  ASSERT_TRUE(file.Rewrite("one "));
  std::filesystem::create_directory(folder_ + "/journal.new");  // blocks the rewrite
  EXPECT_FALSE(file.Rewrite("two "));
  EXPECT_TRUE(file.Append("still"));
  std::filesystem::remove(folder_ + "/journal.new");
  EXPECT_EQ(Read(), "one still");
}

TEST_F(JournalFileTest, OwnersRewriteLeavesItsSuccessorsJournal) {
  JournalFile owner(folder_), successor(folder_), third(folder_);
  ASSERT_EQ(owner.Claim(), JournalFile::Role::kOwner);
  ASSERT_TRUE(owner.Rewrite("owner "));
  EXPECT_FALSE(owner.HasSuccessor());
  ASSERT_EQ(successor.Claim(), JournalFile::Role::kSuccessor);
  EXPECT_FALSE(successor.Rewrite("successor "));
  WriteFile("journal.next", "successor ");             // as a successor of an earlier version does
  EXPECT_EQ(third.Claim(), JournalFile::Role::kNone);  // two successors would both take over
  EXPECT_TRUE(owner.HasSuccessor());
  ASSERT_TRUE(owner.Rewrite("compacted "));
  std::string next;
  JournalFile reader(folder_);
  ASSERT_TRUE(reader.ReadNext(1000, next, error_));
  EXPECT_EQ(next, "successor ");
}

// Guards against a third process that takes the folder as its owner ends, before the successor that has
// waited for it: the successor would wait on, with the clients in its queue.
TEST_F(JournalFileTest, AThirdProcessDoesNotOvertakeTheSuccessor) {
  JournalFile successor(folder_), third(folder_);
  {
    JournalFile owner(folder_);
    ASSERT_EQ(owner.Claim(), JournalFile::Role::kOwner);
    ASSERT_TRUE(owner.Rewrite("owner "));
    ASSERT_EQ(successor.Claim(), JournalFile::Role::kSuccessor);
    EXPECT_EQ(third.Claim(), JournalFile::Role::kNone);
  }
  EXPECT_EQ(third.Claim(), JournalFile::Role::kNone);
  EXPECT_EQ(successor.Claim(), JournalFile::Role::kOwner);
}

TEST_F(JournalFileTest, SuccessorBecomesTheOwnerAndAnotherMayStart) {
  JournalFile successor(folder_);
  ReplaceAnEndedOwner(successor);
  EXPECT_EQ(Read(), "owner ");
  std::string left;
  ASSERT_TRUE(successor.Read(1000, left, error_));
  EXPECT_EQ(left, "owner ");
  JournalFile another(folder_);
  EXPECT_EQ(another.Claim(), JournalFile::Role::kNone);  // until the first rewrite holds all messages
  ASSERT_TRUE(successor.Rewrite("all "));
  EXPECT_FALSE(std::filesystem::exists(folder_ + "/journal.next"));
  EXPECT_EQ(another.Claim(), JournalFile::Role::kSuccessor);
  EXPECT_TRUE(successor.HasSuccessor());
}

}  // namespace
}  // namespace indigosaddle::node
