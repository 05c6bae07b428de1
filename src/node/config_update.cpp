// Applies the values of a new configuration that may change while the program runs, and finds those that
// need a restart.
#include <nlohmann/json.hpp>

#include "node/config.h"

namespace indigosaddle::node {
namespace {

// Updates a list by name. Items keep their numbers: an item that `next_names` does not have keeps its place
// without a name, and new items are appended.
template <typename Item>
void UpdateList(std::map<std::string, int>& names, std::vector<Item>& items,
                const std::map<std::string, int>& next_names, const std::vector<Item>& next_items) {
  std::map<std::string, int> numbers;
  for (const auto& [name, number] : next_names) {
    const Item& item = next_items[static_cast<std::size_t>(number)];
    if (const auto it = names.find(name); it != names.end()) {
      numbers.emplace(name, it->second);
      items[static_cast<std::size_t>(it->second)] = item;
    } else {
      numbers.emplace(name, static_cast<int>(items.size()));
      items.push_back(item);
    }
  }
  names = std::move(numbers);
}

}  // namespace

Config WithRuntimeChanges(const Config& running, const Config& next) {
  Config changed = running;
  changed.discovery = next.discovery;
  changed.client_connections = next.client_connections;
  changed.client_memory_share = next.client_memory_share;
  changed.log = next.log;
  changed.guard_rules = next.guard_rules;
  Settings& settings = changed.settings;
  const Settings& next_settings = next.settings;
  settings.senders = next_settings.senders;
  settings.call_slots = next_settings.call_slots;
  settings.max_open = next_settings.max_open;
  settings.max_attempts = next_settings.max_attempts;
  settings.max_retry_after = next_settings.max_retry_after;
  settings.price_cross_zone = next_settings.price_cross_zone;
  settings.price_handshake = next_settings.price_handshake;
  settings.weights = next_settings.weights;
  settings.retry_advice = next_settings.retry_advice;
  settings.over_share_worth = next_settings.over_share_worth;
  UpdateList(changed.classes, settings.classes, next.classes, next_settings.classes);
  UpdateList(changed.tenants, settings.tenants, next.tenants, next_settings.tenants);
  changed.shown = next.shown;
  // A value that changes only with a restart is shown as it is in the running process.
  for (config::ShownValue& shown : changed.shown) {
    if (shown.takes_effect != config::TakesEffect::kAtRestart) continue;
    for (const config::ShownValue& old : running.shown) {
      if (old.path == shown.path && shown.path.find('[') == std::string::npos) shown = old;
    }
  }
  return changed;
}

std::vector<std::string> PathsNeedingRestart(const Config& running, const Config& next) {
  std::vector<std::string> paths;
  for (const config::Difference& difference : config::Differences(running.shown, next.shown)) {
    if (difference.takes_effect == config::TakesEffect::kAtRestart && difference.path != "node.seed") {
      paths.push_back(difference.path);
    }
  }
  return paths;
}

}  // namespace indigosaddle::node
