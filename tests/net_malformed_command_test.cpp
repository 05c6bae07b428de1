// Commands whose names are given twice, or whose values are odd. What they say of the message is never chosen
// from two.
#include <gtest/gtest.h>

#include <string>

#include "net/resp.h"

namespace indigosaddle::net {
namespace {

std::string Parse(const std::string& names, Enqueue& out, const std::string& key = "0") {
  out = {};
  return ParseEnqueue({"ENQUEUE", key, "id", names, "body"}, out);
}

// The last was believed: a class that may be repeated, a longer time, another destination.
TEST(OddCommand, ANameThatIsGivenTwiceIsRefused) {
  Enqueue e;
  for (const std::string twice : {"c=a,c=b", "c=a,c=a", "t=a,t=b", "d=1,d=9000", "k=x,k=y", "dest=1,dest=2",
                                  "thread=x,thread=y", "r=1,r=0", "again=0,again=1", "t=,t=a"}) {
    const std::string name = twice.substr(0, twice.find('='));
    std::string names = twice;
    for (const std::string good : {"c=a", "d=1", "dest=2"})
      if (good.substr(0, good.find('=')) != name) names += "," + good;
    EXPECT_EQ(Parse(names, e), name + " is given twice") << names;
  }
  EXPECT_EQ(Parse("c=a,x=1,d=1,x=2,dest=2", e), "");  // others' names
}

// An odd mark was taken for none, and the message for one that cannot be older than it says.
TEST(OddCommand, AMarkOfAnEarlierHandInIsReadAsOneUnlessItSaysNo) {
  Enqueue e;
  for (const std::string mark : {"r", "again"}) {
    for (const std::string yes : {"1", "2", "true", "", " 1", "01", "-0"}) {
      EXPECT_EQ(Parse("c=a,d=1,dest=2," + mark + "=" + yes, e), "");
      EXPECT_TRUE(e.enqueued_before) << mark << yes;
    }
    EXPECT_EQ(Parse("c=a,d=1,dest=2," + mark + "=0", e), "");
    EXPECT_FALSE(e.enqueued_before) << mark;
  }
  EXPECT_EQ(Parse("c=a,d=1,dest=2,r=1,again=0", e), "");
  EXPECT_TRUE(e.enqueued_before);
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e), "");
  EXPECT_FALSE(e.enqueued_before);
}

// A key of zeros is none. An empty one was taken for that, and its messages went out of order.
TEST(OddCommand, AnEmptyKeyIsNotNone) {
  Enqueue e;
  EXPECT_NE(Parse("c=a,d=1,dest=2", e, ""), "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e, "0000000000000000"), "");
  EXPECT_EQ(e.order_key, "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e, "00a0"), "");
  EXPECT_EQ(e.order_key, "00a0");
}

// The second of two keys was the order's.
TEST(OddCommand, TwoOrderKeysThatDifferAreRefused) {
  Enqueue e;
  EXPECT_NE(Parse("c=a,d=1,dest=2,thread=y", e, "x"), "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2,thread=x", e, "x"), "");
  EXPECT_EQ(e.order_key, "x");
  EXPECT_EQ(Parse("c=a,d=1,dest=2,thread=x", e), "");
  EXPECT_EQ(e.order_key, "x");
}

// What can't be left out, and numbers that are none.
TEST(OddCommand, AbsentAndOddValuesAreRefused) {
  Enqueue e;
  for (const std::string odd :
       {"c=a,d=1", "c=a,dest=2", "d=1,dest=2", "c=a,d=,dest=2", "c=a,d=1ms,dest=2", "c=a,d=+1,dest=2",
        "c=a,d= 1,dest=2", "c=a,d=1e99,dest=2", "c=a,d=1,dest=", "c=a,d=1,dest=+2", "c=a,d=1,dest=2.0",
        "c=a,d=1,dest=0x2", "c=a,d=1,dest=99999999999999999999",
        "c=a,d=1,dest=2,k=", "c=a,d=1,dest=2,thread=", "c=a,d=1,,dest=2", "c=a;d=1;dest=2"})
    EXPECT_NE(Parse(odd, e), "") << odd;
}

}  // namespace
}  // namespace indigosaddle::net
