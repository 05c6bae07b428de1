// The node's configuration, made from the operator's file, the platform's JSON document and the environment
// (config/layers.h says which one prevails).
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
#include "node/shadow_evaluation.h"

namespace indigosaddle::node {

// A configuration that can't be used. The text is for the operator and has one line for each fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Configuration of the fleet: what the processes share.
struct FleetConfig {
  // ip:port of the fleet's transport. Empty: nothing is shared, and the fleet's thread does not start.
  std::string listen;
  fleet::Timing timing;
  // All members, this node included.
  std::vector<fleet::Peer> peers;
  fleet::SiteRules sites;
  // Zone of the endpoints at a site, by the site's name.
  std::map<std::string, std::string> zone_by_site;
  // The agreed number of nodes prevails over delivery.senders.
  bool count_senders = false;
};

struct Config {
  // `listen`, `discovery`: ip:port of the server for clients, and of discovery.
  std::string name, listen, discovery, state_folder;
  // ip:port of the operators' HTTP server; empty: none.
  std::string admin_address;
  // The list of endpoints as last held, which the platform's document passes on in discovery's form; empty:
  // none.
  std::string known_list;
  // Limits of the process. `sockets`: open descriptors of any kind.
  std::size_t memory_bytes = 0, sockets = 0, disk_bytes = 0;
  Micros connect_timeout{0};
  Settings settings;
  // Indices into the lists of `settings`, by name.
  std::map<std::string, int> classes, tenants, zones, kinds;
  ShadowSettings shadow;

  // The operator's own part; without an operator's file, these defaults hold.

  // Most connections of clients; 0: as many as the descriptors allow.
  std::size_t client_connections = 0;
  // Share of memory_bytes for the clients' connections.
  double client_memory_share = 0.125;
  base::LogOptions log;
  // File name of the control socket in the state folder; empty: none.
  std::string control_socket;
  config::GuardRules guard_rules;
  FleetConfig fleet;
  bool has_operators_file = false;
  // Every value, with the source that it comes from.
  std::vector<config::ShownValue> shown;
};

// The number of a name; -1 if it is unknown.
inline int NumberOf(const std::map<std::string, int>& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

// Makes the configuration from the texts of its sources. Throws ConfigError with all faults.
Config MakeConfig(const config::Sources& sources);

// Reads the operator's file and the platform's document, which EDGE_CONFIG in `environment` names.
// `operators_path` is empty if there is no operator's file. Throws ConfigError if a named file can't be read,
// or if no file is named at all.
config::Sources ReadSources(const std::map<std::string, std::string>& environment,
                            const std::string& operators_path);

// Makes the configuration from the platform's document alone. Throws ConfigError with all faults.
Config ReadConfig(std::string_view json, const std::map<std::string, std::string>& environment);

// The configuration `running` with all values of `next` that may change while the program runs. Classes and
// tenants keep their numbers for the life of the process, because held messages refer to them. Those that
// `next` no longer has keep their settings but lose their name.
Config WithRuntimeChanges(const Config& running, const Config& next);

// Paths of the values in which the two differ and that change only with a restart. The seed is left out: if
// the operator's file gives none, each reading generates another.
std::vector<std::string> PathsNeedingRestart(const Config& running, const Config& next);

// The EDGE_ variables of the process's environment that are set.
std::map<std::string, std::string> EdgeEnvironment();

}  // namespace indigosaddle::node
