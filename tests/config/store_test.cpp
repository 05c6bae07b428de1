// The saved generations: complete after a kill at any step of a save, of bounded size, and set aside where
// damaged.
#include "config/store.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace indigosaddle::config {
namespace {

constexpr std::size_t kDiskBytes = 3000000;

class StoreTest : public ::testing::Test {
 protected:
  StoreTest() {
    std::string pattern = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~StoreTest() override { std::filesystem::remove_all(folder_); }

  static History TwoGenerations() {
    History history = HistoryAtStart({}, "first", "h1", true, Micros(1));
    history = HistoryAtStart(history, "second \"quoted\"\n\xff", "h2", true, Micros(2));
    history.generations.back().result_reason = "why";
    return history;
  }
  static std::string ReadFile(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  }
  // The bytes of all files in the folder, counted in whole blocks as the store does.
  std::size_t FolderBytes() const {
    std::size_t sum = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder_))
      sum += (entry.file_size() + 511) / 512 * 512;
    return sum;
  }

  std::string folder_, error_;
  History loaded_;
};

TEST_F(StoreTest, ASavedHistoryIsLoadedAgain) {
  ASSERT_TRUE(Store(folder_, kDiskBytes).Load(loaded_, error_, true));
  EXPECT_TRUE(loaded_.generations.empty());
  ASSERT_TRUE(Store(folder_, kDiskBytes).Save(TwoGenerations(), error_));
  ASSERT_TRUE(Store(folder_, kDiskBytes).Load(loaded_, error_, true));
  ASSERT_EQ(loaded_.generations.size(), 2u);
  EXPECT_EQ(loaded_.kept, 2u);
  EXPECT_EQ(loaded_.seen_file, "h2");
  EXPECT_EQ(loaded_.generations[0].document, "first");
  EXPECT_EQ(loaded_.generations[1].result_reason, "why");
}

TEST_F(StoreTest, AKillAtAnyStepLeavesTheOldOrTheNewStateComplete) {
  struct Killed {};
  for (const std::string step :
       {"config.save.open", "config.save.half", "config.save.written", "config.save.renamed"}) {
    ASSERT_TRUE(Store(folder_, kDiskBytes).Save(HistoryAtStart({}, "first", "h1", true, Micros(1)), error_));
    const Store killed(folder_, kDiskBytes, [&](const char* reached) {
      if (step == reached) throw Killed{};
    });
    EXPECT_THROW(static_cast<void>(killed.Save(TwoGenerations(), error_)), Killed);
    ASSERT_TRUE(Store(folder_, kDiskBytes).Load(loaded_, error_, true)) << step;
    EXPECT_EQ(loaded_.generations.size(), step == "config.save.renamed" ? 2u : 1u) << step;
    EXPECT_LE(FolderBytes(), MaxStoreBytes(kDiskBytes));
  }
}

TEST_F(StoreTest, ADamagedFileIsSetAsideAndNotReadInPart) {
  ASSERT_TRUE(Store(folder_, kDiskBytes).Save(TwoGenerations(), error_));
  const std::string intact = ReadFile(folder_ + "/generations");
  for (std::size_t at = 0; at < intact.size(); at += 7) {
    for (const bool truncate : {true, false}) {
      std::string text = truncate ? intact.substr(0, at) : intact;
      if (!truncate) text[at] = static_cast<char>(text[at] ^ 1);
      std::ofstream(folder_ + "/generations", std::ios::binary) << text;
      EXPECT_FALSE(Store(folder_, kDiskBytes).Load(loaded_, error_, false)) << at;
      EXPECT_TRUE(loaded_.generations.empty());
    }
  }
  EXPECT_FALSE(Store(folder_, kDiskBytes).Load(loaded_, error_, true));
  EXPECT_TRUE(std::filesystem::exists(folder_ + "/generations.damaged"));
  EXPECT_TRUE(Store(folder_, kDiskBytes).Load(loaded_, error_, true));
}

TEST_F(StoreTest, OldDocumentsAreDroppedToStayWithinTheLimit) {
  History history;
  for (int i = 0; i < 30; ++i) {
    history = HistoryAtStart(history, std::string(20000, static_cast<char>('a' + i % 26)), std::to_string(i),
                             true, Micros(i));
  }
  ASSERT_TRUE(Store(folder_, kDiskBytes).Save(history, error_));
  ASSERT_TRUE(Store(folder_, kDiskBytes).Save(history, error_));
  EXPECT_LE(FolderBytes(), MaxStoreBytes(kDiskBytes));
  ASSERT_TRUE(Store(folder_, kDiskBytes).Load(loaded_, error_, true));
  EXPECT_EQ(loaded_.generations.size(), kMaxGenerations);
  EXPECT_TRUE(loaded_.generations.front().document.empty());
  EXPECT_EQ(loaded_.generations.back().document.size(), 20000u);
  EXPECT_FALSE(Store(folder_, 100000).Save(history, error_));  // even one document is too large
  EXPECT_NE(error_.find("more than"), std::string::npos);
}

TEST_F(StoreTest, AFolderThatDoesNotExistIsReported) {
  EXPECT_FALSE(Store(folder_ + "/none", kDiskBytes).Save(TwoGenerations(), error_));
  EXPECT_FALSE(error_.empty());
}

}  // namespace
}  // namespace indigosaddle::config
