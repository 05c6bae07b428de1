// Entries of discovery's lists with missing or malformed fields: a missing value is never filled in, and an
// endpoint whose entry could not be read gets no new calls.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "net/member_list.h"

namespace indigosaddle::net {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

const Fields kValidFields = {
    {"host", R"("s-1")"}, {"dial", R"("127.0.0.1:9")"}, {"site", R"("a")"}, {"class", R"("m2")"},
    {"block", "3"},       {"health", R"("Ready")"},     {"share", "1.5"},   {"born_ms", "0"}};

// The valid entry with one field replaced by `value`, or left out if `value` is empty.
std::string Entry(const std::string& name = "", const std::string& value = "") {
  std::string text;
  for (const auto& [field, valid] : kValidFields) {
    const std::string& chosen = field == name ? value : valid;
    if (!chosen.empty()) text += (text.empty() ? "\"" : ",\"") + field + "\":" + chosen;
  }
  return "{" + text + "}";
}

MemberListUpdate Change(const std::string& hosts) {
  const auto update = ParseMembers(R"({"seq":41,"whole":false,"hosts":[)" + hosts + "]}");
  EXPECT_TRUE(update.has_value()) << hosts;
  return update.value_or(MemberListUpdate{});
}

// Guards against skipping such an entry: it may have said Terminating, and the endpoint stayed ready.
TEST(MalformedList, AnUnreadableEntryReportsItsHostAsUnreadable) {
  for (const auto& [field, malformed] : Fields{{"health", ""},
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
    const MemberListUpdate update = Change(Entry(field, malformed) + "," + Entry("host", R"("s-2")"));
    EXPECT_EQ(update.unreadable, std::vector<std::string>{"s-1"}) << field << malformed;
    EXPECT_TRUE(update.incomplete) << field << malformed;
    ASSERT_EQ(update.members.size(), 1u) << field << malformed;
    EXPECT_EQ(update.members[0].host, "s-2");
  }
}

// An entry that names no host may drain any endpoint.
TEST(MalformedList, AnEntryWithoutAHostMakesTheUpdateIncomplete) {
  for (const std::string& malformed :
       {std::string("7"), std::string("null"), Entry("host"), Entry("host", "5"), Entry("host", R"("a b")"),
        Entry("host", R"("")")}) {
    const MemberListUpdate update = Change(malformed + "," + Entry());
    EXPECT_TRUE(update.incomplete) << malformed;
    EXPECT_TRUE(update.unreadable.empty()) << malformed;
    EXPECT_EQ(update.members.size(), 1u) << malformed;
  }
}

// Guards against using the first of two contradicting entries: calls went to an address or for a destination
// that the other entry contradicts.
TEST(MalformedList, AHostWithContradictingAddressesOrDestinationsIsUnreadable) {
  for (const std::string& other : {Entry("dial", R"("127.0.0.1:10")"), Entry("block", "4"),
                                   Entry("site", R"("b")"), Entry("class", ""), Entry("health", "")}) {
    for (const std::string& entries :
         {Entry() + "," + other, other + "," + Entry(), Entry() + "," + other + "," + Entry()}) {
      const MemberListUpdate update = Change(entries);
      EXPECT_TRUE(update.members.empty()) << entries;
      EXPECT_EQ(update.unreadable, std::vector<std::string>{"s-1"}) << entries;
      EXPECT_TRUE(update.incomplete) << entries;
    }
  }
}

// Of two health states the more cautious one is used, in either order, and of two rate limits the smaller.
TEST(MalformedList, OfTwoHealthStatesOrSharesTheMoreCautiousIsUsed) {
  for (const std::string state : {R"("Terminating")", R"("Gone")"}) {
    const std::string other = Entry("health", state);
    for (const std::string& entries : {Entry() + "," + other, other + "," + Entry()}) {
      const MemberListUpdate update = Change(entries);
      ASSERT_EQ(update.members.size(), 1u) << entries;
      EXPECT_EQ(update.members[0].health,
                state == R"("Gone")" ? ReportedHealth::kGone : ReportedHealth::kTerminating)
          << entries;
      EXPECT_TRUE(update.incomplete) << entries;
    }
  }
  for (const std::string& entries :
       {Entry("share", "9") + "," + Entry(), Entry() + "," + Entry("share", "9")}) {
    const MemberListUpdate update = Change(entries);
    ASSERT_EQ(update.members.size(), 1u) << entries;
    EXPECT_EQ(update.members[0].rate_limit, 1.5) << entries;
  }
}

// A repeated identical entry adds no information.
TEST(MalformedList, IdenticalEntriesAreOneAndLeaveTheUpdateComplete) {
  const MemberListUpdate update = Change(Entry() + "," + Entry());
  EXPECT_EQ(update.members.size(), 1u);
  EXPECT_TRUE(update.unreadable.empty());
  EXPECT_FALSE(update.incomplete);
}

// Guards against using an invalid rate of calls per second as what the destination can take: its slow start
// then let any number of calls pass. 0 means unknown, the most cautious value.
TEST(MalformedList, AnInvalidShareIsReadAsUnknown) {
  EXPECT_EQ(Change(Entry()).members.at(0).rate_limit, 1.5);
  for (const std::string malformed : {"", "null", R"("9")", "-1", "-0.0", "[9]", "1e300", "1000000001"}) {
    EXPECT_EQ(Change(Entry("share", malformed)).members.at(0).rate_limit, 0) << malformed;
  }
}

// Guards against using the last value of a repeated field: Ready after Terminating.
TEST(MalformedList, AnEntryWithARepeatedFieldIsUnreadable) {
  for (const std::string repeated : {R"("health":"Terminating")", R"("health":"Ready")",
                                     R"("dial":"127.0.0.1:8")", R"("block":4)", R"("share":9)"}) {
    for (const std::string& entry : {"{" + repeated + "," + Entry().substr(1),
                                     Entry().substr(0, Entry().size() - 1) + "," + repeated + "}"}) {
      const MemberListUpdate update = Change(entry + "," + Entry("host", R"("s-2")"));
      EXPECT_EQ(update.unreadable, std::vector<std::string>{"s-1"}) << entry;
      ASSERT_EQ(update.members.size(), 1u) << entry;
    }
  }
  const MemberListUpdate update = Change(R"({"host":"s-3",)" + Entry().substr(1));
  EXPECT_TRUE(update.unreadable.empty());  // it is one of two hosts, and not known which
  EXPECT_TRUE(update.members.empty());
  EXPECT_TRUE(update.incomplete);
}

// The same for the fields of the list itself.
TEST(MalformedList, AListWithARepeatedFieldIsRejected) {
  for (const std::string malformed : {R"({"seq":40,"seq":41,"whole":true,"hosts":[]})",
                                      R"({"seq":41,"whole":false,"whole":true,"hosts":[]})",
                                      R"({"seq":41,"whole":true,"hosts":[{}],"hosts":[]})"}) {
    EXPECT_FALSE(ParseMembers(malformed)) << malformed;
  }
  EXPECT_FALSE(
      ParseMembers(R"({"seq":41,"whole":true,"s\u0065q":40,"hosts":[]})"));  // escaped, but the same name
  EXPECT_TRUE(ParseMembers(R"({"seq":41,"x\\":{},"x\"":"}","whole":true,"hosts":[]})"));
  EXPECT_TRUE(ParseMembers(R"({"seq":41,"x":{"seq":1,"whole":1},"whole":true,"hosts":[]})"));
}

// The start time of an endpoint is not used, so an entry is accepted whatever its value.
TEST(MalformedList, TheStartTimeOfAnEndpointDoesNotMatter) {
  for (const std::string malformed : {"", "null", "-1", R"("x")", "1e300"}) {
    EXPECT_EQ(Change(Entry("born_ms", malformed)).members.size(), 1u) << malformed;
  }
}

// A list without its version or its whole flag is rejected.
TEST(MalformedList, AListWithoutVersionOrWholeFlagIsRejected) {
  for (const std::string malformed :
       {R"({"whole":true,"hosts":[]})", R"({"seq":41,"hosts":[]})", R"({"seq":41,"whole":null,"hosts":[]})",
        R"({"seq":41,"whole":"true","hosts":[]})", R"({"seq":4.5,"whole":true,"hosts":[]})",
        R"({"seq":"41","whole":true,"hosts":[]})", R"({"seq":41,"whole":true})",
        R"({"seq":41,"whole":true,"hosts":null})"}) {
    EXPECT_FALSE(ParseMembers(malformed)) << malformed;
  }
}

}  // namespace
}  // namespace indigosaddle::net
