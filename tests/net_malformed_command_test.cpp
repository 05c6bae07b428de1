// ENQUEUE commands with repeated fields or malformed values. A property of a message is never chosen from two
// contradicting values.
#include <gtest/gtest.h>

#include <string>

#include "net/resp.h"

namespace indigosaddle::net {
namespace {

std::string Parse(const std::string& fields, Enqueue& out, const std::string& key = "0") {
  out = {};
  return ParseEnqueue({"ENQUEUE", key, "id", fields, "body"}, out);
}

// Guards against using the last value: it may be a class that may be repeated, a longer time or another
// destination.
TEST(MalformedEnqueue, ARepeatedFieldIsRejected) {
  Enqueue e;
  for (const std::string repeated :
       {"c=a,c=b", "c=a,c=a", "t=a,t=b", "d=1,d=9000", "k=x,k=y", "dest=1,dest=2", "thread=x,thread=y",
        "r=1,r=0", "again=0,again=1", "t=,t=a"}) {
    const std::string name = repeated.substr(0, repeated.find('='));
    std::string fields = repeated;
    for (const std::string valid : {"c=a", "d=1", "dest=2"})
      if (valid.substr(0, valid.find('=')) != name) fields += "," + valid;
    EXPECT_EQ(Parse(fields, e), name + " is given twice") << fields;
  }
  EXPECT_EQ(Parse("c=a,x=1,d=1,x=2,dest=2", e), "");  // unknown fields may repeat
}

// Guards against ignoring a malformed flag: the message then counted as new and no older
// than it says.
TEST(MalformedEnqueue, ARepeatFlagIsSetUnlessItsValueIsZero) {
  Enqueue e;
  for (const std::string flag : {"r", "again"}) {
    for (const std::string set_value : {"1", "2", "true", "", " 1", "01", "-0"}) {
      EXPECT_EQ(Parse("c=a,d=1,dest=2," + flag + "=" + set_value, e), "");
      EXPECT_TRUE(e.enqueued_before) << flag << set_value;
    }
    EXPECT_EQ(Parse("c=a,d=1,dest=2," + flag + "=0", e), "");
    EXPECT_FALSE(e.enqueued_before) << flag;
  }
  EXPECT_EQ(Parse("c=a,d=1,dest=2,r=1,again=0", e), "");
  EXPECT_TRUE(e.enqueued_before);
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e), "");
  EXPECT_FALSE(e.enqueued_before);
}

// A key of zeros means no order key. An empty key was treated alike, and its messages were sent out of order.
TEST(MalformedEnqueue, AnEmptyOrderKeyIsRejected) {
  Enqueue e;
  EXPECT_NE(Parse("c=a,d=1,dest=2", e, ""), "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e, "0000000000000000"), "");
  EXPECT_EQ(e.order_key, "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2", e, "00a0"), "");
  EXPECT_EQ(e.order_key, "00a0");
}

// Guards against using the second of two keys.
TEST(MalformedEnqueue, TwoDifferentOrderKeysAreRejected) {
  Enqueue e;
  EXPECT_NE(Parse("c=a,d=1,dest=2,thread=y", e, "x"), "");
  EXPECT_EQ(Parse("c=a,d=1,dest=2,thread=x", e, "x"), "");
  EXPECT_EQ(e.order_key, "x");
  EXPECT_EQ(Parse("c=a,d=1,dest=2,thread=x", e), "");
  EXPECT_EQ(e.order_key, "x");
}

// Required fields that are missing, and values that are not numbers.
TEST(MalformedEnqueue, MissingAndMalformedValuesAreRejected) {
  Enqueue e;
  for (const std::string malformed :
       {"c=a,d=1", "c=a,dest=2", "d=1,dest=2", "c=a,d=,dest=2", "c=a,d=1ms,dest=2", "c=a,d=+1,dest=2",
        "c=a,d= 1,dest=2", "c=a,d=1e99,dest=2", "c=a,d=1,dest=", "c=a,d=1,dest=+2", "c=a,d=1,dest=2.0",
        "c=a,d=1,dest=0x2", "c=a,d=1,dest=99999999999999999999",
        "c=a,d=1,dest=2,k=", "c=a,d=1,dest=2,thread=", "c=a,d=1,,dest=2", "c=a;d=1;dest=2"})
    EXPECT_NE(Parse(malformed, e), "") << malformed;
}

}  // namespace
}  // namespace indigosaddle::net
