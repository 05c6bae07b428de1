// The folder's file `clock`: what is not whole is none, and node time begins anew.
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
    std::ifstream("/proc/sys/kernel/random/boot_id") >> boot_;
  }
  ~ClockFile() override { std::filesystem::remove_all(folder_); }

  // Whether node time goes on from this text behind the boot's id.
  bool GoesOn(const std::string& text) {
    std::ofstream(folder_ + "/clock") << boot_ << text;
    net::Loop loop;
    return NodeClock(loop, folder_).continued();
  }

  std::string folder_, boot_;
};

// Read in part it would set node time back, to before calls that were made: keys' lives and waits would begin
// anew, and deadlines move off.
TEST_F(ClockFile, AnOddLineIsNoOrigin) {
  if (boot_.empty()) GTEST_SKIP() << "the system does not say which boot it is";
  EXPECT_TRUE(GoesOn(" 5 1764600000000000 end\n"));
  for (const char* text : {"", "\n", " 5\n", " 5 end\n", " 5 1764600000000000\n", " 5 1764600000000000 en",
                           " 5 17646e8 end\n", " 5 0 end\n", " 5 -1764600000000000 end\n",
                           " -5 1764600000000000 end\n", " 5 9223372036854775807 end\n",
                           " 5 1764600000000000 end more\n", " 9000000000000000000 1764600000000000 end\n"})
    EXPECT_FALSE(GoesOn(text)) << text;
}

TEST_F(ClockFile, WhatWasSavedIsReadBack) {
  if (boot_.empty()) GTEST_SKIP() << "the system does not say which boot it is";
  net::Loop loop;
  NodeClock first(loop, folder_);
  EXPECT_FALSE(first.continued());
  ASSERT_TRUE(first.Save());
  net::Loop other;
  EXPECT_TRUE(NodeClock(other, folder_).continued());
}

}  // namespace
}  // namespace indigosaddle::node
