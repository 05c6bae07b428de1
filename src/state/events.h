// The events that the reducer handles (src/state/reducer.h). An event is a plain value: it owns all that it
// carries. The decision engine is src/brain.h; some names and texts call it the delivery policy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "brain.h"
#include "state/attempt_result.h"
#include "state/journal.h"
#include "state/refusal.h"

namespace indigosaddle::state {

// Identifies one command of one client connection that has not been answered yet.
struct ClientRef {
  // Number of the connection.
  std::uint64_t connection = 0;
  // Number of the command on that connection.
  std::uint64_t command = 0;
  friend bool operator==(const ClientRef&, const ClientRef&) = default;
};

// An entry of discovery's list.
struct ListedEndpoint {
  // What the decision engine needs to know of it.
  Endpoint endpoint;
  // The address that calls connect to.
  std::string address;
};

// What the journals in the state folder held: at the start, and again where a successor process takes over
// the journal of the process before it.
struct Recovered {
  std::vector<Record> records;
  Micros now{0};
  // New messages are numbered above this: a successor numbers its messages past those of the process that it
  // replaces.
  Serial min_last_serial = 0;
  // Messages of `records` of which another record may be lost.
  std::set<Serial> in_doubt{};
};

// A client enqueues a message.
struct ClientMessage {
  ClientRef client;
  // When the command was read.
  Micros at{0};
  // Its serial is assigned by the reducer.
  AcceptedMessage message;
  // Numbers of the message's class and tenant in the settings.
  int message_class = 0;
  int tenant = 0;
  // Not kNone: it is refused so, unless it repeats the command of a message that is already accepted.
  Refusal refusal = Refusal::kNone;
};

// A client connection has closed.
struct ClientGone {
  std::uint64_t connection = 0;
};

// Discovery's list or changes to it.
struct ListUpdate {
  std::vector<ListedEndpoint> entries;
  // True: endpoints that are not in `entries` are gone.
  bool whole = false;
  // Endpoints with an entry that could not be read: nothing new is sent to them.
  std::vector<EndpointId> unreadable = {};
};

// The watch on discovery's list was lost.
struct ListWatchLost {};

// Until when the list is valid has changed (ListValidity).
struct ListValidityChanged {
  // Nothing new may be sent from then on; Micros::max(): no limit.
  Micros outdated_from{0};
};

// A call that StartCall started has ended.
struct CallEnded {
  Serial serial = 0;
  AttemptResult attempt_result = AttemptResult::kNotStarted;
  // From the start of the call to its end.
  Micros latency{0};
  // Retry-After of the response; zero: none.
  Micros wait{0};
  LoadReport load;
  // When it ended.
  Micros at{0};
};

// An endpoint sent a Retry-After outside of the response to a call.
struct RetryAfterReceived {
  EndpointId endpoint;
  Micros wait{0};
};

// The responses that ended these messages as delivered may have belonged to other calls on the same
// connections.
struct AnswersInDoubt {
  std::vector<Serial> serials;
};

// The platform has accepted the notices of these messages.
struct NoticesAccepted {
  std::vector<Serial> serials;
};

// The process is to stop.
struct StopRequested {
  // No call may last beyond this.
  Micros ends_at{0};
};

// New settings are in force. Numbers of classes and tenants stay; names may be added or removed.
struct SettingsChanged {
  Settings settings;
  // See Limits::max_open.
  std::size_t max_open = 0;
  // Numbers by name.
  std::map<std::string, int> classes;
  std::map<std::string, int> tenants;
};

// The connection of a call is up. Its first byte may leave once AttemptStarted is written.
struct CallConnected {
  Serial serial = 0;
};

// The six events from here to CloseIdleRequested are decisions of the decision engine.

// Start an attempt.
struct SendRequested {
  Serial serial = 0;
  EndpointId endpoint;
  // Attempt timeout.
  Micros timeout{0};
  // When it was decided.
  Micros now{0};
  // An idle connection is available, so that the call begins in this turn.
  bool connected = false;
};

// Return the message to its client, which may send it again once `retry_after` has passed, as in
// Host::Refuse.
struct ReturnRequested {
  Serial serial = 0;
  Micros retry_after{0};
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};

// End the message as failed, without a promise about its effect.
struct FailRequested {
  Serial serial = 0;
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};

// Run a turn at this time.
struct TimerRequested {
  Micros at{0};
};

// Subscribe to discovery's list anew.
struct WatchRequested {};

// Close the idle connections to an endpoint.
struct CloseIdleRequested {
  EndpointId endpoint;
};

// All events of the turn have been handled: its records are written now.
struct TurnEnded {};

// The answer to AppendJournal or RewriteJournal.
struct JournalWritten {
  // False: the write failed, and what the file holds is not known.
  bool ok = false;
};

using Event =
    std::variant<Recovered, ClientMessage, ClientGone, ListUpdate, ListWatchLost, ListValidityChanged,
                 CallConnected, CallEnded, RetryAfterReceived, AnswersInDoubt, NoticesAccepted, StopRequested,
                 SettingsChanged, SendRequested, ReturnRequested, FailRequested, TimerRequested,
                 WatchRequested, CloseIdleRequested, TurnEnded, JournalWritten>;

}  // namespace indigosaddle::state
