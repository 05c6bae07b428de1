// Goes back to an earlier generation. During a trial, going back to the kept generation undoes the trial;
// otherwise it is a proposal like any other, with the document of the earlier generation.
#include <algorithm>
#include <string>
#include <utility>

#include "config/transaction.h"

namespace indigosaddle::config {

void Transactions::Handle(const RollbackRequested& e, TransactionEffects& effects) {
  now_ = e.now;
  Proposal proposal;
  proposal.ticket = e.ticket;
  proposal.author = e.author;
  if (phase_ == Phase::kTrial && kept_reason_.empty() && (e.number == 0 || e.number == history_.kept)) {
    const std::uint64_t number = history_.on_trial;
    Undo("asked for by " + e.author + (e.reason.empty() ? "" : ": " + e.reason), effects);
    if (e.ticket != 0)
      effects.emplace_back(Answer{e.ticket, true, history_.kept, GenerationLabel(number) + " is undone"});
    return;
  }
  if (phase_ != Phase::kIdle) {
    return Refuse(proposal, GenerationLabel(history_.on_trial) + " is on trial: undo it first", effects);
  }
  const Generation* target = nullptr;
  for (const Generation& generation : history_.generations) {
    const bool wanted =
        e.number == 0 ? generation.result == GenerationResult::kKept && generation.number < history_.kept
                      : generation.number == e.number;
    if (wanted) target = &generation;
  }
  if (target == nullptr || target->document.empty()) {
    return Refuse(proposal,
                  e.number == 0 ? "no generation before is kept in the state folder"
                                : GenerationLabel(e.number) + " is not kept in the state folder",
                  effects);
  }
  proposal.reason = "back to " + GenerationLabel(target->number) + (e.reason.empty() ? "" : ": " + e.reason);
  proposal.document = target->document;
  effects.emplace_back(Recheck{std::move(proposal)});
}

}  // namespace indigosaddle::config
