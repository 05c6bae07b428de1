// Plays the reducer on recorded events, with the journal on a string. No I/O, no clock.
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

inline AcceptedMessage SampleMessage(Serial serial, std::string body = "body") {
  AcceptedMessage t;
  t.serial = serial;
  t.id = "id" + std::to_string(serial);
  t.message_class = "notice";
  t.tenant = "acme";
  t.idempotency_key = "k" + std::to_string(serial);
  t.order_key = "o";
  t.body = std::move(body);
  t.destination = 7;
  t.give_up_at = seconds(20);
  t.rules = {indigosaddle::Effect::kKeyed, Group::kZone, seconds(7), false};
  return t;
}

// Plays events, carries out the journal's effects on a string, and keeps the rest.
class ReducerDriver {
 public:
  explicit ReducerDriver(std::size_t journal_bytes = 100000, std::size_t most_open = 100)
      : state({most_open, journal_bytes, {{"notice", 0}}, {{"acme", 1}}, {{"z-3", 3}, {"z-2", 2}}}) {
    Feed(Recovered{});
    EndTurn();
    Feed(ListUpdate{{{{"s-1", 3, 0, 7, EndpointState::kReady}, "127.0.0.1:1"}}, true});
    effects.clear();
    writes = rewrites = 0;
  }

  // An event, with all that follows from it at once.
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
      if (disk_ok && rewrite != nullptr) journal = rewrite->bytes, ++rewrites;
      max_journal_bytes = std::max(max_journal_bytes, journal.size());
      Feed(JournalWritten{disk_ok});
    }
  }
  void EndTurn() { Feed(TurnEnded{}); }
  void Submit(const std::string& id, std::uint64_t connection = 1, std::string body = "b") {
    ClientMessage e;
    e.may_accept = may_accept;
    e.client = {connection, ++commands};
    e.message = SampleMessage(0, std::move(body));
    e.message.id = id;
    Feed(e);
  }
  // Takes a message on, answered and journalled; its serial.
  Serial Accept(const std::string& id) {
    Submit(id);
    EndTurn();
    return state.by_id.at(id);
  }
  void Send(Serial serial) {
    Feed(SendRequested{serial, "s-1", seconds(1), seconds(5)});
    EndTurn();
  }
  // The same, and its connection is up.
  void SendAndConnect(Serial serial) {
    Send(serial);
    Feed(CallConnected{serial});
  }
  void End(Serial serial, AttemptResult attempt_result) {
    Feed(CallEnded{serial, attempt_result, milliseconds(9), {}, {}});
  }

  template <typename T>
  std::vector<T> All() {
    std::vector<T> found;
    for (const Effect& effect : effects) {
      if (const T* e = std::get_if<T>(&effect)) found.push_back(*e);
    }
    return found;
  }
  template <typename T>
  std::vector<T> TakeAll() {
    auto found = All<T>();
    effects.clear();
    return found;
  }

  // A second life on what the journal holds.
  ReducerDriver Restart() const {
    ReducerDriver next;
    next.journal = journal;
    next.Feed(Recovered{ParseJournal(journal).records, Micros(0)});
    return next;
  }

  State state;
  bool may_accept = true;  // whether intake is open
  Effects effects;
  std::string journal;
  std::size_t max_journal_bytes = 0;
  int writes = 0, rewrites = 0;
  bool disk_ok = true;
  std::uint64_t commands = 0;
};

}  // namespace indigosaddle::state
