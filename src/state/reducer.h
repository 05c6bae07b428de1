// The state that a node keeps in memory, and the one function that changes it: from a state and an event to
// the next state and effects, without I/O or a clock. src/node/node_turn.cpp carries out the effects in the
// order given.
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

// What the settings and the machine allow.
struct Limits {
  // Messages held at once; 0: not limited.
  std::size_t max_open = 0;
  // Bytes of the journal folder, with a rewrite in progress counted.
  std::size_t journal_bytes = 0;
  // Numbers of the names in the settings.
  std::map<std::string, int> classes{};
  std::map<std::string, int> tenants{};
  std::map<std::string, int> zones{};
};

// A message that is accepted and has no final answer yet, or whose notice or last call is still outstanding.
struct PendingMessage {
  AcceptedMessage message;
  // Attempts made so far, before a restart too; the zone's number in it is not used.
  PriorAttempts past;
  // A call is in flight.
  bool in_flight = false;
  // The call in flight waits for its connection: nothing of it has been sent.
  bool connecting = false;
  // Attempts that this process decided on.
  int attempts_made = 0;
  // Zone name of the attempt in flight.
  std::string attempt_zone;
  // Zone name of the first attempt that may have run.
  std::string run_zone;
  // When the attempt in flight was decided.
  Micros attempt_at{0};
  // When the client's command was read; zero in a resumed message.
  Micros accepted_at{0};
  // Of the attempt in flight.
  EndpointId endpoint;
  std::string address;
  // How the message ended; kept while its notice is outstanding or its call is in flight.
  std::optional<MessageEnded> ended;
  // The client that waits for its answer: only in the turn in which the message was accepted.
  std::optional<ClientRef> waiting_client;
  // Commands with the same id that came meanwhile: they get the same answer.
  std::vector<ClientRef> duplicates;
  // Journal bytes reserved for this message.
  std::size_t reserved_bytes = 0;
};

// All that the reducer remembers between events. Only Reduce changes it, but for `limits` and `rewrite_due`,
// which the node sets too.
struct State {
  explicit State(Limits initial_limits) : limits(std::move(initial_limits)) {}

  Limits limits;
  std::map<Serial, PendingMessage> pending;
  // Messages that have no final answer, by the client's id.
  std::unordered_map<std::string, Serial> by_id;
  // Messages that ended before their deadline.
  CompletedMessages completed;
  RecentRefusals refusals;
  // When the latest command was read.
  Micros last_command_at{0};
  // Discovery's list.
  std::map<EndpointId, ListedEndpoint> endpoints;
  // The highest serial in use.
  Serial last_serial = 0;
  // Bytes in the journal file.
  std::size_t journal_size = 0;
  // Journal bytes reserved for all pending messages.
  std::size_t reserved_bytes = 0;
  // The journal file may be damaged: the next write replaces it.
  bool rewrite_due = false;
  // Messages accepted in the present turn.
  std::vector<Serial> accepted_in_turn;
  // Encoded records of the present turn.
  std::string staged;
  // Effects that are released once the records of the turn are written.
  Effects after_write;
  // Notices that the platform has not accepted yet.
  std::map<Serial, Notice> notices;
  // A PostNotices is not answered yet.
  bool notices_in_flight = false;

  // Number of messages that have no final answer.
  std::size_t open() const { return by_id.size(); }
  // Whether the endpoint of the attempt in flight is still listed with the address that the attempt uses.
  bool AttemptAddressIsCurrent(const PendingMessage& message) const {
    const auto it = endpoints.find(message.endpoint);
    return it != endpoints.end() && it->second.address == message.address;
  }
};

// Handles one event: changes `state` and appends what is to be done to `effects`.
void Reduce(State& state, const Event& event, Effects& effects);

}  // namespace indigosaddle::state
