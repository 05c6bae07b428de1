// Settings that change in flight, and what each message may be judged by: its class's rules as they were when
// its client wrote it.
#pragma once

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak_world.h"

namespace indigosaddle::testing {

struct SoakRules {
  std::string effect;
  milliseconds key_life{0};
};

// What a node's classes said over time. Clients learn of a change some time behind it.
class RuleTimeline {
 public:
  void Set(Clock::time_point at, const nlohmann::json& classes) {
    std::map<std::string, SoakRules> rules;
    for (const auto& one : classes)
      rules[one["name"]] = {one["effect"], milliseconds(static_cast<int>(one["keyTtl"].get<double>()))};
    entries_.push_back({entries_.empty() ? Clock::time_point::min() : at + kClientsLearn, std::move(rules)});
  }
  // Nothing: its clients know no such class then.
  std::optional<SoakRules> At(const std::string& message_class, Clock::time_point born) const {
    const auto next =
        std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) { return entry.from > born; });
    if (next == entries_.begin()) return std::nullopt;
    const auto& rules = std::prev(next)->rules;
    const auto it = rules.find(message_class);
    return it == rules.end() ? std::nullopt : std::optional(it->second);
  }

 private:
  static constexpr milliseconds kClientsLearn{1200};
  struct Entry {
    Clock::time_point from;
    std::map<std::string, SoakRules> rules;
  };
  std::vector<Entry> entries_;
};

// Changes that a seed draws, on the configuration of one node.
class SettingsChanger {
 public:
  explicit SettingsChanger(std::uint64_t seed) : random_(seed) {}

  // What the file is to say next. May be what it said before: an undo.
  void Change(nlohmann::json& config) {
    const nlohmann::json before = config["settings"];
    auto& classes = config["settings"]["classes"];
    switch (Draw(6)) {
      case 0:
      case 1: Shifting(classes)["effect"] = Effects()[static_cast<std::size_t>(Draw(2))]; break;
      case 2: Shifting(classes)["keyTtl"] = 1000.0 * (1 + 2 * Draw(2)); break;
      case 3: config["settings"]["caps"]["attemptsCap"] = 2 + Draw(10); break;
      case 4: GuestComesOrGoes(classes); break;
      case 5: Shifting(classes)["deadline"] = 2000.0 + 1000.0 * Draw(8); break;
      default:
        if (!undo_.is_null()) config["settings"] = undo_;
    }
    undo_ = before;
  }

 private:
  static const std::vector<std::string>& Effects() {
    static const std::vector<std::string> effects = {"read_like", "idempotency_key", "non_idempotent"};
    return effects;
  }
  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  static nlohmann::json& Shifting(nlohmann::json& classes) {
    for (auto& one : classes)
      if (one["name"] == kShiftingClass) return one;
    return classes.back();
  }
  void GuestComesOrGoes(nlohmann::json& classes) {
    const auto at = std::find_if(classes.begin(), classes.end(),
                                 [](const auto& one) { return one["name"] == kGuestClass; });
    if (at != classes.end()) return void(classes.erase(at));
    nlohmann::json guest = Shifting(classes);
    guest["name"] = kGuestClass;
    guest["effect"] = Effects()[static_cast<std::size_t>(Draw(2))];
    classes.push_back(guest);
  }

  std::mt19937_64 random_;
  nlohmann::json undo_;
};

}  // namespace indigosaddle::testing
