// The fleet's part of the operator's configuration: [fleet], [[peers]] and [[sites]].
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "net/loop.h"
#include "node/config_read.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

// Shortest lease in probe timeouts: renewing a lease takes several round trips.
constexpr double kMinLeaseTimeouts = 5;

// Number of tables in a list; 0 if it is absent.
std::size_t TableCount(const json& whole, const char* list) {
  const json* tables = config::ValueAt(whole, list, 0);
  return tables != nullptr && tables->is_array() ? tables->size() : 0;
}

// The text at this path, or `default_text` if it is absent or no text.
std::string TextAt(const json& whole, const char* path, std::size_t index, const char* default_text) {
  const json* value = config::ValueAt(whole, path, index);
  return value != nullptr && value->is_string() ? value->get<std::string>() : default_text;
}

// Whether this peer is a voter; a peer is one unless it says that it is not.
bool IsVoter(const json& whole, std::size_t index) {
  const json* value = config::ValueAt(whole, "operator.peers[].votes", index);
  return value == nullptr || *value != json(false);
}

// Whether the text is "ip:port" with a port that is not 0.
bool IsAddressWithPort(const std::string& text) {
  sockaddr_storage address{};
  return net::ParseAddress(text, address) && !text.ends_with(":0");
}

void CheckSites(config::EffectiveConfig& effective) {
  const auto add_fault = [&](const std::string& path, const std::string& what) {
    AddFault(effective, path, what);
  };
  std::set<std::string> peer_sites, site_names, zones;
  for (std::size_t i = 0; i < TableCount(effective.merged, "operator.peers"); ++i)
    peer_sites.insert(TextAt(effective.merged, "operator.peers[].site", i, "main"));
  for (std::size_t i = 0; i < TableCount(effective.merged, "settings.zones"); ++i)
    zones.insert(TextAt(effective.merged, "settings.zones[]", i, ""));
  for (std::size_t i = 0; i < TableCount(effective.merged, "operator.sites"); ++i) {
    const std::string name = TextAt(effective.merged, "operator.sites[].name", i, "");
    const std::string zone = TextAt(effective.merged, "operator.sites[].zone", i, "");
    if (!site_names.insert(name).second)
      add_fault(fmt::format("sites[{}].name", i), fmt::format("\"{}\" is named twice", name));
    if (!peer_sites.contains(name)) {
      add_fault(fmt::format("sites[{}].name", i),
                fmt::format("\"{}\"; expected the site of one of [[peers]]", name));
    }
    if (!zones.contains(zone)) {
      add_fault(fmt::format("sites[{}].zone", i),
                fmt::format("\"{}\"; expected the name of one of [[zones]]", zone));
    }
  }
}

}  // namespace

void CheckFleet(config::EffectiveConfig& effective) {
  const json& whole = effective.merged;
  const auto add_fault = [&](const std::string& path, const std::string& what) {
    AddFault(effective, path, what);
  };
  std::set<std::string> names, addresses;
  bool any_voter = false;
  const std::string own_name = TextAt(whole, "name", 0, "");
  for (std::size_t i = 0; i < TableCount(whole, "operator.peers"); ++i) {
    const std::string name = TextAt(whole, "operator.peers[].name", i, "");
    const std::string address = TextAt(whole, "operator.peers[].address", i, "");
    const auto path_of = [&](const char* field) { return fmt::format("peers[{}].{}", i, field); };
    any_voter |= IsVoter(whole, i);
    if (!name.empty() && !names.insert(name).second)
      add_fault(path_of("name"), fmt::format("\"{}\" is named twice", name));
    if (!IsAddressWithPort(address)) {
      add_fault(path_of("address"), fmt::format("\"{}\"; expected \"ip:port\" with a port over 0", address));
    } else if (!addresses.insert(address).second) {
      add_fault(path_of("address"), fmt::format("\"{}\" is another peer's as well", address));
    }
  }
  const std::string listen = TextAt(whole, "operator.fleet.listen", 0, "");
  if (listen.empty()) return;
  if (!IsAddressWithPort(listen))
    add_fault("fleet.listen", fmt::format("\"{}\"; expected \"ip:port\" with a port over 0", listen));
  if (!names.contains(own_name)) {
    add_fault("fleet.listen",
              fmt::format("is given, but no [[peers]] has this node's name, \"{}\"", own_name));
  }
  if (!any_voter) add_fault("fleet.listen", "is given, but no [[peers]] votes: no lease could ever be given");
  CheckSites(effective);
  const auto number = [&](const char* path) { return NumberAt(whole, path); };
  const double timeout = number("operator.fleet.probe_timeout");
  if (timeout >= number("operator.fleet.probe_every")) {
    add_fault("fleet.probe_timeout",
              "is no shorter than fleet.probe_every: others could not be asked in time");
  }
  if (number("operator.fleet.lease") < kMinLeaseTimeouts * timeout) {
    add_fault("fleet.lease",
              fmt::format("is shorter than {} x fleet.probe_timeout: no lease could be renewed in time",
                          kMinLeaseTimeouts));
  }
}

void ReadFleet(const json& whole, FleetConfig& fleet) {
  const auto number = [&](const char* path) { return NumberAt(whole, path); };
  const auto duration = [&](const char* path) { return DurationAt(whole, path); };
  fleet.listen = TextAt(whole, "operator.fleet.listen", 0, "");
  fleet.timing.probe_every = duration("operator.fleet.probe_every");
  fleet.timing.probe_timeout = duration("operator.fleet.probe_timeout");
  fleet.timing.exchange_every = duration("operator.fleet.exchange_every");
  fleet.timing.lease = duration("operator.fleet.lease");
  fleet.timing.drift = number("operator.fleet.clock_drift");
  fleet.count_senders = config::ValueAt(whole, "operator.fleet.count_senders", 0)->get<bool>();
  fleet.sites.agreement_share = number("operator.fleet.site_agree");
  fleet.sites.return_hold = duration("operator.fleet.site_hold");
  fleet.sites.max_return_hold = std::max(fleet.sites.return_hold, duration("operator.fleet.site_hold_most"));
  for (std::size_t i = 0; i < TableCount(whole, "operator.sites"); ++i) {
    fleet.zone_by_site[TextAt(whole, "operator.sites[].name", i, "")] =
        TextAt(whole, "operator.sites[].zone", i, "");
  }
  for (std::size_t i = 0; i < TableCount(whole, "operator.peers"); ++i) {
    fleet.peers.push_back({TextAt(whole, "operator.peers[].name", i, ""),
                           TextAt(whole, "operator.peers[].site", i, "main"),
                           TextAt(whole, "operator.peers[].address", i, ""), IsVoter(whole, i)});
  }
}

}  // namespace indigosaddle::node
