#include "config/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr double kHour = 3600e3, kDay = 24 * kHour;  // durations are in milliseconds
constexpr double kMany = 1e6, kMebi = 1024.0 * 1024;
constexpr double kMegabyte = 1e6;  // the platform's unit of sizes
constexpr auto kRun = Change::kRunning;
constexpr auto kStart = Change::kRestart;

struct Unit {
  const char* name;
  double factor;
};
constexpr std::array<Unit, 5> kTimes = {{{"us", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", kHour}}};
constexpr std::array<Unit, 7> kSizes = {
    {{"B", 1}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"KiB", 1024}, {"MiB", kMebi}, {"GiB", 1024 * kMebi}}};

// "250ms" with one of `units`, as a number of base units.
template <typename Units>
std::optional<double> WithUnit(std::string_view text, const Units& units) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  std::string_view unit(stop, static_cast<std::size_t>(end - stop));
  if (unit.starts_with(' ')) unit.remove_prefix(1);
  for (const Unit& known : units) {
    if (unit == known.name) return value * known.factor;
  }
  return std::nullopt;
}

// The largest unit in which the value is a whole number, else the smallest.
template <typename Units>
std::string InUnit(double value, const Units& units) {
  if (value == 0) return units.size() == kTimes.size() ? "0ms" : "0B";
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    const double count = value / unit.factor;
    if (value > 0 && count >= 1 && std::abs(count - std::round(count)) < 1e-9 && unit.factor > best->factor) {
      best = &unit;
    }
  }
  return fmt::format("{}{}", std::round(value / best->factor * 1e6) / 1e6, best->name);
}

template <typename Visit>
void EachWord(const char* words, Visit&& visit) {
  std::string_view rest = words;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('|'));
    const std::size_t middle = pair.find('=');
    visit(pair.substr(0, middle), middle == std::string_view::npos ? pair : pair.substr(middle + 1));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
}

std::string WordList(const char* words) {
  std::string list;
  EachWord(words, [&](std::string_view ours, std::string_view) {
    list += fmt::format("{}\"{}\"", list.empty() ? "" : " or ", ours);
  });
  return list;
}

std::string TypeName(Type type) {
  switch (type) {
    case Type::kText: return "text";
    case Type::kAddress: return "address";
    case Type::kWord: return "word";
    case Type::kFlag: return "true or false";
    case Type::kInteger: return "whole number";
    case Type::kNumber: return "number";
    case Type::kDuration: return "duration";
    case Type::kBytes: return "size";
  }
  return "?";
}

}  // namespace

const std::vector<Item>& Schema() {
  using enum Type;
  static const std::vector<Item> items = {
      // ---- node
      {"node.name", "name", kText, 1, 64, "", kStart, "", "The node's name, in its log and in `status`.",
       "Give each node its own; it stays the same over restarts."},
      {"node.listen", "listen", kAddress, 0, 0, "", kStart, "", "Where clients connect, as ip:port.",
       "When the machine's address changes. Port 0 takes one that the kernel gives."},
      {"node.discovery", "discovery", kAddress, 0, 0, "", kRun, "",
       "Where the list of endpoints comes from and notices go, as ip:port.",
       "When discovery moves: the node leaves the old address at once."},
      {"node.state", "state", kText, 1, 4096, "", kStart, "",
       "The folder that lasts: journal, generations, control socket.",
       "Never while messages are owed: another folder knows nothing of them."},
      {"node.control", "control", kAddress, 0, 0, "", kStart, "",
       "The operators' HTTP address, as ip:port: /admin/health, /admin/stats, /admin/quiesce, /admin/resume.",
       "Set it where a platform checks health or fetches the figures; leave it out for none."},
      {"node.seed", "seed", kText, 1, 16, "", kStart, "", "Seed of random choices, up to 16 hex digits.",
       "Leave it out: each start then draws one. Set it to repeat a run."},
      // ---- limits
      {"limits.memory", "limits.memory_mb", kBytes, 16 * kMebi, 1e12, "192MB", kStart, "",
       "Memory that the machine gives the node.", "When the machine or its share changes."},
      {"limits.descriptors", "limits.sockets", kInteger, 64, kMany, "1024", kStart, "",
       "File descriptors that the node may hold; 32 are kept for itself.",
       "With the system's own limit. Clients get three fifths of the rest, calls two."},
      {"limits.disk", "limits.disk_mb", kBytes, 64 * 1024, 1e12, "64MB", kStart, "",
       "Most that the state folder may hold.",
       "When -BUSY comes with a large journal in the report: what is owed may fill 45% of it."},
      {"limits.client_connections", "operator.limits.client_connections", kInteger, 0, kMany, "0", kRun, "",
       "Most connections of clients; 0: three fifths of the descriptors, which is also the most that is "
       "used.",
       "Lower it when one front takes places that others need. Connections that stand are not cut."},
      {"limits.client_memory_share", "operator.limits.client_memory_share", kNumber, 0.01, 0.5, "0.125", kRun,
       "", "Part of the memory that unfinished commands of all clients may take together.",
       "Raise it when usual clients see \"too much is being sent at once\"."},
      // ---- delivery
      {"delivery.senders", "settings.balancers", kInteger, 1, 100000, "1", kRun, "",
       "How many nodes send to the same destinations. Minimum and step of each rate are divided by it.",
       "Whenever nodes are added or taken away: too low a count overdrives every limit."},
      {"delivery.call_slots", "settings.familyInfo.callSlots", kInteger, 0, kMany, "0", kRun, "",
       "Calls that may be out at once; 0: not limited. One lane takes at most half.",
       "Raise it when messages wait though destinations answer fast. A lower count lets calls in flight "
       "end."},
      {"delivery.holding_room", "settings.caps.maxOpen", kInteger, 0, 1e7, "0", kRun, "",
       "Messages held at once; 0: not limited. Past 95% the module hands back what promises least.",
       "Raise it before an expected outage, with memory and disk in mind. A smaller one hands back at once."},
      {"delivery.max_attempts", "settings.caps.attemptsCap", kInteger, 0, 1000, "0", kRun, "",
       "Attempts at one message; 0: not limited. A message past a lower count ends at once.",
       "Lower it when partners complain of repeats."},
      {"delivery.max_retry_after", "settings.caps.maxRetryAfter", kDuration, 0, kHour, "0ms", kRun, "",
       "The longest wait that a refusal tells a client.", "To what clients honour; more is not heeded."},
      {"delivery.retry_advice", "settings.caps.retryAfter", kFlag, 0, 0, "true", kRun, "",
       "Whether a refusal tells a client when to come back.",
       "false where clients never see it; then leave max_retry_after out."},
      {"delivery.weights", "settings.weightKind", kWord, 0, 0, "none", kRun,
       "none=off|nominal=nominal|rough=rough",
       "What the list's share says: nothing, the calls a second that a destination takes from all senders, "
       "or the same half too high or too low.",
       "As discovery fills it in. It bounds what a returning destination gets where answers tell no limit."},
      {"delivery.connection_price", "settings.prices.handshake", kNumber, 0, kMany, "0", kRun, "",
       "Price of a new connection, in worth; a connection is kept where it is likely to be used within 100 s "
       "x this. 0: all are kept.",
       "Over 0 where many nodes share partners that take few connections; higher keeps longer."},
      {"delivery.connect_timeout", "settings.caps.dialTimeout", kDuration, 0, kHour, "0ms", kStart, "",
       "How long a new connection may take; 0: as long as its call.", "When partners are far away."},
      {"delivery.idle_close", "settings.caps.idleClose", kDuration, 0, kDay, "0ms", kStart, "",
       "When the other side closes an idle connection; 0: never. The node closes it before that.",
       "To the shortest time of any machine on the way."},
      {"delivery.decay", "settings.familyInfo.decay", kWord, 0, 0, "even", kStart,
       "even=even|by_half=by_half", "How a message's worth falls after its aim.",
       "With the contract with clients only."},
      {"delivery.zone", "settings.zone", kText, 1, 64, "", kStart, "",
       "The zone of this node, one of [[zones]].", "Where the node stands."},
      {"delivery.cross_zone_price", "settings.prices.crossZone", kNumber, 0, kMany, "0", kRun, "",
       "Price of a call that crosses zones, in worth; over 0 the own zone is preferred.",
       "When crossing costs money."},
      {"delivery.over_share_worth", "settings.overShareWorth", kNumber, 0, 1, "1", kRun, "",
       "What a message past its tenant's share is worth, as a part of its class's worth.",
       "Lower it when one tenant's floods push others out."},
      {"delivery.tick", "settings.tick", kDuration, 0, 1000, "5ms", kStart, "", "Slack at deadlines.",
       "Leave it."},
      {"delivery.list", "settings.discovery", kWord, 0, 0, "pushed", kStart,
       "pushed=pushed|on_request=on_request", "Whether discovery sends changes by itself or is asked.",
       "As discovery works."},
      // ---- return of a destination
      {"return.cold_from", "settings.guarantees.coldFrom", kNumber, 0, 1, "0.25", kStart, "",
       "Part of its capacity that a destination has when it comes back.", "As agreed with partners."},
      {"return.cold", "settings.guarantees.cold", kDuration, 0, kHour, "10s", kStart, "",
       "How long a destination takes to warm up.", "As agreed with partners."},
      {"return.fall", "settings.guarantees.fall", kDuration, 1, kHour, "2s", kStart, "",
       "The span over which too much pushes a returning destination over.", "As agreed with partners."},
      {"return.overload_factor", "settings.guarantees.overloadFactor", kNumber, 0, 100, "2", kStart, "",
       "How much over its present capacity pushes it over.", "As agreed with partners."},
      {"return.must_ask_in", "settings.guarantees.mustAskIn", kDuration, 0, kHour, "0ms", kStart, "",
       "When an old list counts as told, where lists come on request.", "As discovery promises."},
      {"return.turn_gap", "settings.guarantees.turnGap", kDuration, 0, kHour, "0ms", kStart, "",
       "Rest of an order key after a call that may run on.", "As partners need."},
      // ---- lists
      {"classes[].name", "settings.classes[].name", kText, 1, 64, "", kRun, "", "Its name in a client's c=.",
       "A class may be added while running; it is removed only while no message of it is held."},
      {"classes[].effect", "settings.classes[].effect", kWord, 0, 0, "unsafe", kStart,
       "safe=read_like|keyed=idempotency_key|unsafe=non_idempotent",
       "Whether an attempt that may have run may be repeated: safe always, keyed while its key lives, unsafe "
       "never.",
       "Only with the partners' word: a wrong one doubles effects."},
      {"classes[].group", "settings.classes[].group", kWord, 0, 0, "cell", kStart,
       "all=all|zone=zone|cell=cell", "Which endpoints of a destination drop a repeat with the same key.",
       "As partners keep their keys."},
      {"classes[].key_ttl", "settings.classes[].keyTtl", kDuration, 0, 7 * kDay, "0ms", kStart, "",
       "How long partners remember a key.", "To the shortest time of any partner."},
      {"classes[].aim", "settings.classes[].aim", kDuration, 0, kDay, "0ms", kRun, "",
       "When its messages should be through.", "Shorter: more urgent than others, shorter time-outs."},
      {"classes[].deadline", "settings.classes[].deadline", kDuration, 0, kDay, "0ms", kRun, "",
       "How long clients give its messages.", "With the clients' own."},
      {"classes[].worth", "settings.classes[].worth", kNumber, 0, kMany, "0", kRun, "",
       "What one delivery in time is worth, beside other classes.", "Who goes first when not all can."},
      {"classes[].late_value", "settings.classes[].lateValue", kNumber, 0, 1, "0", kRun, "",
       "Part of the worth that is left at the deadline.", "0 where a late one is as good as none."},
      {"classes[].sequential", "settings.classes[].sequential", kFlag, 0, 0, "false", kStart, "",
       "Whether messages with one order key go one by one, in the order taken.",
       "Where order matters to partners."},
      {"tenants[].name", "settings.orgs[].name", kText, 1, 64, "", kRun, "", "Its name in a client's t=.",
       "A tenant may be added while running; it is removed only while no message of it is held."},
      {"tenants[].quota", "settings.orgs[].quotaRps", kNumber, 0, kMany, "0", kRun, "",
       "Messages a second over all nodes that count as its share; 0: no share is kept.",
       "When a tenant's contract changes."},
      {"kinds[].name", "settings.machineTypes[]", kText, 1, 64, "", kStart, "",
       "A kind of destination, as lists name it.", "When discovery names a new kind."},
      {"kinds[].separate_routes", "settings.familyInfo.separateRoutes[]", kFlag, 0, 0, "false", kStart, "",
       "Whether each endpoint of such a destination has a limit of its own.",
       "As the partner's limit works."},
      {"zones[].name", "settings.zones[]", kText, 1, 64, "", kStart, "", "A network zone, as lists name it.",
       "When zones change."},
      {"zones[].fee", "settings.familyInfo.zoneFee[]", kNumber, 0, kMany, "0", kStart, "",
       "Fee of a route in that zone; lower ones are taken first among equals.", "When prices change."},
      // ---- watching other settings
      {"watch.on", "watch.on", kFlag, 0, 0, "false", kStart, "",
       "Whether a second decider is fed the same events with the settings of this section, does nothing, and "
       "counts where it would have decided otherwise.",
       "Before a switch of settings: `status` and the log's `watch` have the counts."},
      {"watch.weights", "watch.weights", kWord, 0, 0, "", kStart, "none=off|nominal=nominal|rough=rough",
       "delivery.weights as watched; left out: as in force.", "With watch.on."},
      {"watch.retry_advice", "watch.retry_advice", kFlag, 0, 0, "", kStart, "",
       "delivery.retry_advice as watched; left out: as in force.", "With watch.on."},
      {"watch.connection_price", "watch.connection_price", kNumber, 0, kMany, "", kStart, "",
       "delivery.connection_price as watched; left out: as in force.", "With watch.on."},
      {"watch.senders", "watch.senders", kInteger, 1, 100000, "", kStart, "",
       "delivery.senders as watched; left out: as in force.", "With watch.on."},
      {"watch.max_attempts", "watch.max_attempts", kInteger, 0, 1000, "", kStart, "",
       "delivery.max_attempts as watched; left out: as in force.", "With watch.on."},
      {"watch.overload_factor", "watch.overload_factor", kNumber, 0, 100, "", kStart, "",
       "return.overload_factor as watched; left out: as in force.", "With watch.on."},
      {"watch.fall", "watch.fall", kDuration, 1, kHour, "", kStart, "",
       "return.fall as watched; left out: as in force.", "With watch.on."},
      // ---- the program
      {"log.level", "operator.log.level", kWord, 0, 0, "info", kRun, "debug|info|warning|error",
       "The least level that is written.",
       "\"debug\" while looking for what became of single messages or clients."},
      {"log.format", "operator.log.format", kWord, 0, 0, "text", kRun, "text|json",
       "Words for people, or one JSON object a line.", "\"json\" where a collector reads it."},
      {"log.lines_per_second", "operator.log.lines_per_second", kInteger, 1, 100000, "100", kRun, "",
       "Most lines of one event in a second; the rest is counted.", "Raise it with \"debug\" under load."},
      {"control.socket", "operator.control.socket", kText, 0, 64, "", kStart, "",
       "Name of the control socket within the state folder; empty: none.",
       "Set it to use `config apply`, `rollback` and `status`."},
      {"change.trial", "operator.change.trial", kDuration, 100, kHour, "30s", kRun, "",
       "How long a change is watched before it is kept.",
       "Longer where traffic is thin: too little of it proves nothing."},
      {"change.before", "operator.change.before", kDuration, 100, kHour, "60s", kRun, "",
       "The span before a change that its trial is compared with.",
       "Shorter where the traffic changes within minutes."},
      {"change.false_alarms", "operator.change.false_alarms", kNumber, 1e-9, 0.5, "0.001", kRun, "",
       "Chance that one trial of a harmless change is undone.", "Lower it if harmless changes are undone."},
  };
  return items;
}

const Item* Find(std::string_view path) {
  for (const Item& item : Schema()) {
    if (path == item.path) return &item;
  }
  return nullptr;
}

std::string Show(const Item& item, const json& told) {
  switch (item.type) {
    case Type::kDuration: return told.is_number() ? InUnit(told.get<double>(), kTimes) : told.dump();
    case Type::kBytes: return told.is_number() ? InUnit(told.get<double>() * kMegabyte, kSizes) : told.dump();
    case Type::kWord: {
      std::string shown = told.is_string() ? told.get<std::string>() : told.dump();
      EachWord(item.words, [&](std::string_view ours, std::string_view theirs) {
        if (told.is_string() && told.get<std::string>() == theirs) shown = ours;
      });
      return shown;
    }
    case Type::kText:
    case Type::kAddress: return told.is_string() ? told.get<std::string>() : told.dump();
    case Type::kNumber: return told.is_number() ? fmt::format("{}", told.get<double>()) : told.dump();
    case Type::kInteger: return told.is_number() ? fmt::format("{:.0f}", told.get<double>()) : told.dump();
    case Type::kFlag: return told.dump();
  }
  return told.dump();
}

std::optional<json> ToTold(const Item& item, const json& written) {
  const auto within = [&](double value) { return value >= item.least && value <= item.most; };
  switch (item.type) {
    case Type::kText:
      if (!written.is_string() ||
          !within(static_cast<double>(written.get_ref<const std::string&>().size()))) {
        return std::nullopt;
      }
      return written;
    case Type::kAddress:
      if (!written.is_string()) return std::nullopt;
      return written;  // its form is judged where addresses are known
    case Type::kWord: {
      std::optional<json> told;
      EachWord(item.words, [&](std::string_view ours, std::string_view theirs) {
        if (written.is_string() && written.get_ref<const std::string&>() == ours) told = std::string(theirs);
      });
      return told;
    }
    case Type::kFlag:
      if (!written.is_boolean()) return std::nullopt;
      return written;
    case Type::kInteger:
      if (!written.is_number_integer() || !within(written.get<double>())) return std::nullopt;
      return written;
    case Type::kNumber:
      if (!written.is_number() || !within(written.get<double>())) return std::nullopt;
      return written.get<double>();
    case Type::kDuration:
    case Type::kBytes: {
      if (!written.is_string()) return std::nullopt;
      const std::string& text = written.get_ref<const std::string&>();
      const auto value = item.type == Type::kDuration ? WithUnit(text, kTimes) : WithUnit(text, kSizes);
      if (!value || !within(*value)) return std::nullopt;
      return item.type == Type::kDuration ? *value : *value / kMegabyte;
    }
  }
  return std::nullopt;
}

std::string Expected(const Item& item) {
  switch (item.type) {
    case Type::kText:
      return fmt::format("a text of {:.0f} to {:.0f} characters in quotes", item.least, item.most);
    case Type::kAddress: return "\"ip:port\"";
    case Type::kWord: return WordList(item.words);
    case Type::kFlag: return "true or false";
    case Type::kInteger: return fmt::format("a whole number from {:.0f} to {:.0f}", item.least, item.most);
    case Type::kNumber: return fmt::format("a number from {} to {}", item.least, item.most);
    case Type::kDuration:
      return fmt::format("a duration in quotes from {} to {}, such as \"250ms\" or \"20s\"",
                         InUnit(item.least, kTimes), InUnit(item.most, kTimes));
    case Type::kBytes:
      return fmt::format("a size in quotes from {} to {}, such as \"32MiB\"", InUnit(item.least, kSizes),
                         InUnit(item.most, kSizes));
  }
  return "?";
}

std::string Nearest(std::string_view name, const std::vector<std::string>& known) {
  const auto distance = [](std::string_view a,
                           std::string_view b) {  // edits, by one row of the table at a time
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
      std::size_t corner = std::exchange(row[0], i);
      for (std::size_t j = 1; j <= b.size(); ++j) {
        const std::size_t change = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
        corner = row[j];
        row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
      }
    }
    return row.back();
  };
  std::string best;
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    if (const std::size_t edits = distance(name.substr(0, 64), candidate); edits < least) {
      best = candidate, least = edits;
    }
  }
  return best;
}

std::string JsonSchema() {
  json root = {{"$schema", "https://json-schema.org/draft/2020-12/schema"},
               {"title", "indigosaddle: the operator's configuration"},
               {"type", "object"},
               {"additionalProperties", false},
               {"properties", json::object()}};
  const auto whole = [](double value) { return static_cast<std::int64_t>(value); };
  for (const Item& item : Schema()) {
    const std::string_view path = item.path;
    const std::size_t dot = path.rfind('.');
    std::string_view section = path.substr(0, dot);
    json value = {{"description", std::string(item.about) + " When to touch it: " + item.touch}};
    switch (item.type) {
      case Type::kText:
        value.update({{"type", "string"}, {"minLength", whole(item.least)}, {"maxLength", whole(item.most)}});
        break;
      case Type::kAddress: value.update({{"type", "string"}, {"pattern", "^.+:[0-9]+$"}}); break;
      case Type::kWord: {
        json words = json::array();
        EachWord(item.words,
                 [&](std::string_view ours, std::string_view) { words.push_back(std::string(ours)); });
        value["enum"] = words;
        break;
      }
      case Type::kFlag: value["type"] = "boolean"; break;
      case Type::kInteger:
        value.update({{"type", "integer"}, {"minimum", whole(item.least)}, {"maximum", whole(item.most)}});
        break;
      case Type::kNumber:
        value.update({{"type", "number"}, {"minimum", item.least}, {"maximum", item.most}});
        break;
      case Type::kDuration:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(us|ms|s|m|h)$"}});
        break;
      case Type::kBytes:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(B|kB|MB|GB|KiB|MiB|GiB)$"}});
        break;
    }
    if (item.absent[0] != '\0') value["default"] = item.absent;
    value["x-changes"] = item.change == Change::kRunning ? "while running" : "with a restart";
    const bool list = section.ends_with("[]");
    if (list) section.remove_suffix(2);
    json& place = root["properties"][std::string(section)];
    if (place.is_null()) {
      const json table = {
          {"type", "object"}, {"additionalProperties", false}, {"properties", json::object()}};
      place = list ? json{{"type", "array"}, {"items", table}} : table;
    }
    (list ? place["items"] : place)["properties"][std::string(path.substr(dot + 1))] = value;
  }
  return root.dump(2) + "\n";
}

std::string Page() {
  std::string page =
      "# Configuration\n\n"
      "Made from the schema table in `src/config/schema.cpp` by `indigosaddle docs configuration`; do not "
      "edit.\n\n"
      "The operator's file is TOML, named by `--config`; `deploy/indigosaddle.toml` is one to start from. "
      "Values stand\n"
      "in this order, the later before the earlier: defaults, the operator's file, the platform's JSON "
      "(`EDGE_CONFIG`),\n"
      "the `EDGE_` variables; an address of discovery in the platform's JSON goes before `EDGE_DISCOVERY`. "
      "Lists are\n"
      "taken whole from the last place that has them. Without an operator's file the platform's JSON must "
      "say all that\n"
      "it has to, and the defaults of the tables `delivery` and `return` are not used.\n\n"
      "Durations are a number with `us`, `ms`, `s`, `m` or `h`; sizes one with `B`, `kB`, `MB`, `GB`, `KiB`, "
      "`MiB` or\n"
      "`GiB`; both in quotes. *running*: `config apply` and SIGHUP may change it while the node serves; "
      "*restart*: such\n"
      "a change is refused whole, and the next start takes it from the file.\n";
  std::string section;
  for (const Item& item : Schema()) {
    const std::string_view path = item.path;
    const std::string now(path.substr(0, path.rfind('.')));
    if (now != section) {
      section = now;
      const bool list = section.ends_with("[]");
      const std::string head =
          list ? "[[" + section.substr(0, section.size() - 2) + "]]" : "[" + section + "]";
      page += fmt::format(
          "\n## {}\n\n| name | value | default | changes | what | when to touch it |\n"
          "| --- | --- | --- | --- | --- | --- |\n",
          head);
    }
    std::string range = item.type == Type::kWord ? WordList(item.words) : TypeName(item.type);
    if (item.type == Type::kInteger) range += fmt::format(", {:.0f} to {:.0f}", item.least, item.most);
    if (item.type == Type::kNumber) range += fmt::format(", {} to {}", item.least, item.most);
    if (item.type == Type::kDuration) {
      range += fmt::format(", {} to {}", InUnit(item.least, kTimes), InUnit(item.most, kTimes));
    }
    if (item.type == Type::kBytes) {
      range += fmt::format(", {} to {}", InUnit(item.least, kSizes), InUnit(item.most, kSizes));
    }
    page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", path.substr(path.rfind('.') + 1), range,
                        item.absent[0] == '\0' ? "-" : fmt::format("`{}`", item.absent),
                        item.change == Change::kRunning ? "running" : "restart", item.about, item.touch);
  }
  return page;
}

}  // namespace indigosaddle::config
