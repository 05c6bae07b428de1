// Drives the reducer with events and keeps the journal in a string. No I/O, no clock.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "state/attempt_result.h"
#include "state/journal.h"
#include "state/reducer.h"

namespace indigosaddle::state {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A message with every field set.
inline AcceptedMessage SampleMessage(Serial serial, std::string body = "body") {
  AcceptedMessage message;
  message.serial = serial;
  message.id = "id" + std::to_string(serial);
  message.message_class = "notice";
  message.tenant = "acme";
  message.idempotency_key = "k" + std::to_string(serial);
  message.order_key = "o";
  message.body = std::move(body);
  message.destination = 7;
  message.deadline = seconds(20);
  message.rules = {indigosaddle::Effect::kKeyed, Group::kZone, seconds(7), false};
  return message;
}

// Feeds events to the reducer, carries out the journal's effects on a string, and keeps the other effects.
// Starts with one endpoint, s-1 of destination 7, in the list.
class ReducerDriver {
 public:
  explicit ReducerDriver(std::size_t journal_bytes = 100000, std::size_t max_open = 100)
      : state({max_open, journal_bytes, {{"notice", 0}}, {{"acme", 1}}, {{"z-3", 3}, {"z-2", 2}}}) {
    Feed(Recovered{});
    EndTurn();
    Feed(ListUpdate{{{{"s-1", 3, 0, 7, EndpointState::kReady}, "127.0.0.1:1"}}, true});
    effects.clear();
    writes = rewrites = 0;
  }

  // Handles an event, and the journal's answers to the writes that it causes.
  void Feed(const Event& event) {
    Effects out;
    Reduce(state, event, out);
    for (Effect& effect : out) {
      const auto* append = std::get_if<AppendJournal>(&effect);
      const auto* rewrite = std::get_if<RewriteJournal>(&effect);
      if (append == nullptr && rewrite == nullptr) {
        effects.push_back(std::move(effect));
        continue;
      }
      ++writes;
      if (disk_ok && append != nullptr) journal += append->bytes;
      if (disk_ok && rewrite != nullptr) {
        max_folder_bytes = std::max(max_folder_bytes, journal.size() + rewrite->bytes.size());
        journal = rewrite->bytes;
        ++rewrites;
      }
      max_journal_bytes = std::max(max_journal_bytes, journal.size());
      Feed(JournalWritten{disk_ok});
    }
  }
  void EndTurn() { Feed(TurnEnded{}); }
  // A client's command; the turn goes on.
  void Submit(const std::string& id, std::uint64_t connection = 1, std::string body = "b") {
    ClientMessage e;
    e.refusal = refusal;
    e.client = {connection, ++commands};
    e.message = SampleMessage(0, std::move(body));
    e.message.id = id;
    Feed(e);
  }
  // Has a message accepted and written to the journal; returns its serial.
  Serial Accept(const std::string& id) {
    Submit(id);
    EndTurn();
    return state.by_id.at(id);
  }
  // Starts a call that has no connection yet.
  void Send(Serial serial) {
    Feed(SendRequested{serial, "s-1", seconds(1), seconds(5)});
    EndTurn();
  }
  // Starts a call whose connection comes up.
  void SendAndConnect(Serial serial) {
    Send(serial);
    Feed(CallConnected{serial});
  }
  // Ends a call.
  void End(Serial serial, AttemptResult attempt_result) {
    Feed(CallEnded{serial, attempt_result, milliseconds(9), {}, {}});
  }

  // All kept effects of one type.
  template <typename T>
  std::vector<T> All() {
    std::vector<T> found;
    for (const Effect& effect : effects) {
      if (const T* e = std::get_if<T>(&effect)) found.push_back(*e);
    }
    return found;
  }
  // The same, and forgets all kept effects.
  template <typename T>
  std::vector<T> TakeAll() {
    auto found = All<T>();
    effects.clear();
    return found;
  }

  // A new process that has recovered the journal.
  ReducerDriver Restart() const {
    ReducerDriver next;
    next.journal = journal;
    next.Feed(Recovered{ParseJournal(journal).records, Micros(0)});
    return next;
  }

  State state;
  // Whether intake is open.
  Refusal refusal = Refusal::kNone;
  Effects effects;
  std::string journal;
  // The longest that the journal has been.
  std::size_t max_journal_bytes = 0;
  // The most that the journal and a rewrite beside it have been together.
  std::size_t max_folder_bytes = 0;
  // Journal writes, rewrites included.
  int writes = 0;
  int rewrites = 0;
  // Whether journal writes succeed.
  bool disk_ok = true;
  // Commands submitted.
  std::uint64_t commands = 0;
};

}  // namespace indigosaddle::state
