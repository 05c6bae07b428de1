// Compares a new platform's document with the one in force.
#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "config/fault_list.h"
#include "config/platform_document.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr const char* kClassesPath = "settings.classes";
constexpr const char* kTurnGapPath = "settings.guarantees.turnGap";
constexpr const char* kSequential = "sequential";
constexpr const char* kKeyedEffect = "idempotency_key";

// Whether the platform may leave out this value of a class. Absent, it means false or 0.
bool IsOptionalClassValue(const std::string& name) { return name == kSequential || name == "aimStretch"; }

// Whether the value says the same as its absence.
bool IsFalseOrZero(const json& value) { return value == json(false) || value == json(0); }

// Whether messages of any class of the document are delivered in order.
bool HasSequentialClass(const json& document) {
  const json* classes = ValueAt(document, kClassesPath, 0);
  return classes != nullptr && std::any_of(classes->begin(), classes->end(), [](const json& table) {
           return table.is_object() && table.value(kSequential, json()) == json(true);
         });
}

const char* DescribeType(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_boolean()) return "true or false";
  return value.is_number() ? "a number" : "nothing";
}

const json* FindTableByName(const json& list, const json& name) {
  for (const json& table : list)
    if (table.is_object() && table.value("name", json()) == name) return &table;
  return nullptr;
}

bool IsKeyed(const json& table) { return table.value("effect", json()) == json(kKeyedEffect); }

// Whether a class is not keyed and has none of the values that only keyed classes need. A class that has one
// of the two must have both.
bool HasNoKeyValues(const json& table) {
  return !IsKeyed(table) && !table.contains("group") && !table.contains("keyTtl");
}

// Whether a class is no longer keyed and its key's values were removed with that. `old` is null for a new
// class.
bool LostKeyValues(const json& old, const json& next) {
  return HasNoKeyValues(next) && (old.is_null() || IsKeyed(old));
}

bool IsKeyValue(const std::string& name) { return name == "group" || name == "keyTtl"; }

// Collects the values of the old document that the new one lacks or has as another type.
class Comparison {
 public:
  Comparison(const json& next, const std::string& file)
      : next_has_sequential_class_(HasSequentialClass(next)), faults_(file) {}

  void CompareObjects(const json& old, const json& next, const std::string& path,
                      bool lost_key_values = false) {
    for (const auto& [name, value] : old.items()) {
      if (value.is_null() || (lost_key_values && IsKeyValue(name))) continue;
      const std::string value_path = path.empty() ? name : fmt::format("{}.{}", path, name);
      const auto it = next.find(name);
      if (it == next.end() || it->is_null()) {
        if (!MayBeLeftOut(value, name, value_path))
          AddFault(value_path, "is missing; the settings in force have it");
      } else {
        CompareValues(value, *it, value_path);
      }
    }
  }
  std::vector<ConfigFault> TakeFaults() { return faults_.Take(); }

 private:
  void AddFault(const std::string& path, std::string problem) { faults_.Add(path, std::move(problem)); }

  // Whether the new document says the same without this value of the old one: the platform may leave the
  // value out, and its absence changes nothing that the new document still has.
  bool MayBeLeftOut(const json& value, const std::string& name, const std::string& path) const {
    if (path == kTurnGapPath) return !next_has_sequential_class_ || IsFalseOrZero(value);
    return path.starts_with(kClassesPath) && IsOptionalClassValue(name) && IsFalseOrZero(value);
  }

  bool CheckSameType(const json& old, const json& next, const std::string& path) {
    if (std::string_view(DescribeType(old)) == DescribeType(next)) return true;
    AddFault(path, fmt::format("is {}; expected {}, as in the settings in force", DescribeType(next),
                               DescribeType(old)));
    return false;
  }
  void CompareValues(const json& old, const json& next, const std::string& path) {
    if (!CheckSameType(old, next, path)) return;
    if (old.is_object() && path != "known") CompareObjects(old, next, path);
    if (old.is_array()) CompareLists(old, next, path);
  }
  void CompareLists(const json& old, const json& next, const std::string& path) {
    if (old.empty()) return;
    const bool classes = path == kClassesPath;
    const json common = old.front().is_object() ? CommonValues(old, classes) : json();
    for (std::size_t i = 0; i < next.size(); ++i) {
      const std::string entry_path = fmt::format("{}[{}]", path, i);
      if (!CheckSameType(old.front(), next[i], entry_path) || !next[i].is_object()) continue;
      const json* same_name = FindTableByName(old, next[i].value("name", json()));
      const bool lost_key_values =
          classes && LostKeyValues(same_name != nullptr ? *same_name : json(), next[i]);
      CompareObjects(same_name != nullptr ? *same_name : common, next[i], entry_path, lost_key_values);
    }
  }
  // The values that every table of a list must have, since all tables have them and they are not optional. A
  // class without key values does not count against those: it does not show that keyed classes may lack them.
  static json CommonValues(const json& tables, bool classes) {
    json common = tables.front();
    for (const json& table : tables) {
      if (!table.is_object()) continue;
      for (auto it = common.begin(); it != common.end();) {
        const bool has = table.contains(it.key()) || (IsKeyValue(it.key()) && HasNoKeyValues(table));
        const bool optional = classes && IsOptionalClassValue(it.key());
        it = has && !optional ? std::next(it) : common.erase(it);
      }
    }
    return common;
  }

  const bool next_has_sequential_class_;
  ConfigFaultList faults_;
};

}  // namespace

std::vector<ConfigFault> FindMissingValues(const json& in_force, const json& next, const std::string& file) {
  Comparison comparison(next, file);
  if (in_force.is_object() && next.is_object()) comparison.CompareObjects(in_force, next, "");
  return comparison.TakeFaults();
}

}  // namespace indigosaddle::config
