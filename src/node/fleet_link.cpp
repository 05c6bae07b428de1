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
  options.pace = config.fleet.pace;
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
      changed_(std::move(changed)),
      reader_(published_),
      wakeup_(loop, [this] { Heard(); }),
      agent_(OptionsOf(config), published_, [this] { wakeup_.Ask(); }) {}

std::size_t FleetLink::Senders(std::size_t by_file) const {
  if (!counts_senders_) return by_file;
  const fleet::Published::Reader::Look look(reader_);
  return fleet::SendersToUse(look.get(), by_file);
}

void FleetLink::Heard() {
  for (const fleet::Note& note : agent_.TakeNotes()) {
    switch (note.kind) {
      case fleet::Note::Kind::kMember:
        log_.Write(base::kFleetMember, note.what, note.now, note.number);
        break;
      case fleet::Note::Kind::kStanding: log_.Write(base::kFleetStanding, note.what, note.number); break;
      case fleet::Note::Kind::kLease: log_.Write(base::kFleetLease, note.what, note.now, note.number); break;
      case fleet::Note::Kind::kTrouble: log_.Write(base::kFleetTrouble, note.what); break;
    }
  }
  changed_();
}

nlohmann::json FleetLink::Json() const {
  using nlohmann::json;
  const fleet::Published::Reader::Look look(reader_);
  const fleet::Snapshot& now = look.get();
  json members = json::object(), leases = json::object(), facts = json::object();
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
  for (const auto& [key, fact] : now.facts)
    facts[key] = {
        {"value", fact.value}, {"epoch", fact.epoch}, {"version", fact.version}, {"owner", fact.owner}};
  const fleet::Counters& counters = agent_.counters();
  return {{"standing", fleet::NameOf(now.standing)},
          {"present", now.present},
          {"senders", now.senders ? json(*now.senders) : json()},
          {"superseded", now.superseded},
          {"files_differ", now.files_differ},
          {"strain", now.strain},
          {"members", members},
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
