#include "node/resource_shares.h"

#include <algorithm>

#include "config/store.h"

namespace indigosaddle::node {
namespace {

// Descriptors that are not for connections of clients or to endpoints. At most: standard streams 3, the loop
// 5, journal and locks 5, generations 1, listeners 3, connections to the operators' HTTP server 8 and to the
// control socket 8, discovery at two addresses while it moves 4 (each with one connection that is closing),
// notices 2. The fleet has the rest of the 48.
constexpr std::size_t kReservedDescriptors = 48;
// Clients and calls share at least twice this many connections.
constexpr std::size_t kMinConnections = 8;
// Clients' share of the connections; the rest is for calls.
constexpr std::size_t kClientsPercent = 60;

// Bytes for the folder's files other than journal and generations: the clock, the rules and the platform's
// last good file, each with its replacement while that is written. In a small folder they have no more than
// its kSmallFilesDivisor-th part.
constexpr std::size_t kMaxSmallFilesBytes = std::size_t{64} * 1024;
constexpr std::size_t kSmallFilesDivisor = 32;

std::size_t SmallFilesQuotaBytes(const Config& config) {
  return std::min(kMaxSmallFilesBytes, config.disk_bytes / kSmallFilesDivisor);
}

std::size_t MaxConnections(const Config& config) {
  const std::size_t min = 2 * kMinConnections;
  return std::max(min, config.sockets > kReservedDescriptors ? config.sockets - kReservedDescriptors : 0);
}
std::size_t ClientsShare(const Config& config) { return MaxConnections(config) * kClientsPercent / 100; }

}  // namespace

Config WithinDescriptors(Config config, std::size_t allowed) {
  config.sockets = std::min(config.sockets, allowed);
  return config;
}

std::size_t MaxCallConnections(const Config& config) { return MaxConnections(config) - ClientsShare(config); }

std::size_t MaxClientConnections(const Config& config) {
  const std::size_t share = ClientsShare(config);
  return config.client_connections > 0 ? std::min(share, config.client_connections) : share;
}
net::RespServer::Limits ServerLimits(const Config& config) {
  const auto bytes =
      static_cast<std::size_t>(static_cast<double>(config.memory_bytes) * config.client_memory_share);
  return {MaxClientConnections(config), bytes};
}

std::size_t JournalQuotaBytes(const Config& config) {
  return config.disk_bytes - SmallFilesQuotaBytes(config) -
         (config.has_operators_file ? config::MaxStoreBytes(config.disk_bytes) : 0);
}

std::size_t MaxLastGoodBytes(const Config& config) { return SmallFilesQuotaBytes(config) / 4; }

std::size_t MaxReadJournalBytes(const Config& config) {
  return std::max(config.disk_bytes, config.memory_bytes / 4);
}

state::Limits ReducerLimits(const Config& config) {
  return {static_cast<std::size_t>(std::max(0, config.settings.max_open)), JournalQuotaBytes(config),
          config.classes, config.tenants, config.zones};
}

}  // namespace indigosaddle::node
