// Divides the resources of the machine: descriptors among clients and calls, the state folder's bytes among
// the journal and the generations of the configuration. No I/O.
#pragma once

#include <cstddef>

#include "net/resp_server.h"
#include "node/config.h"
#include "state/reducer.h"

namespace indigosaddle::node {

// The configuration with no more descriptors than the system allows the process. Shares of descriptors that
// don't exist would leave discovery, the notices or the calls without one.
Config WithinDescriptors(Config config, std::size_t allowed);

// Most connections to endpoints.
std::size_t MaxCallConnections(const Config& config);
// Most connections of clients.
std::size_t MaxClientConnections(const Config& config);
// Limits of the server that clients connect to.
net::RespServer::Limits ServerLimits(const Config& config);

// Bytes of the folder that the journal may fill. The generations, if there are any, have a share of their
// own.
std::size_t JournalQuotaBytes(const Config& config);
// Most bytes of the platform's last good file.
std::size_t MaxLastGoodBytes(const Config& config);
// The longest journal that is read at a start. It may be longer than the quota: the messages of a journal
// that was written before `disk_mb` was lowered are still pending.
std::size_t MaxReadJournalBytes(const Config& config);
// Limits of the reducer.
state::Limits ReducerLimits(const Config& config);

}  // namespace indigosaddle::node
