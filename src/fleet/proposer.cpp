#include "fleet/proposer.h"

#include <algorithm>
#include <sstream>

namespace indigosaddle::fleet {
namespace {

constexpr int kRoundsPerTerm = 8;  // a question without a majority's answer so soon is asked anew
constexpr int kRenewsPerTerm = 3;  // a holder asks again this often
constexpr std::int64_t kPercent = 100;

}  // namespace

// Slowest holder: its span lasts HolderTerm / (1 - drift). Fastest voter: its term lasts term / (1 + drift).
Micros HolderTerm(Micros term, double drift) {
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(term) *
                                            ((1 - drift) / (1 + drift)));
}

Proposer::Proposer(std::string self, std::uint64_t start, std::string resource,
                   std::vector<std::string> voters, const Timing& pace, std::uint64_t seed,
                   std::uint64_t floor)
    : self_(std::move(self)),
      start_(start),
      resource_(std::move(resource)),
      voters_(std::move(voters)),
      term_(pace.lease),
      holder_term_(HolderTerm(pace.lease, pace.drift)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      counter_(floor) {}

Micros Proposer::Part(std::int64_t least, std::int64_t most) {
  return term_ *
         (least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1))) /
         kPercent;
}

void Proposer::Want(bool want, Micros now, Words& words) {
  if (wants_ == want) return;
  wants_ = want;
  if (want) {
    next_ = now + Part(0, 10);
    return;
  }
  const bool held = Holds(now);
  until_ = Micros::min();  // from here on it is not used: only then may others hear so
  phase_ = Phase::kIdle;
  prepared_ = false;  // the ballot is spent: a late release of it must not end a later lease
  if (held) {
    ballot_ = held_;
    Ask(LeaseKind::kRelease, now, words);
  }
}

void Proposer::Ask(LeaseKind kind, Micros now, Words& words) {
  answered_.clear(), blocked_.clear();
  ++round_;
  asked_ = now;
  ends_ = now + term_ / kRoundsPerTerm;
  for (const std::string& voter : voters_)
    words.emplace_back(voter, LeaseWord{kind, resource_, ballot_, round_, {}, false});
}

void Proposer::GiveUp(Micros next) {
  phase_ = Phase::kIdle;
  next_ = next;
}

void Proposer::Tick(Micros now, Words& words) {
  if (!wants_) return;
  if (phase_ != Phase::kIdle && now >= ends_) GiveUp(now + (Holds(now) ? Part(1, 4) : Part(5, 20)));
  if (phase_ != Phase::kIdle || now < next_) return;
  if (!prepared_) {
    ballot_ = {++counter_, self_, start_};
    phase_ = Phase::kPreparing;
    Ask(LeaseKind::kPrepare, now, words);
  } else {
    phase_ = Phase::kProposing;
    Ask(LeaseKind::kPropose, now, words);
  }
}

void Proposer::On(const std::string& from, const LeaseWord& word, Micros now, Words& words) {
  if (word.kind == LeaseKind::kReject) counter_ = std::max(counter_, word.accepted.counter);
  if (!wants_ || phase_ == Phase::kIdle || word.ballot != ballot_ || word.round != round_) return;
  if (std::find(voters_.begin(), voters_.end(), from) == voters_.end()) return;
  if (word.kind == LeaseKind::kReject) {
    prepared_ = false;
    return GiveUp(now + (Holds(now) ? Part(1, 4) : Part(5, 20)));
  }
  const bool ours = word.accepted.proposer == self_ && word.accepted.start == start_;
  if (word.kind == LeaseKind::kPromise && phase_ == Phase::kPreparing) {
    // Free is what a majority says has run out, or never was: no other majority can have it then.
    (word.accepted.counter == 0 || ours ? answered_ : blocked_).insert(from);
    if (blocked_.size() * 2 >= voters_.size()) return GiveUp(now + Part(20, 40));
    if (answered_.size() * 2 <= voters_.size()) return;
    prepared_ = true;
    phase_ = Phase::kProposing;
    return Ask(LeaseKind::kPropose, now, words);
  }
  if (word.kind != LeaseKind::kAccept || phase_ != Phase::kProposing) return;
  answered_.insert(from);
  if (answered_.size() * 2 <= voters_.size()) return;
  phase_ = Phase::kIdle;
  next_ = asked_ + holder_term_ / kRenewsPerTerm;
  const Micros until = asked_ + holder_term_;
  if (now >= until) return;  // the answers came too late to be of use
  if (!Holds(now)) epoch_ = ballot_.counter;
  until_ = std::max(until_, until);
  held_ = ballot_;
}

std::string Proposer::State() const {
  std::ostringstream out;
  const auto put = [&](const Ballot& b) { out << b.counter << ',' << b.proposer << ',' << b.start << ';'; };
  out << counter_ << ' ' << wants_ << prepared_ << static_cast<int>(phase_) << ' ' << round_ << ' ';
  put(ballot_), put(held_);
  for (const std::string& voter : answered_) out << voter << ',';
  out << '|';
  for (const std::string& voter : blocked_) out << voter << ',';
  out << asked_.count() << ' ' << ends_.count() << ' ' << next_.count() << ' ' << until_.count() << ' '
      << epoch_ << ' ' << random_;
  return out.str();
}

Micros Proposer::NextDue() const {
  if (!wants_) return Micros::max();
  return phase_ == Phase::kIdle ? next_ : ends_;
}

}  // namespace indigosaddle::fleet
