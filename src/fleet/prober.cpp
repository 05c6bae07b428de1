#include "fleet/prober.h"

#include <algorithm>

namespace indigosaddle::fleet {
namespace {

constexpr std::size_t kIndirectProbes = 3;  // SWIM's k
// Probe intervals, on average, between pings to members that are not present.
constexpr int kReconnectPingEvery = 3;
constexpr std::size_t kMaxRelayedPings = 1024;

}  // namespace

Prober::Prober(Members& members, const Timing& timing, std::uint64_t seed, Micros now)
    : members_(members), timing_(timing), random_(seed), seq_(random_() >> 1) {
  // Members that start at the same instant must not probe in step.
  next_probe_at_ = now + timing_.probe_every * static_cast<std::int64_t>(random_() % 1000) / 1000;
  reconnect_ping_at_ = now + timing_.probe_every;
}

std::vector<std::string> Prober::RandomMembers(std::size_t count, const std::string& except, bool present) {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_.all())
    if (member.present() == present && name != except) names.push_back(name);
  for (std::size_t i = 0; i < std::min(count, names.size()); ++i)
    std::swap(names[i], names[i + random_() % (names.size() - i)]);
  names.resize(std::min(count, names.size()));
  return names;
}

void Prober::AdjustHealthPenalty(int by) {
  health_penalty_ = std::clamp(health_penalty_ + by, 0, kMaxHealthPenalty);
}

void Prober::OnRefutation() { AdjustHealthPenalty(1); }

void Prober::Begin(Micros now, ProbeMessages& messages) {
  while (!round_targets_.empty() && !members_.all().at(round_targets_.back()).present())
    round_targets_.pop_back();
  if (round_targets_.empty()) {
    round_targets_ = RandomMembers(members_.all().size(), "");  // shuffled
    if (round_targets_.empty()) {
      next_probe_at_ = now + timing_.probe_every;
      return;
    }
  }
  const std::int64_t slow = health_penalty_ + 1;
  Probe probe;
  probe.target = round_targets_.back();
  round_targets_.pop_back();
  probe.seq = NextSeq();
  probe.indirect_at = now + timing_.probe_timeout * slow;
  probe.deadline = next_probe_at_ = now + timing_.probe_every * slow;
  messages.push_back({PacketKind::kPing, probe.target, probe.seq, probe.target});
  probe_ = std::move(probe);
}

void Prober::Finish(Micros now) {
  if (probe_->answered) {
    AdjustHealthPenalty(-1);
  } else {
    // Relays that sent a nack were reachable, so the fault is likely the target's and not this process's.
    AdjustHealthPenalty(probe_->relays > 0 ? probe_->relays - probe_->nacks : 1);
    members_.Suspect(probe_->target, now);
  }
  probe_.reset();
}

void Prober::Tick(Micros now, ProbeMessages& messages) {
  if (probe_ && !probe_->answered && !probe_->indirect_sent && now >= probe_->indirect_at) {
    probe_->indirect_sent = true;
    for (const std::string& relay : RandomMembers(kIndirectProbes, probe_->target)) {
      messages.push_back({PacketKind::kPingReq, relay, probe_->seq, probe_->target});
      ++probe_->relays;
    }
  }
  if (probe_ && now >= probe_->deadline) Finish(now);
  if (!probe_ && now >= next_probe_at_) Begin(now, messages);
  if (now >= reconnect_ping_at_) {
    reconnect_ping_at_ =
        now + timing_.probe_every * kReconnectPingEvery / 2 +
        timing_.probe_every * kReconnectPingEvery * static_cast<std::int64_t>(random_() % 1000) / 1000;
    for (const std::string& name : RandomMembers(1, "", false))
      messages.push_back({PacketKind::kPing, name, NextSeq(), name});
  }
  for (auto it = relayed_pings_.begin(); it != relayed_pings_.end();) {
    if (now < it->second.nack_at) {
      ++it;
      continue;
    }
    messages.push_back({PacketKind::kNack, it->second.requester, it->second.seq, ""});
    it = relayed_pings_.erase(it);
  }
}

Micros Prober::NextDue() const {
  Micros due = std::min(next_probe_at_, reconnect_ping_at_);
  if (probe_) due = std::min(due, probe_->deadline);
  if (probe_ && !probe_->answered && !probe_->indirect_sent) due = std::min(due, probe_->indirect_at);
  for (const auto& [seq, relayed] : relayed_pings_) due = std::min(due, relayed.nack_at);
  return due;
}

void Prober::OnAck(const std::string& from, std::uint64_t seq, ProbeMessages& messages) {
  if (probe_ && probe_->seq == seq) {
    probe_->answered = true;
    return;
  }
  const auto it = relayed_pings_.find(seq);
  if (it == relayed_pings_.end() || it->second.target != from) return;
  messages.push_back({PacketKind::kAck, it->second.requester, it->second.seq, ""});
  relayed_pings_.erase(it);
}

void Prober::OnNack(std::uint64_t seq) {
  if (probe_ && probe_->seq == seq) probe_->nacks = std::min(probe_->nacks + 1, probe_->relays);
}

void Prober::OnPingReq(const std::string& from, std::uint64_t seq, const std::string& target, Micros now,
                       ProbeMessages& messages) {
  if (!members_.Knows(target) || relayed_pings_.size() >= kMaxRelayedPings) return;
  const std::uint64_t own = NextSeq();
  relayed_pings_[own] = {from, target, seq, now + timing_.probe_timeout * 4 / 5};
  messages.push_back({PacketKind::kPing, target, own, target});
}

void Prober::ShiftDeadlines(Micros gap) {
  if (probe_) {
    probe_->indirect_at += gap;
    probe_->deadline += gap;
  }
  next_probe_at_ += gap;
  for (auto& [seq, relayed] : relayed_pings_) relayed.nack_at += gap;
  AdjustHealthPenalty(1);
}

}  // namespace indigosaddle::fleet
