#include "config/transaction.h"

#include <algorithm>
#include <utility>

namespace indigosaddle::config {
namespace {

constexpr int kMostDeaths = 1;  // of the process in one generation's trial; one may be chance
constexpr Micros kSaveAgain = std::chrono::seconds(5);

}  // namespace

void Transactions::On(const TransactionEvent& event, TransactionEffects& effects) {
  std::visit([&](const auto& e) { Handle(e, effects); }, event);
}

void Transactions::Handle(const Started& e, TransactionEffects& effects) {
  history_ = e.history;
  now_ = e.now;
  phase_ = Phase::kIdle;
  const bool planned = std::exchange(history_.stopped, false);
  if (const std::uint64_t number = std::exchange(history_.on_trial, 0); number != 0) {
    if (Generation* cut = history_.Find(number); cut != nullptr && cut->result == Result::kOnTrial) {
      cut->deaths += planned ? 0 : 1;
      const bool often = cut->deaths > kMostDeaths;
      if (often) {
        cut->result = Result::kUndone;
        cut->why = "the process died in its trial more than once";
      }
      effects.emplace_back(
          Tell{Told::kInterrupted, number, history_.kept, cut->author,
               often ? cut->why : "it is tried once more when the node has served for a while"});
    }
  }
  for (const Generation& generation : history_.generations) {
    if (generation.result == Result::kOnTrial) resume_at_ = now_ + rules_.resume_after;
  }
  if (resume_at_ > Micros(0)) effects.emplace_back(ArmTimer{resume_at_});
  effects.emplace_back(Save{});  // its answer finds nothing in work
}

void Transactions::Refuse(const Proposal& proposal, std::string reason, TransactionEffects& effects) {
  effects.emplace_back(Tell{Told::kRefused, 0, in_force(), proposal.author, reason});
  if (proposal.ticket != 0) effects.emplace_back(Answer{proposal.ticket, false, 0, std::move(reason)});
}

void Transactions::Handle(const Proposed& e, TransactionEffects& effects) {
  now_ = e.now;
  const Proposal& proposal = e.proposal;
  if (!proposal.faults.empty()) {
    std::string all;
    for (const std::string& fault : proposal.faults) all += (all.empty() ? "" : "\n") + fault;
    return Refuse(proposal, std::move(all), effects);
  }
  if (stopping_) return Refuse(proposal, "the node is stopping", effects);
  if (phase_ != Phase::kIdle) {
    if (!proposal.wait) {
      return Refuse(proposal,
                    Numbered(history_.on_trial) + " is on trial; wait for its end, or ask to be queued",
                    effects);
    }
    if (queue_.size() >= kMostQueued) return Refuse(proposal, "too many changes wait already", effects);
    queue_.push_back(proposal);
    return;
  }
  if (proposal.no_change) {
    if (!proposal.file_hash.empty()) history_.seen_file = proposal.file_hash;
    if (proposal.ticket != 0) {
      effects.emplace_back(Answer{proposal.ticket, true, history_.kept, "nothing changes"});
    }
    return;
  }
  Stage(proposal, e.now, effects);
}

// What it was judged against has changed since.
void Transactions::Handle(const Rechecked& e, TransactionEffects& effects) {
  Handle(Proposed{e.proposal, e.now}, effects);
  if (phase_ == Phase::kIdle) Next(effects);
}

void Transactions::Stage(const Proposal& proposal, Micros now, TransactionEffects& effects) {
  for (Generation& old : history_.generations) {  // what waited to be tried once more
    if (old.result != Result::kOnTrial) continue;
    old.result = Result::kUndone;
    old.why = "superseded while it waited for a second trial";
  }
  resume_at_ = Micros(0);
  Generation next;
  next.number = history_.generations.empty() ? 1 : history_.generations.back().number + 1;
  next.author = proposal.author;
  next.reason = proposal.reason;
  next.document = proposal.document;
  next.at = now;
  history_.generations.push_back(std::move(next));
  history_.on_trial = history_.generations.back().number;
  // The oldest go, but never the kept one: it is what everything falls back to.
  for (auto it = history_.generations.begin(); history_.generations.size() > kMostListed;) {
    it = it->number == history_.kept ? std::next(it) : history_.generations.erase(it);
  }
  if (!proposal.file_hash.empty()) history_.seen_file = proposal.file_hash;
  ticket_ = proposal.ticket;
  phase_ = Phase::kStaging;
  effects.emplace_back(Save{});
}

void Transactions::Resume(TransactionEffects& effects) {
  resume_at_ = Micros(0);
  for (const Generation& generation : history_.generations) {
    if (generation.result == Result::kOnTrial) history_.on_trial = generation.number;
  }
  if (history_.on_trial == 0) return;
  ticket_ = 0;
  phase_ = Phase::kStaging;
  effects.emplace_back(Save{});
}

void Transactions::Handle(const Saved& e, TransactionEffects& effects) {
  if (!e.ok) effects.emplace_back(Tell{Told::kStoreFailed, history_.on_trial, history_.kept, "", ""});
  if (phase_ == Phase::kStaging) {
    const std::uint64_t number = history_.on_trial;
    const Generation& staged = *history_.Find(number);
    if (!e.ok) {
      Proposal proposal;
      proposal.ticket = std::exchange(ticket_, 0);
      proposal.author = staged.author;
      history_.on_trial = 0;
      std::erase_if(history_.generations, [&](const Generation& g) { return g.number == number; });
      phase_ = Phase::kIdle;
      Refuse(proposal, "the state folder does not take it: nothing was applied", effects);
      return Next(effects);
    }
    phase_ = Phase::kApplying;
    effects.emplace_back(Apply{number, staged.document, false});
  } else if (phase_ == Phase::kKeeping) {
    Generation& generation = *history_.Find(history_.kept);
    if (!e.ok) {  // in force, but the next start would not know: tried again
      generation.result = Result::kOnTrial;
      history_.on_trial = std::exchange(history_.kept, kept_before_);
      phase_ = Phase::kTrial;
      trial_ends_ = now_ + kSaveAgain;
      effects.emplace_back(ArmTimer{trial_ends_});
      return;
    }
    phase_ = Phase::kIdle;
    effects.emplace_back(
        Tell{Told::kKept, generation.number, generation.number, generation.author, generation.why});
    Next(effects);
  }
}

void Transactions::Handle(const Applied& e, TransactionEffects& effects) {
  if (phase_ != Phase::kApplying) return;  // an undo, which has nothing to wait for
  Generation& generation = *history_.Find(history_.on_trial);
  const std::uint64_t ticket = std::exchange(ticket_, 0);
  if (!e.trouble.empty()) {
    generation.result = Result::kUndone;
    generation.why = "it could not be applied: " + e.trouble;
    history_.on_trial = 0;
    phase_ = Phase::kIdle;
    if (ticket != 0) effects.emplace_back(Answer{ticket, false, generation.number, generation.why});
    effects.emplace_back(
        Tell{Told::kUndone, generation.number, history_.kept, generation.author, generation.why});
    effects.emplace_back(Save{});
    return Next(effects);
  }
  phase_ = Phase::kTrial;
  trial_ends_ = now_ + rules_.trial;
  kept_why_.clear();
  effects.emplace_back(BeginTrial{});
  effects.emplace_back(ArmTimer{trial_ends_});
  effects.emplace_back(
      Tell{Told::kOnTrial, generation.number, history_.kept, generation.author, generation.reason});
  if (ticket != 0) effects.emplace_back(Answer{ticket, true, generation.number, "in force, on trial"});
}

void Transactions::Handle(const GuardSaid& e, TransactionEffects& effects) {
  if (phase_ != Phase::kTrial || !kept_why_.empty()) return;
  if (e.burst) return Undo(e.why, effects);
  if (!e.ended) return;
  kept_why_ = e.why.empty() ? "the trial ended" : e.why;
  Keep(effects);
}

void Transactions::Keep(TransactionEffects& effects) {
  Generation& generation = *history_.Find(history_.on_trial);
  generation.result = Result::kKept;
  generation.why = kept_why_;
  kept_before_ = std::exchange(history_.kept, std::exchange(history_.on_trial, 0));
  phase_ = Phase::kKeeping;
  effects.emplace_back(Save{});
}

void Transactions::Undo(const std::string& why, TransactionEffects& effects) {
  Generation& generation = *history_.Find(history_.on_trial);
  const Generation* kept = history_.Find(history_.kept);
  generation.result = Result::kUndone;
  generation.why = why;
  history_.on_trial = 0;
  phase_ = Phase::kIdle;
  effects.emplace_back(CancelTrial{});
  effects.emplace_back(Apply{history_.kept, kept == nullptr ? std::string() : kept->document, true});
  effects.emplace_back(Tell{Told::kUndone, generation.number, history_.kept, generation.author, why});
  effects.emplace_back(Save{});
  Next(effects);
}

void Transactions::Handle(const Due& e, TransactionEffects& effects) {
  now_ = e.now;
  if (phase_ == Phase::kTrial && now_ >= trial_ends_) {
    kept_why_.empty() ? static_cast<void>(effects.emplace_back(EndTrial{})) : Keep(effects);
  } else if (phase_ == Phase::kIdle && !stopping_ && resume_at_ > Micros(0) && now_ >= resume_at_) {
    Resume(effects);
  } else if (phase_ == Phase::kTrial) {  // a timer may be early by a part of its unit
    effects.emplace_back(ArmTimer{trial_ends_});
  } else if (phase_ == Phase::kIdle && !stopping_ && resume_at_ > Micros(0)) {
    effects.emplace_back(ArmTimer{resume_at_});
  }
}

void Transactions::Handle(const StopAsked&, TransactionEffects& effects) {
  if (std::exchange(stopping_, true)) return;
  for (const Proposal& proposal : std::exchange(queue_, {}))
    Refuse(proposal, "the node is stopping", effects);
  history_.stopped = true;  // a trial that a planned stop cuts off is no sign against it
  if (!history_.generations.empty()) effects.emplace_back(Save{});
}

void Transactions::Next(TransactionEffects& effects) {
  if (queue_.empty()) return;
  Proposal proposal = std::move(queue_.front());
  queue_.pop_front();
  effects.emplace_back(Check{std::move(proposal)});
}

}  // namespace indigosaddle::config
