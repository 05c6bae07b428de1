// What the node is told: the operator's file, the platform's JSON and the environment, as one Config.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "brain.h"
#include "config/guard.h"
#include "config/layers.h"
#include "fleet/sites.h"
#include "fleet/types.h"
#include "node/watch.h"

namespace indigosaddle::node {

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct FleetConfig {   // what processes share
  std::string listen;  // empty: nothing, and no thread starts
  fleet::Timing pace;
  std::vector<fleet::Peer> peers;  // this node too
  fleet::SiteRules sites;
  std::map<std::string, std::string> zones;  // of the endpoints at a site, by the site's name
  bool count_senders = false;                // the agreed number of nodes goes before delivery.senders
};

struct Config {
  std::string name, listen, discovery, state_folder;
  std::string control;  // the operators' HTTP address; empty: none
  std::string known;    // the list as last held, in discovery's form; empty: none
  std::size_t memory_bytes = 0, sockets = 0, disk_bytes = 0;
  Micros connect_timeout{0};
  Settings settings;
  std::map<std::string, int> classes, tenants, zones, kinds;  // numbers of the names in the settings
  Watched watched;
  // The operator's own part; the defaults hold where there is no operator's file.
  std::size_t client_connections = 0;  // 0: by the descriptors
  double client_memory_share = 0.125;
  base::LogOptions log;
  std::string control_socket;  // name within the state folder; empty: none
  config::GuardRules change;
  FleetConfig fleet;
  bool has_operators_file = false;
  std::vector<config::ShownValue> shown;  // every value with where it came from
};

// The number of a name; -1: unknown.
inline int NumberOf(const std::map<std::string, int>& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

// Throws ConfigError with every fault, a line each.
Config MakeConfig(const config::Sources& sources);

// Throws ConfigError where a named file can't be read. `operators_path` is empty where there is none.
config::Sources ReadSources(const std::map<std::string, std::string>& environment,
                            const std::string& operators_path);

// The platform's JSON alone.
Config ReadConfig(std::string_view json, const std::map<std::string, std::string>& environment);

// `running` with all of `next` that may change while the program runs. Classes and tenants keep their numbers
// while the process lives, since what is held refers to them; those that `next` no longer has keep their
// settings but lose their name.
Config Changed(const Config& running, const Config& next);

// What of the change from one to the other needs a restart, by path.
std::vector<std::string> NeedRestart(const Config& running, const Config& next);

std::map<std::string, std::string> EdgeEnvironment();

}  // namespace indigosaddle::node
