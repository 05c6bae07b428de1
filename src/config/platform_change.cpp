// A new document of the platform's held against the one in force.
#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "config/fault_list.h"
#include "config/platform_document.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr const char* kClasses = "settings.classes";
constexpr const char* kKeyed = "idempotency_key";

const char* KindOf(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_boolean()) return "true or false";
  return value.is_number() ? "a number" : "nothing";
}

const json* Named(const json& list, const json& name) {
  for (const json& table : list)
    if (table.is_object() && table.value("name", json()) == name) return &table;
  return nullptr;
}

bool IsKeyed(const json& table) { return table.value("effect", json()) == json(kKeyed); }

// A class that is not keyed may leave out what binds keyed ones alone, but not a part of it.
bool HasNoKey(const json& table) {
  return !IsKeyed(table) && !table.contains("group") && !table.contains("keyTtl");
}

// Whether a class has ceased to be keyed, and its key's values went with it. `old` is null for a new class.
bool LostItsKey(const json& old, const json& next) {
  return HasNoKey(next) && (old.is_null() || IsKeyed(old));
}

bool OfTheKey(const std::string& name) { return name == "group" || name == "keyTtl"; }

class Comparison {
 public:
  explicit Comparison(const std::string& file) : faults_(file) {}

  void Objects(const json& old, const json& next, const std::string& path, bool lost_its_key = false) {
    for (const auto& [name, value] : old.items()) {
      if (value.is_null() || (lost_its_key && OfTheKey(name))) continue;
      const std::string at = path.empty() ? name : fmt::format("{}.{}", path, name);
      const auto it = next.find(name);
      if (it == next.end() || it->is_null()) {
        Say(at, "is missing; the settings in force have it");
      } else {
        Values(value, *it, at);
      }
    }
  }
  std::vector<Fault> TakeFaults() { return faults_.Take(); }

 private:
  void Say(const std::string& path, std::string what) { faults_.Add(path, std::move(what)); }

  bool SameKind(const json& old, const json& next, const std::string& path) {
    if (std::string_view(KindOf(old)) == KindOf(next)) return true;
    Say(path, fmt::format("is {}; expected {}, as in the settings in force", KindOf(next), KindOf(old)));
    return false;
  }
  void Values(const json& old, const json& next, const std::string& path) {
    if (!SameKind(old, next, path)) return;
    if (old.is_object() && path != "known") Objects(old, next, path);
    if (old.is_array()) Lists(old, next, path);
  }
  void Lists(const json& old, const json& next, const std::string& path) {
    if (old.empty()) return;
    const bool classes = path == kClasses;
    const json common = old.front().is_object() ? InCommon(old) : json();
    for (std::size_t i = 0; i < next.size(); ++i) {
      const std::string at = fmt::format("{}[{}]", path, i);
      if (!SameKind(old.front(), next[i], at) || !next[i].is_object()) continue;
      const json* namesake = Named(old, next[i].value("name", json()));
      const bool lost_its_key = classes && LostItsKey(namesake != nullptr ? *namesake : json(), next[i]);
      Objects(namesake != nullptr ? *namesake : common, next[i], at, lost_its_key);
    }
  }
  // What all tables of a list have; a class without a key says nothing of what keyed ones must have.
  static json InCommon(const json& tables) {
    json common = tables.front();
    for (const json& table : tables) {
      if (!table.is_object()) continue;
      for (auto it = common.begin(); it != common.end();) {
        const bool has = table.contains(it.key()) || (OfTheKey(it.key()) && HasNoKey(table));
        it = has ? std::next(it) : common.erase(it);
      }
    }
    return common;
  }

  FaultList faults_;
};

}  // namespace

std::vector<Fault> MissingSince(const json& in_force, const json& next, const std::string& file) {
  Comparison comparison(file);
  if (in_force.is_object() && next.is_object()) comparison.Objects(in_force, next, "");
  return comparison.TakeFaults();
}

}  // namespace indigosaddle::config
