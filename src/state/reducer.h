// What the node keeps in memory, and the one function that changes it: from state and event to state and
// effects, with no I/O and no clock. Effects are carried out by src/node/node.cpp, in the order given.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "brain.h"
#include "state/ending.h"
#include "state/journal.h"

namespace indigosaddle::state {

// One command of one client's connection, whose reply is still owed.
struct ClientRef {
  std::uint64_t connection = 0, command = 0;
  friend bool operator==(const ClientRef&, const ClientRef&) = default;
};

// An entry of discovery's list, as the module and the calls need it.
struct Listed {
  Endpoint endpoint;
  std::string dial;
};

// ---- Events ---------------------------------------------------------------------------------------------

struct Recovered {  // first: what the journal folder held, and from where numbers go on
  std::vector<Record> records;
  Micros now{0};
  Serial numbered_past = 0;  // a successor numbers its messages past those of the process that it replaces
};
struct ClientMessage {
  ClientRef client;
  Micros at{0};   // when it was read
  Taken message;  // its serial is given by the reducer
  int message_class = 0, tenant = 0;
};
struct ClientGone {
  std::uint64_t connection = 0;
};
struct ListNews {
  std::vector<Listed> entries;
  bool whole = false;
};
struct ListLost {
  Micros outdated_from{0};  // unless a list comes before; Micros::max(): not by this
};
struct CallEnded {
  Serial serial = 0;
  Ending ending = Ending::kNotStarted;
  Micros latency{0}, wait{0};
  LoadReport load;
  Micros at{0};
};
struct NoticesTaken {  // answered by the platform: nothing more is owed for these
  std::vector<Serial> serials;
};
struct StopAsked {
  Micros ends_at{0};
};
struct SettingsChanged {  // numbers of classes and tenants stay, names may have come or gone
  Settings settings;
  std::size_t most_open = 0;
  std::map<std::string, int> classes, tenants;
};
struct CallBegins {  // its connection is up; its first byte leaves once the record is written
  Serial serial = 0;
};
struct WantsSend {  // these six are the module's decisions
  Serial serial = 0;
  EndpointId endpoint;
  Micros timeout{0}, now{0};
  bool connected = false;  // an idle connection is there, so that it begins in this turn
};
struct WantsRefusal {
  Serial serial = 0;
  Micros not_before{0};
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};
struct WantsFailure {
  Serial serial = 0;
  GiveUpCause cause = GiveUpCause::kOutOfTime;
};
struct WantsTimer {
  Micros at{0};
};
struct WantsWatch {};
struct WantsIdleClosed {
  EndpointId endpoint;
};
struct TurnEnded {};
struct JournalWritten {
  bool ok = false;
};
using Event = std::variant<Recovered, ClientMessage, ClientGone, ListNews, ListLost, CallBegins, CallEnded,
                           NoticesTaken, StopAsked, SettingsChanged, WantsSend, WantsRefusal, WantsFailure,
                           WantsTimer, WantsWatch, WantsIdleClosed, TurnEnded, JournalWritten>;

// ---- Effects --------------------------------------------------------------------------------------------

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
struct TellListLost {
  Micros outdated_from{0};
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
enum class Answer : std::uint8_t { kTaken, kBusy, kFailed };
enum class Refusal : std::uint8_t {
  kNone,
  kSameId,
  kNoRoom,
  kNotWritten,
  kPolicy
};  // why it was not taken on
std::string_view NameOf(Refusal refusal);
struct Reply {
  ClientRef client;
  Answer answer = Answer::kFailed;
  Micros not_before{0};           // with kBusy
  std::string id, message_class;  // of the message answered, for the figures
  Refusal refusal = Refusal::kNone;
  std::optional<GiveUpCause> cause;  // with Refusal::kPolicy
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
  End end = End::kFailed;
  Micros not_before{0};
};
struct PostNotices {  // answered by NoticesTaken, however long that takes
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
enum class Over : std::uint8_t { kDelivered, kReturned, kFailed, kWithdrawn };
struct MessageResumed {  // for the log
  std::string id;
  std::uint64_t destination = 0;
  RepeatRules rules;
  Past past;
  Micros give_up_at{0};
};
struct MessageOver {  // what became of a message that was taken on
  std::string id, message_class, tenant;
  std::uint64_t destination = 0;
  Over over = Over::kDelivered;
  int attempts = 0;
  RepeatRules rules;
  Micros taken_at{0};                // zero: before a restart
  std::optional<GiveUpCause> cause;  // nothing: delivered or withdrawn
};
using Effect =
    std::variant<TellMessage, TellWithdrawn, TellAnswerTold, TellOutcome, TellList, TellListLost, TellStop,
                 TellZoneUnsure, TellSettings, AppendJournal, RewriteJournal, Reply, StartCall, PostNotices,
                 ArmTimer, RenewWatch, CloseIdle, Note, MessageResumed, MessageOver>;
using Effects = std::vector<Effect>;

// ---- State ----------------------------------------------------------------------------------------------

struct Limits {                                        // what the settings and the machine allow
  std::size_t most_open = 0;                           // messages held; 0: not limited
  std::size_t journal_bytes = 0;                       // for the folder, with a rewrite in progress counted
  std::map<std::string, int> classes, tenants, zones;  // numbers of the names in the settings
};

struct Owed {
  Taken taken;
  Past past;
  bool out = false;                // a call
  bool connecting = false;         // with it, and nothing of it has left
  int attempts_made = 0;           // in this process
  std::string out_zone, run_zone;  // names: of the attempt that is out; of the first that may have run
  Micros sent{0}, taken_at{0};     // taken_at: zero in what was resumed
  EndpointId endpoint;
  std::optional<Ended> ended;           // kept while its notice is owed or its call is out
  std::optional<ClientRef> unanswered;  // taken in the present turn
  std::size_t room = 0;                 // journal bytes set aside for it
};

struct State {
  explicit State(Limits told) : limits(std::move(told)) {}

  Limits limits;
  std::map<Serial, Owed> owed;
  std::unordered_map<std::string, Serial> by_id;  // messages not over
  std::map<EndpointId, Listed> listed;
  Serial last_serial = 0;
  std::size_t journal_size = 0, room = 0;  // bytes in the file; set aside for all that is owed
  bool rewrite_due = false;                // the file may be damaged
  std::vector<Serial> fresh;               // taken in the present turn
  std::string staged;                      // records of the present turn
  Effects after_write;                     // what must wait for them
  std::map<Serial, Notice> notices;        // not yet with the platform
  bool notices_out = false;

  std::size_t open() const { return by_id.size(); }
};

void Reduce(State& state, const Event& event, Effects& effects);

}  // namespace indigosaddle::state
