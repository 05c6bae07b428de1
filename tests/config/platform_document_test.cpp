// The platform's document is taken whole or not at all: what it lacks is never read as a default.
#include "platform_document.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace indigosaddle::config {
namespace {

using nlohmann::json;
using Pointer = json::json_pointer;

// Every node of a document below its root.
void AddNodes(const json& value, const Pointer& at, std::vector<Pointer>& nodes) {
  if (!at.empty()) nodes.push_back(at);
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) AddNodes(item, at / name, nodes);
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) AddNodes(value[i], at / i, nodes);
  }
}
std::vector<Pointer> NodesOf(const json& document) {
  std::vector<Pointer> nodes;
  AddNodes(document, Pointer(), nodes);
  return nodes;
}

// A table of a list that may come and go.
bool MayGo(const Pointer& node) {
  const std::string list = node.parent_pointer().to_string();
  return list == "/settings/classes" || list == "/settings/orgs";
}

// What binds a keyed class alone may be anything for others.
bool BindsNothing(const json& document, const Pointer& node) {
  const json& parent = document.at(node.parent_pointer());
  return (node.back() == "group" || node.back() == "keyTtl") && parent["effect"] != "idempotency_key";
}

void Drop(json& document, const Pointer& node) {
  json& parent = document[node.parent_pointer()];
  if (parent.is_array()) {
    parent.erase(std::stoul(node.back()));
  } else {
    parent.erase(node.back());
  }
}

// In place of a value: one of another kind, or a number that no setting can be.
json Spoilt(const json& value) {
  const json other = value.is_string() ? json(7) : json("seven");
  switch (*rc::gen::inRange(0, 4)) {
    case 0: return nullptr;
    case 1: return other;
    case 2: return value.is_object() ? json::array() : json::object();
    default: return value.is_number() ? json(-1) : other;
  }
}

// The failure of issue 47: a file that lacked a value, or had an odd one, came into force as another one.
RC_GTEST_PROP(PlatformDocument, WithOneNodeGoneOrSpoiltIsRefusedOrChangesNothing, ()) {
  const json good = PlatformDocument();
  const Pointer node = *rc::gen::elementOf(NodesOf(good));
  RC_PRE(!MayGo(node) && !BindsNothing(good, node));
  json bad = good;
  if (*rc::gen::arbitrary<bool>()) {
    Drop(bad, node);
  } else {
    bad[node] = Spoilt(good.at(node));
  }
  if (FaultsOf(bad, good).empty()) RC_ASSERT(InForceWith(bad) == InForceWith(good));
}

TEST(PlatformDocument, LackingAnyKeyThatIsInForceIsRefused) {
  const json good = PlatformDocument();
  ASSERT_EQ(FaultsOf(good, good), "");
  for (const Pointer& node : NodesOf(good)) {
    if (!good.at(node.parent_pointer()).is_object()) continue;
    if (node.to_string().starts_with("/known/")) continue;  // read at the start alone
    json bad = good;
    Drop(bad, node);
    EXPECT_NE(FaultsOf(bad, good).find("is missing"), std::string::npos) << node;
    bad[node] = nullptr;
    EXPECT_NE(FaultsOf(bad, good).find("is missing"), std::string::npos) << node << " is null";
  }
}

// Nothing is in force yet: what the node reads must be there all the same.
TEST(PlatformDocument, AFirstOneMayLackOnlyWhatThePageCallsOptionalOrTheNodeDoesNotRead) {
  const json good = PlatformDocument();
  const std::set<std::string> optional = {"/control", "/known", "/settings/orgs",
                                          "/settings/guarantees/turnGap", "/settings/classes/1/sequential"};
  for (const Pointer& node : NodesOf(good)) {
    if (!good.at(node.parent_pointer()).is_object() || BindsNothing(good, node)) continue;
    if (optional.contains(node.to_string())) continue;
    json bad = good;
    Drop(bad, node);
    if (FaultsOf(bad, nullptr).empty()) {
      EXPECT_EQ(InForceWith(bad), InForceWith(good)) << node;
    }
  }
  json least = good;
  for (const std::string& path : optional) Drop(least, Pointer(path));
  EXPECT_EQ(FaultsOf(least, nullptr), "");
}

TEST(PlatformDocument, ThatIsWholeIsTaken) {
  const json good = PlatformDocument();
  const auto edited = [&](auto&& edit) {
    json next = good;
    edit(next["settings"], next);
    return FaultsOf(next, good);
  };
  EXPECT_EQ(
      edited([](json& s, json&) { s["classes"].push_back(s["classes"][1]), s["classes"][3]["name"] = "n"; }),
      "");
  EXPECT_EQ(edited([](json& s, json&) { s["classes"].erase(1); }), "");
  EXPECT_EQ(edited([](json& s, json&) { std::swap(s["classes"][0], s["classes"][2]); }), "");
  EXPECT_EQ(edited([](json& s, json&) { s["classes"][0]["effect"] = "non_idempotent"; }), "");
  EXPECT_EQ(edited([](json& s, json&) { s["classes"][1]["effect"] = "idempotency_key"; }), "");
  EXPECT_EQ(edited([](json& s, json&) { s["classes"][0]["deadline"] = 1; }), "");
  EXPECT_EQ(edited([](json& s, json&) { s["caps"]["attemptsCap"] = 1; }), "");
  EXPECT_EQ(edited([](json&, json& whole) { whole["discovery"] = "127.0.0.2:1"; }), "");
  EXPECT_EQ(edited([](json& s, json&) { s["newKey"] = 3; }), "");
  EXPECT_EQ(edited([](json& s, json&) {
              s["classes"][0]["effect"] = "read_like";
              s["classes"][0].erase("group"), s["classes"][0].erase("keyTtl");
            }),
            "");
}

TEST(PlatformDocument, WithOddValuesIsRefused) {
  const json good = PlatformDocument();
  for (const auto& [path, value] :
       std::vector<std::pair<std::string, json>>{{"/settings/classes/0/deadline", 0},
                                                 {"/settings/classes/0/deadline", -5},
                                                 {"/settings/classes/0/keyTtl", 0},
                                                 {"/settings/classes/0/effect", "sometimes"},
                                                 {"/settings/classes/1/name", "notice"},
                                                 {"/settings/classes/1/sequential", "yes"},
                                                 {"/settings/classes", json::array()},
                                                 {"/settings/caps/attemptsCap", 0},
                                                 {"/settings/caps/attemptsCap", 2.5},
                                                 {"/settings/caps/maxOpen", 0},
                                                 {"/settings/familyInfo/perCall", {1}},
                                                 {"/settings/familyInfo/zoneFee", json::array()},
                                                 {"/settings/zone", 2},
                                                 {"/settings/zones", {"here", "here"}},
                                                 {"/settings/orgs/1/name", "a"},
                                                 {"/limits/cores", 0}}) {
    json bad = good;
    bad[Pointer(path)] = value;
    EXPECT_NE(FaultsOf(bad, good), "") << path << " " << value;
    EXPECT_NE(FaultsOf(bad, nullptr), "") << path << " " << value;
  }
}

TEST(PlatformDocument, WithAKeyTwiceIsRefused) {
  std::string text = PlatformDocument().dump();
  const std::string once = R"("effect":"non_idempotent")";
  text.replace(text.find(once), once.size(), R"("effect":"read_like",)" + once);
  EXPECT_NE(FaultsOf(text, nullptr).find("effect: stands twice"), std::string::npos);
}

TEST(PlatformDocument, CutAnywhereIsRefused) {
  const std::string text = PlatformDocument().dump();
  for (std::size_t size = 0; size < text.size(); size += 3)
    EXPECT_NE(FaultsOf(text.substr(0, size), nullptr), "") << size;
}

// A fault is found by whoever reads the log, so all of them are said at once.
TEST(PlatformDocument, SaysEveryFaultWithItsPath) {
  json bad = PlatformDocument();
  bad["settings"]["classes"][1].erase("effect");
  bad["settings"]["classes"][0]["deadline"] = -1;
  bad["settings"].erase("caps");
  const std::string faults = FaultsOf(bad, nullptr);
  for (const char* said : {"p.json: settings.classes[1].effect: is missing",
                           "p.json: settings.classes[0].deadline: -1; expected a number over 0",
                           "p.json: settings.caps: is missing"})
    EXPECT_NE(faults.find(said), std::string::npos) << faults;
}

}  // namespace
}  // namespace indigosaddle::config
