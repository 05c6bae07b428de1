// Settings with every key that the specification gives to the settings of a deployment, for one zone and
// one kind of destination, and the paths of those keys.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace indigosaddle::testing {

// The settings without their classes. The keys that a file may lack are left out: classes[].aimStretch,
// classes[].sequential and guarantees.turnGap.
inline nlohmann::json CompleteSettings() {
  return nlohmann::json::parse(R"({
    "balancers": 1, "discovery": "pushed", "overShareWorth": 0.2, "slotNo": 0, "tick": 5.0, "tier": 0,
    "tiers": ["partner-systems"], "weightKind": "off", "workload": "deliver", "worthBy": "request",
    "zone": 0, "zones": ["z"], "machineTypes": ["m"],
    "caps": {"attemptsCap": 12, "cancelling": true, "cpuUsPerRequest": 0.0, "cpuUsPerS": 100000,
             "dialTimeout": 1500.0, "idleClose": 15000.0, "maxOpen": 100, "maxRetryAfter": 2000.0,
             "peerMessages": false, "probing": false, "retryAfter": true, "secondCopies": false,
             "streamsPerConn": 1},
    "clientHabits": {"marksRetry": true},
    "familyInfo": {"callSlots": 8, "decay": "even", "notes": "full: milliseconds to wait",
                   "perCall": [1], "refusalCost": 0.0, "reportX0": "share left", "reportX1": "calls a second",
                   "separateRoutes": [false], "zoneFee": [0.0]},
    "goal": {"whole": 0.65, "worstClass": 0.0, "worstTenant": 0.1, "worstWindow": 0.25},
    "guarantees": {"cold": 1000.0, "coldFrom": 0.25, "drainGrace": 250.0, "fall": 500.0,
                   "graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFactor": 2.0},
    "orgs": [{"name": "acme", "portion": 1.0, "quotaRps": 1000.0}],
    "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.06, "lateFail": 0.03,
               "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.09},
    "telemetry": {"columns": ["x0", "x1"], "how": "inline"}})");
}

// JSON pointers to every key of these settings, of the class with index 3 (the one that RuleChanges adds) and
// of the rest of the platform's file.
inline std::vector<std::string> RequiredKeyPaths() {
  std::vector<std::string> paths{"/name",           "/listen",       "/discovery",       "/seed",
                                 "/limits",         "/limits/cores", "/limits/disk_mb",  "/limits/memory_mb",
                                 "/limits/sockets", "/settings",     "/settings/classes"};
  const auto add = [&](const auto& recurse, const nlohmann::json& object, std::string path) -> void {
    for (const auto& [name, value] : object.items()) {
      paths.push_back(path + "/" + name);
      if (value.is_object()) recurse(recurse, value, paths.back());
      if (value.is_array() && value[0].is_object()) recurse(recurse, value[0], paths.back() + "/0");
    }
  };
  add(add, CompleteSettings(), "/settings");
  for (const char* key :
       {"name", "effect", "group", "keyTtl", "aim", "worth", "deadline", "lateValue", "stream"})
    paths.push_back(std::string("/settings/classes/3/") + key);
  return paths;
}

}  // namespace indigosaddle::testing
