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

constexpr std::size_t kMostFaults = 50;    // said at once; a file of rubbish has no end of them
constexpr std::size_t kMostTables = 1000;  // of one list

Place PlaceOf(const toml::source_region& region) { return {region.begin.line, region.begin.column}; }

json ToJson(const toml::node& node) {
  if (const auto* value = node.as_string()) return value->get();
  if (const auto* value = node.as_integer()) return value->get();
  if (const auto* value = node.as_floating_point())
    return std::isfinite(value->get()) ? json(value->get()) : json();
  if (const auto* value = node.as_boolean()) return value->get();
  return nullptr;
}

std::string KindOf(const toml::node& node) {
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

class Reader {
 public:
  Reader(Document& document, const std::string& file) : document_(document), file_(file) {
    for (const Item& item : Schema()) {
      const std::string_view path = item.path;
      const std::size_t dot = path.rfind('.');
      names_[std::string(path.substr(0, dot))].emplace_back(path.substr(dot + 1));
    }
  }

  void Read(const toml::table& root) {
    for (const auto& [key, node] : root) {
      const std::string name(key.str());
      if (names_.contains(name)) {
        if (const toml::table* table = node.as_table()) {
          Section(*table, name, name, 0);
        } else {
          Say(node.source(), name, fmt::format("is {}; expected a table: [{}]", KindOf(node), name));
        }
      } else if (names_.contains(name + "[]")) {
        List(node, name);
      } else {
        Unknown(key.source(), name, name, Sections());
      }
    }
  }

  void Say(const toml::source_region& region, const std::string& path, std::string what) {
    if (document_.faults.size() < kMostFaults) {
      document_.faults.push_back({file_, PlaceOf(region), path, std::move(what)});
    }
  }

 private:
  std::vector<std::string> Sections() const {
    std::vector<std::string> sections;
    for (const auto& [name, items] : names_) {
      sections.push_back(name.ends_with("[]") ? name.substr(0, name.size() - 2) : name);
    }
    return sections;
  }

  void Unknown(const toml::source_region& region, const std::string& path, std::string_view name,
               const std::vector<std::string>& known) {
    const std::string near = Nearest(name, known);
    std::string all;
    for (const std::string& one : known) all += (all.empty() ? "" : ", ") + one;
    Say(region, path,
        near.empty() ? fmt::format("unknown name; expected one of {}", all)
                     : fmt::format("unknown name; did you mean \"{}\"?", near));
  }

  void List(const toml::node& node, const std::string& name) {
    const toml::array* list = node.as_array();
    if (list == nullptr || !list->is_homogeneous(toml::node_type::table)) {
      return Say(node.source(), name, fmt::format("is {}; expected tables: [[{}]]", KindOf(node), name));
    }
    if (list->size() > kMostTables) {
      return Say(node.source(), name,
                 fmt::format("{} tables; expected at most {}", list->size(), kMostTables));
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string path = fmt::format("{}[{}]", name, i);
      const toml::table& table = *list->get(i)->as_table();
      Section(table, name + "[]", path, i);
      if (!table.contains("name")) Say(table.source(), path, "has no \"name\"");
      for (const Item& item : Schema()) {  // what a table leaves out has its default
        const std::string_view at = item.path;
        if (at.substr(0, at.rfind('.')) != name + "[]" || item.absent[0] == '\0') continue;
        if (At(document_.told, item.told, i) == nullptr) Put(document_.told, item.told, i, DefaultOf(item));
      }
    }
  }

  void Section(const toml::table& table, const std::string& section, const std::string& path,
               std::size_t index) {
    for (const auto& [key, node] : table) {
      const std::string name(key.str()), full = fmt::format("{}.{}", path, name);
      const Item* item = Find(fmt::format("{}.{}", section, name));
      if (item == nullptr) {
        Unknown(key.source(), full, name, names_.at(section));
        continue;
      }
      const auto told = ToTold(*item, ToJson(node));
      if (!told) {
        std::string had = ToJson(node).is_null() ? KindOf(node) : ToJson(node).dump();
        Say(node.source(), full, fmt::format("{}; expected {}", Excerpt(had), Expected(*item)));
        continue;
      }
      document_.places[full] = PlaceOf(node.source());
      Put(document_.told, item->told, index, *told);
    }
  }

  Document& document_;
  const std::string& file_;
  std::map<std::string, std::vector<std::string>> names_;  // by section
};

// "a.b[].c" as steps; the step "[]" is the index.
std::vector<std::string> Steps(std::string_view told) {
  std::vector<std::string> steps;
  while (!told.empty()) {
    const std::size_t dot = told.find('.');
    std::string_view step = told.substr(0, dot);
    const bool list = step.ends_with("[]");
    if (list) step.remove_suffix(2);
    steps.emplace_back(step);
    if (list) steps.emplace_back("[]");
    told.remove_prefix(dot == std::string_view::npos ? told.size() : dot + 1);
  }
  return steps;
}

}  // namespace

const json* At(const json& root, std::string_view told, std::size_t index) {
  const json* at = &root;
  for (const std::string& step : Steps(told)) {
    if (step == "[]") {
      if (!at->is_array() || index >= at->size()) return nullptr;
      at = &(*at)[index];
    } else {
      if (!at->is_object()) return nullptr;
      const auto it = at->find(step);
      if (it == at->end()) return nullptr;
      at = &*it;
    }
  }
  return at->is_null() ? nullptr : at;
}

void Put(json& root, std::string_view told, std::size_t index, json value) {
  json* at = &root;
  for (const std::string& step : Steps(told)) {
    if (step == "[]") {
      if (!at->is_array()) *at = json::array();
      while (at->size() <= index) at->push_back(nullptr);
      at = &(*at)[index];
    } else {
      at = &(*at)[step];
    }
  }
  *at = std::move(value);
}

std::string ToText(const Fault& fault) {
  std::string text = fault.file;
  if (fault.at.line > 0)
    text += fmt::format("{}{}:{}", text.empty() ? "" : ":", fault.at.line, fault.at.column);
  if (!fault.path.empty()) text += (text.empty() ? "" : ": ") + fault.path;
  return text + (text.empty() ? "" : ": ") + fault.what;
}

std::string ToText(const std::vector<Fault>& faults, std::string_view between) {
  std::string text;
  for (const Fault& fault : faults) {
    if (!text.empty()) text += between;
    text += ToText(fault);
  }
  return text;
}

Document ReadDocument(std::string_view text, const std::string& file) {
  Document document;
  if (text.size() > kMostDocument) {
    document.faults.push_back(
        {file, {}, "", fmt::format("{} bytes; expected at most {}", text.size(), kMostDocument)});
    return document;
  }
  try {
    const toml::table root = toml::parse(text);
    Reader(document, file).Read(root);
  } catch (const toml::parse_error& error) {
    document.faults.push_back({file, PlaceOf(error.source()), "", std::string(error.description())});
    return document;
  } catch (const std::logic_error& error) {
    document.faults.push_back({file, {}, "", "is no TOML"});
    return document;
  }
  // The node's own zone is a name here and a number for the platform.
  if (json* zone = const_cast<json*>(At(document.told, "settings.zone", 0)); zone != nullptr) {
    const json* zones = At(document.told, "settings.zones", 0);
    json number;
    for (std::size_t i = 0; zones != nullptr && i < zones->size(); ++i) {
      if ((*zones)[i] == *zone) number = i;
    }
    if (number.is_null()) {
      document.faults.push_back({file, document.places["delivery.zone"], "delivery.zone",
                                 fmt::format("{}; expected the name of one of [[zones]]", zone->dump())});
    }
    *zone = number;
  }
  return document;
}

}  // namespace indigosaddle::config
