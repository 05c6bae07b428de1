// Reads a configuration in the platform's form: addresses, limits and the settings for shadow evaluation.
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

constexpr double kBytesPerMegabyte = 1e6;

// A member of an object; null if it is absent.
const json& At(const json& object, const char* name) {
  static const json absent;
  const auto it = object.find(name);
  return it == object.end() ? absent : *it;
}

// A text, or an empty one if it is absent.
std::string Text(const json& object, const char* name) {
  const json& value = At(object, name);
  if (value.is_null()) return {};
  if (!value.is_string()) throw ConfigError(fmt::format("{}: expected a text", name));
  return value.get<std::string>();
}

// One of the limits: a number over 0.
double LimitAt(const json& limits, const char* name, double max) {
  const json& value = At(limits, name);
  if (!value.is_number() || !(value.get<double>() > 0) || value.get<double>() > max) {
    throw ConfigError(fmt::format("limits.{}: expected a number over 0, at most {}", name, max));
  }
  return value.get<double>();
}

// Indices of the names in a list of names or of objects with names.
std::map<std::string, int> IndicesByName(const json& list) {
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

// Both the operator's file and the platform's document can give these settings. The schema has checked the
// operator's file, so the faults found here are those of the platform's document.
void ReadShadowSettings(const json& whole, ShadowSettings& shadow) {
  const json& watch = At(whole, "watch");
  if (watch.is_null()) return;
  if (!watch.is_object()) throw ConfigError("watch: expected an object");
  std::string faults;
  const auto add_fault = [&](const std::string& name, const std::string& expected) {
    faults += fmt::format("{}watch.{}: expected {}", faults.empty() ? "" : "\n", name, expected);
  };
  for (const auto& [name, value] : watch.items()) {
    const config::Setting* item = config::FindSetting("watch." + name);
    const bool number_in_range = value.is_number() && item != nullptr && value.get<double>() >= item->min &&
                                 value.get<double>() <= item->max;
    if (item == nullptr) {
      add_fault(name, "no such name");
    } else if (item->type == config::ValueType::kFlag) {
      if (!value.is_boolean()) add_fault(name, config::DescribeExpected(*item));
      if (value.is_boolean() && name == "on") shadow.on = value.get<bool>();
      if (value.is_boolean() && name == "retry_advice") shadow.retry_advice = value.get<bool>();
    } else if (item->type == config::ValueType::kChoice) {
      const std::map<std::string, Weights> words = {
          {"off", Weights::kNone}, {"nominal", Weights::kNominal}, {"rough", Weights::kRough}};
      const auto word = value.is_string() ? words.find(value.get<std::string>()) : words.end();
      word == words.end() ? add_fault(name, "\"off\" or \"nominal\" or \"rough\"")
                          : void(shadow.weights = word->second);
    } else if (!number_in_range ||
               (item->type == config::ValueType::kInteger && !value.is_number_integer())) {
      add_fault(name, config::DescribeExpected(*item));
    } else if (name == "connection_price") {
      shadow.price_handshake = value.get<double>();
    } else if (name == "overload_factor") {
      shadow.overload_factor = value.get<double>();
    } else if (name == "senders") {
      shadow.senders = value.get<int>();
    } else if (name == "max_attempts") {
      shadow.max_attempts = value.get<int>();
    } else if (name == "fall") {
      shadow.fall = Micros(std::llround(value.get<double>() * 1000));
    }
  }
  if (!faults.empty()) throw ConfigError(faults);
}

}  // namespace

Config ConfigFromMerged(const json& whole) {
  Config config;
  config.name = Required(Text(whole, "name"), "name");
  config.listen = Required(Text(whole, "listen"), "listen");
  config.discovery = Required(Text(whole, "discovery"), "discovery");
  config.state_folder = Required(Text(whole, "state"), "EDGE_STATE");
  config.admin_address = Text(whole, "control");
  CheckAddress(config.listen, "listen");
  CheckAddress(config.discovery, "discovery");
  if (!config.admin_address.empty()) CheckAddress(config.admin_address, "control");

  const json& limits = At(whole, "limits");
  if (!limits.is_object()) throw ConfigError("limits: expected an object");
  config.memory_bytes = static_cast<std::size_t>(LimitAt(limits, "memory_mb", 1e7) * kBytesPerMegabyte);
  config.sockets = static_cast<std::size_t>(LimitAt(limits, "sockets", 1e7));
  config.disk_bytes = static_cast<std::size_t>(LimitAt(limits, "disk_mb", 1e7) * kBytesPerMegabyte);

  if (const json& known = At(whole, "known"); known.is_object()) config.known_list = known.dump();

  config.settings = ReadSettings(whole);
  config.connect_timeout = ReadConnectTimeout(whole);
  ReadShadowSettings(whole, config.shadow);
  const std::string seed = Text(whole, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.settings.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    throw ConfigError("seed: expected at most 16 hex digits");
  }
  const json& settings = At(whole, "settings");
  config.classes = IndicesByName(At(settings, "classes"));
  config.tenants = IndicesByName(At(settings, "orgs"));
  config.zones = IndicesByName(At(settings, "zones"));
  config.kinds = IndicesByName(At(settings, "machineTypes"));
  return config;
}

}  // namespace indigosaddle::node
