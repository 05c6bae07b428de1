// What the node is told at its start: the configuration file and the environment.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "brain.h"

namespace indigosaddle::node {

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name, listen, discovery, state_folder;
  std::string known;  // the list as last held, in discovery's form; empty: none
  std::size_t memory_bytes = 0, sockets = 0, disk_bytes = 0;
  Micros connect_timeout{0};
  Settings settings;
  std::map<std::string, std::string> fixed;  // what can't change while the program runs, as text, by name
  std::map<std::string, int> classes, tenants, zones, kinds;  // numbers of the names in the settings
};

// Throws ConfigError, with one line that says what is wrong. `environment` holds the EDGE_ variables. They go
// before the file's values, but for the address of discovery: a file that names it is the later word.
Config ReadConfig(std::string_view json, const std::map<std::string, std::string>& environment);

// EDGE_CONFIG names the file.
Config LoadConfig(const std::map<std::string, std::string>& environment);

std::map<std::string, std::string> EdgeEnvironment();

}  // namespace indigosaddle::node
