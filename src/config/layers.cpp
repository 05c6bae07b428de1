#include "config/layers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "config/platform_document.h"
#include "config/strict_json.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// A null says nothing, so it leaves what is below it.
void Merge(json& below, const json& over) {
  for (const auto& [name, value] : over.items()) {
    if (value.is_null()) continue;
    if (value.is_object() && below.contains(name) && below[name].is_object()) {
      Merge(below[name], value);
    } else {
      below[name] = value;
    }
  }
}

struct Variable {
  const char* name;
  const char* told;
};
constexpr Variable kVariables[] = {{"EDGE_NAME", "name"},
                                   {"EDGE_LISTEN", "listen"},
                                   {"EDGE_DISCOVERY", "discovery"},
                                   {"EDGE_STATE", "state"},
                                   {"EDGE_CONTROL", "control"}};

// The variable that decides the value, if any. A platform's file that names discovery is the later word: it
// may be replaced while the program runs, its environment not.
const char* Deciding(const Effective& e, std::string_view told) {
  for (const Variable& variable : kVariables) {
    if (told != variable.told) continue;
    const auto it = e.environment.find(variable.name);
    if (it == e.environment.end() || it->second.empty()) return nullptr;
    if (told == "discovery" && At(e.platform, told, 0) != nullptr) return nullptr;
    return variable.name;
  }
  return nullptr;
}

std::size_t Tables(const json& merged, std::string_view told) {
  const std::size_t at = told.find("[]");
  const json* list = At(merged, told.substr(0, at), 0);
  return list != nullptr && list->is_array() ? list->size() : 0;
}

std::string Numbered(std::string_view path, std::size_t index) {
  const std::size_t at = path.find("[]");
  return fmt::format("{}[{}]{}", path.substr(0, at), index, path.substr(at + 2));
}

// The operator's own part is no matter of the platform's, in whichever of its documents it stands.
ParsedObject ParseWithoutOperators(const Source& source) {
  ParsedObject parsed = ParseObject(source.text, source.name);
  parsed.value.erase("operator");
  return parsed;
}

// The platform's document over what is merged so far, or its faults.
void ReadPlatform(const Sources& sources, Effective& e) {
  const std::string& name = sources.platform.name;
  ParsedObject parsed = ParseWithoutOperators(sources.platform);
  std::vector<Fault>& faults = parsed.faults;
  if (faults.empty()) {
    faults = CheckPlatformDocument(parsed.value, name,
                                   sources.operators.given ? Below::kOperatorsFile : Below::kNothing);
  }
  if (faults.empty() && sources.in_force.given) {
    faults = MissingSince(ParseWithoutOperators(sources.in_force).value, parsed.value, name);
  }
  e.faults.insert(e.faults.end(), faults.begin(), faults.end());
  e.platform_usable = faults.empty();
  if (!e.platform_usable) return;
  e.platform = std::move(parsed.value);
  Merge(e.merged, e.platform);
}

}  // namespace

Effective Combine(const Sources& sources) {
  Effective e;
  e.environment = sources.environment;
  e.has_operators = sources.operators.given;
  e.operators_name = sources.operators.name;
  e.platform_name = sources.platform.name;
  e.merged = json::object();
  if (sources.operators.given) {
    e.operators = ReadDocument(sources.operators.text, sources.operators.name);
    e.faults = e.operators.faults;
    for (const Item& item : Schema()) {
      const bool of_list = std::string_view(item.path).find("[]") != std::string_view::npos;
      if (item.absent[0] != '\0' && !of_list) Put(e.merged, item.told, 0, DefaultOf(item));
    }
    Merge(e.merged, e.operators.told);
    if (e.faults.empty()) {
      const auto more = Contradictions(e.merged, sources.operators.name, e.operators.places);
      e.faults.insert(e.faults.end(), more.begin(), more.end());
    }
  }
  if (sources.platform.given) ReadPlatform(sources, e);
  for (const Variable& variable : kVariables) {
    if (Deciding(e, variable.told) != nullptr)
      e.merged[variable.told] = sources.environment.at(variable.name);
  }
  return e;
}

std::vector<Shown> ShowAll(const Effective& e) {
  std::vector<Shown> all;
  const auto add = [&](const Item& item, std::size_t index, const std::string& path) {
    // The platform's JSON has no defaults of ours.
    const bool silent = !e.has_operators && !std::string_view(item.told).starts_with("operator.");
    const bool has_default = !silent && item.absent[0] != '\0';
    Shown shown{path, has_default ? item.absent : "-", silent ? "not given" : "default", item.change};
    if (const json* value = At(e.merged, item.told, index); value != nullptr) {
      shown.value = Show(item, *value);
      const json* zones = At(e.merged, "settings.zones", 0);
      if (path == "delivery.zone" && value->is_number_unsigned() && zones != nullptr && zones->is_array() &&
          value->get<std::size_t>() < zones->size()) {
        shown.value = Show(item, (*zones)[value->get<std::size_t>()]);
      }
      const auto place = e.operators.places.find(path);
      if (const char* variable = Deciding(e, item.told)) {
        shown.from = variable;
      } else if (At(e.platform, item.told, index) != nullptr) {
        shown.from = e.platform_name;
      } else if (place != e.operators.places.end()) {
        shown.from = fmt::format("{}:{}", e.operators_name, place->second.line);
      }
    }
    all.push_back(std::move(shown));
  };
  const std::vector<Item>& schema = Schema();
  for (std::size_t first = 0; first < schema.size();) {
    const std::string_view path = schema[first].path;
    const std::string_view section = path.substr(0, path.rfind('.') + 1);
    std::size_t last = first;
    while (last < schema.size() && std::string_view(schema[last].path).starts_with(section)) ++last;
    if (section.find("[]") == std::string_view::npos) {
      for (std::size_t i = first; i < last; ++i) add(schema[i], 0, schema[i].path);
    } else {
      for (std::size_t index = 0; index < Tables(e.merged, schema[first].told); ++index) {
        for (std::size_t i = first; i < last; ++i) add(schema[i], index, Numbered(schema[i].path, index));
      }
    }
    first = last;
  }
  return all;
}

std::vector<Difference> Differences(const std::vector<Shown>& before, const std::vector<Shown>& after) {
  // Tables of lists are known by their names, not by where they stand.
  const auto keyed = [](const std::vector<Shown>& all) {
    std::map<std::string, std::string> tables;
    for (const Shown& one : all) {
      if (one.path.ends_with("].name")) tables[one.path.substr(0, one.path.size() - 5)] = one.value;
    }
    std::vector<std::pair<std::string, const Shown*>> result;
    for (const Shown& one : all) {
      const std::size_t end = one.path.find(']');
      std::string path = one.path;
      if (end != std::string::npos) {
        path = fmt::format("{}[{}]{}", path.substr(0, path.find('[')), tables[path.substr(0, end + 1)],
                           path.substr(end + 1));
      }
      result.emplace_back(std::move(path), &one);
    }
    return result;
  };
  const auto old = keyed(before), now = keyed(after);
  const auto value = [](const auto& all, const std::string& path) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& one) { return one.first == path; });
    return it == all.end() ? std::string("-") : it->second->value;
  };
  // A table that comes or goes as a whole changes as its name may.
  const auto change = [](const Shown& shown, const std::string& other) {
    const std::size_t list = shown.path.find('[');
    if (other != "-" || list == std::string::npos) return shown.change;
    const Item* name = Find(shown.path.substr(0, list) + "[].name");
    return name != nullptr ? name->change : shown.change;
  };
  std::vector<Difference> differences;
  for (const auto& [path, shown] : old) {
    if (path == "node.seed" && shown->from == "default") continue;  // drawn anew with every reading
    if (const std::string next = value(now, path); next != shown->value) {
      differences.push_back({path, shown->value, next, change(*shown, next)});
    }
  }
  for (const auto& [path, shown] : now) {
    const bool is_new =
        std::none_of(old.begin(), old.end(), [&, p = path](const auto& one) { return one.first == p; });
    if (is_new && shown->value != "-") differences.push_back({path, "-", shown->value, change(*shown, "-")});
  }
  return differences;
}

}  // namespace indigosaddle::config
