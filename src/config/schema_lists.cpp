// The rows of the schema for lists, watched settings and the program itself.
#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum Type;
constexpr double kHour = 3600e3, kDay = 24 * kHour;  // durations are in milliseconds
constexpr double kMany = 1e6;
constexpr auto kRun = Change::kRunning;
constexpr auto kStart = Change::kRestart;
constexpr PlatformRule kMust{Presence::kRequired, false}, kMustOverZero{Presence::kRequired, true};
constexpr PlatformRule kWithKey{Presence::kOfKeyedClass, false},
    kWithKeyOverZero{Presence::kOfKeyedClass, true};

}  // namespace

const std::vector<Item>& ListRows() {
  static const std::vector<Item> rows = {
      // ---- lists
      {"classes[].name", "settings.classes[].name", kText, 1, 64, "", kRun, "", "Its name in a client's c=.",
       "A class may be added while running; it is removed only while no message of it is held.", kMust},
      {"classes[].effect", "settings.classes[].effect", kWord, 0, 0, "unsafe", kRun,
       "safe=read_like|keyed=idempotency_key|unsafe=non_idempotent",
       "Whether an attempt that may have run may be repeated: safe always, keyed while its key lives, unsafe "
       "never.",
       "Only with the partners' word: a wrong one doubles effects.", kMust},
      {"classes[].group", "settings.classes[].group", kWord, 0, 0, "cell", kRun,
       "all=all|zone=zone|cell=cell", "Which endpoints of a destination drop a repeat with the same key.",
       "As partners keep their keys.", kWithKey},
      {"classes[].key_ttl", "settings.classes[].keyTtl", kDuration, 0, 7 * kDay, "0ms", kRun, "",
       "How long partners remember a key.", "To the shortest time of any partner.", kWithKeyOverZero},
      {"classes[].aim", "settings.classes[].aim", kDuration, 0, kDay, "0ms", kRun, "",
       "When its messages should be through.", "Shorter: more urgent than others, shorter time-outs.", kMust},
      {"classes[].deadline", "settings.classes[].deadline", kDuration, 0, kDay, "0ms", kRun, "",
       "How long clients give its messages.", "With the clients' own.", kMustOverZero},
      {"classes[].worth", "settings.classes[].worth", kNumber, 0, kMany, "0", kRun, "",
       "What one delivery in time is worth, beside other classes.", "Who goes first when not all can.",
       kMust},
      {"classes[].late_value", "settings.classes[].lateValue", kNumber, 0, 1, "0", kRun, "",
       "Part of the worth that is left at the deadline.", "0 where a late one is as good as none.", kMust},
      {"classes[].sequential", "settings.classes[].sequential", kFlag, 0, 0, "false", kRun, "",
       "Whether messages with one order key go one by one, in the order taken.",
       "Where order matters to partners."},
      {"tenants[].name", "settings.orgs[].name", kText, 1, 64, "", kRun, "", "Its name in a client's t=.",
       "A tenant may be added while running; it is removed only while no message of it is held.", kMust},
      {"tenants[].quota", "settings.orgs[].quotaRps", kNumber, 0, kMany, "0", kRun, "",
       "Messages a second over all nodes that count as its share; 0: no share is kept.",
       "When a tenant's contract changes.", kMust},
      {"kinds[].name", "settings.machineTypes[]", kText, 1, 64, "", kStart, "",
       "A kind of destination, as lists name it.", "When discovery names a new kind.", kMust},
      {"kinds[].separate_routes", "settings.familyInfo.separateRoutes[]", kFlag, 0, 0, "false", kStart, "",
       "Whether each endpoint of such a destination has a limit of its own.", "As the partner's limit works.",
       kMust},
      {"zones[].name", "settings.zones[]", kText, 1, 64, "", kStart, "", "A network zone, as lists name it.",
       "When zones change.", kMust},
      {"zones[].fee", "settings.familyInfo.zoneFee[]", kNumber, 0, kMany, "0", kStart, "",
       "Fee of a route in that zone; lower ones are taken first among equals.", "When prices change.", kMust},
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
  return rows;
}

}  // namespace indigosaddle::config
