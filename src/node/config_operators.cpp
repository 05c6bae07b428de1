// The operator's own part of the configuration.
#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "net/loop.h"
#include "node/config_read.h"

namespace indigosaddle::node {

using nlohmann::json;

void Say(config::Effective& e, const std::string& path, const std::string& what) {
  const auto it = e.operators.places.find(path);
  e.faults.push_back(
      {e.operators_name, it == e.operators.places.end() ? config::Place{} : it->second, path, what});
}

double NumberAt(const json& whole, const char* told) { return config::At(whole, told, 0)->get<double>(); }

Micros TimeAt(const json& whole, const char* told) {
  return Micros(std::llround(NumberAt(whole, told) * 1000));
}

void ReadOperators(const json& whole, Config& config) {
  const auto text = [&](const char* at) { return config::At(whole, at, 0)->get<std::string>(); };
  const auto number = [&](const char* at) { return NumberAt(whole, at); };
  const auto time = [&](const char* at) { return TimeAt(whole, at); };
  config.has_operators_file = true;
  config.client_connections = static_cast<std::size_t>(number("operator.limits.client_connections"));
  config.client_memory_share = number("operator.limits.client_memory_share");
  for (const base::Level level :
       {base::Level::kDebug, base::Level::kInfo, base::Level::kWarn, base::Level::kError}) {
    if (text("operator.log.level") == base::NameOf(level)) config.log.min_level = level;
  }
  config.log.format = text("operator.log.format") == "json" ? base::Format::kJson : base::Format::kText;
  config.log.lines_per_second = static_cast<int>(number("operator.log.lines_per_second"));
  if (config::At(whole, "operator.control.socket", 0) != nullptr)
    config.control_socket = text("operator.control.socket");
  config.change.trial = time("operator.change.trial");
  config.change.before = time("operator.change.before");
  config.change.false_alarms = number("operator.change.false_alarms");
  ReadFleet(whole, config.fleet);
}

void CheckWhole(config::Effective& e) {
  const auto say = [&](const char* path, const std::string& what) { Say(e, path, what); };
  for (const char* path : {"node.name", "node.listen", "node.discovery", "node.state"}) {
    const config::Item& item = *config::Find(path);
    const json* value = config::At(e.merged, item.told, 0);
    sockaddr_storage address{};
    if (value == nullptr) {
      say(path, "is missing; expected " + config::Expected(item));
    } else if (item.type == config::Type::kAddress &&
               (!value->is_string() || !net::ParseAddress(value->get<std::string>(), address))) {
      say(path, value->dump() + "; expected " + config::Expected(item));
    }
  }
  const json* classes = config::At(e.merged, "settings.classes", 0);
  if (classes == nullptr || !classes->is_array() || classes->empty())
    say("classes", "expected at least one [[classes]]");
  const json* seed = config::At(e.merged, "seed", 0);
  if (seed == nullptr) {
    e.merged["seed"] = fmt::format("{:x}{:08x}", std::random_device()(), std::random_device()());
  } else if (!seed->is_string() ||
             seed->get<std::string>().find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    say("node.seed", seed->dump() + "; expected at most 16 hex digits in quotes");
  }
}

}  // namespace indigosaddle::node
