// What the node and the fleet tell each other.
#include <algorithm>
#include <utility>

#include "base/log_events.h"
#include "node/node.h"

namespace indigosaddle::node {
namespace {

// Shorter losses of discovery's watch are its ordinary renewals; shorter quiet is no lack of clients.
constexpr Micros kListLost = std::chrono::seconds(10);
constexpr Micros kClientsGone = std::chrono::seconds(60);

}  // namespace

// A successor shares nothing until the folder is its own: the voter's memory is in there.
bool Node::StartFleet() {
  if (config_.fleet.listen.empty() || fleet_ != nullptr) return true;
  auto link = std::make_unique<FleetLink>(loop_, config_, log_, [this] { OnFleet(); });
  if (const std::string reason = link->Start(); !reason.empty()) {
    log_.Write(base::kListenFailed, config_.fleet.listen, reason);
    return false;
  }
  fleet_ = std::move(link);
  senders_in_force_ = config_.settings.senders;
  return true;
}

Settings Node::InForce() const {
  Settings settings = config_.settings;
  if (fleet_ == nullptr) return settings;
  const auto by_file = static_cast<std::size_t>(std::max(1, settings.senders));
  settings.senders = static_cast<int>(fleet_->Senders(by_file));
  return settings;
}

void Node::OnFleet() {
  if (fleet_ == nullptr) return;
  for (const std::string& zone : fleet_->NewlyLostZones()) {
    later_.push_back(state::TellZoneLost{NumberOf(config_.zones, zone)});
    turn_due_ = true;
  }
  if (!config_.fleet.count_senders) return;
  if (const int senders = InForce().senders; senders != senders_in_force_) {
    log_.Write(base::kFleetSenders, static_cast<std::uint64_t>(senders));
    PushSettings();
  }
}

// What is in force, for the next turn.
void Node::PushSettings() {
  Settings settings = InForce();
  senders_in_force_ = settings.senders;
  const auto max_open = static_cast<std::size_t>(std::max(0, settings.max_open));
  Push(state::SettingsChanged{std::move(settings), max_open, config_.classes, config_.tenants});
}

void Node::TellFleet() {
  const Micros now = loop_.Now();
  if (server_.connections() > 0) clients_seen_at_ = now;
  if (fleet_ == nullptr) return;
  const bool list = list_lost_at_ == Micros(0) || now - list_lost_at_ < kListLost;
  const bool clients = now - std::max(clients_seen_at_, started_at_) < kClientsGone;
  fleet_->SetLocalConditions(list, clients);
}

}  // namespace indigosaddle::node
