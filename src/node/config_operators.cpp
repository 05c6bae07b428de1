// The operator's own part of the configuration, which only the operator's file can give.
#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "net/loop.h"
#include "node/config_read.h"

namespace indigosaddle::node {

using nlohmann::json;

void AddFault(config::EffectiveConfig& effective, const std::string& path, const std::string& what) {
  const auto it = effective.operators_file.locations.find(path);
  effective.faults.push_back(
      {effective.operators_file_name,
       it == effective.operators_file.locations.end() ? config::SourceLocation{} : it->second, path, what});
}

double NumberAt(const json& whole, const char* path) {
  return config::ValueAt(whole, path, 0)->get<double>();
}

Micros DurationAt(const json& whole, const char* path) {
  return Micros(std::llround(NumberAt(whole, path) * 1000));
}

void ReadOperatorSettings(const json& whole, Config& config) {
  const auto text = [&](const char* path) { return config::ValueAt(whole, path, 0)->get<std::string>(); };
  const auto number = [&](const char* path) { return NumberAt(whole, path); };
  const auto duration = [&](const char* path) { return DurationAt(whole, path); };
  config.has_operators_file = true;
  config.client_connections = static_cast<std::size_t>(number("operator.limits.client_connections"));
  config.client_memory_share = number("operator.limits.client_memory_share");
  for (const base::Level level :
       {base::Level::kDebug, base::Level::kInfo, base::Level::kWarn, base::Level::kError}) {
    if (text("operator.log.level") == base::NameOf(level)) config.log.min_level = level;
  }
  config.log.format = text("operator.log.format") == "json" ? base::Format::kJson : base::Format::kText;
  config.log.lines_per_second = static_cast<int>(number("operator.log.lines_per_second"));
  if (config::ValueAt(whole, "operator.control.socket", 0) != nullptr)
    config.control_socket = text("operator.control.socket");
  config.guard_rules.trial = duration("operator.change.trial");
  config.guard_rules.baseline = duration("operator.change.before");
  config.guard_rules.false_alarm_rate = number("operator.change.false_alarms");
  ReadFleet(whole, config.fleet);
}

void CheckOperatorSettings(config::EffectiveConfig& effective) {
  const auto add_fault = [&](const char* path, const std::string& what) { AddFault(effective, path, what); };
  for (const char* path : {"node.name", "node.listen", "node.discovery", "node.state"}) {
    const config::Setting& item = *config::FindSetting(path);
    const json* value = config::ValueAt(effective.merged, item.platform_path, 0);
    sockaddr_storage address{};
    if (value == nullptr) {
      add_fault(path, "is missing; expected " + config::DescribeExpected(item));
    } else if (item.type == config::ValueType::kAddress &&
               (!value->is_string() || !net::ParseAddress(value->get<std::string>(), address))) {
      add_fault(path, value->dump() + "; expected " + config::DescribeExpected(item));
    }
  }
  const json* classes = config::ValueAt(effective.merged, "settings.classes", 0);
  if (classes == nullptr || !classes->is_array() || classes->empty())
    add_fault("classes", "expected at least one [[classes]]");
  const json* seed = config::ValueAt(effective.merged, "seed", 0);
  if (seed == nullptr) {
    effective.merged["seed"] = fmt::format("{:x}{:08x}", std::random_device()(), std::random_device()());
  } else if (!seed->is_string() ||
             seed->get<std::string>().find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    add_fault("node.seed", seed->dump() + "; expected at most 16 hex digits in quotes");
  }
}

}  // namespace indigosaddle::node
