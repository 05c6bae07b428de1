// Entries of discovery's list that lack a part or have an odd one: what an entry fails to say is never filled
// in, and an endpoint of which something unknown was said gets nothing new.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "net/member_list.h"

namespace indigosaddle::net {
namespace {

using Parts = std::vector<std::pair<std::string, std::string>>;

const Parts kParts = {
    {"host", R"("s-1")"}, {"dial", R"("127.0.0.1:9")"}, {"site", R"("a")"}, {"class", R"("m2")"},
    {"block", "3"},       {"health", R"("Ready")"},     {"share", "1.5"},   {"born_ms", "0"}};

// The good entry, with one part changed; empty: left out.
std::string Entry(const std::string& name = "", const std::string& value = "") {
  std::string text;
  for (const auto& [part, good] : kParts) {
    const std::string& said = part == name ? value : good;
    if (!said.empty()) text += (text.empty() ? "\"" : ",\"") + part + "\":" + said;
  }
  return "{" + text + "}";
}

MemberListUpdate Change(const std::string& hosts) {
  const auto news = ParseMembers(R"({"seq":41,"whole":false,"hosts":[)" + hosts + "]}");
  EXPECT_TRUE(news.has_value()) << hosts;
  return news.value_or(MemberListUpdate{});
}

// A change that may have said Terminating was skipped, and the endpoint stayed ready.
TEST(OddList, AnEntryOfANamedHostThatCantBeReadNamesTheHostAsUnsure) {
  for (const auto& [part, odd] : Parts{{"health", ""},
                                       {"health", "null"},
                                       {"health", R"("terminating")"},
                                       {"health", R"("")"},
                                       {"dial", ""},
                                       {"dial", R"("nowhere")"},
                                       {"dial", "9"},
                                       {"block", ""},
                                       {"block", "-1"},
                                       {"block", "3.5"},
                                       {"block", R"("3")"},
                                       {"block", "99999999999999999999"}}) {
    const MemberListUpdate news = Change(Entry(part, odd) + "," + Entry("host", R"("s-2")"));
    EXPECT_EQ(news.unreadable, std::vector<std::string>{"s-1"}) << part << odd;
    EXPECT_TRUE(news.incomplete) << part << odd;
    ASSERT_EQ(news.members.size(), 1u) << part << odd;
    EXPECT_EQ(news.members[0].host, "s-2");
  }
}

// Of an entry that names no host nobody can tell which endpoint it drains.
TEST(OddList, AnEntryWithoutAHostLeavesTheNewsIncomplete) {
  for (const std::string& odd : {std::string("7"), std::string("null"), Entry("host"), Entry("host", "5"),
                                 Entry("host", R"("a b")"), Entry("host", R"("")")}) {
    const MemberListUpdate news = Change(odd + "," + Entry());
    EXPECT_TRUE(news.incomplete) << odd;
    EXPECT_TRUE(news.unreadable.empty()) << odd;
    EXPECT_EQ(news.members.size(), 1u) << odd;
  }
}

// The first of two contradicting entries was believed: calls went to an address or for a destination that the
// other denies.
TEST(OddList, AHostNamedTwiceWithAnotherAddressOrDestinationIsUnsure) {
  for (const std::string& other : {Entry("dial", R"("127.0.0.1:10")"), Entry("block", "4"),
                                   Entry("site", R"("b")"), Entry("class", ""), Entry("health", "")}) {
    for (const std::string& both :
         {Entry() + "," + other, other + "," + Entry(), Entry() + "," + other + "," + Entry()}) {
      const MemberListUpdate news = Change(both);
      EXPECT_TRUE(news.members.empty()) << both;
      EXPECT_EQ(news.unreadable, std::vector<std::string>{"s-1"}) << both;
      EXPECT_TRUE(news.incomplete) << both;
    }
  }
}

// Of two states the careful one holds, whichever comes first, and the larger of two shares does not.
TEST(OddList, AHostNamedTwiceWithAnotherStateOrShareIsReadCarefully) {
  for (const std::string state : {R"("Terminating")", R"("Gone")"}) {
    const std::string other = Entry("health", state);
    for (const std::string& both : {Entry() + "," + other, other + "," + Entry()}) {
      const MemberListUpdate news = Change(both);
      ASSERT_EQ(news.members.size(), 1u) << both;
      EXPECT_EQ(news.members[0].health, state == R"("Gone")" ? Health::kGone : Health::kTerminating) << both;
      EXPECT_TRUE(news.incomplete) << both;
    }
  }
  for (const std::string& both : {Entry("share", "9") + "," + Entry(), Entry() + "," + Entry("share", "9")}) {
    const MemberListUpdate news = Change(both);
    ASSERT_EQ(news.members.size(), 1u) << both;
    EXPECT_EQ(news.members[0].share, 1.5) << both;
  }
}

// The same entry twice says nothing that is not known.
TEST(OddList, TheSameEntryTwiceIsOneAndNothingIsMissing) {
  const MemberListUpdate news = Change(Entry() + "," + Entry());
  EXPECT_EQ(news.members.size(), 1u);
  EXPECT_TRUE(news.unreadable.empty());
  EXPECT_FALSE(news.incomplete);
}

// A share that is no calls a second was taken for what the destination surely bears, so that its slow start
// let any number pass. Zero: not told, the least.
TEST(OddList, AShareThatIsNoRateIsNotTold) {
  EXPECT_EQ(Change(Entry()).members.at(0).share, 1.5);
  for (const std::string odd : {"", "null", R"("9")", "-1", "-0.0", "[9]", "1e300", "1000000001"}) {
    EXPECT_EQ(Change(Entry("share", odd)).members.at(0).share, 0) << odd;
  }
}

// Of a part that is given twice the last was believed: Terminating, then Ready.
TEST(OddList, AnEntryWithAPartGivenTwiceIsUnsure) {
  for (const std::string twice : {R"("health":"Terminating")", R"("health":"Ready")",
                                  R"("dial":"127.0.0.1:8")", R"("block":4)", R"("share":9)"}) {
    for (const std::string& entry :
         {"{" + twice + "," + Entry().substr(1), Entry().substr(0, Entry().size() - 1) + "," + twice + "}"}) {
      const MemberListUpdate news = Change(entry + "," + Entry("host", R"("s-2")"));
      EXPECT_EQ(news.unreadable, std::vector<std::string>{"s-1"}) << entry;
      ASSERT_EQ(news.members.size(), 1u) << entry;
    }
  }
  const MemberListUpdate news = Change(R"({"host":"s-3",)" + Entry().substr(1));
  EXPECT_TRUE(news.unreadable.empty());  // one of two, and which is not known
  EXPECT_TRUE(news.members.empty());
  EXPECT_TRUE(news.incomplete);
}

// The same of the list itself.
TEST(OddList, AListWithAPartGivenTwiceIsNone) {
  for (const std::string odd : {R"({"seq":40,"seq":41,"whole":true,"hosts":[]})",
                                R"({"seq":41,"whole":false,"whole":true,"hosts":[]})",
                                R"({"seq":41,"whole":true,"hosts":[{}],"hosts":[]})"}) {
    EXPECT_FALSE(ParseMembers(odd)) << odd;
  }
  EXPECT_FALSE(ParseMembers(R"({"seq":41,"whole":true,"s\u0065q":40,"hosts":[]})"));  // the same name
  EXPECT_TRUE(ParseMembers(R"({"seq":41,"x\\":{},"x\"":"}","whole":true,"hosts":[]})"));
  EXPECT_TRUE(ParseMembers(R"({"seq":41,"x":{"seq":1,"whole":1},"whole":true,"hosts":[]})"));
}

// Nothing is decided by when an endpoint started: whatever stands there, the entry is used.
TEST(OddList, WhenAnEndpointStartedDecidesNothing) {
  for (const std::string odd : {"", "null", "-1", R"("x")", "1e300"}) {
    EXPECT_EQ(Change(Entry("born_ms", odd)).members.size(), 1u) << odd;
  }
}

// Without its version, or without saying whether it is whole, a list is none.
TEST(OddList, AListWithoutVersionOrWholenessIsNone) {
  for (const std::string odd :
       {R"({"whole":true,"hosts":[]})", R"({"seq":41,"hosts":[]})", R"({"seq":41,"whole":null,"hosts":[]})",
        R"({"seq":41,"whole":"true","hosts":[]})", R"({"seq":4.5,"whole":true,"hosts":[]})",
        R"({"seq":"41","whole":true,"hosts":[]})", R"({"seq":41,"whole":true})",
        R"({"seq":41,"whole":true,"hosts":null})"}) {
    EXPECT_FALSE(ParseMembers(odd)) << odd;
  }
}

}  // namespace
}  // namespace indigosaddle::net
