// The part of FleetMember that concerns sites: a member's own observations, and the coordinator's decisions
// from the observations of all.
#include <algorithm>

#include "fleet/fleet.h"

namespace indigosaddle::fleet {
namespace {

std::string ObservationKey(const std::string& member) { return "view/" + member; }
std::string SiteKey(const std::string& site) { return "site/" + site; }

}  // namespace

void FleetMember::SetLocalConditions(bool discovery_up, bool clients_connected) {
  has_discovery_ = discovery_up;
  has_clients_ = clients_connected;
}

// Writes this member's observation as a fact whose epoch is its start number: nobody else writes it, and the
// fact of a later process overrides that of an earlier one.
void FleetMember::PublishObservation(Micros now) {
  MemberObservation observation;
  observation.in_contact = in_contact_ && InQuorumContact(now);
  observation.has_discovery = has_discovery_;
  observation.has_clients = has_clients_;
  std::map<std::string, int> seen;
  for (const auto& [name, member] : members_.all()) {
    if (member.known) seen.try_emplace(member.peer.site, 0).first->second += member.present();
  }
  for (const auto& [site, count] : seen)
    if (count == 0 && site != site_) observation.unseen_sites.push_back(site);
  WriteFact(ObservationKey(options_.name), observation.Serialize(), members_.start());
}

// Counts the observations of all members, for every site.
std::map<std::string, SiteTally> FleetMember::TallySites() const {
  std::map<std::string, SiteTally> tallies;
  for (const Peer& peer : options_.roster) ++tallies[peer.site].members;
  const auto count = [&](const std::string& name, const std::string& at, bool present) {
    if (!present) return;
    ++tallies[at].present;
    const Fact* fact = facts_.Find(ObservationKey(name));
    const auto observation = fact != nullptr ? MemberObservation::Parse(fact->value) : std::nullopt;
    if (!observation) return;
    tallies[at].without_discovery += !observation->has_discovery;
    tallies[at].without_clients += !observation->has_clients;
    if (!observation->in_contact) return;
    for (auto& [site, tally] : tallies) {
      if (site == at) {
        ++tally.in_contact;
        continue;
      }
      ++tally.others;
      tally.accusers += std::find(observation->unseen_sites.begin(), observation->unseen_sites.end(), site) !=
                        observation->unseen_sites.end();
    }
  };
  count(options_.name, site_, true);
  for (const auto& [name, member] : members_.all()) count(name, member.peer.site, member.present());
  return tallies;
}

void FleetMember::CoordinateSites(std::uint64_t epoch, Micros now) {
  for (const auto& [site, tally] : TallySites()) {
    const Fact* held = facts_.Find(SiteKey(site));
    if (held != nullptr && held->epoch > epoch) continue;
    const auto agreed = held != nullptr ? SiteStatus::Parse(held->value) : std::nullopt;
    WriteFact(SiteKey(site), site_monitor_.Decide(site, tally, agreed, now).Serialize(), epoch);
  }
}

// Writes a fact where its value is new: one of this member's own, or one under a lease that it holds. The
// version counts within the epoch.
void FleetMember::WriteFact(const std::string& key, const std::string& value, std::uint64_t epoch) {
  const Fact* held = facts_.Find(key);
  Fact fact{key, options_.name, value, epoch, 1};
  if (held != nullptr && held->epoch > epoch) return;  // a later holder has written it: this lease is over
  if (held != nullptr && held->epoch == epoch) {
    if (held->value == value) return;
    fact.version = held->version + 1;
  }
  if (facts_.Merge(fact)) gossip_.Add(fact);
}

std::map<std::string, SiteStatus> FleetMember::SitesAgreed() const {
  std::map<std::string, SiteStatus> sites;
  for (const Peer& peer : options_.roster) {
    const Fact* fact = facts_.Find(SiteKey(peer.site));
    if (const auto status = fact != nullptr ? SiteStatus::Parse(fact->value) : std::nullopt)
      sites[peer.site] = *status;
  }
  return sites;
}

}  // namespace indigosaddle::fleet
