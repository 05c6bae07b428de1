// The built node on settings made at random within the platform's form: no class, tenant, name, limit or
// effect is assumed. RapidCheck draws them from a fixed seed (tests/CMakeLists.txt).
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {
namespace {

using Json = nlohmann::json;

std::string Name() {
  const auto text = *rc::gen::container<std::string>(rc::gen::inRange('a', static_cast<char>('z' + 1)));
  return "n" + text.substr(0, 20);
}

double Number(int from, int to) { return static_cast<double>(*rc::gen::inRange(from, to)); }

Json ClassOf(const std::string& name) {
  const double aim = Number(200, 4000);
  Json c = {{"name", name},
            {"effect", *rc::gen::element<std::string>("read_like", "idempotency_key", "non_idempotent")},
            {"aim", aim},
            {"deadline", aim + Number(1000, 20000)},
            {"lateValue", Number(0, 100) / 100},
            {"worth", Number(0, 500) / 100}};
  if (c["effect"] == "idempotency_key") {
    c["group"] = *rc::gen::element<std::string>("all", "zone");
    c["keyTtl"] = Number(1000, 20000);
  }
  if (*rc::gen::arbitrary<bool>()) c["sequential"] = true;
  return c;
}

std::vector<std::string> Names(int from, int to) {
  std::set<std::string> names;
  const auto most = static_cast<std::size_t>(*rc::gen::inRange(from, to));
  while (names.size() < most) names.insert(Name());
  return {names.begin(), names.end()};
}

// Starts, takes and delivers one message of each class, whatever the settings say, and stops with 0. The
// destination has one to three endpoints of any kinds and zones, with a limit in common or one for each.
TEST(RandomSettings, EachClassIsDelivered) {
  rc::check([] {
    PlatformStandIn platform;
    std::list<EndpointStandIn> endpoints;
    NodeProcess node(platform.address());
    Json& settings = node.config["settings"];
    const std::vector<std::string> classes = Names(1, 5), tenants = Names(1, 4), zones = Names(1, 4),
                                   kinds = Names(1, 4);
    settings["classes"] = Json::array();
    for (const std::string& name : classes) settings["classes"].push_back(ClassOf(name));
    settings["orgs"] = Json::array();
    for (const std::string& name : tenants)
      settings["orgs"].push_back({{"name", name}, {"quotaRps", Number(0, 50)}, {"portion", 0.3}});
    settings["balancers"] = *rc::gen::inRange(1, 400);
    settings["discovery"] = *rc::gen::element<std::string>("pushed", "on_request");
    settings["caps"]["attemptsCap"] = *rc::gen::inRange(1, 12);
    settings["caps"]["maxOpen"] = *rc::gen::inRange(8, 500);
    settings["caps"]["idleClose"] = Number(1000, 20000);
    settings["caps"]["maxRetryAfter"] = Number(0, 5000);
    settings["familyInfo"]["callSlots"] = *rc::gen::inRange(2, 40);
    settings["familyInfo"]["decay"] = *rc::gen::element<std::string>("even", "by_half");
    settings["guarantees"]["mustAskIn"] = Number(2000, 20000);
    settings["guarantees"]["turnGap"] = Number(0, 500);
    settings["overShareWorth"] = Number(0, 100) / 100;
    settings["a_key_that_nobody_knows"] = {{"x", 1}};  // passed over
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
    const int routes = *rc::gen::inRange(1, 4);
    for (int route = 1; route <= routes; ++route) {
      Json member =
          PlatformStandIn::Member("s-" + std::to_string(route), endpoints.emplace_back().address(), 7);
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
