// The platform's form of the configuration: settings, limits, watched settings.
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <system_error>

#include "net/loop.h"
#include "node/config_read.h"
#include "wire/codec.h"
#include "wire/settings.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr double kMegabyte = 1e6;

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
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += Plain(item);
    }
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
    const config::Item* item = config::Find("watch." + name);
    const bool number = value.is_number() && item != nullptr && value.get<double>() >= item->least &&
                        value.get<double>() <= item->most;
    if (item == nullptr) {
      fault(name, "no such name");
    } else if (item->type == config::Type::kFlag) {
      if (!value.is_boolean()) fault(name, config::Expected(*item));
      if (value.is_boolean() && name == "on") watched.on = value.get<bool>();
      if (value.is_boolean() && name == "retry_advice") watched.retry_advice = value.get<bool>();
    } else if (item->type == config::Type::kWord) {
      const std::map<std::string, Weights> words = {
          {"off", Weights::kNone}, {"nominal", Weights::kNominal}, {"rough", Weights::kRough}};
      const auto word = value.is_string() ? words.find(value.get<std::string>()) : words.end();
      word == words.end() ? fault(name, "\"off\" or \"nominal\" or \"rough\"")
                          : void(watched.weights = word->second);
    } else if (!number || (item->type == config::Type::kInteger && !value.is_number_integer())) {
      fault(name, config::Expected(*item));
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
  ReadWatched(whole, config.watched);
  const std::string seed = Text(whole, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.settings.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    throw ConfigError("seed: expected at most 16 hex digits");
  }
  config.classes = Names(At(settings, "classes"));
  config.tenants = Names(At(settings, "orgs"));
  config.zones = Names(At(settings, "zones"));
  config.kinds = Names(At(settings, "machineTypes"));
  // A call on the sockets carries one message, whatever a kind would take.
  for (KindSettings& kind : config.settings.kinds) kind.per_call = 1;
  return config;
}

// What the platform's JSON must say beyond its form: a message has at least one attempt and some time. A
// number that the operator's file leaves out is its default, so this is asked of the platform's words alone.
void CheckPlatform(const json& platform) {
  std::string faults;
  const auto fault = [&](const std::string& what) { faults += (faults.empty() ? "" : "\n") + what; };
  const json* attempts = config::At(platform, "settings.caps.attemptsCap", 0);
  if (attempts != nullptr && !(attempts->is_number() && attempts->get<double>() > 0)) {
    fault("settings.caps.attemptsCap: " + attempts->dump() + "; expected a number over 0");
  }
  const json* classes = config::At(platform, "settings.classes", 0);
  for (std::size_t i = 0; classes != nullptr && classes->is_array() && i < classes->size(); ++i) {
    const json& item = (*classes)[i];
    const auto it = item.is_object() ? item.find("deadline") : item.end();
    if (item.is_object() && it != item.end() && !(it->is_number() && it->get<double>() > 0)) {
      fault(fmt::format("settings.classes[{}].deadline: {}; expected a number over 0", i, it->dump()));
    }
  }
  if (!faults.empty()) throw ConfigError(faults);
}

}  // namespace indigosaddle::node
