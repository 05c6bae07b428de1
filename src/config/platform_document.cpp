#include "config/platform_document.h"

#include <fmt/format.h>

#include <cmath>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "config/fault_list.h"
#include "config/schema.h"
#include "config/units.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes = 4096;
// The smallest duration and size that the node can count: a microsecond in milliseconds, a byte in megabytes.
constexpr double kMinDuration = 1e-3, kMinSize = 1e-6;
constexpr std::size_t kMaxEntries = 1000;  // in one list, of tables or of plain values

// A list of tables in the document.
struct TableList {
  std::string_view path;
  bool required;
};
constexpr TableList kTableLists[] = {{"settings.classes", true}, {"settings.orgs", false}};

// A list of plain values that must have one entry for each entry of the list of names.
struct ParallelList {
  const char* list;
  const char* names;
};
constexpr ParallelList kParallelLists[] = {{"settings.familyInfo.perCall", "settings.machineTypes"},
                                           {"settings.familyInfo.separateRoutes", "settings.machineTypes"},
                                           {"settings.familyInfo.zoneFee", "settings.zones"}};

std::string MaxInPlatformUnit(const Setting& setting) {
  constexpr double kMegabyte = 1e6;
  return fmt::format("{}", setting.type == ValueType::kBytes ? setting.max / kMegabyte : setting.max);
}

// The smallest positive value that does not become 0 in the node's own unit.
double MinPositive(const Setting& setting) {
  if (setting.type == ValueType::kDuration) return kMinDuration;
  return setting.type == ValueType::kBytes ? kMinSize : 0;
}

std::string DescribeExpectedByPlatform(const Setting& setting, bool must_be_positive) {
  switch (setting.type) {
    case ValueType::kText: return "a text in quotes";
    case ValueType::kAddress: return "\"ip:port\"";
    case ValueType::kFlag: return "true or false";
    case ValueType::kChoice: {
      std::string choices;
      ForEachChoice(setting.choices, [&](std::string_view, std::string_view platform_word) {
        choices += fmt::format("{}\"{}\"", choices.empty() ? "" : " or ", platform_word);
      });
      return choices;
    }
    default: break;
  }
  const char* kind = setting.type == ValueType::kInteger ? "a whole number" : "a number";
  const double min = must_be_positive ? MinPositive(setting) : 0;
  return fmt::format("{} {} 0{}, at most {}", kind, must_be_positive ? "over" : "from",
                     min > 0 ? fmt::format(", at least {}", min) : "", MaxInPlatformUnit(setting));
}

bool IsChoice(const Setting& setting, const json& value) {
  bool known = false;
  ForEachChoice(setting.choices, [&](std::string_view, std::string_view platform_word) {
    known |= value.is_string() && value.get_ref<const std::string&>() == platform_word;
  });
  return known;
}

bool IsNumber(const Setting& setting, const json& value, bool must_be_positive) {
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  const double max = setting.type == ValueType::kBytes ? setting.max / 1e6 : setting.max;
  const double min = must_be_positive ? MinPositive(setting) : 0;
  if (!(must_be_positive ? number > 0 : number >= 0) || number < min || number > max) return false;
  return setting.type != ValueType::kInteger || std::trunc(number) == number;
}

bool IsValid(const Setting& setting, const json& value, bool must_be_positive) {
  switch (setting.type) {
    case ValueType::kText: {
      const auto* text = value.get_ptr<const std::string*>();
      return text != nullptr && !text->empty() && text->size() <= kMaxTextBytes;
    }
    case ValueType::kAddress: return value.is_string();  // src/node parses the address
    case ValueType::kFlag: return value.is_boolean();
    case ValueType::kChoice: return IsChoice(setting, value);
    default: return IsNumber(setting, value, must_be_positive);
  }
}

// Collects the faults of one platform's document, at most one for each path.
class Checker {
 public:
  Checker(const json& document, const std::string& file, BaseLayer base)
      : document_(document), faults_(file), complete_(base == BaseLayer::kNone) {}

  std::vector<ConfigFault> Check() {
    for (const Setting& setting : PlatformSchema()) {
      const std::string_view path = setting.platform_path;
      if (path.ends_with("[]")) {
        CheckPlainList(setting, std::string(path.substr(0, path.size() - 2)));
      } else if (path.find("[]") == std::string_view::npos) {
        const bool required = complete_ && setting.platform_rule.presence == Presence::kRequired;
        if (const json* value = Lookup(document_, "", path, required))
          CheckValue(setting, *value, setting.platform_path);
      }
    }
    for (const TableList& list : kTableLists) CheckTables(list);
    for (const ParallelList& list : kParallelLists) CheckLength(list);
    CheckZone();
    return faults_.Take();
  }

 private:
  void AddFault(const std::string& path, std::string problem) {
    if (faults_.full() || paths_with_fault_.insert(path).second) faults_.Add(path, std::move(problem));
  }

  // The value at a dotted path below `root`, whose own path is `root_path`. Null where it is absent, which is
  // a fault if it is required. The fault names the first step that is absent or is not an object.
  const json* Lookup(const json& root, const std::string& root_path, std::string_view dotted_path,
                     bool required) {
    const json* value = &root;
    std::string path = root_path;
    while (!dotted_path.empty()) {
      if (!value->is_object()) {
        AddFault(path, "expected an object");
        return nullptr;
      }
      const std::size_t dot = dotted_path.find('.');
      const std::string step(dotted_path.substr(0, dot));
      dotted_path.remove_prefix(dot == std::string_view::npos ? dotted_path.size() : dot + 1);
      path += (path.empty() ? "" : ".") + step;
      const auto it = value->find(step);
      if (it == value->end() || it->is_null()) {
        if (required) AddFault(path, "is missing");
        return nullptr;
      }
      value = &*it;
    }
    return value;
  }

  void CheckValue(const Setting& setting, const json& value, const std::string& path) {
    CheckValue(setting, value, path, setting.platform_rule.must_be_positive);
  }
  void CheckValue(const Setting& setting, const json& value, const std::string& path, bool must_be_positive) {
    if (IsValid(setting, value, must_be_positive)) return;
    AddFault(path, fmt::format("{}; expected {}", Excerpt(value.dump()),
                               DescribeExpectedByPlatform(setting, must_be_positive)));
  }

  void CheckPlainList(const Setting& setting, const std::string& path) {
    const bool required = complete_ && setting.platform_rule.presence == Presence::kRequired;
    const json* list = Lookup(document_, "", path, required);
    if (list == nullptr) return;
    if (!list->is_array() || list->size() > kMaxEntries)
      return AddFault(path, fmt::format("expected a list of at most {} values", kMaxEntries));
    for (std::size_t i = 0; i < list->size(); ++i)
      CheckValue(setting, (*list)[i], fmt::format("{}[{}]", path, i));
    if (setting.type == ValueType::kText) CheckNamesUnique(path, path + "[]");
  }

  void CheckTables(const TableList& expected) {
    const std::string path(expected.path);
    const json* list = Lookup(document_, "", path, complete_ && expected.required);
    if (list == nullptr) return;
    if (!list->is_array() || list->size() > kMaxEntries || (expected.required && list->empty())) {
      return AddFault(
          path, fmt::format("expected a list of {} to {} objects", expected.required ? 1 : 0, kMaxEntries));
    }
    for (std::size_t i = 0; i < list->size(); ++i) CheckTable(path, (*list)[i], i);
    CheckNamesUnique(path, path + "[].name");
  }

  // A table must have all its required values, with an operator's file as well: lists are not merged, so no
  // other source gives what a table leaves out.
  void CheckTable(const std::string& list, const json& table, std::size_t index) {
    const std::string path = fmt::format("{}[{}]", list, index), prefix = list + "[].";
    const bool keyed = table.is_object() && table.value("effect", json()) == json("idempotency_key");
    for (const Setting& setting : PlatformSchema()) {
      const std::string_view platform_path = setting.platform_path;
      if (!platform_path.starts_with(prefix)) continue;
      const std::string name(platform_path.substr(prefix.size()));
      const bool for_keyed = setting.platform_rule.presence == Presence::kRequiredIfKeyed;
      const bool required = setting.platform_rule.presence == Presence::kRequired || (for_keyed && keyed);
      const json* value = Lookup(table, path, name, required);
      const bool must_be_positive = setting.platform_rule.must_be_positive && (!for_keyed || keyed);
      if (value != nullptr) CheckValue(setting, *value, fmt::format("{}.{}", path, name), must_be_positive);
    }
  }

  void CheckNamesUnique(const std::string& list, const std::string& name_path) {
    for (const std::size_t index : FindRepeatedNames(document_, name_path)) {
      AddFault(fmt::format("{}[{}]", list, index),
               fmt::format("{} is named twice", ValueAt(document_, name_path, index)->dump()));
    }
  }

  void CheckLength(const ParallelList& parallel) {
    const json *list = ValueAt(document_, parallel.list, 0), *names = ValueAt(document_, parallel.names, 0);
    if (list == nullptr || names == nullptr || !list->is_array() || !names->is_array()) return;
    if (list->size() != names->size()) {
      AddFault(parallel.list, fmt::format("{} entries; expected {}, as many as {} has", list->size(),
                                          names->size(), parallel.names));
    }
  }

  void CheckZone() {
    const json *zone = ValueAt(document_, "settings.zone", 0),
               *zones = ValueAt(document_, "settings.zones", 0);
    if (zone == nullptr || zones == nullptr || !zone->is_number() || !zones->is_array()) return;
    if (zone->get<double>() >= static_cast<double>(zones->size())) {
      AddFault("settings.zone", fmt::format("{}; expected the place of one of settings.zones", zone->dump()));
    }
  }

  const json& document_;
  ConfigFaultList faults_;
  const bool complete_;  // the document must be complete by itself
  std::set<std::string> paths_with_fault_;
};

}  // namespace

std::vector<ConfigFault> CheckPlatformDocument(const json& document, const std::string& file,
                                               BaseLayer base) {
  return Checker(document, file, base).Check();
}

}  // namespace indigosaddle::config
