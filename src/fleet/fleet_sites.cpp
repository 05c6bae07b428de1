// What a member sees of whole sites, and what the coordinator makes of all that is seen.
#include <algorithm>

#include "fleet/fleet.h"

namespace indigosaddle::fleet {
namespace {

std::string SightKey(const std::string& member) { return "view/" + member; }
std::string SiteKey(const std::string& site) { return "site/" + site; }

}  // namespace

void Fleet::SetLocalConditions(bool list, bool clients) { has_list_ = list, has_clients_ = clients; }

// Its own fact, under its own start number: nobody else writes it, and a later process goes before an
// earlier.
void Fleet::TellSight(Micros now) {
  MemberSight sight;
  sight.touch = touched_ && InTouch(now);
  sight.list = has_list_;
  sight.clients = has_clients_;
  std::map<std::string, int> seen;
  for (const auto& [name, member] : members_.all()) {
    if (member.known) seen.try_emplace(member.peer.site, 0).first->second += member.present();
  }
  for (const auto& [site, count] : seen)
    if (count == 0 && site != site_) sight.unseen.push_back(site);
  Write(SightKey(options_.name), sight.Text(), members_.start());
}

// Of every site, from one reading of each member's sight.
std::map<std::string, SiteReport> Fleet::Reports() const {
  std::map<std::string, SiteReport> reports;
  for (const Peer& peer : options_.roster) ++reports[peer.site].members;
  const auto count = [&](const std::string& name, const std::string& at, bool present) {
    if (!present) return;
    ++reports[at].present;
    const Fact* fact = facts_.Find(SightKey(name));
    const auto sight = fact != nullptr ? MemberSight::Parse(fact->value) : std::nullopt;
    if (!sight) return;
    reports[at].without_list += !sight->list;
    reports[at].without_clients += !sight->clients;
    if (!sight->touch) return;
    for (auto& [site, report] : reports) {
      if (site == at) {
        ++report.touch;
        continue;
      }
      ++report.others;
      report.accusers += std::find(sight->unseen.begin(), sight->unseen.end(), site) != sight->unseen.end();
    }
  };
  count(options_.name, site_, true);
  for (const auto& [name, member] : members_.all()) count(name, member.peer.site, member.present());
  return reports;
}

void Fleet::CoordinateSites(std::uint64_t epoch, Micros now) {
  for (const auto& [site, report] : Reports()) {
    const Fact* held = facts_.Find(SiteKey(site));
    if (held != nullptr && held->epoch > epoch) continue;
    const auto agreed = held != nullptr ? SiteStatus::Parse(held->value) : std::nullopt;
    Write(SiteKey(site), sites_.Decide(site, report, agreed, now).Text(), epoch);
  }
}

// A fact of this member's own, or under a lease that it holds, where it says something new. `version` counts
// within the epoch.
void Fleet::Write(const std::string& key, const std::string& value, std::uint64_t epoch) {
  const Fact* held = facts_.Find(key);
  Fact fact{key, options_.name, value, epoch, 1};
  if (held != nullptr && held->epoch > epoch) return;  // a later holder has written: this one is over
  if (held != nullptr && held->epoch == epoch) {
    if (held->value == value) return;
    fact.version = held->version + 1;
  }
  if (facts_.Merge(fact)) gossip_.Add(fact);
}

std::map<std::string, SiteStatus> Fleet::SitesAgreed() const {
  std::map<std::string, SiteStatus> sites;
  for (const Peer& peer : options_.roster) {
    const Fact* fact = facts_.Find(SiteKey(peer.site));
    if (const auto word = fact != nullptr ? SiteStatus::Parse(fact->value) : std::nullopt)
      sites[peer.site] = *word;
  }
  return sites;
}

}  // namespace indigosaddle::fleet
