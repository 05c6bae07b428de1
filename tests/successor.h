// A process that is started to replace a running one, as the platform starts it.
#pragma once

#include <string>

#include "stand_ins.h"

namespace indigosaddle::testing {

// Gives the successor the predecessor's configuration, clients' address and state folder.
inline void ConfigureAsSuccessor(NodeProcess& successor, const NodeProcess& predecessor) {
  successor.config = predecessor.config;
  successor.config["listen"] = "127.0.0.1:" + std::to_string(predecessor.port);
  successor.shared_state = predecessor.folder + "/state";
}

}  // namespace indigosaddle::testing
