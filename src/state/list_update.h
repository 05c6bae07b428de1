// News of discovery's list, taken into what is listed: what the module hears of it, and whose idle
// connections close. A part of src/state/reducer.cpp.
#pragma once

#include <map>
#include <utility>

#include "state/effects.h"
#include "state/events.h"

namespace indigosaddle::state {

using ListedById = std::map<EndpointId, ListedEndpoint>;

// The module knows an endpoint by its destination as well: one that has another now is gone from the old one.
inline void AddGoneFromOldDestination(const ListedById& listed, const Endpoint& now, TellList& told) {
  const auto it = listed.find(now.id);
  if (it == listed.end() || it->second.endpoint.destination == now.destination) return;
  told.entries.push_back(it->second.endpoint);
  told.entries.back().state = EndpointState::kGone;
}

// Of an endpoint of which something unknown was said: it may have been that it drains.
inline void AddUnreadableAsDraining(ListedById& listed, const EndpointId& id, TellList& told) {
  const auto it = listed.find(id);
  if (it == listed.end()) return;
  it->second.endpoint.state = EndpointState::kDraining;
  told.entries.push_back(it->second.endpoint);
}

inline void ApplyListUpdate(ListedById& listed, const ListUpdate& news, Effects& effects) {
  TellList told{{}, news.whole};
  ListedById before = news.whole ? std::exchange(listed, {}) : ListedById();
  for (const ListedEndpoint& entry : news.entries) {
    AddGoneFromOldDestination(listed, entry.endpoint, told);
    told.entries.push_back(entry.endpoint);
    before.erase(entry.endpoint.id);
    if (entry.endpoint.state != EndpointState::kGone) {
      listed[entry.endpoint.id] = entry;
    } else if (auto node = listed.extract(entry.endpoint.id); !node.empty()) {
      before.insert(std::move(node));
    }
  }
  for (const EndpointId& id : news.unreadable) AddUnreadableAsDraining(listed, id, told);
  for (const auto& [id, gone] : before) effects.emplace_back(CloseIdle{id});
  effects.emplace_back(std::move(told));
}

}  // namespace indigosaddle::state
