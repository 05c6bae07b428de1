// Settings that change while messages are in flight, and the rules that each message is checked against:
// those of its class when its client created it.
#pragma once

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak_record.h"

namespace indigosaddle::testing {

// The rules of one class.
struct SoakRules {
  std::string effect;
  milliseconds key_lifetime{0};
};

// The class rules of one node over time. Clients learn of a change with a delay.
class RuleTimeline {
 public:
  // Records the classes that became active at `changed_at`.
  void Add(Clock::time_point changed_at, const nlohmann::json& classes) {
    std::map<std::string, SoakRules> rules;
    for (const auto& class_settings : classes)
      rules[class_settings["name"]] = {
          class_settings["effect"], milliseconds(static_cast<int>(class_settings["keyTtl"].get<double>()))};
    entries_.push_back(
        {entries_.empty() ? Clock::time_point::min() : changed_at + kClientUpdateDelay, std::move(rules)});
  }
  // The rules that apply to a message created at that time; nothing if clients didn't know the class then.
  std::optional<SoakRules> At(const std::string& message_class, Clock::time_point created_at) const {
    const auto next = std::find_if(entries_.begin(), entries_.end(),
                                   [&](const Entry& entry) { return entry.from > created_at; });
    if (next == entries_.begin()) return std::nullopt;
    const auto& rules = std::prev(next)->rules;
    const auto it = rules.find(message_class);
    return it == rules.end() ? std::nullopt : std::optional(it->second);
  }

 private:
  static constexpr milliseconds kClientUpdateDelay{1200};
  struct Entry {
    Clock::time_point from;
    std::map<std::string, SoakRules> rules;
  };
  std::vector<Entry> entries_;
};

// Changes the settings of one node in ways that a seed selects.
class SettingsChanger {
 public:
  explicit SettingsChanger(std::uint64_t seed) : random_(seed) {}

  // Changes `config` into the next configuration, which may be the previous one again (an undo).
  void Change(nlohmann::json& config) {
    const nlohmann::json before = config["settings"];
    auto& classes = config["settings"]["classes"];
    switch (Draw(6)) {
      case 0:
      case 1: ChangingClass(classes)["effect"] = Effects()[static_cast<std::size_t>(Draw(2))]; break;
      case 2: ChangingClass(classes)["keyTtl"] = 1000.0 * (1 + 2 * Draw(2)); break;
      case 3: config["settings"]["caps"]["attemptsCap"] = 2 + Draw(10); break;
      case 4: ToggleTemporaryClass(classes); break;
      case 5: ChangingClass(classes)["deadline"] = 2000.0 + 1000.0 * Draw(8); break;
      default:
        if (!previous_settings_.is_null()) config["settings"] = previous_settings_;
    }
    previous_settings_ = before;
  }

 private:
  static const std::vector<std::string>& Effects() {
    static const std::vector<std::string> effects = {"read_like", "idempotency_key", "non_idempotent"};
    return effects;
  }
  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  static nlohmann::json& ChangingClass(nlohmann::json& classes) {
    for (auto& class_settings : classes)
      if (class_settings["name"] == kChangingClass) return class_settings;
    return classes.back();
  }
  void ToggleTemporaryClass(nlohmann::json& classes) {
    const auto existing = std::find_if(classes.begin(), classes.end(), [](const auto& class_settings) {
      return class_settings["name"] == kTemporaryClass;
    });
    if (existing != classes.end()) return void(classes.erase(existing));
    nlohmann::json temporary_class = ChangingClass(classes);
    temporary_class["name"] = kTemporaryClass;
    temporary_class["effect"] = Effects()[static_cast<std::size_t>(Draw(2))];
    classes.push_back(temporary_class);
  }

  std::mt19937_64 random_;
  nlohmann::json previous_settings_;
};

}  // namespace indigosaddle::testing
