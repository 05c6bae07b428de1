// Commands that come more than once with one id: each is answered as the first was, and runs once. A part of
// the reducer.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "state/ledger.h"

namespace indigosaddle::state {

class RepeatedCommands : protected Ledger {
 public:
  using Ledger::Ledger;

 protected:
  // What this process took on while the one before it knew the same command already. A successor has begun no
  // call until then.
  void WithdrawTwins(const std::set<Serial>& own) {
    for (const Serial serial : own) {
      const Owed& owed = state_.owed.at(serial);
      if (owed.ended || owed.out || owed.unanswered) continue;
      const auto named = state_.by_id.find(owed.taken.id);
      const bool owed_before = named != state_.by_id.end() && named->second != serial;
      if (!owed_before && !state_.recent.Has(owed.taken.id)) continue;
      effects_.emplace_back(TellWithdrawn{serial});
      Record_(MessageEnded{serial, MessageEnd::kNoNotice, Micros(0)});
      keep_.Drop(serial);
    }
  }
  // A command that has come before is answered as it was, whatever became of its message.
  bool SameOnceMore(const ClientMessage& e) {
    const std::string& id = e.message.id;
    const auto known = state_.by_id.find(id);
    if (known != state_.by_id.end() && state_.owed.at(known->second).unanswered) {
      state_.owed.at(known->second).copies.push_back(e.client);
      return true;
    }
    if (known != state_.by_id.end() || state_.recent.Has(id)) {
      Answer_(e.client, Answer::kAccepted, Micros(0), e.message, Refusal::kSameId);
      return true;
    }
    const Answer* refused = state_.refusals.Find(id);
    if (refused == nullptr) return false;
    Answer_(e.client, *refused, Micros(0), e.message, Refusal::kSameId);
    return true;
  }
  // Whether nobody is left who waits for its answer.
  static bool Leaves(Owed& owed, std::uint64_t connection) {
    std::erase_if(owed.copies, [&](const ClientRef& copy) { return copy.connection == connection; });
    if (owed.unanswered->connection != connection) return false;
    if (owed.copies.empty()) return true;
    owed.unanswered = owed.copies.front();
    owed.copies.erase(owed.copies.begin());
    return false;
  }
};

}  // namespace indigosaddle::state
