// The platform's form of the configuration: settings, limits, watched settings.
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <system_error>

#include "net/loop.h"
#include "node/config_read.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr double kMegabyte = 1e6;

const json& At(const json& object, const char* name) {
  static const json absent;
  const auto it = object.find(name);
  return it == object.end() ? absent : *it;
}

std::string Text(const json& object, const char* name) {
  const json& value = At(object, name);
  if (value.is_null()) return {};
  if (!value.is_string()) throw ConfigError(fmt::format("{}: expected a text", name));
  return value.get<std::string>();
}

double Number(const json& object, const char* name, double most) {
  const json& value = At(object, name);
  if (!value.is_number() || !(value.get<double>() > 0) || value.get<double>() > most) {
    throw ConfigError(fmt::format("limits.{}: expected a number over 0, at most {}", name, most));
  }
  return value.get<double>();
}

// Numbers of the names in a list of names, or of objects with names.
std::map<std::string, int> Names(const json& list) {
  std::map<std::string, int> names;
  if (!list.is_array()) return names;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const json& name = list[i].is_object() ? At(list[i], "name") : list[i];
    if (name.is_string()) names.emplace(name.get<std::string>(), static_cast<int>(i));
  }
  return names;
}

std::string Required(const std::string& value, const char* what) {
  if (value.empty()) throw ConfigError(fmt::format("{} is missing", what));
  return value;
}

void CheckAddress(const std::string& text, const char* what) {
  sockaddr_storage address{};
  if (!net::ParseAddress(text, address)) throw ConfigError(fmt::format("{}: expected ip:port", what));
}

// Both forms give it; the schema has checked the operator's file, so this says what is wrong in the other.
void ReadWatched(const json& whole, Watched& watched) {
  const json& watch = At(whole, "watch");
  if (watch.is_null()) return;
  if (!watch.is_object()) throw ConfigError("watch: expected an object");
  std::string faults;
  const auto fault = [&](const std::string& name, const std::string& expected) {
    faults += fmt::format("{}watch.{}: expected {}", faults.empty() ? "" : "\n", name, expected);
  };
  for (const auto& [name, value] : watch.items()) {
    const config::Setting* item = config::FindSetting("watch." + name);
    const bool number = value.is_number() && item != nullptr && value.get<double>() >= item->min &&
                        value.get<double>() <= item->max;
    if (item == nullptr) {
      fault(name, "no such name");
    } else if (item->type == config::ValueType::kFlag) {
      if (!value.is_boolean()) fault(name, config::DescribeExpected(*item));
      if (value.is_boolean() && name == "on") watched.on = value.get<bool>();
      if (value.is_boolean() && name == "retry_advice") watched.retry_advice = value.get<bool>();
    } else if (item->type == config::ValueType::kChoice) {
      const std::map<std::string, Weights> words = {
          {"off", Weights::kNone}, {"nominal", Weights::kNominal}, {"rough", Weights::kRough}};
      const auto word = value.is_string() ? words.find(value.get<std::string>()) : words.end();
      word == words.end() ? fault(name, "\"off\" or \"nominal\" or \"rough\"")
                          : void(watched.weights = word->second);
    } else if (!number || (item->type == config::ValueType::kInteger && !value.is_number_integer())) {
      fault(name, config::DescribeExpected(*item));
    } else if (name == "connection_price") {
      watched.price_handshake = value.get<double>();
    } else if (name == "overload_factor") {
      watched.overload_factor = value.get<double>();
    } else if (name == "senders") {
      watched.senders = value.get<int>();
    } else if (name == "max_attempts") {
      watched.max_attempts = value.get<int>();
    } else if (name == "fall") {
      watched.fall = Micros(std::llround(value.get<double>() * 1000));
    }
  }
  if (!faults.empty()) throw ConfigError(faults);
}

}  // namespace

Config FromMerged(const json& whole) {
  Config config;
  config.name = Required(Text(whole, "name"), "name");
  config.listen = Required(Text(whole, "listen"), "listen");
  config.discovery = Required(Text(whole, "discovery"), "discovery");
  config.state_folder = Required(Text(whole, "state"), "EDGE_STATE");
  config.control = Text(whole, "control");
  CheckAddress(config.listen, "listen");
  CheckAddress(config.discovery, "discovery");
  if (!config.control.empty()) CheckAddress(config.control, "control");

  const json& limits = At(whole, "limits");
  if (!limits.is_object()) throw ConfigError("limits: expected an object");
  config.memory_bytes = static_cast<std::size_t>(Number(limits, "memory_mb", 1e7) * kMegabyte);
  config.sockets = static_cast<std::size_t>(Number(limits, "sockets", 1e7));
  config.disk_bytes = static_cast<std::size_t>(Number(limits, "disk_mb", 1e7) * kMegabyte);

  if (const json& known = At(whole, "known"); known.is_object()) config.known = known.dump();

  config.settings = ReadSettings(whole);
  config.connect_timeout = ReadConnectTimeout(whole);
  ReadWatched(whole, config.watched);
  const std::string seed = Text(whole, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.settings.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    throw ConfigError("seed: expected at most 16 hex digits");
  }
  const json& settings = At(whole, "settings");
  config.classes = Names(At(settings, "classes"));
  config.tenants = Names(At(settings, "orgs"));
  config.zones = Names(At(settings, "zones"));
  config.kinds = Names(At(settings, "machineTypes"));
  return config;
}

}  // namespace indigosaddle::node
