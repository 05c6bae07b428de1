#include "node/fleet_link.h"

#include <cstdlib>
#include <utility>

#include "base/log_events.h"

namespace indigosaddle::node {
namespace {

fleet::AgentOptions OptionsOf(const Config& config) {
  fleet::AgentOptions options;
  options.name = config.name;
  options.listen = config.fleet.listen;
  options.folder = config.state_folder;
  options.roster = config.fleet.peers;
  options.timing = config.fleet.pace;
  options.sites = config.fleet.sites;
  options.seed = config.settings.seed;
  // For tests of clocks that run fast or slow.
  if (const char* rate = std::getenv("INDIGOSADDLE_TEST_CLOCK_RATE"); rate != nullptr)
    options.clock_rate = std::strtod(rate, nullptr);
  return options;
}

}  // namespace

FleetLink::FleetLink(net::Loop& loop, const Config& config, base::Log& log, std::function<void()> changed)
    : log_(log),
      counts_senders_(config.fleet.count_senders),
      zones_(config.fleet.zones),
      changed_(std::move(changed)),
      reader_(published_),
      wakeup_(loop, [this] { Heard(); }),
      agent_(OptionsOf(config), published_, [this] { wakeup_.Ask(); }) {}

std::size_t FleetLink::Senders(std::size_t by_file) const {
  if (!counts_senders_) return by_file;
  const fleet::PublishedSnapshot::Reader::ReadSection look(reader_);
  return fleet::SendersToUse(look.get(), by_file);
}

std::vector<std::string> FleetLink::NewlyLostZones() {
  const fleet::PublishedSnapshot::Reader::ReadSection look(reader_);
  std::vector<std::string> lost;
  for (const auto& [site, word] : look.get().sites) {
    const auto zone = zones_.find(site);
    // A further loss that came and went between two looks shows in their number.
    const bool new_loss = word.losses > sites_[site].losses;
    if (zone != zones_.end() && new_loss) lost.push_back(zone->second);
  }
  sites_ = look.get().sites;
  return lost;
}

void FleetLink::Heard() {
  for (const fleet::FleetEvent& note : agent_.TakeEvents()) {
    switch (note.kind) {
      case fleet::FleetEvent::Kind::kMember:
        log_.Write(base::kFleetMember, note.subject, note.state, note.value);
        break;
      case fleet::FleetEvent::Kind::kConnectivity:
        log_.Write(base::kFleetConnectivity, note.subject, note.value);
        break;
      case fleet::FleetEvent::Kind::kLease:
        log_.Write(base::kFleetLease, note.subject, note.state, note.value);
        break;
      case fleet::FleetEvent::Kind::kSite:
        log_.Write(base::kFleetSite, note.subject, note.state, note.value);
        break;
      case fleet::FleetEvent::Kind::kTrouble: log_.Write(base::kFleetProblem, note.subject); break;
    }
  }
  changed_();
}

nlohmann::json FleetLink::Json() const {
  using nlohmann::json;
  const fleet::PublishedSnapshot::Reader::ReadSection look(reader_);
  const fleet::Snapshot& now = look.get();
  json members = json::object(), leases = json::object(), facts = json::object(), sites = json::object();
  for (const auto& [site, word] : now.sites)
    sites[site] = {{"state", fleet::NameOf(word.state)}, {"losses", word.losses}};
  for (const fleet::MemberView& member : now.members) {
    members[member.name] = {{"site", member.site},
                            {"state", member.known ? fleet::NameOf(member.liveness) : "unknown"},
                            {"start", member.start}};
  }
  const Micros clock = agent_.clock().Now();
  for (const auto& [resource, lease] : now.leases) {
    if (clock < lease.until)
      leases[resource] = {{"epoch", lease.epoch}, {"left_ms", (lease.until - clock).count() / 1000}};
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
