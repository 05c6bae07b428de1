// The rows of the schema for the node, its limits and its decisions.
#include "config/schema.h"
#include "config/schema_rows.h"

namespace indigosaddle::config {
namespace {

using enum Type;
constexpr double kHour = 3600e3, kDay = 24 * kHour;  // durations are in milliseconds
constexpr double kMany = 1e6, kMebi = 1024.0 * 1024;
constexpr auto kRun = Change::kRunning;
constexpr auto kStart = Change::kRestart;
constexpr PlatformRule kMust{Presence::kRequired, false}, kMustOverZero{Presence::kRequired, true};

}  // namespace

const std::vector<Item>& NodeRows() {
  static const std::vector<Item> rows = {
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
       "Leave it out: each start then draws one. Set it to repeat a run.", kMust},
      // ---- limits
      {"limits.memory", "limits.memory_mb", kBytes, 16 * kMebi, 1e12, "192MB", kStart, "",
       "Memory that the machine gives the node.", "When the machine or its share changes.", kMustOverZero},
      {"limits.descriptors", "limits.sockets", kInteger, 64, kMany, "1024", kStart, "",
       "File descriptors that the node may hold; 32 are kept for itself.",
       "With the system's own limit. Clients get three fifths of the rest, calls two.", kMustOverZero},
      {"limits.disk", "limits.disk_mb", kBytes, 64 * 1024, 1e12, "64MB", kStart, "",
       "Most that the state folder may hold.",
       "When -BUSY comes with a large journal in the report: what is owed may fill 45% of it.",
       kMustOverZero},
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
       "Whenever nodes are added or taken away: too low a count overdrives every limit.", kMustOverZero},
      {"delivery.call_slots", "settings.familyInfo.callSlots", kInteger, 0, kMany, "0", kRun, "",
       "Calls that may be out at once; 0: not limited. One lane takes at most half.",
       "Raise it when messages wait though destinations answer fast. A lower count lets calls in flight "
       "end.",
       kMustOverZero},
      {"delivery.holding_room", "settings.caps.maxOpen", kInteger, 0, 1e7, "0", kRun, "",
       "Messages held at once; 0: not limited. Past 95% the module hands back what promises least.",
       "Raise it before an expected outage, with memory and disk in mind. A smaller one hands back at once.",
       kMustOverZero},
      {"delivery.max_attempts", "settings.caps.attemptsCap", kInteger, 0, 1000, "0", kRun, "",
       "Attempts at one message; 0: not limited. A message past a lower count ends at once.",
       "Lower it when partners complain of repeats.", kMustOverZero},
      {"delivery.max_retry_after", "settings.caps.maxRetryAfter", kDuration, 0, kHour, "0ms", kRun, "",
       "The longest wait that a refusal tells a client.", "To what clients honour; more is not heeded.",
       kMust},
      {"delivery.retry_advice", "settings.caps.retryAfter", kFlag, 0, 0, "true", kRun, "",
       "Whether a refusal tells a client when to come back.",
       "false where clients never see it; then leave max_retry_after out.", kMust},
      {"delivery.weights", "settings.weightKind", kWord, 0, 0, "none", kRun,
       "none=off|nominal=nominal|rough=rough",
       "What the list's share says: nothing, the calls a second that a destination takes from all senders, "
       "or the same half too high or too low.",
       "As discovery fills it in. It bounds what a returning destination gets where answers tell no limit.",
       kMust},
      {"delivery.connection_price", "settings.prices.handshake", kNumber, 0, kMany, "0", kRun, "",
       "Price of a new connection, in worth; a connection is kept where it is likely to be used within 100 s "
       "x this. 0: all are kept.",
       "Over 0 where many nodes share partners that take few connections; higher keeps longer.", kMust},
      {"delivery.connect_timeout", "settings.caps.dialTimeout", kDuration, 0, kHour, "0ms", kStart, "",
       "How long a new connection may take; 0: as long as its call.", "When partners are far away.", kMust},
      {"delivery.idle_close", "settings.caps.idleClose", kDuration, 0, kDay, "0ms", kStart, "",
       "When the other side closes an idle connection; 0: never. The node closes it before that.",
       "To the shortest time of any machine on the way.", kMust},
      {"delivery.decay", "settings.familyInfo.decay", kWord, 0, 0, "even", kStart,
       "even=even|by_half=by_half", "How a message's worth falls after its aim.",
       "With the contract with clients only.", kMust},
      {"delivery.zone", "settings.zone", kText, 1, 64, "", kStart, "",
       "The zone of this node, one of [[zones]].", "Where the node stands."},
      {"delivery.cross_zone_price", "settings.prices.crossZone", kNumber, 0, kMany, "0", kRun, "",
       "Price of a call that crosses zones, in worth; over 0 the own zone is preferred.",
       "When crossing costs money.", kMust},
      {"delivery.over_share_worth", "settings.overShareWorth", kNumber, 0, 1, "1", kRun, "",
       "What a message past its tenant's share is worth, as a part of its class's worth.",
       "Lower it when one tenant's floods push others out.", kMust},
      {"delivery.tick", "settings.tick", kDuration, 0, 1000, "5ms", kStart, "", "Slack at deadlines.",
       "Leave it.", kMust},
      {"delivery.list", "settings.discovery", kWord, 0, 0, "pushed", kStart,
       "pushed=pushed|on_request=on_request", "Whether discovery sends changes by itself or is asked.",
       "As discovery works.", kMust},
      // ---- return of a destination
      {"return.cold_from", "settings.guarantees.coldFrom", kNumber, 0, 1, "0.25", kStart, "",
       "Part of its capacity that a destination has when it comes back.", "As agreed with partners.", kMust},
      {"return.cold", "settings.guarantees.cold", kDuration, 0, kHour, "10s", kStart, "",
       "How long a destination takes to warm up.", "As agreed with partners.", kMust},
      {"return.fall", "settings.guarantees.fall", kDuration, 1, kHour, "2s", kStart, "",
       "The span over which too much pushes a returning destination over.", "As agreed with partners.",
       kMustOverZero},
      {"return.overload_factor", "settings.guarantees.overloadFactor", kNumber, 0, 100, "2", kStart, "",
       "How much over its present capacity pushes it over.", "As agreed with partners.", kMust},
      {"return.must_ask_in", "settings.guarantees.mustAskIn", kDuration, 0, kHour, "0ms", kStart, "",
       "When an old list counts as told, where lists come on request.", "As discovery promises.", kMust},
      {"return.turn_gap", "settings.guarantees.turnGap", kDuration, 0, kHour, "0ms", kStart, "",
       "Rest of an order key after a call that may run on.", "As partners need."},
  };
  return rows;
}

}  // namespace indigosaddle::config
