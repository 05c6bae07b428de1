// What of a new configuration may come into force while the program runs.
#include <nlohmann/json.hpp>

#include "node/config.h"

namespace indigosaddle::node {
namespace {

// Items of a list keep their numbers; those that went keep their place without a name. What is new follows.
template <typename Item>
void CarryList(std::map<std::string, int>& names, std::vector<Item>& items,
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

Config Changed(const Config& running, const Config& next) {
  Config changed = running;
  changed.discovery = next.discovery;
  changed.client_connections = next.client_connections;
  changed.client_memory_share = next.client_memory_share;
  changed.log = next.log;
  changed.change = next.change;
  Settings& s = changed.settings;
  const Settings& n = next.settings;
  s.senders = n.senders;
  s.call_slots = n.call_slots;
  s.max_open = n.max_open;
  s.max_attempts = n.max_attempts;
  s.max_retry_after = n.max_retry_after;
  s.price_cross_zone = n.price_cross_zone;
  s.price_handshake = n.price_handshake;
  s.weights = n.weights;
  s.retry_advice = n.retry_advice;
  s.over_share_worth = n.over_share_worth;
  CarryList(changed.classes, s.classes, next.classes, n.classes);
  CarryList(changed.tenants, s.tenants, next.tenants, n.tenants);
  changed.shown = next.shown;
  for (config::ShownValue& shown : changed.shown) {  // what a restart alone changes shows as it runs
    if (shown.takes_effect != config::TakesEffect::kAtRestart) continue;
    for (const config::ShownValue& old : running.shown) {
      if (old.path == shown.path && shown.path.find('[') == std::string::npos) shown = old;
    }
  }
  return changed;
}

std::vector<std::string> NeedRestart(const Config& running, const Config& next) {
  std::vector<std::string> paths;
  for (const config::Difference& difference : config::Differences(running.shown, next.shown)) {
    if (difference.takes_effect == config::TakesEffect::kAtRestart && difference.path != "node.seed") {
      paths.push_back(difference.path);
    }
  }
  return paths;
}

}  // namespace indigosaddle::node
