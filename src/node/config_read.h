// The steps by which a merged configuration becomes a Config: shared by the files of config.h's functions.
#pragma once

#include <nlohmann/json.hpp>

#include "config/layers.h"
#include "node/config.h"

namespace indigosaddle::node {

// From the platform's form. Throws ConfigError.
Config FromMerged(const nlohmann::json& whole);

// The parts of it that the module and its calls go by.
Settings ReadSettings(const nlohmann::json& whole);
Micros ReadConnectTimeout(const nlohmann::json& whole);

// What a file of the operator's own must say, and cannot be said by a range alone, as further faults; and a
// seed, where it has none.
void CheckWhole(config::EffectiveConfig& effective);

// A fault at a path of the operator's file, with its place there.
void Say(config::EffectiveConfig& effective, const std::string& path, const std::string& what);

// A number, and a duration, that the schema has checked and given its default.
double NumberAt(const nlohmann::json& whole, const char* told);
Micros TimeAt(const nlohmann::json& whole, const char* told);

// The operator's own part, which its file alone can give; the schema has checked it.
void ReadOperators(const nlohmann::json& whole, Config& config);

// The same two for what processes share.
void CheckFleet(config::EffectiveConfig& effective);
void ReadFleet(const nlohmann::json& whole, FleetConfig& fleet);

}  // namespace indigosaddle::node
