// Combines the sources of the configuration. A later source overrides an earlier one: the defaults, the
// operator's file, the platform's JSON, the EDGE_ variables. Does no I/O: takes the texts of the sources and
// returns one JSON object in the platform's form, or every fault.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"
#include "config/schema.h"

namespace indigosaddle::config {

// The text of one source.
struct Source {
  bool given = false;
  std::string name, text;  // name: of the file, for people
};

// All sources of one configuration.
struct Sources {
  Source operators_file, platform;
  std::map<std::string, std::string> environment;  // EDGE_ variables
  // The platform's document in force that `platform` is to replace. What it has, `platform` must have too.
  Source platform_in_force = {};
};

// The combined configuration, and what is needed to tell where each value came from.
struct EffectiveConfig {
  nlohmann::json merged;  // in the platform's form; always an object
  bool has_operators_file = false;
  bool platform_usable = true;  // false: a platform's document is given and has a fault
  std::vector<ConfigFault> faults;
  ParsedOperatorsFile operators_file;
  nlohmann::json platform = nlohmann::json::object();
  std::string operators_file_name, platform_name;
  std::map<std::string, std::string> environment;
};

// Combines all sources. A platform's document with a fault adds nothing to `merged`. An operator's file with
// faults adds its other values, so a caller must not serve by a result that has faults.
EffectiveConfig Combine(const Sources& sources);

// One setting as `config show` prints it.
struct ShownValue {
  std::string path, value;
  std::string source;  // "default", "FILE:LINE", the platform's file, "EDGE_NAME", "not given"
  TakesEffect takes_effect = TakesEffect::kAtRestart;
  bool operator==(const ShownValue&) const = default;
};

// Every setting with its value in force, in the order of the schema. The settings of a list come table by
// table.
std::vector<ShownValue> ShowAll(const EffectiveConfig& effective);

// A setting whose value differs between two configurations. An absent value is "-". In the path, a table of a
// list has its name for an index: "classes[notice].aim".
struct Difference {
  std::string path, before, after;
  TakesEffect takes_effect = TakesEffect::kAtRestart;
};
std::vector<Difference> Differences(const std::vector<ShownValue>& before,
                                    const std::vector<ShownValue>& after);

}  // namespace indigosaddle::config
