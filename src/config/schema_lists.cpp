// The schema's rows for the lists of tables, shadow evaluation of other settings, and the program itself.
#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum ValueType;
constexpr double kHour = 3600e3, kDay = 24 * kHour;  // durations are in milliseconds
constexpr double kMillion = 1e6;
constexpr auto kWhileRunning = TakesEffect::kWhileRunning;
constexpr auto kAtRestart = TakesEffect::kAtRestart;
constexpr PlatformRule kRequired{Presence::kRequired, false}, kRequiredPositive{Presence::kRequired, true};
constexpr PlatformRule kIfKeyed{Presence::kRequiredIfKeyed, false},
    kPositiveIfKeyed{Presence::kRequiredIfKeyed, true};

}  // namespace

const std::vector<Setting>& ListRows() {
  static const std::vector<Setting> rows = {
      // ---- lists
      {"classes[].name", "settings.classes[].name", kText, 1, 64, "", kWhileRunning, "",
       "Name of the class, as clients give it in c=.",
       "A class can be added while the node runs, and removed while the node holds no message of it.",
       kRequired},
      {"classes[].effect", "settings.classes[].effect", kChoice, 0, 0, "unsafe", kWhileRunning,
       "safe=read_like|keyed=idempotency_key|unsafe=non_idempotent",
       "Whether a message may be sent again after an attempt that may have run: safe always, keyed within "
       "key_ttl, unsafe never.",
       "Change it only as agreed with the partners: a wrong value can execute messages twice.", kRequired},
      {"classes[].group", "settings.classes[].group", kChoice, 0, 0, "cell", kWhileRunning,
       "all=all|zone=zone|cell=cell", "Which endpoints of a destination drop a repeat with the same key.",
       "Set it to where the partners keep their keys.", kIfKeyed},
      {"classes[].key_ttl", "settings.classes[].keyTtl", kDuration, 0, 7 * kDay, "0ms", kWhileRunning, "",
       "How long partners remember a key.", "Set it to the shortest time of any partner.", kPositiveIfKeyed},
      {"classes[].aim", "settings.classes[].aim", kDuration, 0, kDay, "0ms", kWhileRunning, "",
       "Age up to which a delivery of its messages has its full worth.",
       "A shorter aim makes its messages more urgent than others and shortens their timeouts.", kRequired},
      {"classes[].deadline", "settings.classes[].deadline", kDuration, 0, kDay, "0ms", kWhileRunning, "",
       "Age at which clients give up its messages.", "Change it together with the clients' own deadline.",
       kRequiredPositive},
      {"classes[].worth", "settings.classes[].worth", kNumber, 0, kMillion, "0", kWhileRunning, "",
       "Value of one delivery in time, relative to other classes.",
       "It decides which messages go first when not all can be delivered.", kRequired},
      {"classes[].late_value", "settings.classes[].lateValue", kNumber, 0, 1, "0", kWhileRunning, "",
       "Fraction of the worth that is left at the deadline.",
       "Set 0 where a late delivery is as good as none.", kRequired},
      {"classes[].sequential", "settings.classes[].sequential", kFlag, 0, 0, "false", kWhileRunning, "",
       "Whether messages with the same order key are delivered one at a time, in the order in which they "
       "were accepted.",
       "Set it where order matters to partners."},
      {"tenants[].name", "settings.orgs[].name", kText, 1, 64, "", kWhileRunning, "",
       "Name of the tenant, as clients give it in t=.",
       "A tenant can be added while the node runs, and removed while the node holds no message of it.",
       kRequired},
      {"tenants[].quota", "settings.orgs[].quotaRps", kNumber, 0, kMillion, "0", kWhileRunning, "",
       "Messages per second, over all nodes, that count as the tenant's share. 0: no quota.",
       "Change it when a tenant's contract changes.", kRequired},
      {"kinds[].name", "settings.machineTypes[]", kText, 1, 64, "", kAtRestart, "",
       "Name of a kind of destination, as in the lists of endpoints.",
       "Add one when discovery reports a new kind.", kRequired},
      {"kinds[].separate_routes", "settings.familyInfo.separateRoutes[]", kFlag, 0, 0, "false", kAtRestart,
       "", "Whether each endpoint of such a destination has a limit of its own.",
       "Set it to how the partners' limits work.", kRequired},
      {"zones[].name", "settings.zones[]", kText, 1, 64, "", kAtRestart, "",
       "Name of a network zone, as in the lists of endpoints.", "Change it when zones change.", kRequired},
      {"zones[].fee", "settings.familyInfo.zoneFee[]", kNumber, 0, kMillion, "0", kAtRestart, "",
       "Fee of a route in that zone. Of routes that are otherwise equal, the one with the lowest fee is used "
       "first.",
       "Change it when prices change.", kRequired},
      // ---- shadow evaluation of other settings
      {"watch.on", "watch.on", kFlag, 0, 0, "false", kAtRestart, "",
       "Whether a second instance of the delivery policy gets the same events with the settings of this "
       "section. It has no effect but counts where it would have decided otherwise.",
       "Use it before a change of these settings. `status` and the log event `watch` report the counts."},
      {"watch.weights", "watch.weights", kChoice, 0, 0, "", kAtRestart,
       "none=off|nominal=nominal|rough=rough",
       "delivery.weights for the second instance; left out: the value in force.", "Use it with watch.on."},
      {"watch.retry_advice", "watch.retry_advice", kFlag, 0, 0, "", kAtRestart, "",
       "delivery.retry_advice for the second instance; left out: the value in force.",
       "Use it with watch.on."},
      {"watch.connection_price", "watch.connection_price", kNumber, 0, kMillion, "", kAtRestart, "",
       "delivery.connection_price for the second instance; left out: the value in force.",
       "Use it with watch.on."},
      {"watch.senders", "watch.senders", kInteger, 1, 100000, "", kAtRestart, "",
       "delivery.senders for the second instance; left out: the value in force.", "Use it with watch.on."},
      {"watch.max_attempts", "watch.max_attempts", kInteger, 0, 1000, "", kAtRestart, "",
       "delivery.max_attempts for the second instance; left out: the value in force.",
       "Use it with watch.on."},
      {"watch.overload_factor", "watch.overload_factor", kNumber, 0, 100, "", kAtRestart, "",
       "return.overload_factor for the second instance; left out: the value in force.",
       "Use it with watch.on."},
      {"watch.fall", "watch.fall", kDuration, 1, kHour, "", kAtRestart, "",
       "return.fall for the second instance; left out: the value in force.", "Use it with watch.on."},
      // ---- the program
      {"log.level", "operator.log.level", kChoice, 0, 0, "info", kWhileRunning, "debug|info|warning|error",
       "Lowest level that is written.",
       "Use \"debug\" to find out what happened to single messages or clients."},
      {"log.format", "operator.log.format", kChoice, 0, 0, "text", kWhileRunning, "text|json",
       "Text for people, or one JSON object per line.", "Use \"json\" where a log collector reads it."},
      {"log.lines_per_second", "operator.log.lines_per_second", kInteger, 1, 100000, "100", kWhileRunning, "",
       "Most lines of one event per second; further ones are only counted.",
       "Raise it with \"debug\" under load."},
      {"control.socket", "operator.control.socket", kText, 0, 64, "", kAtRestart, "",
       "Name of the control socket within the state folder; empty: none.",
       "Set it to use `config apply`, `rollback` and `status`."},
      {"change.trial", "operator.change.trial", kDuration, 100, kHour, "30s", kWhileRunning, "",
       "How long a change is on trial before it is kept.",
       "Lengthen it where there is little traffic: too few messages prove nothing."},
      {"change.before", "operator.change.before", kDuration, 100, kHour, "60s", kWhileRunning, "",
       "Length of the span before a change with which its trial is compared.",
       "Shorten it where the traffic changes within minutes."},
      {"change.false_alarms", "operator.change.false_alarms", kNumber, 1e-9, 0.5, "0.001", kWhileRunning, "",
       "Probability that a harmless change is undone in its trial.",
       "Lower it if harmless changes are undone."},
  };
  return rows;
}

}  // namespace indigosaddle::config
