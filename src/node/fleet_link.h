// Connects the node with the fleet: starts the fleet's thread, logs its events, and answers from its latest
// snapshot. Made only if the operator's file configures a fleet.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/log.h"
#include "fleet/agent.h"
#include "fleet/published.h"
#include "net/loop.h"
#include "net/wakeup.h"
#include "node/config.h"

namespace indigosaddle::node {

// Used on the node's loop only. The loop and the log must outlive it.
class FleetLink {
 public:
  // `on_change` is called on the loop after a snapshot was published. The fleet's events are logged before
  // each such call; an event that comes without a new snapshot waits for the next one.
  FleetLink(net::Loop& loop, const Config& config, base::Log& log, std::function<void()> on_change);

  // Starts the fleet's thread. Returns the reason for a failure; empty on success.
  std::string Start() { return agent_.Start(); }

  // Number of senders that share the limits. `configured` is the number in the configuration; it is returned
  // as it is if the fleet does not count the senders.
  std::size_t Senders(std::size_t configured) const;
  // Zones whose site was lost since the last call: their endpoints may come back cold.
  std::vector<std::string> NewlyLostZones();
  // Passes on what this node observes itself: whether its watch on discovery stands, and whether clients are
  // connected.
  void SetLocalConditions(bool discovery_up, bool clients_connected) {
    agent_.SetLocalConditions(discovery_up, clients_connected);
  }
  // The "fleet" part of the node's status.
  nlohmann::json Json() const;

 private:
  // Logs the agent's events and calls on_change_.
  void OnWakeup();

  base::Log& log_;
  const bool counts_senders_;
  const std::map<std::string, std::string> zone_by_site_;
  std::map<std::string, fleet::SiteStatus> last_sites_;  // as of the last call of NewlyLostZones
  const std::function<void()> on_change_;
  fleet::PublishedSnapshot published_;
  fleet::PublishedSnapshot::Reader reader_;
  net::Wakeup wakeup_;
  // Last, so that its thread ends before the members that it uses are destroyed.
  fleet::Agent agent_;
};

}  // namespace indigosaddle::node
