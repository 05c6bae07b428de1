// How what the machine allows is shared out: descriptors among clients and calls, the folder's room among the
// journal, the generations and a process beside this one. No I/O.
#pragma once

#include <cstddef>

#include "net/resp_server.h"
#include "node/config.h"
#include "state/reducer.h"

namespace indigosaddle::node {

// The configuration with no more descriptors than the system allows the process: shares of descriptors that
// are not there would leave the list, notices or calls without one.
Config WithinDescriptors(Config config, std::size_t allowed);

std::size_t CallsPart(const Config& config);    // most connections to endpoints
std::size_t ClientsPart(const Config& config);  // most connections of clients
net::RespServer::Limits ServerLimits(const Config& config);

// What the journal may fill of the folder: the generations, where there are any, have room of their own, and
// two processes that share the folder have half each.
std::size_t JournalRoom(const Config& config, bool shared);
std::size_t MostLastGood(const Config& config);  // bytes of the platform's last good file
// The longest journal that is read at the start: one from before `disk_mb` was lowered is still owed.
std::size_t MostJournal(const Config& config);
state::Limits LimitsOf(const Config& config);

}  // namespace indigosaddle::node
