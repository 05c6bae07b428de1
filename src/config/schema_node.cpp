// The schema's rows for the node, its limits, delivery and the recovery of destinations.
#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum ValueType;
constexpr double kHour = 3600e3, kDay = 24 * kHour;  // durations are in milliseconds
constexpr double kMillion = 1e6, kMebibyte = 1024.0 * 1024;
constexpr auto kWhileRunning = TakesEffect::kWhileRunning;
constexpr auto kAtRestart = TakesEffect::kAtRestart;
constexpr PlatformRule kRequired{Presence::kRequired, false}, kRequiredPositive{Presence::kRequired, true};

}  // namespace

const std::vector<Setting>& NodeRows() {
  static const std::vector<Setting> rows = {
      // ---- node
      {"node.name", "name", kText, 1, 64, "", kAtRestart, "", "The node's name, in its log and in `status`.",
       "Give each node a name of its own that stays the same across restarts."},
      {"node.listen", "listen", kAddress, 0, 0, "", kAtRestart, "",
       "Address on which clients connect, as ip:port.",
       "Change it when the machine's address changes. With port 0 the kernel chooses a port."},
      {"node.discovery", "discovery", kAddress, 0, 0, "", kWhileRunning, "",
       "Address of discovery, which sends the lists of endpoints and receives notices, as ip:port.",
       "Change it when discovery moves: the node leaves the old address at once."},
      {"node.state", "state", kText, 1, 4096, "", kAtRestart, "",
       "Folder for what must survive a restart: journal, generations, control socket.",
       "Never change it while messages are pending: another folder has no record of them."},
      {"node.control", "control", kAddress, 0, 0, "", kAtRestart, "",
       "The operators' HTTP address, as ip:port: /admin/health, /admin/stats, /admin/quiesce, /admin/resume.",
       "Set it where a platform checks health or fetches metrics. Left out: the node has none."},
      {"node.seed", "seed", kText, 1, 16, "", kAtRestart, "", "Seed of random choices, up to 16 hex digits.",
       "Leave it out: each start then draws one. Set it to repeat a run.", kRequired},
      // ---- limits
      {"limits.memory", "limits.memory_mb", kBytes, 16 * kMebibyte, 1e12, "192MB", kAtRestart, "",
       "Memory that the machine gives the node.",
       "Change it when the machine or the node's part of it changes.", kRequiredPositive},
      {"limits.descriptors", "limits.sockets", kInteger, 64, kMillion, "1024", kAtRestart, "",
       "File descriptors that the node may hold; 32 are reserved for its own use.",
       "Change it together with the system's own limit. Of the rest, clients get three fifths and calls two.",
       kRequiredPositive},
      {"limits.disk", "limits.disk_mb", kBytes, 64 * 1024, 1e12, "64MB", kAtRestart, "",
       "Maximum size of the state folder.",
       "Raise it when clients get -BUSY while the report shows a large journal: pending messages may fill "
       "45% of it.",
       kRequiredPositive},
      {"limits.client_connections", "operator.limits.client_connections", kInteger, 0, kMillion, "0",
       kWhileRunning, "",
       "Most connections of clients. 0: three fifths of the descriptors, which is the upper limit for any "
       "other value too.",
       "Lower it when one front end takes connections that others need. Open connections are not closed."},
      {"limits.client_memory_share", "operator.limits.client_memory_share", kNumber, 0.01, 0.5, "0.125",
       kWhileRunning, "", "Fraction of the memory that commands and replies of all clients may use together.",
       "Raise it when ordinary clients see \"too much is being sent at once\"."},
      // ---- delivery
      {"delivery.senders", "settings.balancers", kInteger, 1, 100000, "1", kWhileRunning, "",
       "Number of nodes that send to the same destinations. Minimum and step of each rate limit are divided "
       "by it.",
       "Change it whenever nodes are added or removed: with too low a number the nodes together exceed every "
       "limit.",
       kRequiredPositive},
      {"delivery.call_slots", "settings.familyInfo.callSlots", kInteger, 0, kMillion, "0", kWhileRunning, "",
       "Most calls in flight at once; 0: not limited. One rate scope takes at most half.",
       "Raise it when messages wait although destinations answer fast. Lowering it does not cut calls in "
       "flight.",
       kRequiredPositive},
      {"delivery.holding_room", "settings.caps.maxOpen", kInteger, 0, 1e7, "0", kWhileRunning, "",
       "Most messages held at once; 0: not limited. Above 95% the delivery policy returns the messages with "
       "the least expected worth.",
       "Raise it before an expected outage if memory and disk allow. Lowering it returns messages at once.",
       kRequiredPositive},
      {"delivery.max_attempts", "settings.caps.attemptsCap", kInteger, 0, 1000, "0", kWhileRunning, "",
       "Most attempts at one message; 0: not limited. When it is lowered, a message with more attempts ends "
       "at once.",
       "Lower it when partners complain of repeats.", kRequiredPositive},
      {"delivery.max_retry_after", "settings.caps.maxRetryAfter", kDuration, 0, kHour, "0ms", kWhileRunning,
       "", "Longest Retry-After that a refusal gives a client.",
       "Set it to the longest time that clients honour.", kRequired},
      {"delivery.retry_advice", "settings.caps.retryAfter", kFlag, 0, 0, "true", kWhileRunning, "",
       "Whether a refusal tells a client when to try again.",
       "Set false where clients never see it, and leave max_retry_after out.", kRequired},
      {"delivery.weights", "settings.weightKind", kChoice, 0, 0, "none", kWhileRunning,
       "none=off|nominal=nominal|rough=rough",
       "What the share in the lists means: nothing, the calls per second that a destination accepts from all "
       "senders, or that figure with an error of up to a half.",
       "Set it to what discovery sends. It bounds the rate to a recovering destination whose answers tell no "
       "limit.",
       kRequired},
      {"delivery.connection_price", "settings.prices.handshake", kNumber, 0, kMillion, "0", kWhileRunning, "",
       "Price of a new connection, in worth. A connection is kept where it is likely to be used within 100 s "
       "times this price. 0: all are kept.",
       "Raise it above 0 where many nodes share partners that accept few connections. A higher price keeps "
       "connections longer.",
       kRequired},
      {"delivery.connect_timeout", "settings.caps.dialTimeout", kDuration, 0, kHour, "0ms", kAtRestart, "",
       "Connect timeout; 0: as long as the call may take.", "Change it when partners are far away.",
       kRequired},
      {"delivery.idle_close", "settings.caps.idleClose", kDuration, 0, kDay, "0ms", kAtRestart, "",
       "Idle time after which the other side closes a connection; 0: never. The node closes it before that.",
       "Set it to the shortest idle timeout of any machine on the path.", kRequired},
      {"delivery.decay", "settings.familyInfo.decay", kChoice, 0, 0, "even", kAtRestart,
       "even=even|by_half=by_half", "How a message's worth falls once it is older than its aim.",
       "Change it only together with the contract with clients.", kRequired},
      {"delivery.zone", "settings.zone", kText, 1, 64, "", kAtRestart, "",
       "Zone of this node, one of [[zones]].", "Set it to where the node runs."},
      {"delivery.cross_zone_price", "settings.prices.crossZone", kNumber, 0, kMillion, "0", kWhileRunning, "",
       "Price of a call to another zone, in worth. Above 0 the node prefers its own zone.",
       "Set it where traffic between zones costs money.", kRequired},
      {"delivery.over_share_worth", "settings.overShareWorth", kNumber, 0, 1, "1", kWhileRunning, "",
       "Worth of a message above its tenant's share, as a fraction of its class's worth.",
       "Lower it when the load of one tenant displaces the messages of others.", kRequired},
      {"delivery.tick", "settings.tick", kDuration, 0, 1000, "5ms", kAtRestart, "", "Slack at deadlines.",
       "Leave it at its default.", kRequired},
      {"delivery.list", "settings.discovery", kChoice, 0, 0, "pushed", kAtRestart,
       "pushed=pushed|on_request=on_request",
       "Whether discovery sends lists of endpoints without being asked, or on request.",
       "Set it to how discovery works.", kRequired},
      // ---- recovery of a destination
      {"return.cold_from", "settings.guarantees.coldFrom", kNumber, 0, 1, "0.25", kAtRestart, "",
       "Fraction of its capacity that a recovering destination has at first.",
       "Set it as agreed with the partners.", kRequired},
      {"return.cold", "settings.guarantees.cold", kDuration, 0, kHour, "10s", kAtRestart, "",
       "Time that a recovering destination takes to reach its full capacity.",
       "Set it as agreed with the partners.", kRequired},
      {"return.fall", "settings.guarantees.fall", kDuration, 1, kHour, "2s", kAtRestart, "",
       "Time window over which an overload makes a recovering destination fail again.",
       "Set it as agreed with the partners.", kRequiredPositive},
      {"return.overload_factor", "settings.guarantees.overloadFactor", kNumber, 0, 100, "2", kAtRestart, "",
       "Load that makes a recovering destination fail again, as a multiple of its present capacity.",
       "Set it as agreed with the partners.", kRequired},
      {"return.must_ask_in", "settings.guarantees.mustAskIn", kDuration, 0, kHour, "0ms", kAtRestart, "",
       "Time without a request after which the current list counts as known, where lists come on request.",
       "Set it to what discovery guarantees.", kRequired},
      {"return.turn_gap", "settings.guarantees.turnGap", kDuration, 0, kHour, "0ms", kAtRestart, "",
       "Pause of an order key after an attempt that may still be running.",
       "Set it to what the partners need."},
  };
  return rows;
}

}  // namespace indigosaddle::config
