// The schema's rows for the fleet: what nodes share. The platform's JSON has no names for them, so the
// platform can't switch them on.
#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum ValueType;
constexpr double kHour = 3600e3;  // durations are in milliseconds
constexpr auto kAtRestart = TakesEffect::kAtRestart;

}  // namespace

const std::vector<Setting>& FleetRows() {
  static const std::vector<Setting> rows = {
      {"fleet.listen", "operator.fleet.listen", kAddress, 0, 0, "", kAtRestart, "",
       "Address on which this node receives from the other nodes, as ip:port, over UDP and TCP. Left out: "
       "the node shares nothing.",
       "Set it together with [[peers]], on a network that only the fleet's machines can reach: the traffic "
       "is not signed."},
      {"fleet.probe_every", "operator.fleet.probe_every", kDuration, 20, kHour, "1s", kAtRestart, "",
       "How often a node pings one of the other nodes.",
       "A shorter interval detects a dead node sooner, but sends more packets. Use the same value on all "
       "nodes."},
      {"fleet.probe_timeout", "operator.fleet.probe_timeout", kDuration, 5, kHour, "300ms", kAtRestart, "",
       "How long a ping may take before other nodes are asked to ping the same node as well.",
       "Set it above the longest usual round trip between two nodes."},
      {"fleet.exchange_every", "operator.fleet.exchange_every", kDuration, 100, kHour, "30s", kAtRestart, "",
       "How often a node compares everything it knows of the fleet with one of the other nodes.",
       "Shorten it where the network loses many packets."},
      {"fleet.lease", "operator.fleet.lease", kDuration, 100, kHour, "10s", kAtRestart, "",
       "How long a lease is valid without renewal. After this time, what a lost node held is taken over.",
       "A shorter lease is taken over sooner, but a node that stalls for that long loses its lease. Use the "
       "same value on all nodes."},
      {"fleet.clock_drift", "operator.fleet.clock_drift", kNumber, 0, 0.2, "0.01", kAtRestart, "",
       "Largest rate error of a machine's steady clock, as a fraction. Holders of a lease stop earlier by "
       "twice this fraction.",
       "Raise it for machines whose clocks are known to be worse. Too low a value can give one lease to two "
       "nodes."},
      {"fleet.count_senders", "operator.fleet.count_senders", kFlag, 0, 0, "false", kAtRestart, "",
       "Whether the number of nodes that the fleet agrees on replaces delivery.senders.",
       "Set it once all nodes of the fleet are in [[peers]]. While no number is agreed, delivery.senders is "
       "used."},
      {"fleet.site_agree", "operator.fleet.site_agree", kNumber, 0.5, 1, "0.66", kAtRestart, "",
       "Fraction of the nodes at other sites that must have no contact with any node of a site before the "
       "site counts as lost.",
       "Raise it where single links between sites fail often. Use the same value on all nodes."},
      {"fleet.site_hold", "operator.fleet.site_hold", kDuration, 100, kHour, "30s", kAtRestart, "",
       "How long all nodes must have had contact with a lost site again before it counts as up. Each further "
       "loss within the hour doubles it.",
       "Lengthen it where sites come back unsteadily."},
      {"fleet.site_hold_most", "operator.fleet.site_hold_most", kDuration, 100, kHour, "10m", kAtRestart, "",
       "Upper limit of the doubling of fleet.site_hold.", "Change it together with fleet.site_hold."},
      {"sites[].name", "operator.sites[].name", kText, 1, 64, "", kAtRestart, "",
       "Name of a site, as in [[peers]].",
       "Add one table for each site whose endpoints are in a zone of their own."},
      {"sites[].zone", "operator.sites[].zone", kText, 1, 64, "", kAtRestart, "",
       "Zone of the site's endpoints, one of [[zones]]. Once the site is lost, all nodes treat these "
       "endpoints as cold.",
       "Set it where a site's nodes and endpoints fail together."},
      {"peers[].name", "operator.peers[].name", kText, 1, 64, "", kAtRestart, "",
       "Name of a node, as in its node.name.",
       "Add one table for each node of the fleet, this one included. Use the same tables on all nodes."},
      {"peers[].site", "operator.peers[].site", kText, 1, 64, "main", kAtRestart, "",
       "Site at which the node runs.", "Give nodes that fail together the same site."},
      {"peers[].address", "operator.peers[].address", kAddress, 0, 0, "", kAtRestart, "",
       "Address at which the node receives from the others: its fleet.listen as reachable from this node.",
       "Change it when the node moves."},
      {"peers[].votes", "operator.peers[].votes", kFlag, 0, 0, "true", kAtRestart, "",
       "Whether the node votes on leases. Three or five voters at different sites are enough.",
       "Change it only while all voters are stopped: while their files differ, no lease is granted."},
  };
  return rows;
}

}  // namespace indigosaddle::config
