#include "node/config.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>

#include "net/loop.h"
#include "wire/codec.h"
#include "wire/settings.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr double kMegabyte = 1e6;
constexpr std::size_t kMostBytes = std::size_t{4} * 1024 * 1024;  // of the file

std::string Escape(std::string text) {
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text.empty() ? "_" : text;
}

std::string Plain(const json& value) {
  if (value.is_string()) return Escape(value.get<std::string>());
  if (value.is_number_float()) return fmt::format("{}", value.get<double>());
  return value.dump();  // whole numbers and truth values
}

// The settings in the pairs form of the simulator's first message, so that both are read by the same code.
void Flatten(const json& value, const std::string& path, std::string& pairs) {
  const auto add = [&](const std::string& name, const std::string& text) {
    if (!pairs.empty()) pairs += ' ';
    pairs += name + '=' + text;
  };
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) {
      Flatten(item, path.empty() ? Escape(name) : path + '.' + Escape(name), pairs);
    }
  } else if (value.is_array()) {
    const bool objects = !value.empty() && value.front().is_object();
    if (objects) {
      add(path + ".count", std::to_string(value.size()));
      for (std::size_t i = 0; i < value.size(); ++i) Flatten(value[i], path + '.' + std::to_string(i), pairs);
      return;
    }
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + Plain(item);
    if (!joined.empty()) add(path, joined);
  } else if (!value.is_null()) {
    add(path, Plain(value));
  }
}

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

}  // namespace

Config ReadConfig(std::string_view text, const std::map<std::string, std::string>& environment) {
  const json whole = json::parse(text, nullptr, false);
  if (!whole.is_object()) throw ConfigError("expected one JSON object");
  const auto told = [&](const char* variable, const char* name) {
    const auto it = environment.find(variable);
    return it != environment.end() && !it->second.empty() ? it->second : Text(whole, name);
  };
  Config config;
  config.name = Required(told("EDGE_NAME", "name"), "name");
  config.listen = Required(told("EDGE_LISTEN", "listen"), "listen");
  config.discovery = Text(whole, "discovery");
  if (config.discovery.empty()) config.discovery = told("EDGE_DISCOVERY", "discovery");
  Required(config.discovery, "discovery");
  config.state_folder = Required(told("EDGE_STATE", "state"), "EDGE_STATE");
  CheckAddress(config.listen, "listen");
  CheckAddress(config.discovery, "discovery");

  const json& limits = At(whole, "limits");
  if (!limits.is_object()) throw ConfigError("limits: expected an object");
  config.memory_bytes = static_cast<std::size_t>(Number(limits, "memory_mb", 1e7) * kMegabyte);
  config.sockets = static_cast<std::size_t>(Number(limits, "sockets", 1e7));
  config.disk_bytes = static_cast<std::size_t>(Number(limits, "disk_mb", 1e7) * kMegabyte);

  if (const json& known = At(whole, "known"); known.is_object()) config.known = known.dump();

  const json& settings = At(whole, "settings");
  if (!settings.is_object()) throw ConfigError("settings: expected an object");
  try {
    std::string pairs;
    Flatten(settings, "", pairs);
    const wire::Fields fields(pairs, 1);
    config.settings = wire::ReadSettings(fields);
    config.connect_timeout = fields.Time("caps.dialTimeout", Micros(0));
  } catch (const wire::WireError& error) {
    throw ConfigError(fmt::format("settings: {}", error.what()));
  }
  if (config.settings.classes.empty()) throw ConfigError("settings.classes: expected at least one class");
  const std::string seed = Text(whole, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.settings.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    throw ConfigError("seed: expected at most 16 hex digits");
  }
  config.classes = Names(At(settings, "classes"));
  config.tenants = Names(At(settings, "orgs"));
  config.zones = Names(At(settings, "zones"));
  config.kinds = Names(At(settings, "machineTypes"));
  config.fixed = {{"name", config.name},
                  {"listen", config.listen},
                  {"state", config.state_folder},
                  {"limits", limits.dump()},
                  {"settings", settings.dump()}};
  // A call on the sockets carries one message, whatever a kind would take.
  for (KindSettings& kind : config.settings.kinds) kind.per_call = 1;
  return config;
}

Config LoadConfig(const std::map<std::string, std::string>& environment) {
  const auto path = environment.find("EDGE_CONFIG");
  if (path == environment.end() || path->second.empty()) throw ConfigError("EDGE_CONFIG is not set");
  std::error_code ignored;
  if (!std::filesystem::is_regular_file(path->second, ignored)) {
    throw ConfigError(fmt::format("{}: is no file", path->second));
  }
  std::ifstream file(path->second, std::ios::binary);
  if (!file) throw ConfigError(fmt::format("{}: can't be read", path->second));
  std::string text;
  for (std::array<char, 4096> block{}; text.size() <= kMostBytes && file;) {
    file.read(block.data(), block.size());
    text.append(block.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (text.size() > kMostBytes) throw ConfigError(fmt::format("{}: is too long", path->second));
  try {
    return ReadConfig(text, environment);
  } catch (const ConfigError& error) {
    throw ConfigError(fmt::format("{}: {}", path->second, error.what()));
  }
}

std::map<std::string, std::string> EdgeEnvironment() {
  std::map<std::string, std::string> environment;
  for (const char* name : {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_STATE", "EDGE_CONFIG"}) {
    if (const char* value = std::getenv(name)) environment[name] = value;
  }
  return environment;
}

}  // namespace indigosaddle::node
