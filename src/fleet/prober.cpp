#include "fleet/prober.h"

#include <algorithm>

namespace indigosaddle::fleet {
namespace {

constexpr std::size_t kMediators = 3;  // SWIM's k
constexpr int kHealEvery = 3;          // probe intervals between pings to a member that is not present
constexpr std::size_t kMostMediations = 1024;

}  // namespace

Prober::Prober(Members& members, const Timing& pace, std::uint64_t seed, Micros now)
    : members_(members), pace_(pace), random_(seed), seq_(random_() >> 1) {
  // Many start in one instant: they must not probe in step.
  next_ = now + pace_.probe_every * static_cast<std::int64_t>(random_() % 1000) / 1000;
  heal_at_ = now + pace_.probe_every;
}

std::vector<std::string> Prober::Some(std::size_t count, const std::string& but, bool present) {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_.all())
    if (member.present() == present && name != but) names.push_back(name);
  for (std::size_t i = 0; i < std::min(count, names.size()); ++i)
    std::swap(names[i], names[i + random_() % (names.size() - i)]);
  names.resize(std::min(count, names.size()));
  return names;
}

void Prober::Strain(int by) { strain_ = std::clamp(strain_ + by, 0, kMostStrain); }

void Prober::Refuted() { Strain(1); }

void Prober::Begin(Micros now, Asks& asks) {
  while (!ring_.empty() && !members_.all().at(ring_.back()).present()) ring_.pop_back();
  if (ring_.empty()) {
    ring_ = Some(members_.all().size(), "");  // shuffled
    if (ring_.empty()) {
      next_ = now + pace_.probe_every;
      return;
    }
  }
  const std::int64_t slow = strain_ + 1;
  Probe probe;
  probe.target = ring_.back();
  ring_.pop_back();
  probe.seq = NextSeq();
  probe.indirect_at = now + pace_.probe_timeout * slow;
  probe.ends = next_ = now + pace_.probe_every * slow;
  asks.push_back({PacketKind::kPing, probe.target, probe.seq, probe.target});
  probe_ = std::move(probe);
}

void Prober::Finish(Micros now) {
  if (probe_->answered) {
    Strain(-1);
  } else {
    // Mediators that said that they are there were reached: then the fault is likely the target's.
    Strain(probe_->mediators > 0 ? probe_->mediators - probe_->nacks : 1);
    members_.Suspect(probe_->target, now);
  }
  probe_.reset();
}

void Prober::Tick(Micros now, Asks& asks) {
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->indirect_at) {
    probe_->asked = true;
    for (const std::string& mediator : Some(kMediators, probe_->target)) {
      asks.push_back({PacketKind::kPingReq, mediator, probe_->seq, probe_->target});
      ++probe_->mediators;
    }
  }
  if (probe_ && now >= probe_->ends) Finish(now);
  if (!probe_ && now >= next_) Begin(now, asks);
  if (now >= heal_at_) {
    heal_at_ = now + pace_.probe_every * kHealEvery / 2 +
               pace_.probe_every * kHealEvery * static_cast<std::int64_t>(random_() % 1000) / 1000;
    for (const std::string& name : Some(1, "", false))
      asks.push_back({PacketKind::kPing, name, NextSeq(), name});
  }
  for (auto it = mediations_.begin(); it != mediations_.end();) {
    if (now < it->second.nack_at) {
      ++it;
      continue;
    }
    asks.push_back({PacketKind::kNack, it->second.asker, it->second.seq, ""});
    it = mediations_.erase(it);
  }
}

Micros Prober::NextDue() const {
  Micros due = std::min(next_, heal_at_);
  if (probe_) due = std::min(due, probe_->ends);
  if (probe_ && !probe_->answered && !probe_->asked) due = std::min(due, probe_->indirect_at);
  for (const auto& [seq, mediation] : mediations_) due = std::min(due, mediation.nack_at);
  return due;
}

void Prober::OnAck(const std::string& from, std::uint64_t seq, Asks& asks) {
  if (probe_ && probe_->seq == seq) {
    probe_->answered = true;
    return;
  }
  const auto it = mediations_.find(seq);
  if (it == mediations_.end() || it->second.target != from) return;
  asks.push_back({PacketKind::kAck, it->second.asker, it->second.seq, ""});
  mediations_.erase(it);
}

void Prober::OnNack(std::uint64_t seq) {
  if (probe_ && probe_->seq == seq) probe_->nacks = std::min(probe_->nacks + 1, probe_->mediators);
}

void Prober::OnPingReq(const std::string& from, std::uint64_t seq, const std::string& target, Micros now,
                       Asks& asks) {
  if (!members_.Knows(target) || mediations_.size() >= kMostMediations) return;
  const std::uint64_t own = NextSeq();
  mediations_[own] = {from, target, seq, now + pace_.probe_timeout * 4 / 5};
  asks.push_back({PacketKind::kPing, target, own, target});
}

void Prober::Thaw(Micros gap) {
  if (probe_) probe_->indirect_at += gap, probe_->ends += gap;
  next_ += gap;
  for (auto& [seq, mediation] : mediations_) mediation.nack_at += gap;
  Strain(1);
}

}  // namespace indigosaddle::fleet
