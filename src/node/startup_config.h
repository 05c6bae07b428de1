// Configuration that a process starts with: read from its files, or from the last accepted versions of files
// that can't be used.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "config/transaction.h"
#include "node/config.h"

namespace indigosaddle::node {

// Called with the name of each step of a configuration change, so that a test can end the process at that
// step. Does nothing in production.
using StepHook = std::function<void(const char*)>;

// The configuration in force at the start, and where it came from.
struct StartupConfig {
  Config config;
  config::Sources sources;     // with the operator's text that is in force
  std::string operators_path;  // empty: no operator's file
  config::History history;     // saved generations of the operator's file
  std::string load_errors;     // of the file or the saved generations; the last accepted one is in force
  StepHook step;
};

// Reads the configuration at the start of a process. Falls back to the saved generation of the operator's
// file and to the platform's last good file. Throws ConfigError if none of these can be used.
StartupConfig LoadStartupConfig(const std::map<std::string, std::string>& environment,
                                const std::string& operators_path, const StepHook& step = {});

// Loads the platform's last good document from the state folder into `sources` as the one in force, so that
// the platform's document in `sources` is checked against it. Returns the faults of the last good document,
// which is then left out; empty if it is valid or there is none.
std::string LoadLastGoodAsInForce(config::Sources& sources);

}  // namespace indigosaddle::node
