// The built node with random settings in the platform's format: the node must not assume any class, tenant,
// name, limit or effect. RapidCheck draws the settings from a fixed seed (tests/CMakeLists.txt).
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;

std::string RandomName() {
  const auto text = *rc::gen::container<std::string>(rc::gen::inRange('a', static_cast<char>('z' + 1)));
  return "n" + text.substr(0, 20);
}

double RandomNumber(int from, int to) { return static_cast<double>(*rc::gen::inRange(from, to)); }

Json RandomClass(const std::string& name) {
  const double aim = RandomNumber(200, 4000);
  Json message_class = {
      {"name", name},
      {"effect", *rc::gen::element<std::string>("read_like", "idempotency_key", "non_idempotent")},
      {"aim", aim},
      {"deadline", aim + RandomNumber(1000, 20000)},
      {"lateValue", RandomNumber(0, 100) / 100},
      {"worth", RandomNumber(0, 500) / 100}};
  if (message_class["effect"] == "idempotency_key") {
    message_class["group"] = *rc::gen::element<std::string>("all", "zone");
    message_class["keyTtl"] = RandomNumber(1000, 20000);
  }
  if (*rc::gen::arbitrary<bool>()) message_class["sequential"] = true;
  return message_class;
}

std::vector<std::string> RandomNames(int from, int to) {
  std::set<std::string> names;
  const auto count = static_cast<std::size_t>(*rc::gen::inRange(from, to));
  while (names.size() < count) names.insert(RandomName());
  return {names.begin(), names.end()};
}

// With any settings the node starts, accepts and delivers one message of each class, and stops with exit
// status 0. The destination has one to three endpoints of any kinds and zones, with a shared limit or one
// limit for each.
TEST(RandomSettings, DeliversAMessageOfEachClass) {
  rc::check([] {
    PlatformStandIn platform;
    std::list<EndpointStandIn> endpoints;
    NodeProcess node(platform.address());
    Json& settings = node.config["settings"];
    const std::vector<std::string> classes = RandomNames(1, 5), tenants = RandomNames(1, 4),
                                   zones = RandomNames(1, 4), kinds = RandomNames(1, 4);
    settings["classes"] = Json::array();
    for (const std::string& name : classes) settings["classes"].push_back(RandomClass(name));
    settings["orgs"] = Json::array();
    for (const std::string& name : tenants)
      settings["orgs"].push_back({{"name", name}, {"quotaRps", RandomNumber(0, 50)}, {"portion", 0.3}});
    settings["balancers"] = *rc::gen::inRange(1, 400);
    settings["discovery"] = *rc::gen::element<std::string>("pushed", "on_request");
    settings["caps"]["attemptsCap"] = *rc::gen::inRange(1, 12);
    settings["caps"]["maxOpen"] = *rc::gen::inRange(8, 500);
    settings["caps"]["idleClose"] = RandomNumber(1000, 20000);
    settings["caps"]["maxRetryAfter"] = RandomNumber(0, 5000);
    settings["familyInfo"]["callSlots"] = *rc::gen::inRange(2, 40);
    settings["familyInfo"]["decay"] = *rc::gen::element<std::string>("even", "by_half");
    settings["guarantees"]["mustAskIn"] = RandomNumber(2000, 20000);
    settings["guarantees"]["turnGap"] = RandomNumber(0, 500);
    settings["overShareWorth"] = RandomNumber(0, 100) / 100;
    settings["a_key_that_nobody_knows"] = {{"x", 1}};  // unknown keys are ignored
    settings["zones"] = zones;
    settings["familyInfo"]["zoneFee"] = std::vector<double>(zones.size(), 0.0);
    settings["zone"] = *rc::gen::inRange<std::size_t>(0, zones.size());
    settings["machineTypes"] = kinds;
    settings["familyInfo"]["perCall"] = Json::array();
    settings["familyInfo"]["separateRoutes"] = Json::array();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      settings["familyInfo"]["perCall"].push_back(*rc::gen::inRange(1, 6));
      settings["familyInfo"]["separateRoutes"].push_back(*rc::gen::arbitrary<bool>());
    }
    const int endpoint_count = *rc::gen::inRange(1, 4);
    for (int endpoint_number = 1; endpoint_number <= endpoint_count; ++endpoint_number) {
      Json member = PlatformStandIn::Member("s-" + std::to_string(endpoint_number),
                                            endpoints.emplace_back().address(), 7);
      member["site"] = *rc::gen::elementOf(zones);
      member["class"] = *rc::gen::elementOf(kinds);
      platform.Set(member);
    }
    const auto calls_for = [&](const std::string& id) {
      int calls = 0;
      for (EndpointStandIn& endpoint : endpoints) calls += endpoint.CallsFor(id);
      return calls;
    };
    RC_ASSERT(node.Start());
    int number = 0;
    for (const std::string& name : classes) {
      const std::string id = "m" + std::to_string(++number),
                        command = ClientStandIn::Command(
                            {"ENQUEUE", "00000000000000ab", id,
                             "c=" + name + ",t=" + tenants.front() + ",k=key" + id + ",d=60000,dest=7",
                             "body"});
      RC_ASSERT(Eventually([&] { return ClientStandIn(node.port).Ask(command) == "+OK"; }));
      RC_ASSERT(Eventually([&] { return calls_for(id) == 1; }));
    }
    RC_ASSERT(platform.notices().empty());
    node.Signal(SIGTERM);
    RC_ASSERT(node.Wait() == 0);
  });
}

}  // namespace
}  // namespace indigosaddle::testing
