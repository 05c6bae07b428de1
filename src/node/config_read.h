// The steps that turn a merged configuration (config::EffectiveConfig) into a Config. Internal to the
// functions of config.h.
#pragma once

#include <nlohmann/json.hpp>

#include "config/layers.h"
#include "node/config.h"

namespace indigosaddle::node {

// Reads everything but the operator's own part. `whole` has the platform's form. Throws ConfigError.
Config ConfigFromMerged(const nlohmann::json& whole);

// Reads the settings of the decision engine, and the timeout for connecting to an endpoint. Both throw
// ConfigError.
Settings ReadSettings(const nlohmann::json& whole);
Micros ReadConnectTimeout(const nlohmann::json& whole);

// Adds a fault for everything that an operator's file must have and that the schema's types and ranges can't
// express. Generates a seed if none is given.
void CheckOperatorSettings(config::EffectiveConfig& effective);

// Adds a fault at this path of the operator's file, with its line and column there.
void AddFault(config::EffectiveConfig& effective, const std::string& path, const std::string& what);

// A number, and a duration that is given in milliseconds. The schema has checked the value and filled in its
// default.
double NumberAt(const nlohmann::json& whole, const char* path);
Micros DurationAt(const nlohmann::json& whole, const char* path);

// Reads the operator's own part, which only the operator's file can give. The schema has checked it.
void ReadOperatorSettings(const nlohmann::json& whole, Config& config);

// The same check and the same reading for the fleet's part of the operator's file.
void CheckFleet(config::EffectiveConfig& effective);
void ReadFleet(const nlohmann::json& whole, FleetConfig& fleet);

}  // namespace indigosaddle::node
