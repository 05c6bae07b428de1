// Numbers by which the decision engine tells zones apart. Repeats of a message may be restricted to the zone
// of its first attempt, so zones that may differ never get the same number.
#pragma once

#include <map>
#include <string>

#include "brain.h"
#include "node/config.h"

namespace indigosaddle::node {

class ZoneNumbers {
 public:
  // The zone number of a listed endpoint. `zones` are the configured ones, by the site's name. A site that is
  // not configured is a zone of its own, and so is an endpoint for which the list names no site.
  int NumberFor(const std::map<std::string, int>& zones, const std::string& site, const std::string& host) {
    if (const auto it = zones.find(site); it != zones.end()) return it->second;
    const auto [at, first] =
        site.empty() ? by_host_.try_emplace(host, lowest_ - 1) : by_site_.try_emplace(site, lowest_ - 1);
    if (first) --lowest_;
    return at->second;
  }

 private:
  int lowest_ = kUnknownZone;  // the last number given
  std::map<std::string, int> by_site_, by_host_;
};

}  // namespace indigosaddle::node
