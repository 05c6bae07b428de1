#include "fleet/fleet_events.h"

#include <map>

namespace indigosaddle::fleet {

std::vector<FleetEvent> EventsBetween(const Snapshot& before, const Snapshot& after) {
  using Kind = FleetEvent::Kind;
  std::vector<FleetEvent> events;
  if (before.connectivity != after.connectivity)
    events.push_back({Kind::kConnectivity, NameOf(after.connectivity), "", after.present});
  std::map<std::string, MemberView> old;
  for (const MemberView& member : before.members) old.emplace(member.name, member);
  for (const MemberView& member : after.members) {
    const auto it = old.find(member.name);
    const bool same = it != old.end() && it->second.known == member.known &&
                      it->second.liveness == member.liveness && it->second.start == member.start;
    if (member.known && !same)
      events.push_back({Kind::kMember, member.name, NameOf(member.liveness), member.start});
  }
  for (const auto& [resource, lease] : after.leases) {
    const auto it = before.leases.find(resource);
    if (it == before.leases.end() || it->second.epoch != lease.epoch)
      events.push_back({Kind::kLease, resource, "held", lease.epoch});
  }
  for (const auto& [resource, lease] : before.leases)
    if (!after.leases.contains(resource)) events.push_back({Kind::kLease, resource, "not held", lease.epoch});
  for (const auto& [site, status] : after.sites) {
    const auto it = before.sites.find(site);
    const bool was_up = it == before.sites.end() && status.state == SiteState::kUp;
    if (!was_up && (it == before.sites.end() || it->second.state != status.state))
      events.push_back({Kind::kSite, site, NameOf(status.state), static_cast<std::uint64_t>(status.losses)});
  }
  if (after.superseded && !before.superseded) {
    events.push_back(
        {Kind::kProblem, "a later process has this node's name; this one holds no leases any more", "", 0});
  }
  if (after.files_differ && !before.files_differ) {
    events.push_back(
        {Kind::kProblem, "a member's file names other voters; no lease is granted until they agree", "", 0});
  }
  return events;
}

}  // namespace indigosaddle::fleet
