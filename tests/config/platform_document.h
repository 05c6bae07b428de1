// A complete and valid document of the platform for tests, and what a node makes of such a document.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "node/config.h"

namespace indigosaddle::config {

// The document has values that the node reads and values that it only passes on.
inline nlohmann::json PlatformDocument() {
  return nlohmann::json::parse(R"({"name":"n3","listen":"127.0.0.1:0","control":"127.0.0.1:0",
  "discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
  "limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
  "known":{"seq":41,"whole":true,"hosts":[]},
  "settings":{"balancers":2,"tick":5.0,"discovery":"pushed","weightKind":"off","overShareWorth":0.2,
    "caps":{"attemptsCap":12,"cancelling":true,"cpuUsPerS":1000000,"dialTimeout":1500.0,"idleClose":15000.0,
            "maxOpen":165,"maxRetryAfter":2000.0,"retryAfter":true,"streamsPerConn":1},
    "classes":[{"name":"notice","aim":2500.0,"deadline":20000.0,"effect":"idempotency_key","group":"all",
                "keyTtl":20000.0,"worth":1.0,"lateValue":0.4,"stream":false},
               {"name":"order","aim":2500.0,"deadline":12000.0,"effect":"non_idempotent","group":"all",
                "keyTtl":20000.0,"worth":2.0,"lateValue":0.4,"stream":false,"sequential":true},
               {"name":"mirror","aim":1000.0,"deadline":4000.0,"effect":"read_like","group":"all",
                "keyTtl":20000.0,"worth":0.5,"lateValue":0.0,"stream":false}],
    "clientHabits":{"marksRetry":true},
    "familyInfo":{"callSlots":9,"perCall":[1,5],"separateRoutes":[false,true],"decay":"even",
                  "notes":"full: milliseconds","refusalCost":0.0,"zoneFee":[0.0,0.5]},
    "goal":{"whole":0.65},
    "guarantees":{"coldFrom":0.23,"cold":14000.0,"drainGrace":250.0,"fall":2000.0,"graceToAnswer":5.0,
                  "mustAskIn":10000.0,"overloadFactor":2.0,"turnGap":150.0},
    "machineTypes":["platforms","shops"],"orgs":[{"name":"a","portion":0.6,"quotaRps":15.0},
                                                 {"name":"b","portion":0.4,"quotaRps":9.0}],
    "prices":{"crossZone":0.01,"handshake":0.06,"waste":0.093},"slotNo":0,
    "telemetry":{"columns":["x0","x1"],"how":"inline"},"tiers":["partners"],"zones":["here","there"],"zone":1}})");
}

// The faults of a document that replaces `in_force`, a line each; empty: it is valid. `in_force` is null
// where no document is in force, as at a first start.
inline std::string FaultsOf(const std::string& text, const nlohmann::json& in_force) {
  Sources sources{{}, {true, "p.json", text}, {{"EDGE_STATE", "/state"}}};
  if (!in_force.is_null()) sources.platform_in_force = {true, "old.json", in_force.dump()};
  try {
    node::MakeConfig(sources);
    return "";
  } catch (const node::ConfigError& error) {
    return error.what();
  }
}
inline std::string FaultsOf(const nlohmann::json& next, const nlohmann::json& in_force) {
  return FaultsOf(next.dump(), in_force);
}

// Every value that is in force with a valid document, a line each.
inline std::string InForceWith(const nlohmann::json& document) {
  const node::Config config =
      node::MakeConfig({{}, {true, "p.json", document.dump()}, {{"EDGE_STATE", "/state"}}});
  std::string lines;
  for (const ShownValue& shown : config.shown) lines += shown.path + " = " + shown.value + "\n";
  return lines;
}

}  // namespace indigosaddle::config
