// The node's side of what processes share: starts the fleet's thread, says in the log what it tells, and
// answers from its latest snapshot. Made only where the operator's file asks for it.
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

class FleetLink {
 public:
  // `changed` is called on the loop when a snapshot has come.
  FleetLink(net::Loop& loop, const Config& config, base::Log& log, std::function<void()> changed);

  std::string Start() { return agent_.Start(); }  // why it can't; empty: it runs

  // The senders that share limits, where the file says `by_file`.
  std::size_t Senders(std::size_t by_file) const;
  // Zones whose site has become lost since the last call: their endpoints may come back cold.
  std::vector<std::string> NewlyLostZones();
  // What this node sees for itself: whether discovery's watch stands, whether clients are connected.
  void Tell(bool list, bool clients) { agent_.SetLocalConditions(list, clients); }
  nlohmann::json Json() const;

 private:
  void Heard();

  base::Log& log_;
  const bool counts_senders_;
  const std::map<std::string, std::string> zones_;  // by site
  std::map<std::string, fleet::SiteStatus> sites_;  // as last looked at
  const std::function<void()> changed_;
  fleet::PublishedSnapshot published_;
  fleet::PublishedSnapshot::Reader reader_;
  net::Wakeup wakeup_;
  fleet::Agent agent_;  // its thread ends before what it tells goes
};

}  // namespace indigosaddle::node
