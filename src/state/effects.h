// The effects that the reducer asks for (src/state/reducer.h), carried out by src/node/node_turn.cpp. An
// effect owns all that it carries. Each Tell* effect is passed on to the decision engine (src/brain.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "brain.h"
#include "state/attempt_result.h"
#include "state/events.h"
#include "state/journal.h"

namespace indigosaddle::state {

// A message was accepted, or is resumed after a restart.
struct TellMessage {
  Message message;
};

// A message was withdrawn before its client was answered.
struct TellWithdrawn {
  MessageId id = 0;
};

// The platform has accepted the notice of a message.
struct TellAnswerDelivered {
  MessageId id = 0;
};

// An attempt has ended.
struct TellOutcome {
  Outcome outcome;
};

// The list of endpoints or changes to it.
struct TellList {
  std::vector<Endpoint> entries;
  // True: endpoints that are not in `entries` are gone.
  bool whole = false;
};

// See ListWatchLost.
struct TellListWatchLost {};

// See ListValidityChanged.
struct TellListValidity {
  Micros outdated_from{0};
};

// See RetryAfterReceived.
struct TellRetryAfter {
  EndpointId endpoint;
  Micros wait{0};
};

// The process stops at this time.
struct TellStop {
  Micros at{0};
};

// The fleet agreed that endpoints of a zone may have gone down unseen. The node emits this itself: the
// reducer's state does not depend on it.
struct TellZoneLost {
  // The zone's number in the settings.
  int zone = -1;
};

// New settings are in force.
struct TellSettings {
  Settings settings;
};

// Append to the journal file. Answered by JournalWritten.
struct AppendJournal {
  std::string bytes;
};

// Replace all that the journal file holds. Answered by JournalWritten.
struct RewriteJournal {
  std::string bytes;
};

// The answer to a client's command.
enum class Answer : std::uint8_t {
  // The message is accepted.
  kAccepted,
  // The message is returned: it has not run, and the client may send it again.
  kBusy,
  // The message failed; nothing is promised about its effect.
  kFailed
};

// Answer a client's command.
struct Reply {
  ClientRef client;
  Answer answer = Answer::kFailed;
  // With kBusy: how long the client should wait before it sends the message again; zero: not told.
  Micros retry_after{0};
  // Of the message that is answered, for logs and counters.
  std::string id;
  std::string message_class;
  Refusal refusal = Refusal::kNone;
  // With Refusal::kPolicy.
  std::optional<GiveUpCause> cause{};
};

// Call an endpoint. Answered by CallEnded.
struct StartCall {
  Serial serial = 0;
  EndpointId endpoint;
  // The address to connect to.
  std::string address;
  std::string id;
  std::string idempotency_key;
  std::string body;
  // Attempt timeout.
  Micros timeout{0};
};

// The final answer of a message whose client has been told that it was accepted.
struct Notice {
  Serial serial = 0;
  std::string id;
  MessageEnd end = MessageEnd::kFailed;
  // With kReturned: how long the client should wait before it sends the message again; zero: not told.
  Micros retry_after{0};
};

// Post notices to the platform. Answered by NoticesAccepted, however long that takes.
struct PostNotices {
  std::vector<Notice> notices;
};

// Run a turn at this time.
struct ArmTimer {
  Micros at{0};
};

// Subscribe to discovery's list anew.
struct RenewWatch {};

// Close the idle connections to an endpoint.
struct CloseIdle {
  EndpointId endpoint;
};

// Write a text to the log.
struct Note {
  std::string text;
};

// The result of an accepted message.
enum class MessageResult : std::uint8_t { kDelivered, kReturned, kFailed, kWithdrawn };

// For the log: a message is resumed after a restart.
struct MessageResumed {
  std::string id;
  std::uint64_t destination = 0;
  RepeatRules rules{};
  PriorAttempts past;
  Micros deadline{0};
};

// For the log: a message that had ended as delivered is reported as failed.
struct MessageInDoubt {
  std::string id;
};

// For the log and counters: an accepted message has ended.
struct MessageFinished {
  std::string id;
  std::string message_class;
  std::string tenant;
  std::uint64_t destination = 0;
  MessageResult result = MessageResult::kDelivered;
  // Attempts made, those before a restart included.
  int attempts = 0;
  RepeatRules rules{};
  // Zero: before a restart.
  Micros accepted_at{0};
  // Empty: delivered or withdrawn.
  std::optional<GiveUpCause> cause{};
};

using Effect =
    std::variant<TellMessage, TellWithdrawn, TellAnswerDelivered, TellOutcome, TellList, TellListWatchLost,
                 TellListValidity, TellRetryAfter, TellStop, TellZoneLost, TellSettings, AppendJournal,
                 RewriteJournal, Reply, StartCall, PostNotices, ArmTimer, RenewWatch, CloseIdle, Note,
                 MessageResumed, MessageInDoubt, MessageFinished>;
using Effects = std::vector<Effect>;

}  // namespace indigosaddle::state
