// The format of the journal folder: a write-ahead log of records, each with its length and checksum. Bytes
// in, records out; reading and writing the file is the node's part (src/node/journal_file.h).
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

using Serial = std::uint64_t;  // a message's number in this node: its MessageId at the module

// A message was taken on. Id, keys and body stay the bytes that came.
struct AcceptedMessage {
  Serial serial = 0;
  std::string id, message_class, tenant, idempotency_key, order_key, body;
  std::uint64_t destination = 0;
  Micros give_up_at{0};
  RepeatRules rules = kStrictestRules;  // from its birth
};
struct AttemptStarted {  // on disk before the call's first byte can leave: from here on it may have run
  Serial serial = 0;
  std::string endpoint;
  std::string zone;  // its name: numbers differ between settings; empty: not known
  Micros at{0};      // when it was decided
};
struct AttemptFinished {  // how the attempt that was out ended
  Serial serial = 0;
  Result result = Result::kReset;
};
enum class MessageEnd : std::uint8_t { kNoNotice, kFailed, kReturned };
struct MessageEnded {  // the message is over; a notice is pending unless the end is kNoNotice
  Serial serial = 0;
  MessageEnd end = MessageEnd::kNoNotice;
  Micros not_before{0};  // with kReturned
};
struct NoticeAccepted {  // the platform has the notice
  Serial serial = 0;
};
struct AttemptHistory {  // all attempts so far, in a rewritten journal
  Serial serial = 0;
  Past past;             // but for the zone's number
  std::string run_zone;  // its name
};
// An attempt that waits for its connection: it counts, and nothing of it has left. The same attempt's
// AttemptStarted follows once the connection is up.
struct AttemptConnecting {
  Serial serial = 0;
  std::string endpoint, zone;
  Micros at{0};
};
using Record = std::variant<AcceptedMessage, AttemptStarted, AttemptFinished, MessageEnded, NoticeAccepted,
                            AttemptHistory, AttemptConnecting>;

constexpr std::size_t kMaxRecordBytes = 1 << 18;  // longer lengths are rubbish

std::string JournalHeader();
void AppendRecord(std::string& journal, const Record& record);
std::size_t RecordSize(const Record& record);

struct ParsedJournal {
  std::vector<Record> records;
  std::size_t valid_bytes = 0;  // bytes that were good
  std::string error;            // empty: the whole journal was read
  // It was damaged behind its writing, and what followed is lost: not a write that was cut off at the end,
  // for what a turn wants is done only once its records are written.
  bool damaged = false;
};
ParsedJournal ParseJournal(std::string_view bytes);

// Messages of which a lost record may have said more: all of a journal that is damaged.
std::set<Serial> MessagesInDoubt(const ParsedJournal& journal);

// Written by a program whose records are not known here: it must be left as it is.
bool IsOtherVersion(std::string_view bytes);

}  // namespace indigosaddle::state
