#include "node/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/read_file.h"
#include "node/config_read.h"

namespace indigosaddle::node {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{4} * 1024 * 1024;

std::string ReadFile(const std::string& path) {
  base::FileText file = base::ReadFile(path, kMaxFileBytes);
  if (!file.error.empty()) throw ConfigError(file.error);
  return std::move(file.text);
}

}  // namespace

Config MakeConfig(const config::Sources& sources) {
  config::EffectiveConfig effective = config::Combine(sources);
  if (sources.operators_file.given && effective.platform_usable) {
    CheckOperatorSettings(effective);
    CheckFleet(effective);
  }
  std::stable_sort(effective.faults.begin(), effective.faults.end(),
                   [](const config::ConfigFault& a, const config::ConfigFault& b) {
                     return std::pair(a.location.line, a.location.column) <
                            std::pair(b.location.line, b.location.column);
                   });
  if (!effective.faults.empty()) throw ConfigError(config::ToText(effective.faults, "\n"));
  const std::string& name = sources.platform.given ? effective.platform_name : effective.operators_file_name;
  try {
    Config config = ConfigFromMerged(effective.merged);
    if (sources.operators_file.given) ReadOperatorSettings(effective.merged, config);
    config.shown = config::ShowAll(effective);
    return config;
  } catch (const ConfigError& error) {
    throw ConfigError(name.empty() ? error.what() : fmt::format("{}: {}", name, error.what()));
  }
}

Config ReadConfig(std::string_view text, const std::map<std::string, std::string>& environment) {
  return MakeConfig({{}, {true, "", std::string(text)}, environment});
}

config::Sources ReadSources(const std::map<std::string, std::string>& environment,
                            const std::string& operators_path) {
  config::Sources sources{{}, {}, environment};
  if (!operators_path.empty()) sources.operators_file = {true, operators_path, ReadFile(operators_path)};
  const auto path = environment.find("EDGE_CONFIG");
  if (path != environment.end() && !path->second.empty()) {
    sources.platform = {true, path->second, ReadFile(path->second)};
  } else if (operators_path.empty()) {
    throw ConfigError("EDGE_CONFIG is not set, and no --config names a file");
  }
  return sources;
}

std::map<std::string, std::string> EdgeEnvironment() {
  std::map<std::string, std::string> environment;
  for (const char* name :
       {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_STATE", "EDGE_CONTROL", "EDGE_CONFIG"}) {
    if (const char* value = std::getenv(name)) environment[name] = value;
  }
  return environment;
}

}  // namespace indigosaddle::node
