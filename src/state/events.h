// What the reducer hears. A part of src/state/reducer.h.
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

namespace indigosaddle::state {

// One command of one client's connection, whose reply is still pending.
struct ClientRef {
  std::uint64_t connection = 0, command = 0;
  friend bool operator==(const ClientRef&, const ClientRef&) = default;
};

// An entry of discovery's list, as the module and the calls need it.
struct ListedEndpoint {
  Endpoint endpoint;
  std::string dial;
};

struct Recovered {  // first: what the journal folder held, and from where numbers go on
  std::vector<Record> records;
  Micros now{0};
  Serial min_last_serial = 0;   // a successor numbers its messages past those of the process that it replaces
  std::set<Serial> in_doubt{};  // of these, those of which a record was lost
};
struct ClientMessage {
  ClientRef client;
  Micros at{0};             // when it was read
  AcceptedMessage message;  // its serial is given by the reducer
  int message_class = 0, tenant = 0;
  bool may_accept = true;  // else only what is pending already is answered as taken on
};
struct ClientGone {
  std::uint64_t connection = 0;
};
struct ListUpdate {
  std::vector<ListedEndpoint> entries;
  bool whole = false;
  std::vector<EndpointId> unreadable = {};  // of which an entry could not be read: nothing new is sent there
};
struct ListWatchLost {
  Micros outdated_from{0};  // unless a list comes before; Micros::max(): not by this
};
struct CallEnded {
  Serial serial = 0;
  AttemptResult attempt_result = AttemptResult::kNotStarted;
  Micros latency{0}, wait{0};
  LoadReport load;
  Micros at{0};
};
struct RetryAfterReceived {  // by an endpoint, outside of a call's answer
  EndpointId endpoint;
  Micros wait{0};
};
struct AnswersDoubted {  // answers that ended these messages may have been others' on their connections
  std::vector<Serial> serials;
};
struct NoticesAccepted {  // answered by the platform: nothing more is pending for these
  std::vector<Serial> serials;
};
struct StopRequested {
  Micros ends_at{0};
};
struct SettingsChanged {  // numbers of classes and tenants stay, names may have come or gone
  Settings settings;
  std::size_t most_open = 0;
  std::map<std::string, int> classes, tenants;
};
struct CallConnected {  // its connection is up; its first byte leaves once the record is written
  Serial serial = 0;
};
struct SendRequested {  // these six are the module's decisions
  Serial serial = 0;
  EndpointId endpoint;
  Micros timeout{0}, now{0};
  bool connected = false;  // an idle connection is there, so that it begins in this turn
};
struct ReturnRequested {
  Serial serial = 0;
  Micros not_before{0};
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};
struct FailRequested {
  Serial serial = 0;
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};
struct TimerRequested {
  Micros at{0};
};
struct WatchRequested {};
struct CloseIdleRequested {
  EndpointId endpoint;
};
struct TurnEnded {};
struct JournalWritten {
  bool ok = false;
};
using Event = std::variant<Recovered, ClientMessage, ClientGone, ListUpdate, ListWatchLost, CallConnected,
                           CallEnded, RetryAfterReceived, AnswersDoubted, NoticesAccepted, StopRequested,
                           SettingsChanged, SendRequested, ReturnRequested, FailRequested, TimerRequested,
                           WatchRequested, CloseIdleRequested, TurnEnded, JournalWritten>;

}  // namespace indigosaddle::state
