// Commands that come more than once with the same id: each is answered as the first was, and the message runs
// once (rule 2: no double effect). A part of the reducer.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "state/reducer_base.h"

namespace indigosaddle::state {

// Handles commands whose id is known.
class RepeatedCommands : protected ReducerBase {
 public:
  using ReducerBase::ReducerBase;

 protected:
  // In a successor process: withdraws messages that it accepted although the process before it knew the same
  // id already. A successor begins no call before this. `own`: serials of the messages that it accepted.
  void WithdrawDuplicates(const std::set<Serial>& own) {
    for (const Serial serial : own) {
      const PendingMessage& pending = state_.pending.at(serial);
      if (pending.ended || pending.in_flight || pending.waiting_client) continue;
      const auto named = state_.by_id.find(pending.message.id);
      const bool pending_before = named != state_.by_id.end() && named->second != serial;
      if (!pending_before && !state_.completed.Has(pending.message.id)) continue;
      effects_.emplace_back(TellWithdrawn{serial});
      StageRecord(MessageEnded{serial, MessageEnd::kNoNotice, Micros(0)});
      applier_.RemoveIfDone(serial);
    }
  }
  // Answers a command whose id is known as the first one was, whatever became of its message. False: the id
  // is new.
  bool AnswerRepeated(const ClientMessage& e) {
    const std::string& id = e.message.id;
    const auto known = state_.by_id.find(id);
    if (known != state_.by_id.end() && state_.pending.at(known->second).waiting_client) {
      state_.pending.at(known->second).duplicates.push_back(e.client);
      return true;
    }
    if (known != state_.by_id.end() || state_.completed.Has(id)) {
      ReplyTo(e.client, Answer::kAccepted, Micros(0), e.message, Refusal::kSameId);
      return true;
    }
    const Answer* refused = state_.refusals.Find(id);
    if (refused == nullptr) return false;
    ReplyTo(e.client, *refused, Micros(0), e.message, Refusal::kSameId);
    return true;
  }
  // Removes the commands of a closed connection from those that wait for the message's answer. True: none is
  // left.
  static bool RemoveClient(PendingMessage& pending, std::uint64_t connection) {
    std::erase_if(pending.duplicates, [&](const ClientRef& copy) { return copy.connection == connection; });
    if (pending.waiting_client->connection != connection) return false;
    if (pending.duplicates.empty()) return true;
    pending.waiting_client = pending.duplicates.front();
    pending.duplicates.erase(pending.duplicates.begin());
    return false;
  }
};

}  // namespace indigosaddle::state
