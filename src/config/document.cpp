#include "config/document.h"

#include <fmt/format.h>

#include <cmath>
#include <set>
#include <utility>

#include "config/schema.h"
#include "config/toml.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFaults = 50;    // reported at once; a file of random bytes could have any number
constexpr std::size_t kMaxTables = 1000;  // in one list

SourceLocation LocationOf(const toml::source_region& region) {
  return {region.begin.line, region.begin.column};
}

json ToJson(const toml::node& node) {
  if (const auto* value = node.as_string()) return value->get();
  if (const auto* value = node.as_integer()) return value->get();
  if (const auto* value = node.as_floating_point())
    return std::isfinite(value->get()) ? json(value->get()) : json();
  if (const auto* value = node.as_boolean()) return value->get();
  return nullptr;
}

std::string DescribeType(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table: return "a table";
    case toml::node_type::array: return "a list";
    case toml::node_type::string: return "a text";
    case toml::node_type::integer: return "a whole number";
    case toml::node_type::floating_point: return "a number";
    case toml::node_type::boolean: return "true or false";
    default: return "a date or time";
  }
}

// Copies the values of a TOML file into a ParsedOperatorsFile and checks each against the schema.
class TomlReader {
 public:
  TomlReader(ParsedOperatorsFile& parsed, const std::string& file) : parsed_(parsed), file_(file) {
    for (const Setting& setting : Schema()) {
      const std::string_view path = setting.path;
      const std::size_t dot = path.rfind('.');
      names_by_section_[std::string(path.substr(0, dot))].emplace_back(path.substr(dot + 1));
    }
  }

  void Read(const toml::table& root) {
    for (const auto& [key, node] : root) {
      const std::string name(key.str());
      if (names_by_section_.contains(name)) {
        if (const toml::table* table = node.as_table()) {
          ReadSection(*table, name, name, 0);
        } else {
          AddFault(node.source(), name,
                   fmt::format("is {}; expected a table: [{}]", DescribeType(node), name));
        }
      } else if (names_by_section_.contains(name + "[]")) {
        ReadList(node, name);
      } else {
        AddUnknownName(key.source(), name, name, SectionNames());
      }
    }
  }

  void AddFault(const toml::source_region& region, const std::string& path, std::string problem) {
    if (parsed_.faults.size() < kMaxFaults) {
      parsed_.faults.push_back({file_, LocationOf(region), path, std::move(problem)});
    }
  }

 private:
  std::vector<std::string> SectionNames() const {
    std::vector<std::string> sections;
    for (const auto& [name, settings] : names_by_section_) {
      sections.push_back(name.ends_with("[]") ? name.substr(0, name.size() - 2) : name);
    }
    return sections;
  }

  void AddUnknownName(const toml::source_region& region, const std::string& path, std::string_view name,
                      const std::vector<std::string>& known_names) {
    const std::string nearest = NearestName(name, known_names);
    std::string all_names;
    for (const std::string& known : known_names) all_names += (all_names.empty() ? "" : ", ") + known;
    AddFault(region, path,
             nearest.empty() ? fmt::format("unknown name; expected one of {}", all_names)
                             : fmt::format("unknown name; did you mean \"{}\"?", nearest));
  }

  void ReadList(const toml::node& node, const std::string& name) {
    const toml::array* list = node.as_array();
    if (list == nullptr || !list->is_homogeneous(toml::node_type::table)) {
      return AddFault(node.source(), name,
                      fmt::format("is {}; expected tables: [[{}]]", DescribeType(node), name));
    }
    if (list->size() > kMaxTables) {
      return AddFault(node.source(), name,
                      fmt::format("{} tables; expected at most {}", list->size(), kMaxTables));
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string path = fmt::format("{}[{}]", name, i);
      const toml::table& table = *list->get(i)->as_table();
      ReadSection(table, name + "[]", path, i);
      if (!table.contains("name")) AddFault(table.source(), path, "has no \"name\"");
      for (const Setting& setting : Schema()) {  // settings that the table omits get their defaults
        const std::string_view setting_path = setting.path;
        if (setting_path.substr(0, setting_path.rfind('.')) != name + "[]" ||
            setting.default_text[0] == '\0') {
          continue;
        }
        if (ValueAt(parsed_.values, setting.platform_path, i) == nullptr)
          SetValueAt(parsed_.values, setting.platform_path, i, DefaultOf(setting));
      }
    }
  }

  void ReadSection(const toml::table& table, const std::string& section, const std::string& path,
                   std::size_t index) {
    for (const auto& [key, node] : table) {
      const std::string name(key.str()), full_path = fmt::format("{}.{}", path, name);
      const Setting* setting = FindSetting(fmt::format("{}.{}", section, name));
      if (setting == nullptr) {
        AddUnknownName(key.source(), full_path, name, names_by_section_.at(section));
        continue;
      }
      const auto value = ToPlatformForm(*setting, ToJson(node));
      if (!value) {
        std::string given = ToJson(node).is_null() ? DescribeType(node) : ToJson(node).dump();
        AddFault(node.source(), full_path,
                 fmt::format("{}; expected {}", Excerpt(given), DescribeExpected(*setting)));
        continue;
      }
      parsed_.locations[full_path] = LocationOf(node.source());
      SetValueAt(parsed_.values, setting->platform_path, index, *value);
    }
  }

  ParsedOperatorsFile& parsed_;
  const std::string& file_;
  std::map<std::string, std::vector<std::string>> names_by_section_;
};

// Splits "a.b[].c" into "a", "b", "[]" and "c"; the step "[]" stands for the index.
std::vector<std::string> PathSteps(std::string_view platform_path) {
  std::vector<std::string> steps;
  while (!platform_path.empty()) {
    const std::size_t dot = platform_path.find('.');
    std::string_view step = platform_path.substr(0, dot);
    const bool list = step.ends_with("[]");
    if (list) step.remove_suffix(2);
    steps.emplace_back(step);
    if (list) steps.emplace_back("[]");
    platform_path.remove_prefix(dot == std::string_view::npos ? platform_path.size() : dot + 1);
  }
  return steps;
}

}  // namespace

const json* ValueAt(const json& root, std::string_view platform_path, std::size_t index) {
  const json* value = &root;
  for (const std::string& step : PathSteps(platform_path)) {
    if (step == "[]") {
      if (!value->is_array() || index >= value->size()) return nullptr;
      value = &(*value)[index];
    } else {
      if (!value->is_object()) return nullptr;
      const auto it = value->find(step);
      if (it == value->end()) return nullptr;
      value = &*it;
    }
  }
  return value->is_null() ? nullptr : value;
}

void SetValueAt(json& root, std::string_view platform_path, std::size_t index, json value) {
  json* target = &root;
  for (const std::string& step : PathSteps(platform_path)) {
    if (step == "[]") {
      if (!target->is_array()) *target = json::array();
      while (target->size() <= index) target->push_back(nullptr);
      target = &(*target)[index];
    } else {
      target = &(*target)[step];
    }
  }
  *target = std::move(value);
}

std::string ToText(const ConfigFault& fault) {
  std::string text = fault.file;
  if (fault.location.line > 0)
    text += fmt::format("{}{}:{}", text.empty() ? "" : ":", fault.location.line, fault.location.column);
  if (!fault.path.empty()) text += (text.empty() ? "" : ": ") + fault.path;
  return text + (text.empty() ? "" : ": ") + fault.problem;
}

std::string ToText(const std::vector<ConfigFault>& faults, std::string_view separator) {
  std::string text;
  for (const ConfigFault& fault : faults) {
    if (!text.empty()) text += separator;
    text += ToText(fault);
  }
  return text;
}

ParsedOperatorsFile ParseOperatorsFile(std::string_view text, const std::string& file) {
  ParsedOperatorsFile parsed;
  if (text.size() > kMaxDocumentBytes) {
    parsed.faults.push_back(
        {file, {}, "", fmt::format("{} bytes; expected at most {}", text.size(), kMaxDocumentBytes)});
    return parsed;
  }
  try {
    const toml::table root = toml::parse(text);
    TomlReader(parsed, file).Read(root);
  } catch (const toml::parse_error& error) {
    parsed.faults.push_back({file, LocationOf(error.source()), "", std::string(error.description())});
    return parsed;
  } catch (const std::logic_error& error) {
    parsed.faults.push_back({file, {}, "", "is not valid TOML"});
    return parsed;
  }
  // The operator's file names the node's own zone; the platform's form has the zone's index.
  if (json* zone = const_cast<json*>(ValueAt(parsed.values, "settings.zone", 0)); zone != nullptr) {
    const json* zones = ValueAt(parsed.values, "settings.zones", 0);
    json number;
    for (std::size_t i = 0; zones != nullptr && i < zones->size(); ++i) {
      if ((*zones)[i] == *zone) number = i;
    }
    if (number.is_null()) {
      parsed.faults.push_back({file, parsed.locations["delivery.zone"], "delivery.zone",
                               fmt::format("{}; expected the name of one of [[zones]]", zone->dump())});
    }
    *zone = number;
  }
  return parsed;
}

}  // namespace indigosaddle::config
