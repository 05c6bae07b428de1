// Log events of the fleet: members, leases and sites. Part of the table in src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kText, kCount> kFleetMember{
    "fleet.member",
    kInfo,
    "The state of another node, as this node sees it, changed.",
    {{{"member", "name of the other node"},
      {"state", "alive, suspect, dead or left"},
      {"start", "start number of its process"}}}};
inline constexpr Event<kText, kCount> kFleetConnectivity{
    "fleet.standing",
    kWarn,
    "This node is connected to a majority of the voters, is cut off from it, or is joining.",
    {{{"standing", "connected, cut off or joining"},
      {"present", "number of nodes seen, including this one"}}}};
inline constexpr Event<kText, kText, kCount> kFleetLease{
    "fleet.lease",
    kInfo,
    "This node began or stopped holding a lease.",
    {{{"lease", "name of the lease"},
      {"state", "held or not held"},
      {"epoch", "number that rises with each new holder"}}}};
inline constexpr Event<kText, kText, kCount> kFleetSite{
    "fleet.site",
    kWarn,
    "The nodes agreed on a new state of a whole site.",
    {{{"site", "name of the site"},
      {"state", "up, thin, no-list, no-clients, lost or returning"},
      {"losses", "times that the site was lost within the last hour"}}}};
inline constexpr Event<kCount> kFleetSenders{"fleet.senders",
                                             kInfo,
                                             "The number of senders that share the limits has changed.",
                                             {{{"senders", "number of senders in the fleet"}}}};
inline constexpr Event<kText> kFleetProblem{
    "fleet.trouble",
    kError,
    "A problem of the fleet needs an operator's attention; the node goes on serving.",
    {{{"reason", "what is wrong"}}}};

}  // namespace indigosaddle::base
