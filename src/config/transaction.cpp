#include "config/transaction.h"

#include <algorithm>
#include <utility>

namespace indigosaddle::config {
namespace {

// With more crashes of the process on its trial a generation is undone. One crash may be a coincidence.
constexpr int kMaxCrashesOnTrial = 1;
constexpr Micros kSaveRetryDelay = std::chrono::seconds(5);

}  // namespace

void Transactions::On(const TransactionEvent& event, TransactionEffects& effects) {
  std::visit([&](const auto& e) { Handle(e, effects); }, event);
}

void Transactions::Handle(const Started& e, TransactionEffects& effects) {
  history_ = e.history;
  now_ = e.now;
  phase_ = Phase::kIdle;
  const bool planned_stop = std::exchange(history_.planned_stop, false);
  if (const std::uint64_t number = std::exchange(history_.on_trial, 0); number != 0) {
    if (Generation* interrupted = history_.Find(number);
        interrupted != nullptr && interrupted->result == GenerationResult::kOnTrial) {
      interrupted->crashes_on_trial += planned_stop ? 0 : 1;
      const bool too_often = interrupted->crashes_on_trial > kMaxCrashesOnTrial;
      if (too_often) {
        interrupted->result = GenerationResult::kUndone;
        interrupted->result_reason = "the process died in its trial more than once";
      }
      effects.emplace_back(WriteLog{LogKind::kInterrupted, number, history_.kept, interrupted->author,
                                    too_often
                                        ? interrupted->result_reason
                                        : "it is tried once more when the node has served for a while"});
    }
  }
  for (const Generation& generation : history_.generations) {
    if (generation.result == GenerationResult::kOnTrial) resume_at_ = now_ + rules_.resume_after;
  }
  if (resume_at_ > Micros(0)) effects.emplace_back(ArmTimer{resume_at_});
  effects.emplace_back(Save{});  // its answer has no effect while the phase is kIdle
}

void Transactions::Refuse(const Proposal& proposal, std::string reason, TransactionEffects& effects) {
  effects.emplace_back(WriteLog{LogKind::kRefused, 0, in_force(), proposal.author, reason});
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
    if (!proposal.queue_if_busy) {
      return Refuse(
          proposal,
          GenerationLabel(history_.on_trial) + " is on trial; wait for its end, or ask to be queued",
          effects);
    }
    if (queue_.size() >= kMaxQueuedProposals)
      return Refuse(proposal, "too many changes wait already", effects);
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

// A proposal that was queued, or goes back to an earlier generation, has been checked against what is in
// force now.
void Transactions::Handle(const Rechecked& e, TransactionEffects& effects) {
  Handle(Proposed{e.proposal, e.now}, effects);
  if (phase_ == Phase::kIdle) RecheckNextQueued(effects);
}

void Transactions::Stage(const Proposal& proposal, Micros now, TransactionEffects& effects) {
  // A change whose trial was interrupted no longer gets a second trial.
  for (Generation& old : history_.generations) {
    if (old.result != GenerationResult::kOnTrial) continue;
    old.result = GenerationResult::kUndone;
    old.result_reason = "superseded while it waited for a second trial";
  }
  resume_at_ = Micros(0);
  Generation next;
  next.number = history_.generations.empty() ? 1 : history_.generations.back().number + 1;
  next.author = proposal.author;
  next.reason = proposal.reason;
  next.document = proposal.document;
  next.staged_at = now;
  history_.generations.push_back(std::move(next));
  history_.on_trial = history_.generations.back().number;
  // Drops the oldest generations, but never the kept one, to which the node goes back when a change is
  // undone.
  for (auto it = history_.generations.begin(); history_.generations.size() > kMaxGenerations;) {
    it = it->number == history_.kept ? std::next(it) : history_.generations.erase(it);
  }
  if (!proposal.file_hash.empty()) history_.seen_file = proposal.file_hash;
  ticket_ = proposal.ticket;
  phase_ = Phase::kStaging;
  effects.emplace_back(Save{});
}

void Transactions::ResumeTrial(TransactionEffects& effects) {
  resume_at_ = Micros(0);
  for (const Generation& generation : history_.generations) {
    if (generation.result == GenerationResult::kOnTrial) history_.on_trial = generation.number;
  }
  if (history_.on_trial == 0) return;
  ticket_ = 0;
  phase_ = Phase::kStaging;
  effects.emplace_back(Save{});
}

void Transactions::Handle(const Saved& e, TransactionEffects& effects) {
  if (!e.ok) effects.emplace_back(WriteLog{LogKind::kStoreFailed, history_.on_trial, history_.kept, "", ""});
  if (phase_ == Phase::kStaging) {
    const std::uint64_t number = history_.on_trial;
    const Generation& staged = *history_.Find(number);
    if (!e.ok) {
      Proposal proposal;
      proposal.ticket = std::exchange(ticket_, 0);
      proposal.author = staged.author;
      history_.on_trial = 0;
      std::erase_if(history_.generations,
                    [&](const Generation& generation) { return generation.number == number; });
      phase_ = Phase::kIdle;
      Refuse(proposal, "it can't be saved in the state folder: nothing was applied", effects);
      return RecheckNextQueued(effects);
    }
    phase_ = Phase::kApplying;
    effects.emplace_back(Apply{number, staged.document, false});
  } else if (phase_ == Phase::kKeeping) {
    Generation& generation = *history_.Find(history_.kept);
    // The generation is in force, but the next process would not know that it is kept: the save is repeated.
    if (!e.ok) {
      generation.result = GenerationResult::kOnTrial;
      history_.on_trial = std::exchange(history_.kept, previously_kept_);
      phase_ = Phase::kTrial;
      trial_ends_ = now_ + kSaveRetryDelay;
      effects.emplace_back(ArmTimer{trial_ends_});
      return;
    }
    phase_ = Phase::kIdle;
    effects.emplace_back(WriteLog{LogKind::kKept, generation.number, generation.number, generation.author,
                                  generation.result_reason});
    RecheckNextQueued(effects);
  }
}

void Transactions::Handle(const Applied& e, TransactionEffects& effects) {
  if (phase_ != Phase::kApplying) return;  // the answer to an undo, after which nothing is left to do
  Generation& generation = *history_.Find(history_.on_trial);
  const std::uint64_t ticket = std::exchange(ticket_, 0);
  if (!e.error.empty()) {
    generation.result = GenerationResult::kUndone;
    generation.result_reason = "it could not be applied: " + e.error;
    history_.on_trial = 0;
    phase_ = Phase::kIdle;
    if (ticket != 0) effects.emplace_back(Answer{ticket, false, generation.number, generation.result_reason});
    effects.emplace_back(WriteLog{LogKind::kUndone, generation.number, history_.kept, generation.author,
                                  generation.result_reason});
    effects.emplace_back(Save{});
    return RecheckNextQueued(effects);
  }
  phase_ = Phase::kTrial;
  trial_ends_ = now_ + rules_.trial;
  kept_reason_.clear();
  effects.emplace_back(BeginTrial{});
  effects.emplace_back(ArmTimer{trial_ends_});
  effects.emplace_back(
      WriteLog{LogKind::kOnTrial, generation.number, history_.kept, generation.author, generation.reason});
  if (ticket != 0) effects.emplace_back(Answer{ticket, true, generation.number, "in force, on trial"});
}

void Transactions::Handle(const GuardReported& e, TransactionEffects& effects) {
  if (phase_ != Phase::kTrial || !kept_reason_.empty()) return;
  if (e.regression) return Undo(e.reason, effects);
  if (!e.trial_ended) return;
  kept_reason_ = e.reason.empty() ? "the trial ended" : e.reason;
  Keep(effects);
}

void Transactions::Keep(TransactionEffects& effects) {
  Generation& generation = *history_.Find(history_.on_trial);
  generation.result = GenerationResult::kKept;
  generation.result_reason = kept_reason_;
  previously_kept_ = std::exchange(history_.kept, std::exchange(history_.on_trial, 0));
  phase_ = Phase::kKeeping;
  effects.emplace_back(Save{});
}

void Transactions::Undo(const std::string& reason, TransactionEffects& effects) {
  Generation& generation = *history_.Find(history_.on_trial);
  const Generation* kept = history_.Find(history_.kept);
  generation.result = GenerationResult::kUndone;
  generation.result_reason = reason;
  history_.on_trial = 0;
  phase_ = Phase::kIdle;
  effects.emplace_back(CancelTrial{});
  effects.emplace_back(Apply{history_.kept, kept == nullptr ? std::string() : kept->document, true});
  effects.emplace_back(
      WriteLog{LogKind::kUndone, generation.number, history_.kept, generation.author, reason});
  effects.emplace_back(Save{});
  RecheckNextQueued(effects);
}

void Transactions::Handle(const TimerFired& e, TransactionEffects& effects) {
  now_ = e.now;
  if (phase_ == Phase::kTrial && now_ >= trial_ends_) {
    kept_reason_.empty() ? static_cast<void>(effects.emplace_back(EndTrial{})) : Keep(effects);
  } else if (phase_ == Phase::kIdle && !stopping_ && resume_at_ > Micros(0) && now_ >= resume_at_) {
    ResumeTrial(effects);
  } else if (phase_ == Phase::kTrial) {  // a timer may fire early by less than its resolution
    effects.emplace_back(ArmTimer{trial_ends_});
  } else if (phase_ == Phase::kIdle && !stopping_ && resume_at_ > Micros(0)) {
    effects.emplace_back(ArmTimer{resume_at_});
  }
}

void Transactions::Handle(const StopRequested&, TransactionEffects& effects) {
  if (std::exchange(stopping_, true)) return;
  for (const Proposal& proposal : std::exchange(queue_, {}))
    Refuse(proposal, "the node is stopping", effects);
  history_.planned_stop = true;  // a trial that a planned stop interrupts does not count as a crash
  if (!history_.generations.empty()) effects.emplace_back(Save{});
}

void Transactions::RecheckNextQueued(TransactionEffects& effects) {
  if (queue_.empty()) return;
  Proposal proposal = std::move(queue_.front());
  queue_.pop_front();
  effects.emplace_back(Recheck{std::move(proposal)});
}

}  // namespace indigosaddle::config
