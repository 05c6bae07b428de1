// What the node keeps in memory, and the one function that changes it: from state and event to state and
// effects, with no I/O and no clock. Effects are carried out by src/node/node.cpp, in the order given.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "brain.h"
#include "state/completed_messages.h"
#include "state/effects.h"
#include "state/events.h"
#include "state/journal.h"

namespace indigosaddle::state {

struct Limits {                   // what the settings and the machine allow
  std::size_t most_open = 0;      // messages held; 0: not limited
  std::size_t journal_bytes = 0;  // for the folder, with a rewrite in progress counted
  // Numbers of the names in the settings.
  std::map<std::string, int> classes{}, tenants{}, zones{};
};

struct PendingMessage {
  AcceptedMessage message;
  Past past;
  bool in_flight = false;                // a call
  bool connecting = false;               // with it, and nothing of it has left
  int attempts_made = 0;                 // in this process
  std::string attempt_zone, run_zone;    // names: of the attempt that is out; of the first that may have run
  Micros attempt_at{0}, accepted_at{0};  // taken_at: zero in what was resumed
  EndpointId endpoint;
  std::optional<MessageEnded> ended;        // kept while its notice is pending or its call is out
  std::optional<ClientRef> waiting_client;  // taken in the present turn
  std::vector<ClientRef> duplicates;        // the same command once more meanwhile: answered alike
  std::size_t reserved_bytes = 0;           // journal bytes set aside for it
};

struct State {
  explicit State(Limits told) : limits(std::move(told)) {}

  Limits limits;
  std::map<Serial, PendingMessage> pending;
  std::unordered_map<std::string, Serial> by_id;  // messages not over
  CompletedMessages completed;                    // over, and their time is not
  RecentRefusals refusals;
  Micros last_command_at{0};  // the latest command
  std::map<EndpointId, ListedEndpoint> endpoints;
  Serial last_serial = 0;
  std::size_t journal_size = 0, reserved_bytes = 0;  // bytes in the file; set aside for all that is pending
  bool rewrite_due = false;                          // the file may be damaged
  std::vector<Serial> accepted_in_turn;              // taken in the present turn
  std::string staged;                                // records of the present turn
  Effects after_write;                               // what must wait for them
  std::map<Serial, Notice> notices;                  // not yet with the platform
  bool notices_in_flight = false;

  std::size_t open() const { return by_id.size(); }
};

void Reduce(State& state, const Event& event, Effects& effects);

}  // namespace indigosaddle::state
