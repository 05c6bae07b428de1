// The format of the journal, a write-ahead log of records, each with its length and checksum. Encodes and
// decodes only; src/node/journal_file.h reads and writes the file.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "brain.h"
#include "brain/repeat_rules.h"

namespace indigosaddle::state {

// A message's number in this node, which is also its MessageId in the decision engine. Serials begin at 1.
using Serial = std::uint64_t;

// A message was accepted. Id, keys and body are kept byte for byte as they came.
struct AcceptedMessage {
  Serial serial = 0;
  // The client's id for the message.
  std::string id;
  // Names of its class and tenant: numbers differ between settings.
  std::string message_class;
  std::string tenant;
  std::string idempotency_key;
  // Empty: none.
  std::string order_key;
  std::string body;
  std::uint64_t destination = 0;
  Micros deadline{0};
  // The rules in force when it was accepted, which it keeps.
  RepeatRules rules = kStrictestRules;
};

// A call is about to send its first byte. Written before that byte can leave: from here on the call may have
// run.
struct AttemptStarted {
  Serial serial = 0;
  std::string endpoint;
  // The endpoint's zone by name, since numbers differ between settings; empty: not known.
  std::string zone;
  // When the attempt was decided.
  Micros at{0};
};

// The attempt in flight has ended.
struct AttemptFinished {
  Serial serial = 0;
  Result result = Result::kReset;
};

// How a message ended, as far as a notice must tell it.
enum class MessageEnd : std::uint8_t {
  // Delivered or withdrawn: no notice is sent.
  kNoNotice,
  // A notice says that the message failed.
  kFailed,
  // A notice says that the message is returned and has not run.
  kReturned
};

// A message has ended. A notice is outstanding unless `end` is kNoNotice.
struct MessageEnded {
  Serial serial = 0;
  MessageEnd end = MessageEnd::kNoNotice;
  // With kReturned: how long the client should wait before it sends the message again; zero: not told.
  Micros retry_after{0};
};

// The platform has accepted the notice of a message.
struct NoticeAccepted {
  Serial serial = 0;
};

// Summary of a message's attempts so far, in a rewritten journal.
struct AttemptHistory {
  Serial serial = 0;
  // Its zone number is not stored.
  PriorAttempts past;
  // Zone name of the first attempt that may have run.
  std::string run_zone;
};

// An attempt waits for its connection: it counts as an attempt, and nothing of it has been sent. The
// AttemptStarted of the same attempt follows once the connection is up.
struct AttemptConnecting {
  Serial serial = 0;
  std::string endpoint;
  // As in AttemptStarted.
  std::string zone;
  // When the attempt was decided.
  Micros at{0};
};

// A record's index in this variant is its kind in the file.
using Record = std::variant<AcceptedMessage, AttemptStarted, AttemptFinished, MessageEnded, NoticeAccepted,
                            AttemptHistory, AttemptConnecting>;

// A length above this is invalid.
constexpr std::size_t kMaxRecordBytes = 1 << 18;

// The bytes at the start of a journal: magic and version.
std::string JournalHeader();
// Appends a record with its length and checksum to `journal`.
void AppendRecord(std::string& journal, const Record& record);
// Bytes that AppendRecord adds.
std::size_t RecordSize(const Record& record);

// A decoded journal.
struct ParsedJournal {
  std::vector<Record> records;
  // Bytes up to the end of the last valid record.
  std::size_t valid_bytes = 0;
  // What is wrong behind that; empty: the whole journal was read.
  std::string error;
  // The journal was damaged after it was written, and the records behind the damage are lost. False for a
  // torn write at the end: that loses nothing, since the effects of a turn are carried out only once its
  // records are written.
  bool damaged = false;
};
ParsedJournal ParseJournal(std::string_view bytes);

// A successor numbers its messages above this: past every serial that an earlier process of the folder has
// assigned or may still assign, whether or not a journal still names it. `highest_serial`: the highest one in
// the journals. `started_at`: when the successor started, in node time, which advances across processes.
Serial SuccessorSerialFloor(Serial highest_serial, Micros started_at);

// Messages of which another record may be lost: all messages of a damaged journal.
std::set<Serial> MessagesInDoubt(const ParsedJournal& journal);

// Whether the journal has a version that this program does not know: the file must be left as it is.
bool IsOtherVersion(std::string_view bytes);

}  // namespace indigosaddle::state
