// The journal's file in a folder of its own: lives, cut rewrites, two processes that share it.
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

class JournalFolder : public ::testing::Test {
 protected:
  JournalFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~JournalFolder() override { std::filesystem::remove_all(folder_); }

  std::string Read(std::size_t most = 1 << 20) {
    JournalFile file(folder_);
    std::string bytes;
    EXPECT_TRUE(file.Read(most, bytes, trouble_));
    return bytes;
  }
  // An owner writes "owner " and ends; the successor, which has written "successor ", claims its place.
  void TakePlaceOfAnOwner(JournalFile& successor) {
    {
      JournalFile owner(folder_);
      ASSERT_EQ(owner.Claim(), JournalFile::Role::kOwner);
      ASSERT_TRUE(owner.Rewrite("owner "));
      ASSERT_EQ(successor.Claim(), JournalFile::Role::kSuccessor);
      ASSERT_TRUE(successor.Rewrite("successor "));
    }
    ASSERT_EQ(successor.Claim(), JournalFile::Role::kOwner);
  }
  void Put(const std::string& name, const std::string& bytes) {
    std::ofstream(folder_ + "/" + name, std::ios::binary) << bytes;
  }

  std::string folder_, trouble_;
};

TEST_F(JournalFolder, AnEmptyFolderIsAStart) {
  EXPECT_EQ(Read(), "");
  EXPECT_EQ(trouble_, "");
}

TEST_F(JournalFolder, WhatWasWrittenIsThereInTheNextLife) {
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

// A part of it would pass for all that is owed, and the next rewrite would lose the rest.
TEST_F(JournalFolder, AJournalThatIsTooLongOrCantBeReadIsRefusedNotCut) {
  Put("journal", "three four");
  std::string bytes;
  EXPECT_FALSE(JournalFile(folder_).Read(9, bytes, trouble_));
  EXPECT_NE(trouble_.find("longer than 9 bytes"), std::string::npos);
  EXPECT_TRUE(JournalFile(folder_).Read(10, bytes, trouble_));
  EXPECT_EQ(bytes, "three four");
  std::filesystem::remove(folder_ + "/journal");
  std::filesystem::create_directory(folder_ + "/journal");  // opens, and its first read fails
  EXPECT_FALSE(JournalFile(folder_).Read(1000, bytes, trouble_));
  EXPECT_NE(trouble_.find("directory"), std::string::npos);
}

// What the process before it left can't be read: it is not written over, and its own file goes on.
TEST_F(JournalFolder, ASuccessorThatCantReadTheOwnersJournalKeepsItsOwn) {
  JournalFile successor(folder_);
  TakePlaceOfAnOwner(successor);
  std::string bytes;
  ASSERT_FALSE(successor.Read(3, bytes, trouble_));
  EXPECT_TRUE(successor.Append("more "));
  EXPECT_TRUE(successor.Rewrite("all its own "));
  EXPECT_EQ(Read(), "owner ");
  ASSERT_TRUE(successor.ReadNext(1000, bytes, trouble_));
  EXPECT_EQ(bytes, "all its own ");
  ASSERT_TRUE(successor.Read(1000, bytes, trouble_));  // later it can be
  ASSERT_TRUE(successor.Rewrite("both "));
  EXPECT_EQ(Read(), "both ");
}

// Taken for an empty one it would be written over, and nothing of what a later program owed would ever get
// its end. A head that was cut holds nothing that is owed.
TEST_F(JournalFolder, AJournalOfAVersionToComeIsRefusedAndLeftAsItIs) {
  std::string head = state::JournalHeader();
  head[head.size() - 4] = 99;
  const std::string newer = head + "what is owed";
  for (const char* name : {"journal", "journal.next"}) {
    Put(name, newer);
    std::string bytes;
    JournalFile file(folder_);
    ASSERT_EQ(file.Claim(), JournalFile::Role::kOwner);
    EXPECT_FALSE(file.Read(1000, bytes, trouble_) && file.ReadNext(1000, bytes, trouble_)) << name;
    EXPECT_NE(trouble_.find("another version"), std::string::npos) << trouble_;
    std::ifstream left(folder_ + "/" + name, std::ios::binary);
    EXPECT_EQ(std::string(std::istreambuf_iterator<char>(left), {}), newer);
    std::filesystem::remove(folder_ + "/" + name);
  }
  Put("journal", state::JournalHeader().substr(0, state::JournalHeader().size() - 1));
  Read();
}

// The same of a successor: it goes on writing its own file.
TEST_F(JournalFolder, ASuccessorOfAVersionBeforeLeavesTheOwnersJournal) {
  JournalFile successor(folder_);
  TakePlaceOfAnOwner(successor);
  std::string head = state::JournalHeader();
  head[head.size() - 4] = 99;
  Put("journal", head);
  std::string bytes;
  EXPECT_FALSE(successor.Read(1000, bytes, trouble_));
  EXPECT_TRUE(successor.Append("more "));
  EXPECT_TRUE(successor.Rewrite("all its own "));
  std::ifstream left(folder_ + "/journal", std::ios::binary);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(left), {}), head);
}

TEST_F(JournalFolder, ARewriteCutOffAtAnyStepLeavesTheOldJournal) {
  const std::string old = state::JournalHeader() + "old", fresh = state::JournalHeader() + "newer";
  for (std::size_t size = 0; size <= fresh.size(); ++size) {  // before the rename, at each byte
    Put("journal", old);
    Put("journal.new", fresh.substr(0, size));
    trouble_.clear();
    EXPECT_EQ(Read(), old);
    EXPECT_NE(trouble_, "");
    EXPECT_FALSE(std::filesystem::exists(folder_ + "/journal.new"));
  }
  Put("journal", fresh);  // after it
  EXPECT_EQ(Read(), fresh);
}

TEST_F(JournalFolder, AFolderThatIsNoneIsAnError) {
  Put("file", "");
  JournalFile missing(folder_ + "/missing");
  JournalFile file(folder_ + "/file");
  std::string bytes, trouble;
  EXPECT_FALSE(missing.Read(1000, bytes, trouble));
  EXPECT_FALSE(file.Read(1000, bytes, trouble));
  EXPECT_NE(trouble, "");
  EXPECT_FALSE(file.Rewrite("x"));
}

TEST_F(JournalFolder, AFailedRewriteKeepsTheOldFileInUse) {
  JournalFile file(folder_);
  ASSERT_TRUE(file.Rewrite("one "));
  std::filesystem::create_directory(folder_ + "/journal.new");  // in the way
  EXPECT_FALSE(file.Rewrite("two "));
  EXPECT_TRUE(file.Append("still"));
  std::filesystem::remove(folder_ + "/journal.new");
  EXPECT_EQ(Read(), "one still");
}

TEST_F(JournalFolder, AnOwnersRewriteLeavesItsSuccessorsJournal) {
  JournalFile owner(folder_), successor(folder_), third(folder_);
  ASSERT_EQ(owner.Claim(), JournalFile::Role::kOwner);
  ASSERT_TRUE(owner.Rewrite("owner "));
  EXPECT_FALSE(owner.HasSuccessor());
  ASSERT_EQ(successor.Claim(), JournalFile::Role::kSuccessor);
  ASSERT_TRUE(successor.Rewrite("successor "));
  EXPECT_EQ(third.Claim(), JournalFile::Role::kNone);  // would write the successor's file
  EXPECT_TRUE(owner.HasSuccessor());
  ASSERT_TRUE(owner.Rewrite("compacted "));
  std::string next;
  JournalFile look(folder_);
  ASSERT_TRUE(look.ReadNext(1000, next, trouble_));
  EXPECT_EQ(next, "successor ");
}

TEST_F(JournalFolder, ASuccessorBecomesTheOwnerAndAnotherMayCome) {
  JournalFile successor(folder_);
  TakePlaceOfAnOwner(successor);
  EXPECT_EQ(Read(), "owner ");
  std::string left;
  ASSERT_TRUE(successor.Read(1000, left, trouble_));
  EXPECT_EQ(left, "owner ");
  JournalFile another(folder_);
  EXPECT_EQ(another.Claim(), JournalFile::Role::kNone);  // until the first rewrite holds all
  ASSERT_TRUE(successor.Rewrite("all "));
  EXPECT_FALSE(std::filesystem::exists(folder_ + "/journal.next"));
  EXPECT_EQ(another.Claim(), JournalFile::Role::kSuccessor);
  EXPECT_TRUE(successor.HasSuccessor());
}

}  // namespace
}  // namespace indigosaddle::node
