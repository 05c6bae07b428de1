// Applies an update of discovery's list to the known endpoints: what the decision engine is told of it, and
// which endpoints' idle connections are closed. A part of src/state/reducer.cpp.
#pragma once

#include <map>
#include <utility>

#include "state/effects.h"
#include "state/events.h"

namespace indigosaddle::state {

// The known endpoints.
using EndpointsById = std::map<EndpointId, ListedEndpoint>;

// The decision engine keeps endpoints by destination: an endpoint that has another destination now is
// reported as gone from the old one first.
inline void AddGoneFromOldDestination(const EndpointsById& listed, const Endpoint& now,
                                      TellList& policy_update) {
  const auto it = listed.find(now.id);
  if (it == listed.end() || it->second.endpoint.destination == now.destination) return;
  policy_update.entries.push_back(it->second.endpoint);
  policy_update.entries.back().state = EndpointState::kGone;
}

// An endpoint whose entry could not be read counts as draining, which the entry may have said (rule 3:
// nothing new to a draining endpoint).
inline void AddUnreadableAsDraining(EndpointsById& listed, const EndpointId& id, TellList& policy_update) {
  const auto it = listed.find(id);
  if (it == listed.end()) return;
  it->second.endpoint.state = EndpointState::kDraining;
  policy_update.entries.push_back(it->second.endpoint);
}

// Changes `listed` and appends the effects.
inline void ApplyListUpdate(EndpointsById& listed, const ListUpdate& update, Effects& effects) {
  TellList policy_update{{}, update.whole};
  EndpointsById before = update.whole ? std::exchange(listed, {}) : EndpointsById();
  for (const ListedEndpoint& entry : update.entries) {
    AddGoneFromOldDestination(listed, entry.endpoint, policy_update);
    policy_update.entries.push_back(entry.endpoint);
    before.erase(entry.endpoint.id);
    if (entry.endpoint.state != EndpointState::kGone) {
      listed[entry.endpoint.id] = entry;
    } else if (auto removed = listed.extract(entry.endpoint.id); !removed.empty()) {
      before.insert(std::move(removed));
    }
  }
  for (const EndpointId& id : update.unreadable) AddUnreadableAsDraining(listed, id, policy_update);
  for (const auto& [id, gone] : before) effects.emplace_back(CloseIdle{id});
  effects.emplace_back(std::move(policy_update));
}

}  // namespace indigosaddle::state
