#include "fleet/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigosaddle::fleet {
namespace {

// Lifeguard's defaults. A suspicion lasts at least kMinSuspicionMultiplier x log10 of the fleet's size x the
// probe interval, and without any confirmation kMaxSuspicionMultiplier times that.
constexpr double kMinSuspicionMultiplier = 4;
constexpr double kMaxSuspicionMultiplier = 6;
constexpr int kConfirmations = 3;

Micros Scale(Micros span, double factor) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(span) * factor);
}

}  // namespace

Micros Members::Suspicion::Deadline() const {
  if (expected_confirmations <= 0) return began + min_timeout;
  const double others = static_cast<double>(accusers.size()) - 1;
  const double share = std::min(1.0, std::log(others + 1) / std::log(expected_confirmations + 1.0));
  return began + std::max(min_timeout, max_timeout - Scale(max_timeout - min_timeout, share));
}

Members::Members(std::string self, std::uint64_t start, std::vector<Peer> roster, const Timing& timing,
                 Gossip& gossip)
    : self_(std::move(self)), start_(start), timing_(timing), gossip_(gossip) {
  for (Peer& peer : roster) {
    if (peer.name == self_) continue;
    Member member;
    member.latest.name = peer.name;
    member.latest.liveness = Liveness::kDead;
    member.peer = std::move(peer);
    members_.emplace(member.latest.name, std::move(member));
  }
  gossip_.Add(Self());
}

MemberUpdate Members::Self() const {
  return {self_, start_, incarnation_, leaving_ ? Liveness::kLeft : Liveness::kAlive, ""};
}

std::size_t Members::present() const {
  return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(),
                                                    [](const auto& one) { return one.second.present(); }));
}

void Members::Leave() {
  leaving_ = true;
  gossip_.Add(Self());
}

void Members::ApplyAboutSelf(const MemberUpdate& update) {
  if (leaving_ || update.start < start_) return;
  if (update.start > start_) {
    // Either an old statement from before the start numbers of this name began anew (then this process takes
    // a higher number), or a later process has taken this name.
    if (update.liveness >= Liveness::kDead) {
      start_ = update.start + 1;
      incarnation_ = 0;
      superseded_ = false;
      gossip_.Add(Self());
    } else {
      superseded_ = true;
    }
    return;
  }
  if (update.liveness == Liveness::kAlive ? update.incarnation <= incarnation_
                                          : update.incarnation < incarnation_)
    return;
  incarnation_ = update.incarnation + 1;
  ++refuted_;
  gossip_.Add(Self());
}

void Members::Set(Member& member, const MemberUpdate& update, Micros now) {
  if (!member.known || member.latest.liveness != update.liveness || member.latest.start != update.start) {
    member.since = now;
  }
  member.known = true;
  member.latest = update;
  if (update.liveness != Liveness::kSuspect) suspicions_.erase(update.name);
  gossip_.Add(update);
}

bool Members::Apply(const MemberUpdate& update, Micros now) {
  if (update.name == self_) return ApplyAboutSelf(update), false;
  const auto it = members_.find(update.name);
  if (it == members_.end()) return false;  // not in the roster
  Member& member = it->second;
  const bool newer = !member.known || Supersedes(update, member.latest);
  if (update.liveness == Liveness::kSuspect && member.known && member.present() &&
      member.latest.liveness == Liveness::kSuspect && update.start == member.latest.start &&
      update.incarnation == member.latest.incarnation) {
    // A further accuser shortens the timeout, and is passed on only while it does.
    Suspicion& suspicion = suspicions_[update.name];
    if (static_cast<int>(suspicion.accusers.size()) <= suspicion.expected_confirmations &&
        suspicion.accusers.insert(update.accuser).second) {
      gossip_.Add(update);
      return true;
    }
    return false;
  }
  if (!newer) return false;
  Set(member, update, now);
  if (update.liveness == Liveness::kSuspect) {
    const double fleet = static_cast<double>(present());
    Suspicion suspicion;
    suspicion.accusers.insert(update.accuser);
    suspicion.began = now;
    suspicion.min_timeout =
        Scale(timing_.probe_every, kMinSuspicionMultiplier * std::max(1.0, std::log10(std::max(1.0, fleet))));
    suspicion.max_timeout = Scale(suspicion.min_timeout, kMaxSuspicionMultiplier);
    suspicion.expected_confirmations =
        std::min(kConfirmations, static_cast<int>(fleet) - 2);  // the accused does not count
    suspicions_[update.name] = std::move(suspicion);
  }
  return true;
}

void Members::Suspect(const std::string& name, Micros now) {
  const auto it = members_.find(name);
  if (it == members_.end() || !it->second.present()) return;
  MemberUpdate update = it->second.latest;
  update.liveness = Liveness::kSuspect;
  update.accuser = self_;
  Apply(update, now);
}

void Members::ExpireSuspicions(Micros now) {
  std::vector<std::string> due;
  for (const auto& [name, suspicion] : suspicions_)
    if (suspicion.Deadline() <= now) due.push_back(name);
  for (const std::string& name : due) {
    MemberUpdate update = members_.at(name).latest;
    update.liveness = Liveness::kDead;
    update.accuser.clear();
    Apply(update, now);
  }
}

Micros Members::NextExpiry() const {
  Micros due = Micros::max();
  for (const auto& [name, suspicion] : suspicions_) due = std::min(due, suspicion.Deadline());
  return due;
}

void Members::ShiftDeadlines(Micros gap) {
  for (auto& [name, suspicion] : suspicions_) suspicion.began += gap;
}

}  // namespace indigosaddle::fleet
