#include "fleet/proposer.h"

#include <algorithm>
#include <sstream>

namespace indigosaddle::fleet {
namespace {

constexpr int kRoundsPerTerm = 8;  // a round without a majority is aborted after this part of the term
constexpr int kRenewsPerTerm = 3;  // how often a holder renews within its term
constexpr std::int64_t kPercent = 100;

}  // namespace

// On the slowest holder's clock HolderTerm takes HolderTerm / (1 - drift) of real time; on the fastest
// voter's clock the term takes term / (1 + drift). Both are equal.
Micros HolderTerm(Micros term, double drift) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(term) *
                                            ((1 - drift) / (1 + drift)));
}

Proposer::Proposer(std::string self, std::uint64_t start, std::string resource,
                   std::vector<std::string> voters, const Timing& timing, std::uint64_t seed,
                   std::uint64_t epoch_floor)
    : self_(std::move(self)),
      start_(start),
      resource_(std::move(resource)),
      voters_(std::move(voters)),
      term_(timing.lease),
      holder_term_(HolderTerm(timing.lease, timing.drift)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      counter_(epoch_floor) {}

Micros Proposer::RandomTermPart(std::int64_t min_percent, std::int64_t max_percent) {
  return term_ *
         (min_percent +
          static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(max_percent - min_percent + 1))) /
         kPercent;
}

void Proposer::SetWanted(bool want, Micros now, LeaseMessages& messages) {
  if (wants_ == want) return;
  wants_ = want;
  if (want) {
    next_round_at_ = now + RandomTermPart(0, 10);
    return;
  }
  const bool held = Holds(now);
  until_ = Micros::min();  // stop using the lease before others are told
  phase_ = Phase::kIdle;
  prepared_ = false;  // never reuse the ballot: a delayed release of it must not end a later lease
  if (held) {
    ballot_ = held_ballot_;
    Broadcast(LeaseKind::kRelease, now, messages);
  }
}

void Proposer::Broadcast(LeaseKind kind, Micros now, LeaseMessages& messages) {
  answered_.clear();
  blocked_.clear();
  ++round_;
  round_began_ = now;
  round_ends_ = now + term_ / kRoundsPerTerm;
  for (const std::string& voter : voters_)
    messages.emplace_back(voter, LeaseMessage{kind, resource_, ballot_, round_, {}, false});
}

void Proposer::AbortRound(Micros next) {
  phase_ = Phase::kIdle;
  next_round_at_ = next;
}

void Proposer::Tick(Micros now, LeaseMessages& messages) {
  if (!wants_) return;
  if (phase_ != Phase::kIdle && now >= round_ends_)
    AbortRound(now + (Holds(now) ? RandomTermPart(1, 4) : RandomTermPart(5, 20)));
  if (phase_ != Phase::kIdle || now < next_round_at_) return;
  if (!prepared_) {
    ballot_ = {++counter_, self_, start_};
    phase_ = Phase::kPreparing;
    Broadcast(LeaseKind::kPrepare, now, messages);
  } else {
    phase_ = Phase::kProposing;
    Broadcast(LeaseKind::kPropose, now, messages);
  }
}

void Proposer::OnMessage(const std::string& from, const LeaseMessage& message, Micros now,
                         LeaseMessages& messages) {
  if (message.kind == LeaseKind::kReject) counter_ = std::max(counter_, message.accepted.counter);
  if (!wants_ || phase_ == Phase::kIdle || message.ballot != ballot_ || message.round != round_) return;
  if (std::find(voters_.begin(), voters_.end(), from) == voters_.end()) return;
  if (message.kind == LeaseKind::kReject) {
    prepared_ = false;
    return AbortRound(now + (Holds(now) ? RandomTermPart(1, 4) : RandomTermPart(5, 20)));
  }
  const bool ours = message.accepted.proposer == self_ && message.accepted.start == start_;
  if (message.kind == LeaseKind::kPromise && phase_ == Phase::kPreparing) {
    // The lease is free where a majority reports that none runs: then no other majority can have granted it.
    (message.accepted.counter == 0 || ours ? answered_ : blocked_).insert(from);
    if (blocked_.size() * 2 >= voters_.size()) return AbortRound(now + RandomTermPart(20, 40));
    if (answered_.size() * 2 <= voters_.size()) return;
    prepared_ = true;
    phase_ = Phase::kProposing;
    return Broadcast(LeaseKind::kPropose, now, messages);
  }
  if (message.kind != LeaseKind::kAccept || phase_ != Phase::kProposing) return;
  answered_.insert(from);
  if (answered_.size() * 2 <= voters_.size()) return;
  phase_ = Phase::kIdle;
  next_round_at_ = round_began_ + holder_term_ / kRenewsPerTerm;
  const Micros until = round_began_ + holder_term_;
  if (now >= until) return;  // the answers came too late
  if (!Holds(now)) epoch_ = ballot_.counter;
  until_ = std::max(until_, until);
  held_ballot_ = ballot_;
}

std::string Proposer::StateKey() const {
  std::ostringstream out;
  const auto put = [&](const Ballot& b) { out << b.counter << ',' << b.proposer << ',' << b.start << ';'; };
  out << counter_ << ' ' << wants_ << prepared_ << static_cast<int>(phase_) << ' ' << round_ << ' ';
  put(ballot_);
  put(held_ballot_);
  for (const std::string& voter : answered_) out << voter << ',';
  out << '|';
  for (const std::string& voter : blocked_) out << voter << ',';
  out << round_began_.count() << ' ' << round_ends_.count() << ' ' << next_round_at_.count() << ' '
      << until_.count() << ' ' << epoch_ << ' ' << random_;
  return out.str();
}

Micros Proposer::NextDue() const {
  if (!wants_) return Micros::max();
  return phase_ == Phase::kIdle ? next_round_at_ : round_ends_;
}

}  // namespace indigosaddle::fleet
