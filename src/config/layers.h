// The sources of the configuration, one over the other: defaults < the operator's file < the platform's JSON
// < EDGE_ variables. No I/O: texts in, one JSON object in the platform's form out, or all faults.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"
#include "config/schema.h"

namespace indigosaddle::config {

struct Source {
  bool given = false;
  std::string name, text;  // name: of the file, for people
};

struct Sources {
  Source operators, platform;
  std::map<std::string, std::string> environment;  // EDGE_ variables
  Source in_force = {};  // the platform's document that `platform` follows, for what that may not leave out
};

struct Effective {
  nlohmann::json merged;  // the platform's form; an object without faults
  bool has_operators = false;
  bool platform_usable = true;  // where one is given
  std::vector<Fault> faults;
  Document operators;
  nlohmann::json platform = nlohmann::json::object();
  std::string operators_name, platform_name;
  std::map<std::string, std::string> environment;
};

// Nothing of a source with a fault is in `merged`.
Effective Combine(const Sources& sources);

struct Shown {
  std::string path, value,
      from;  // from: "default", "FILE:LINE", the platform's file, "EDGE_NAME", "not given"
  Change change = Change::kRestart;
  bool operator==(const Shown&) const = default;
};

// Every value that is in force, in the order of the schema. The values of lists come table by table.
std::vector<Shown> ShowAll(const Effective& effective);

// What differs, as (path, before, after); a value that is not there shows as "-".
struct Difference {
  std::string path, before, after;
  Change change = Change::kRestart;
};
std::vector<Difference> Differences(const std::vector<Shown>& before, const std::vector<Shown>& after);

}  // namespace indigosaddle::config
