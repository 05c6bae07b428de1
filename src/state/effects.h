// What the reducer asks for, carried out by src/node/node_turn.cpp. A part of src/state/reducer.h.
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

struct TellMessage {
  Message message;
};
struct TellWithdrawn {
  MessageId id = 0;
};
struct TellAnswerTold {
  MessageId id = 0;
};
struct TellOutcome {
  Outcome outcome;
};
struct TellList {
  std::vector<Endpoint> entries;
  bool whole = false;
};
struct TellListWatchLost {
  Micros outdated_from{0};
};
struct TellRetryAfter {
  EndpointId endpoint;
  Micros wait{0};
};
struct TellStop {
  Micros at{0};
};
struct TellZoneUnsure {  // agreed by the fleet; passes the reducer by, since nothing kept here changes with
                         // it
  int zone = -1;
};
struct TellSettings {
  Settings settings;
};
struct AppendJournal {  // answered by JournalWritten
  std::string bytes;
};
struct RewriteJournal {  // the same, in place of all that the journal holds
  std::string bytes;
};
enum class Answer : std::uint8_t { kAccepted, kBusy, kFailed };
enum class Refusal : std::uint8_t {
  kNone,
  kSameId,
  kNoRoom,
  kNotWritten,
  kPolicy,
  kStopping
};  // why it was not taken on
std::string_view NameOf(Refusal refusal);
struct Reply {
  ClientRef client;
  Answer answer = Answer::kFailed;
  Micros not_before{0};           // with kBusy
  std::string id, message_class;  // of the message answered, for the figures
  Refusal refusal = Refusal::kNone;
  std::optional<GiveUpCause> cause{};  // with Refusal::kPolicy
};
struct StartCall {  // answered by CallEnded
  Serial serial = 0;
  EndpointId endpoint;
  std::string dial;
  std::string id, idempotency_key, body;
  Micros timeout{0};
};
struct Notice {
  Serial serial = 0;
  std::string id;
  MessageEnd end = MessageEnd::kFailed;
  Micros not_before{0};
};
struct PostNotices {  // answered by NoticesAccepted, however long that takes
  std::vector<Notice> notices;
};
struct ArmTimer {
  Micros at{0};
};
struct RenewWatch {};
struct CloseIdle {
  EndpointId endpoint;
};
struct Note {  // for the log
  std::string text;
};
enum class MessageResult : std::uint8_t { kDelivered, kReturned, kFailed, kWithdrawn };
struct MessageResumed {  // for the log
  std::string id;
  std::uint64_t destination = 0;
  RepeatRules rules{};
  Past past;
  Micros give_up_at{0};
};
struct MessageDoubted {  // for the log: it was over as delivered, and is told as failed
  std::string id;
};
struct MessageFinished {  // what became of a message that was taken on
  std::string id, message_class, tenant;
  std::uint64_t destination = 0;
  MessageResult result = MessageResult::kDelivered;
  int attempts = 0;
  RepeatRules rules{};
  Micros accepted_at{0};               // zero: before a restart
  std::optional<GiveUpCause> cause{};  // nothing: delivered or withdrawn
};
using Effect = std::variant<TellMessage, TellWithdrawn, TellAnswerTold, TellOutcome, TellList,
                            TellListWatchLost, TellRetryAfter, TellStop, TellZoneUnsure, TellSettings,
                            AppendJournal, RewriteJournal, Reply, StartCall, PostNotices, ArmTimer,
                            RenewWatch, CloseIdle, Note, MessageResumed, MessageDoubted, MessageFinished>;
using Effects = std::vector<Effect>;

}  // namespace indigosaddle::state
