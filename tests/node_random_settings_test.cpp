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

// Starts, takes and delivers one message of each class, whatever the settings say, and stops with 0.
TEST(RandomSettings, EachClassIsDelivered) {
  rc::check([] {
    PlatformStandIn platform;
    EndpointStandIn endpoint;
    NodeProcess node(platform.address());
    Json& settings = node.config["settings"];
    std::set<std::string> classes, tenants;
    while (classes.size() < static_cast<std::size_t>(*rc::gen::inRange(1, 5))) classes.insert(Name());
    while (tenants.size() < static_cast<std::size_t>(*rc::gen::inRange(1, 4))) tenants.insert(Name());
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
    platform.Set(PlatformStandIn::Member("s-1", endpoint.address(), 7));
    RC_ASSERT(node.Start());
    int number = 0;
    for (const std::string& name : classes) {
      const std::string id = "m" + std::to_string(++number),
                        command = ClientStandIn::Command(
                            {"ENQUEUE", "00000000000000ab", id,
                             "c=" + name + ",t=" + *tenants.begin() + ",k=key" + id + ",d=60000,dest=7",
                             "body"});
      RC_ASSERT(Eventually([&] { return ClientStandIn(node.port).Ask(command) == "+OK"; }));
      RC_ASSERT(Eventually([&] { return endpoint.CallsFor(id) == 1; }));
    }
    RC_ASSERT(platform.notices().empty());
    node.Signal(SIGTERM);
    RC_ASSERT(node.Wait() == 0);
  });
}

}  // namespace
}  // namespace indigosaddle::testing
