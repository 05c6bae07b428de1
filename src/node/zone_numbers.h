// The numbers by which the module tells zones apart. Attempts at a message may be bound to the zone of its
// first run: two zones that are not known to be one have different numbers.
#pragma once

#include <map>
#include <string>

#include "brain.h"
#include "node/config.h"

namespace indigosaddle::node {

class ZoneNumbers {
 public:
  // Of a listed endpoint. A site that the settings do not have is a zone of its own; where the list names
  // none, so is the endpoint.
  int Of(const std::map<std::string, int>& zones, const std::string& site, const std::string& host) {
    if (const auto it = zones.find(site); it != zones.end()) return it->second;
    const auto [at, first] =
        site.empty() ? by_host_.try_emplace(host, lowest_ - 1) : by_site_.try_emplace(site, lowest_ - 1);
    if (first) --lowest_;
    return at->second;
  }

 private:
  int lowest_ = kUnknownZone;
  std::map<std::string, int> by_site_, by_host_;
};

}  // namespace indigosaddle::node
