#include "fleet/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigosaddle::fleet {
namespace {

// Lifeguard's defaults. A suspicion lasts at least kLeast x log10 of the fleet x the probe interval, and
// without any confirmation kMost times that.
constexpr double kLeast = 4;
constexpr double kMost = 6;
constexpr int kConfirmations = 3;

Micros Times(Micros span, double times) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(span) * times);
}

}  // namespace

Micros Members::Suspicion::due() const {
  if (needed <= 0) return from + least;
  const double others = static_cast<double>(accusers.size()) - 1;
  const double share = std::min(1.0, std::log(others + 1) / std::log(needed + 1.0));
  return from + std::max(least, most - Times(most - least, share));
}

Members::Members(std::string self, std::uint64_t start, std::vector<Peer> roster, const Timing& pace,
                 Gossip& gossip)
    : self_(std::move(self)), start_(start), pace_(pace), gossip_(gossip) {
  for (Peer& peer : roster) {
    if (peer.name == self_) continue;
    Member member;
    member.word.name = peer.name;
    member.word.liveness = Liveness::kDead;
    member.peer = std::move(peer);
    members_.emplace(member.word.name, std::move(member));
  }
  gossip_.Add(Self());
}

MemberWord Members::Self() const {
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

void Members::HearOfSelf(const MemberWord& word) {
  if (leaving_ || word.start < start_) return;
  if (word.start > start_) {
    // What an earlier process left behind where our numbers began anew, or a later one that took our name.
    if (word.liveness >= Liveness::kDead) {
      start_ = word.start + 1, incarnation_ = 0, superseded_ = false;
      gossip_.Add(Self());
    } else {
      superseded_ = true;
    }
    return;
  }
  if (word.liveness == Liveness::kAlive ? word.incarnation <= incarnation_ : word.incarnation < incarnation_)
    return;
  incarnation_ = word.incarnation + 1;
  ++refuted_;
  gossip_.Add(Self());
}

void Members::Set(Member& member, const MemberWord& word, Micros now) {
  if (!member.known || member.word.liveness != word.liveness || member.word.start != word.start) {
    member.since = now;
  }
  member.known = true;
  member.word = word;
  if (word.liveness != Liveness::kSuspect) suspicions_.erase(word.name);
  gossip_.Add(word);
}

bool Members::Hear(const MemberWord& word, Micros now) {
  if (word.name == self_) return HearOfSelf(word), false;
  const auto it = members_.find(word.name);
  if (it == members_.end()) return false;  // the file does not name it
  Member& member = it->second;
  const bool newer = !member.known || Newer(word, member.word);
  if (word.liveness == Liveness::kSuspect && member.known && member.present() &&
      member.word.liveness == Liveness::kSuspect && word.start == member.word.start &&
      word.incarnation == member.word.incarnation) {
    // One more accuser brings the deadline nearer, and is worth telling while it does.
    Suspicion& suspicion = suspicions_[word.name];
    if (static_cast<int>(suspicion.accusers.size()) <= suspicion.needed &&
        suspicion.accusers.insert(word.accuser).second) {
      gossip_.Add(word);
      return true;
    }
    return false;
  }
  if (!newer) return false;
  Set(member, word, now);
  if (word.liveness == Liveness::kSuspect) {
    const double fleet = static_cast<double>(present());
    Suspicion suspicion;
    suspicion.accusers.insert(word.accuser);
    suspicion.from = now;
    suspicion.least = Times(pace_.probe_every, kLeast * std::max(1.0, std::log10(std::max(1.0, fleet))));
    suspicion.most = Times(suspicion.least, kMost);
    suspicion.needed = std::min(kConfirmations, static_cast<int>(fleet) - 2);  // the accused does not count
    suspicions_[word.name] = std::move(suspicion);
  }
  return true;
}

void Members::Suspect(const std::string& name, Micros now) {
  const auto it = members_.find(name);
  if (it == members_.end() || !it->second.present()) return;
  MemberWord word = it->second.word;
  word.liveness = Liveness::kSuspect;
  word.accuser = self_;
  Hear(word, now);
}

void Members::Expire(Micros now) {
  std::vector<std::string> due;
  for (const auto& [name, suspicion] : suspicions_)
    if (suspicion.due() <= now) due.push_back(name);
  for (const std::string& name : due) {
    MemberWord word = members_.at(name).word;
    word.liveness = Liveness::kDead;
    word.accuser.clear();
    Hear(word, now);
  }
}

Micros Members::NextExpiry() const {
  Micros due = Micros::max();
  for (const auto& [name, suspicion] : suspicions_) due = std::min(due, suspicion.due());
  return due;
}

void Members::Thaw(Micros gap) {
  for (auto& [name, suspicion] : suspicions_) suspicion.from += gap;
}

}  // namespace indigosaddle::fleet
