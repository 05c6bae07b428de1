// Exchange of information between the node and the fleet.
#include <algorithm>
#include <utility>

#include "base/log_events.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

// Shorter losses of discovery's watch are ordinary renewals, and shorter times without a connected client are
// normal.
constexpr Micros kListLostAfter = std::chrono::seconds(10);
constexpr Micros kClientsGoneAfter = std::chrono::seconds(60);

}  // namespace

// A successor does not join the fleet until it owns the folder, as the folder holds the voter's memory.
bool Node::StartFleet() {
  if (config_.fleet.listen.empty() || fleet_ != nullptr) return true;
  auto link = std::make_unique<FleetLink>(loop_, config_, log_, [this] { OnFleetSnapshot(); });
  if (const std::string reason = link->Start(); !reason.empty()) {
    log_.Write(base::kListenFailed, config_.fleet.listen, reason);
    return false;
  }
  fleet_ = std::move(link);
  senders_in_force_ = config_.settings.senders;
  return true;
}

Settings Node::SettingsInForce() const {
  Settings settings = config_.settings;
  if (fleet_ == nullptr) return settings;
  const auto configured_senders = static_cast<std::size_t>(std::max(1, settings.senders));
  settings.senders = static_cast<int>(fleet_->Senders(configured_senders));
  return settings;
}

void Node::OnFleetSnapshot() {
  if (fleet_ == nullptr) return;
  for (const std::string& zone : fleet_->NewlyLostZones()) {
    deferred_effects_.push_back(state::TellZoneLost{NumberOf(config_.zones, zone)});
    turn_due_ = true;
  }
  if (!config_.fleet.count_senders) return;
  if (const int senders = SettingsInForce().senders; senders != senders_in_force_) {
    log_.Write(base::kFleetSenders, static_cast<std::uint64_t>(senders));
    PushSettings();
  }
}

// Queues the settings in force as an event of the next turn.
void Node::PushSettings() {
  Settings settings = SettingsInForce();
  senders_in_force_ = settings.senders;
  const auto max_open = static_cast<std::size_t>(std::max(0, settings.max_open));
  Push(state::SettingsChanged{std::move(settings), max_open, config_.classes, config_.tenants});
}

void Node::UpdateFleetConditions() {
  const Micros now = loop_.Now();
  if (server_.connections() > 0) clients_seen_at_ = now;
  if (fleet_ == nullptr) return;
  const bool watch_stands = now - discovery_.watch_lost_at().value_or(now) < kListLostAfter;
  const bool list_current = watch_stands && !discovery_.outdated();
  const bool clients_present = now - std::max(clients_seen_at_, started_at_) < kClientsGoneAfter;
  fleet_->SetLocalConditions(list_current, clients_present);
}

}  // namespace indigosaddle::node
