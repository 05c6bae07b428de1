#include "config/layers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "config/platform_document.h"
#include "config/strict_json.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// Merges `upper` into `lower`. A null in `upper` counts as absent and leaves the value of `lower`.
void Merge(json& lower, const json& upper) {
  for (const auto& [name, value] : upper.items()) {
    if (value.is_null()) continue;
    if (value.is_object() && lower.contains(name) && lower[name].is_object()) {
      Merge(lower[name], value);
    } else {
      lower[name] = value;
    }
  }
}

struct EnvironmentVariable {
  const char* name;
  const char* platform_path;
};
constexpr EnvironmentVariable kVariables[] = {{"EDGE_NAME", "name"},
                                              {"EDGE_LISTEN", "listen"},
                                              {"EDGE_DISCOVERY", "discovery"},
                                              {"EDGE_STATE", "state"},
                                              {"EDGE_CONTROL", "control"}};

// The name of the environment variable that gives the value at a path; null where none does. A platform's
// document that has the address of discovery overrides the variable: the document may be replaced while the
// process runs, the environment may not.
const char* OverridingVariable(const EffectiveConfig& effective, std::string_view platform_path) {
  for (const EnvironmentVariable& variable : kVariables) {
    if (platform_path != variable.platform_path) continue;
    const auto it = effective.environment.find(variable.name);
    if (it == effective.environment.end() || it->second.empty()) return nullptr;
    if (platform_path == "discovery" && ValueAt(effective.platform, platform_path, 0) != nullptr)
      return nullptr;
    return variable.name;
  }
  return nullptr;
}

std::size_t TableCount(const json& merged, std::string_view platform_path) {
  const std::size_t list_end = platform_path.find("[]");
  const json* list = ValueAt(merged, platform_path.substr(0, list_end), 0);
  return list != nullptr && list->is_array() ? list->size() : 0;
}

std::string WithIndex(std::string_view path, std::size_t index) {
  const std::size_t list_end = path.find("[]");
  return fmt::format("{}[{}]{}", path.substr(0, list_end), index, path.substr(list_end + 2));
}

// Parses a platform's document and drops its "operator" part: the platform may not set the operator's own
// settings, neither in the document in force nor in the one that is to replace it.
ParsedObject ParseWithoutOperatorPart(const Source& source) {
  ParsedObject parsed = ParseObject(source.text, source.name);
  parsed.value.erase("operator");
  return parsed;
}

// Merges the platform's document over what is merged so far, or adds its faults.
void MergePlatform(const Sources& sources, EffectiveConfig& effective) {
  const std::string& name = sources.platform.name;
  ParsedObject parsed = ParseWithoutOperatorPart(sources.platform);
  std::vector<ConfigFault>& faults = parsed.faults;
  if (faults.empty()) {
    faults = CheckPlatformDocument(
        parsed.value, name, sources.operators_file.given ? BaseLayer::kOperatorsFile : BaseLayer::kNone);
  }
  if (faults.empty() && sources.platform_in_force.given) {
    faults = FindMissingValues(ParseWithoutOperatorPart(sources.platform_in_force).value, parsed.value, name);
  }
  effective.faults.insert(effective.faults.end(), faults.begin(), faults.end());
  effective.platform_usable = faults.empty();
  if (!effective.platform_usable) return;
  effective.platform = std::move(parsed.value);
  Merge(effective.merged, effective.platform);
}

}  // namespace

EffectiveConfig Combine(const Sources& sources) {
  EffectiveConfig effective;
  effective.environment = sources.environment;
  effective.has_operators_file = sources.operators_file.given;
  effective.operators_file_name = sources.operators_file.name;
  effective.platform_name = sources.platform.name;
  effective.merged = json::object();
  if (sources.operators_file.given) {
    effective.operators_file = ParseOperatorsFile(sources.operators_file.text, sources.operators_file.name);
    effective.faults = effective.operators_file.faults;
    for (const Setting& setting : Schema()) {
      const bool in_list = std::string_view(setting.path).find("[]") != std::string_view::npos;
      if (setting.default_text[0] != '\0' && !in_list)
        SetValueAt(effective.merged, setting.platform_path, 0, DefaultOf(setting));
    }
    Merge(effective.merged, effective.operators_file.values);
    if (effective.faults.empty()) {
      const auto more = FindContradictions(effective.merged, sources.operators_file.name,
                                           effective.operators_file.locations);
      effective.faults.insert(effective.faults.end(), more.begin(), more.end());
    }
  }
  if (sources.platform.given) MergePlatform(sources, effective);
  for (const EnvironmentVariable& variable : kVariables) {
    if (OverridingVariable(effective, variable.platform_path) != nullptr)
      effective.merged[variable.platform_path] = sources.environment.at(variable.name);
  }
  return effective;
}

std::vector<ShownValue> ShowAll(const EffectiveConfig& effective) {
  std::vector<ShownValue> all;
  const auto add = [&](const Setting& setting, std::size_t index, const std::string& path) {
    // Without an operator's file the schema's defaults apply to the operator's own settings only.
    const bool without_default =
        !effective.has_operators_file && !std::string_view(setting.platform_path).starts_with("operator.");
    const bool has_default = !without_default && setting.default_text[0] != '\0';
    ShownValue shown{path, has_default ? setting.default_text : "-",
                     without_default ? "not given" : "default", setting.takes_effect};
    if (const json* value = ValueAt(effective.merged, setting.platform_path, index); value != nullptr) {
      shown.value = ToFileForm(setting, *value);
      const json* zones = ValueAt(effective.merged, "settings.zones", 0);
      if (path == "delivery.zone" && value->is_number_unsigned() && zones != nullptr && zones->is_array() &&
          value->get<std::size_t>() < zones->size()) {
        shown.value = ToFileForm(setting, (*zones)[value->get<std::size_t>()]);
      }
      const auto location = effective.operators_file.locations.find(path);
      if (const char* variable = OverridingVariable(effective, setting.platform_path)) {
        shown.source = variable;
      } else if (ValueAt(effective.platform, setting.platform_path, index) != nullptr) {
        shown.source = effective.platform_name;
      } else if (location != effective.operators_file.locations.end()) {
        shown.source = fmt::format("{}:{}", effective.operators_file_name, location->second.line);
      }
    }
    all.push_back(std::move(shown));
  };
  const std::vector<Setting>& schema = Schema();
  for (std::size_t first = 0; first < schema.size();) {
    const std::string_view path = schema[first].path;
    const std::string_view section = path.substr(0, path.rfind('.') + 1);
    std::size_t end = first;
    while (end < schema.size() && std::string_view(schema[end].path).starts_with(section)) ++end;
    if (section.find("[]") == std::string_view::npos) {
      for (std::size_t i = first; i < end; ++i) add(schema[i], 0, schema[i].path);
    } else {
      for (std::size_t index = 0; index < TableCount(effective.merged, schema[first].platform_path);
           ++index) {
        for (std::size_t i = first; i < end; ++i) add(schema[i], index, WithIndex(schema[i].path, index));
      }
    }
    first = end;
  }
  return all;
}

std::vector<Difference> Differences(const std::vector<ShownValue>& before,
                                    const std::vector<ShownValue>& after) {
  // A table of a list is identified by its name, not by its index.
  const auto by_path = [](const std::vector<ShownValue>& all) {
    std::map<std::string, std::string> table_names;
    for (const ShownValue& shown : all) {
      if (shown.path.ends_with("].name"))
        table_names[shown.path.substr(0, shown.path.size() - 5)] = shown.value;
    }
    std::vector<std::pair<std::string, const ShownValue*>> result;
    for (const ShownValue& shown : all) {
      const std::size_t bracket = shown.path.find(']');
      std::string path = shown.path;
      if (bracket != std::string::npos) {
        path = fmt::format("{}[{}]{}", path.substr(0, path.find('[')),
                           table_names[path.substr(0, bracket + 1)], path.substr(bracket + 1));
      }
      result.emplace_back(std::move(path), &shown);
    }
    return result;
  };
  const auto old = by_path(before), now = by_path(after);
  const auto value_at = [](const auto& all, const std::string& path) {
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const auto& entry) { return entry.first == path; });
    return it == all.end() ? std::string("-") : it->second->value;
  };
  // Adding or removing a whole table takes effect when a change of its name does.
  const auto takes_effect = [](const ShownValue& shown, const std::string& other_value) {
    const std::size_t bracket = shown.path.find('[');
    if (other_value != "-" || bracket == std::string::npos) return shown.takes_effect;
    const Setting* name = FindSetting(shown.path.substr(0, bracket) + "[].name");
    return name != nullptr ? name->takes_effect : shown.takes_effect;
  };
  std::vector<Difference> differences;
  for (const auto& [path, shown] : old) {
    // A seed that is not given is drawn again whenever the configuration is read.
    if (path == "node.seed" && shown->source == "default") continue;
    if (const std::string next = value_at(now, path); next != shown->value) {
      differences.push_back({path, shown->value, next, takes_effect(*shown, next)});
    }
  }
  for (const auto& [path, shown] : now) {
    const bool is_new =
        std::none_of(old.begin(), old.end(), [&, p = path](const auto& entry) { return entry.first == p; });
    if (is_new && shown->value != "-") {
      differences.push_back({path, "-", shown->value, takes_effect(*shown, "-")});
    }
  }
  return differences;
}

}  // namespace indigosaddle::config
