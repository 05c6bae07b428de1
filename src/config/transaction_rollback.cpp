// Going back to an earlier generation: a proposal like any other, with that one's document.
#include <algorithm>
#include <string>
#include <utility>

#include "config/transaction.h"

namespace indigosaddle::config {

void Transactions::Handle(const RollbackAsked& e, TransactionEffects& effects) {
  now_ = e.now;
  Proposal proposal;
  proposal.ticket = e.ticket;
  proposal.author = e.author;
  if (phase_ == Phase::kTrial && kept_why_.empty() && (e.number == 0 || e.number == history_.kept)) {
    const std::uint64_t number = history_.on_trial;
    Undo("asked for by " + e.author + (e.reason.empty() ? "" : ": " + e.reason), effects);
    if (e.ticket != 0)
      effects.emplace_back(Answer{e.ticket, true, history_.kept, Numbered(number) + " is undone"});
    return;
  }
  if (phase_ != Phase::kIdle) {
    return Refuse(proposal, Numbered(history_.on_trial) + " is on trial: undo it first", effects);
  }
  const Generation* target = nullptr;
  for (const Generation& generation : history_.generations) {
    const bool wanted = e.number == 0
                            ? generation.result == Result::kKept && generation.number < history_.kept
                            : generation.number == e.number;
    if (wanted) target = &generation;
  }
  if (target == nullptr || target->document.empty()) {
    return Refuse(proposal,
                  e.number == 0 ? "no generation before is kept in the state folder"
                                : Numbered(e.number) + " is not kept in the state folder",
                  effects);
  }
  proposal.reason = "back to " + Numbered(target->number) + (e.reason.empty() ? "" : ": " + e.reason);
  proposal.document = target->document;
  effects.emplace_back(Check{std::move(proposal)});
}

}  // namespace indigosaddle::config
