// The state folder's file `clock`: an incomplete or malformed file is ignored, and node time starts again.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "net/loop.h"
#include "node/node_clock.h"

namespace indigosaddle::node {
namespace {

class ClockFile : public ::testing::Test {
 protected:
  ClockFile() {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    std::ifstream("/proc/sys/kernel/random/boot_id") >> boot_id_;
  }
  ~ClockFile() override { std::filesystem::remove_all(folder_); }

  // Whether node time continues from a file that holds the boot id followed by this text.
  bool Continues(const std::string& text) {
    std::ofstream(folder_ + "/clock") << boot_id_ << text;
    net::Loop loop;
    return NodeClock(loop, folder_).continued();
  }

  std::string folder_, boot_id_;
};

// Guards against a partly read file: it would set node time back to before calls that were already made, so
// that key lifetimes and waits would start again and deadlines would be postponed.
TEST_F(ClockFile, MalformedLineIsIgnored) {
  if (boot_id_.empty()) GTEST_SKIP() << "the system does not say which boot it is";
  EXPECT_TRUE(Continues(" 5 1764600000000000 end\n"));
  for (const char* text : {"", "\n", " 5\n", " 5 end\n", " 5 1764600000000000\n", " 5 1764600000000000 en",
                           " 5 17646e8 end\n", " 5 0 end\n", " 5 -1764600000000000 end\n",
                           " -5 1764600000000000 end\n", " 5 9223372036854775807 end\n",
                           " 5 1764600000000000 end more\n", " 9000000000000000000 1764600000000000 end\n"})
    EXPECT_FALSE(Continues(text)) << text;
}

TEST_F(ClockFile, SavedOriginIsReadBack) {
  if (boot_id_.empty()) GTEST_SKIP() << "the system does not say which boot it is";
  net::Loop loop;
  NodeClock first(loop, folder_);
  EXPECT_FALSE(first.continued());
  ASSERT_TRUE(first.Save());
  net::Loop next_loop;
  EXPECT_TRUE(NodeClock(next_loop, folder_).continued());
}

}  // namespace
}  // namespace indigosaddle::node
