// The part of the configuration that says what processes share.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "net/loop.h"
#include "node/config_read.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr double kLeastLeaseTimeouts = 5;  // a lease's questions need several round trips

std::size_t Tables(const json& whole, const char* list) {
  const json* tables = config::ValueAt(whole, list, 0);
  return tables != nullptr && tables->is_array() ? tables->size() : 0;
}

std::string TextAt(const json& whole, const char* told, std::size_t index, const char* absent) {
  const json* value = config::ValueAt(whole, told, index);
  return value != nullptr && value->is_string() ? value->get<std::string>() : absent;
}

bool Votes(const json& whole, std::size_t index) {
  const json* value = config::ValueAt(whole, "operator.peers[].votes", index);
  return value == nullptr || *value != json(false);
}

bool IsAddress(const std::string& text) {
  sockaddr_storage address{};
  return net::ParseAddress(text, address) && !text.ends_with(":0");
}

void CheckSites(config::EffectiveConfig& e) {
  const auto say = [&](const std::string& path, const std::string& what) { Say(e, path, what); };
  std::set<std::string> of_peers, named, zones;
  for (std::size_t i = 0; i < Tables(e.merged, "operator.peers"); ++i)
    of_peers.insert(TextAt(e.merged, "operator.peers[].site", i, "main"));
  for (std::size_t i = 0; i < Tables(e.merged, "settings.zones"); ++i)
    zones.insert(TextAt(e.merged, "settings.zones[]", i, ""));
  for (std::size_t i = 0; i < Tables(e.merged, "operator.sites"); ++i) {
    const std::string name = TextAt(e.merged, "operator.sites[].name", i, "");
    const std::string zone = TextAt(e.merged, "operator.sites[].zone", i, "");
    if (!named.insert(name).second)
      say(fmt::format("sites[{}].name", i), fmt::format("\"{}\" is named twice", name));
    if (!of_peers.contains(name)) {
      say(fmt::format("sites[{}].name", i),
          fmt::format("\"{}\"; expected the site of one of [[peers]]", name));
    }
    if (!zones.contains(zone)) {
      say(fmt::format("sites[{}].zone", i),
          fmt::format("\"{}\"; expected the name of one of [[zones]]", zone));
    }
  }
}

}  // namespace

void CheckFleet(config::EffectiveConfig& e) {
  const json& whole = e.merged;
  const auto say = [&](const std::string& path, const std::string& what) { Say(e, path, what); };
  std::set<std::string> names, addresses;
  bool any_votes = false;
  const std::string own = TextAt(whole, "name", 0, "");
  for (std::size_t i = 0; i < Tables(whole, "operator.peers"); ++i) {
    const std::string name = TextAt(whole, "operator.peers[].name", i, "");
    const std::string address = TextAt(whole, "operator.peers[].address", i, "");
    const auto at = [&](const char* what) { return fmt::format("peers[{}].{}", i, what); };
    any_votes |= Votes(whole, i);
    if (!name.empty() && !names.insert(name).second)
      say(at("name"), fmt::format("\"{}\" is named twice", name));
    if (!IsAddress(address)) {
      say(at("address"), fmt::format("\"{}\"; expected \"ip:port\" with a port over 0", address));
    } else if (!addresses.insert(address).second) {
      say(at("address"), fmt::format("\"{}\" is another peer's as well", address));
    }
  }
  const std::string listen = TextAt(whole, "operator.fleet.listen", 0, "");
  if (listen.empty()) return;
  if (!IsAddress(listen))
    say("fleet.listen", fmt::format("\"{}\"; expected \"ip:port\" with a port over 0", listen));
  if (!names.contains(own))
    say("fleet.listen", fmt::format("is given, but no [[peers]] has this node's name, \"{}\"", own));
  if (!any_votes) say("fleet.listen", "is given, but no [[peers]] votes: no lease could ever be given");
  CheckSites(e);
  const auto number = [&](const char* told) { return NumberAt(whole, told); };
  const double timeout = number("operator.fleet.probe_timeout");
  if (timeout >= number("operator.fleet.probe_every"))
    say("fleet.probe_timeout", "is no shorter than fleet.probe_every: others could not be asked in time");
  if (number("operator.fleet.lease") < kLeastLeaseTimeouts * timeout) {
    say("fleet.lease",
        fmt::format("is shorter than {} x fleet.probe_timeout: no lease could be renewed in time",
                    kLeastLeaseTimeouts));
  }
}

void ReadFleet(const json& whole, FleetConfig& fleet) {
  const auto number = [&](const char* told) { return NumberAt(whole, told); };
  const auto time = [&](const char* told) { return TimeAt(whole, told); };
  fleet.listen = TextAt(whole, "operator.fleet.listen", 0, "");
  fleet.pace.probe_every = time("operator.fleet.probe_every");
  fleet.pace.probe_timeout = time("operator.fleet.probe_timeout");
  fleet.pace.exchange_every = time("operator.fleet.exchange_every");
  fleet.pace.lease = time("operator.fleet.lease");
  fleet.pace.drift = number("operator.fleet.clock_drift");
  fleet.count_senders = config::ValueAt(whole, "operator.fleet.count_senders", 0)->get<bool>();
  fleet.sites.accusing_share = number("operator.fleet.site_agree");
  fleet.sites.return_hold = time("operator.fleet.site_hold");
  fleet.sites.max_return_hold = std::max(fleet.sites.return_hold, time("operator.fleet.site_hold_most"));
  for (std::size_t i = 0; i < Tables(whole, "operator.sites"); ++i) {
    fleet.zones[TextAt(whole, "operator.sites[].name", i, "")] =
        TextAt(whole, "operator.sites[].zone", i, "");
  }
  for (std::size_t i = 0; i < Tables(whole, "operator.peers"); ++i) {
    fleet.peers.push_back({TextAt(whole, "operator.peers[].name", i, ""),
                           TextAt(whole, "operator.peers[].site", i, "main"),
                           TextAt(whole, "operator.peers[].address", i, ""), Votes(whole, i)});
  }
}

}  // namespace indigosaddle::node
