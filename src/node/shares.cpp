#include "node/shares.h"

#include <algorithm>

#include "config/store.h"

namespace indigosaddle::node {
namespace {

// Descriptors: what the program needs besides connections, and the shares of the rest. Its own at most:
// standard streams 3, the loop 5, journal and locks 5, generations 1, listeners 3, operators' callers 8 and
// control peers 8, two lists during a move 4 (one that is closing each), notices 2; the fleet has what is
// left of 48.
constexpr std::size_t kOwnDescriptors = 48;
constexpr std::size_t kLeastConnections = 8;
constexpr std::size_t kClientsPart = 60;  // percent; the rest is for calls

// What the folder holds beside journal and generations: the clock, the rules, the platform's last good file,
// each with its next text while that is written. A small folder has a part of that.
constexpr std::size_t kSmallFiles = std::size_t{64} * 1024;
constexpr std::size_t kSmallFilesPart = 32;  // of the folder, at the most one in so many

std::size_t SmallFilesRoom(const Config& config) {
  return std::min(kSmallFiles, config.disk_bytes / kSmallFilesPart);
}

std::size_t Connections(const Config& config) {
  const std::size_t least = 2 * kLeastConnections;
  return std::max(least, config.sockets > kOwnDescriptors ? config.sockets - kOwnDescriptors : 0);
}
std::size_t ForClients(const Config& config) { return Connections(config) * kClientsPart / 100; }

}  // namespace

Config WithinDescriptors(Config config, std::size_t allowed) {
  config.sockets = std::min(config.sockets, allowed);
  return config;
}

std::size_t CallsPart(const Config& config) { return Connections(config) - ForClients(config); }

std::size_t ClientsPart(const Config& config) {
  const std::size_t most = ForClients(config);
  return config.client_connections > 0 ? std::min(most, config.client_connections) : most;
}
net::RespServer::Limits ServerLimits(const Config& config) {
  return {ClientsPart(config),
          static_cast<std::size_t>(static_cast<double>(config.memory_bytes) * config.client_memory_share)};
}

std::size_t JournalRoom(const Config& config, bool shared) {
  const std::size_t all = config.disk_bytes - SmallFilesRoom(config) -
                          (config.has_operators_file ? config::MaxStoreBytes(config.disk_bytes) : 0);
  return shared ? all / 2 : all;
}

std::size_t MostLastGood(const Config& config) { return SmallFilesRoom(config) / 4; }

std::size_t MostJournal(const Config& config) { return std::max(config.disk_bytes, config.memory_bytes / 4); }

state::Limits LimitsOf(const Config& config) {
  return {static_cast<std::size_t>(std::max(0, config.settings.max_open)), JournalRoom(config, false),
          config.classes, config.tenants, config.zones};
}

}  // namespace indigosaddle::node
