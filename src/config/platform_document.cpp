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

constexpr std::size_t kMostText = 4096;
constexpr double kLeastTime = 1e-3, kLeastSize = 1e-6;  // what the node counts in: microseconds, bytes
constexpr std::size_t kMostEntries = 1000;              // of one list, also of plain values

// A list of tables of the document.
struct TableList {
  std::string_view path;
  bool required;
};
constexpr TableList kTableLists[] = {{"settings.classes", true}, {"settings.orgs", false}};

// Lists of plain values that stand beside one another: one entry each for every entry of the first.
struct SideBySide {
  const char* list;
  const char* names;
};
constexpr SideBySide kSideBySide[] = {{"settings.familyInfo.perCall", "settings.machineTypes"},
                                      {"settings.familyInfo.separateRoutes", "settings.machineTypes"},
                                      {"settings.familyInfo.zoneFee", "settings.zones"}};

std::string Most(const Item& item) {
  constexpr double kMegabyte = 1e6;
  return fmt::format("{}", item.type == Type::kBytes ? item.most / kMegabyte : item.most);
}

// The least value over 0 that is not 0 to the node.
double LeastOverZero(const Item& item) {
  if (item.type == Type::kDuration) return kLeastTime;
  return item.type == Type::kBytes ? kLeastSize : 0;
}

std::string ExpectedByPlatform(const Item& item, bool over_zero) {
  switch (item.type) {
    case Type::kText: return "a text in quotes";
    case Type::kAddress: return "\"ip:port\"";
    case Type::kFlag: return "true or false";
    case Type::kWord: {
      std::string words;
      EachWord(item.words, [&](std::string_view, std::string_view theirs) {
        words += fmt::format("{}\"{}\"", words.empty() ? "" : " or ", theirs);
      });
      return words;
    }
    default: break;
  }
  const char* kind = item.type == Type::kInteger ? "a whole number" : "a number";
  const double least = over_zero ? LeastOverZero(item) : 0;
  return fmt::format("{} {} 0{}, at most {}", kind, over_zero ? "over" : "from",
                     least > 0 ? fmt::format(", at least {}", least) : "", Most(item));
}

bool IsWord(const Item& item, const json& value) {
  bool known = false;
  EachWord(item.words, [&](std::string_view, std::string_view theirs) {
    known |= value.is_string() && value.get_ref<const std::string&>() == theirs;
  });
  return known;
}

bool IsNumber(const Item& item, const json& value, bool over_zero) {
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  const double most = item.type == Type::kBytes ? item.most / 1e6 : item.most;
  const double least = over_zero ? LeastOverZero(item) : 0;
  if (!(over_zero ? number > 0 : number >= 0) || number < least || number > most) return false;
  return item.type != Type::kInteger || std::trunc(number) == number;
}

bool IsGood(const Item& item, const json& value, bool over_zero) {
  switch (item.type) {
    case Type::kText: {
      const auto* text = value.get_ptr<const std::string*>();
      return text != nullptr && !text->empty() && text->size() <= kMostText;
    }
    case Type::kAddress: return value.is_string();  // its form is judged where addresses are known
    case Type::kFlag: return value.is_boolean();
    case Type::kWord: return IsWord(item, value);
    default: return IsNumber(item, value, over_zero);
  }
}

class Checker {
 public:
  Checker(const json& document, const std::string& file, Below below)
      : document_(document), faults_(file), alone_(below == Below::kNothing) {}

  std::vector<Fault> Check() {
    for (const Item& item : PlatformSchema()) {
      const std::string_view told = item.told;
      if (told.ends_with("[]")) {
        PlainList(item, std::string(told.substr(0, told.size() - 2)));
      } else if (told.find("[]") == std::string_view::npos) {
        const bool required = alone_ && item.platform.presence == Presence::kRequired;
        if (const json* value = Lookup(document_, "", told, required)) Value(item, *value, item.told);
      }
    }
    for (const TableList& list : kTableLists) Tables(list);
    for (const SideBySide& pair : kSideBySide) Lengths(pair);
    ZoneInRange();
    return faults_.Take();
  }

 private:
  void Say(const std::string& path, std::string what) {
    if (faults_.full() || said_.insert(path).second) faults_.Add(path, std::move(what));
  }

  // The value at a dotted path below `root`; null where it is absent, which is a fault where it is required.
  // The fault names the outermost thing that is absent or no object.
  const json* Lookup(const json& root, const std::string& base, std::string_view dotted, bool required) {
    const json* at = &root;
    std::string path = base;
    while (!dotted.empty()) {
      if (!at->is_object()) {
        Say(path, "expected an object");
        return nullptr;
      }
      const std::size_t dot = dotted.find('.');
      const std::string step(dotted.substr(0, dot));
      dotted.remove_prefix(dot == std::string_view::npos ? dotted.size() : dot + 1);
      path += (path.empty() ? "" : ".") + step;
      const auto it = at->find(step);
      if (it == at->end() || it->is_null()) {
        if (required) Say(path, "is missing");
        return nullptr;
      }
      at = &*it;
    }
    return at;
  }

  void Value(const Item& item, const json& value, const std::string& path) {
    Value(item, value, path, item.platform.over_zero);
  }
  void Value(const Item& item, const json& value, const std::string& path, bool over_zero) {
    if (IsGood(item, value, over_zero)) return;
    Say(path, fmt::format("{}; expected {}", Excerpt(value.dump()), ExpectedByPlatform(item, over_zero)));
  }

  void PlainList(const Item& item, const std::string& path) {
    const bool required = alone_ && item.platform.presence == Presence::kRequired;
    const json* list = Lookup(document_, "", path, required);
    if (list == nullptr) return;
    if (!list->is_array() || list->size() > kMostEntries)
      return Say(path, fmt::format("expected a list of at most {} values", kMostEntries));
    for (std::size_t i = 0; i < list->size(); ++i) Value(item, (*list)[i], fmt::format("{}[{}]", path, i));
    if (item.type == Type::kText) NamedTwice(path, path + "[]");
  }

  void Tables(const TableList& of) {
    const std::string path(of.path);
    const json* list = Lookup(document_, "", path, alone_ && of.required);
    if (list == nullptr) return;
    if (!list->is_array() || list->size() > kMostEntries || (of.required && list->empty())) {
      return Say(path, fmt::format("expected a list of {} to {} objects", of.required ? 1 : 0, kMostEntries));
    }
    for (std::size_t i = 0; i < list->size(); ++i) Table(path, (*list)[i], i);
    NamedTwice(path, path + "[].name");
  }

  // What a table leaves out nothing else gives, whatever stands below the document.
  void Table(const std::string& list, const json& table, std::size_t index) {
    const std::string path = fmt::format("{}[{}]", list, index), prefix = list + "[].";
    const bool keyed = table.is_object() && table.value("effect", json()) == json("idempotency_key");
    for (const Item& item : PlatformSchema()) {
      const std::string_view told = item.told;
      if (!told.starts_with(prefix)) continue;
      const std::string name(told.substr(prefix.size()));
      const bool with_key = item.platform.presence == Presence::kOfKeyedClass;
      const bool required = item.platform.presence == Presence::kRequired || (with_key && keyed);
      const json* value = Lookup(table, path, name, required);
      const bool over_zero = item.platform.over_zero && (!with_key || keyed);
      if (value != nullptr) Value(item, *value, fmt::format("{}.{}", path, name), over_zero);
    }
  }

  void NamedTwice(const std::string& list, const std::string& names) {
    for (const std::size_t index : Repeated(document_, names)) {
      Say(fmt::format("{}[{}]", list, index),
          fmt::format("{} is named twice", At(document_, names, index)->dump()));
    }
  }

  void Lengths(const SideBySide& pair) {
    const json *list = At(document_, pair.list, 0), *names = At(document_, pair.names, 0);
    if (list == nullptr || names == nullptr || !list->is_array() || !names->is_array()) return;
    if (list->size() != names->size()) {
      Say(pair.list,
          fmt::format("{} entries; expected {}, as many as {} has", list->size(), names->size(), pair.names));
    }
  }

  void ZoneInRange() {
    const json *zone = At(document_, "settings.zone", 0), *zones = At(document_, "settings.zones", 0);
    if (zone == nullptr || zones == nullptr || !zone->is_number() || !zones->is_array()) return;
    if (zone->get<double>() >= static_cast<double>(zones->size()))
      Say("settings.zone", fmt::format("{}; expected the place of one of settings.zones", zone->dump()));
  }

  const json& document_;
  FaultList faults_;
  const bool alone_;
  std::set<std::string> said_;  // paths, each is said once
};

}  // namespace

std::vector<Fault> CheckPlatformDocument(const json& document, const std::string& file, Below below) {
  return Checker(document, file, below).Check();
}

}  // namespace indigosaddle::config
