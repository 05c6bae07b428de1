// What a process starts with: its files, or what was last kept of those that can't be used.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "config/transaction.h"
#include "node/config.h"

namespace indigosaddle::node {

// Called at each step of a change by its name, so that a test can end the process there. Nothing in service.
using StepHook = std::function<void(const char*)>;

// What a process starts with.
struct Beginning {
  Config config;
  config::Sources sources;  // with the operator's text that is in force
  std::string operators_path;
  config::History history;
  std::string trouble;  // of the file or of the saved generations; the last kept one serves
  StepHook step;
};

// Throws ConfigError where there is neither a usable file nor a kept generation, nor a last good file of the
// platform.
Beginning Begin(const std::map<std::string, std::string>& environment, const std::string& operators_path,
                const StepHook& step = {});

// Has the platform's document among `sources` judged against the last one that was taken, where the state
// folder keeps it. Returns what is wrong with that one, if anything; it is then left out.
std::string HoldAgainstLastGood(config::Sources& sources);

}  // namespace indigosaddle::node
