#include "node/fleet_link.h"

#include <cstdlib>
#include <utility>

#include "base/log_events.h"

namespace indigosaddle::node {
namespace {

fleet::AgentOptions AgentOptionsOf(const Config& config) {
  fleet::AgentOptions options;
  options.name = config.name;
  options.listen = config.fleet.listen;
  options.folder = config.state_folder;
  options.roster = config.fleet.peers;
  options.timing = config.fleet.timing;
  options.sites = config.fleet.sites;
  options.seed = config.settings.seed;
  // For tests of clocks that run fast or slow.
  if (const char* rate = std::getenv("INDIGOSADDLE_TEST_CLOCK_RATE"); rate != nullptr)
    options.clock_rate = std::strtod(rate, nullptr);
  return options;
}

}  // namespace

FleetLink::FleetLink(net::Loop& loop, const Config& config, base::Log& log, std::function<void()> on_change)
    : log_(log),
      counts_senders_(config.fleet.count_senders),
      zone_by_site_(config.fleet.zone_by_site),
      on_change_(std::move(on_change)),
      reader_(published_),
      wakeup_(loop, [this] { OnWakeup(); }),
      agent_(AgentOptionsOf(config), published_, [this] { wakeup_.Request(); }) {}

std::size_t FleetLink::Senders(std::size_t configured) const {
  if (!counts_senders_) return configured;
  const fleet::PublishedSnapshot::Reader::ReadSection snapshot(reader_);
  return fleet::SendersToUse(snapshot.get(), configured);
}

std::vector<std::string> FleetLink::NewlyLostZones() {
  const fleet::PublishedSnapshot::Reader::ReadSection snapshot(reader_);
  std::vector<std::string> lost;
  for (const auto& [site, status] : snapshot.get().sites) {
    const auto zone = zone_by_site_.find(site);
    // The number of losses also shows a loss that began and ended between two calls.
    const bool new_loss = status.losses > last_sites_[site].losses;
    if (zone != zone_by_site_.end() && new_loss) lost.push_back(zone->second);
  }
  last_sites_ = snapshot.get().sites;
  return lost;
}

void FleetLink::OnWakeup() {
  for (const fleet::FleetEvent& event : agent_.TakeEvents()) {
    switch (event.kind) {
      case fleet::FleetEvent::Kind::kMember:
        log_.Write(base::kFleetMember, event.subject, event.state, event.value);
        break;
      case fleet::FleetEvent::Kind::kConnectivity:
        log_.Write(base::kFleetConnectivity, event.subject, event.value);
        break;
      case fleet::FleetEvent::Kind::kLease:
        log_.Write(base::kFleetLease, event.subject, event.state, event.value);
        break;
      case fleet::FleetEvent::Kind::kSite:
        log_.Write(base::kFleetSite, event.subject, event.state, event.value);
        break;
      case fleet::FleetEvent::Kind::kProblem: log_.Write(base::kFleetProblem, event.subject); break;
    }
  }
  on_change_();
}

nlohmann::json FleetLink::Json() const {
  using nlohmann::json;
  const fleet::PublishedSnapshot::Reader::ReadSection snapshot(reader_);
  const fleet::Snapshot& now = snapshot.get();
  json members = json::object(), leases = json::object(), facts = json::object(), sites = json::object();
  for (const auto& [site, status] : now.sites)
    sites[site] = {{"state", fleet::NameOf(status.state)}, {"losses", status.losses}};
  for (const fleet::MemberView& member : now.members) {
    members[member.name] = {{"site", member.site},
                            {"state", member.known ? fleet::NameOf(member.liveness) : "unknown"},
                            {"start", member.start}};
  }
  const Micros steady_now = agent_.clock().Now();
  for (const auto& [resource, lease] : now.leases) {
    if (steady_now < lease.until)
      leases[resource] = {{"epoch", lease.epoch}, {"left_ms", (lease.until - steady_now).count() / 1000}};
  }
  for (const auto& [key, fact] : now.facts) {
    facts[key] = {
        {"value", fact.value}, {"epoch", fact.epoch}, {"version", fact.version}, {"owner", fact.owner}};
  }
  const fleet::Counters& counters = agent_.counters();
  return {{"standing", fleet::NameOf(now.connectivity)},
          {"present", now.present},
          {"senders", now.senders ? json(*now.senders) : json()},
          {"superseded", now.superseded},
          {"files_differ", now.files_differ},
          {"strain", now.health_penalty},
          {"members", members},
          {"sites", sites},
          {"leases", leases},
          {"facts", facts},
          {"packets",
           {{"in", counters.packets_in.load()},
            {"out", counters.packets_out.load()},
            {"unreadable", counters.unreadable.load()}}},
          {"bytes", {{"in", counters.bytes_in.load()}, {"out", counters.bytes_out.load()}}},
          {"exchanges", {{"done", counters.exchanges.load()}, {"failed", counters.exchanges_failed.load()}}}};
}

}  // namespace indigosaddle::node
