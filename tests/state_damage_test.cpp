// A journal that was damaged after it was written: the records lost with the damage may concern messages
// before it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

constexpr std::size_t kFrame = 8;  // a record's length and checksum

std::uint32_t Crc32(const std::string& bytes) {
  constexpr std::uint32_t kPolynomial = 0xedb88320;
  std::uint32_t crc = ~0u;
  for (const char c : bytes) {
    crc ^= static_cast<unsigned char>(c);
    for (int bit = 0; bit < 8; ++bit) crc = (crc >> 1) ^ ((crc & 1) != 0 ? kPolynomial : 0);
  }
  return ~crc;
}

std::string LittleEndianBytes(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
  return out;
}

std::string Framed(const std::string& body) {
  return LittleEndianBytes(body.size(), 4) + LittleEndianBytes(Crc32(body), 4) + body;
}

// A journal of one record with a changed body and a matching length and checksum.
template <typename Change>
ParsedJournal ParseChanged(const Record& record, Change change) {
  std::string bytes;
  AppendRecord(bytes, record);
  std::string body = bytes.substr(kFrame);
  change(body);
  return ParseJournal(JournalHeader() + Framed(body));
}

const std::vector<Record> kOneRecordOfEachKind = {SampleMessage(1),
                                                  AttemptStarted{1, "s-1", "z-2", seconds(3)},
                                                  AttemptFinished{1, Result::kTimeout},
                                                  MessageEnded{1, MessageEnd::kReturned, milliseconds(500)},
                                                  NoticeAccepted{1},
                                                  AttemptHistory{1, {4, true, seconds(2), 1}, "z-1"},
                                                  AttemptConnecting{1, "s-1", "z-2", seconds(3)}};

// Length and checksum match, so only decoding can find the fault: a field that is cut, missing or one too
// many.
TEST(JournalDamage, RecordOfAWrongLengthIsRejected) {
  for (const Record& record : kOneRecordOfEachKind) {
    EXPECT_EQ(ParseChanged(record, [](std::string&) {}).records.size(), 1u);
    const std::size_t size = RecordSize(record) - kFrame;
    for (std::size_t cut = 0; cut < size; ++cut)
      EXPECT_NE(ParseChanged(record, [&](std::string& body) { body.resize(cut); }).error, "")
          << record.index();
    EXPECT_NE(ParseChanged(record, [](std::string& body) { body += '\0'; }).error, "") << record.index();
  }
}

// Guards against a value that no program writes being read as the first of its enum: a call that surely did
// not run, a message that may be repeated, an end without a notice, or more attempts than are allowed.
TEST(JournalDamage, ValueOutOfRangeIsRejected) {
  const auto last = [](char value, std::size_t back) {
    return [=](std::string& body) { body[body.size() - back] = value; };
  };
  EXPECT_NE(ParseChanged(AttemptFinished{1, Result::kOk}, last(9, 1)).error, "");
  EXPECT_NE(ParseChanged(MessageEnded{1, MessageEnd::kFailed, {}}, last(3, 9)).error, "");
  EXPECT_NE(ParseChanged(SampleMessage(1), last(3, 11)).error, "") << "effect";
  EXPECT_NE(ParseChanged(SampleMessage(1), last(3, 10)).error, "") << "group";
  EXPECT_NE(ParseChanged(SampleMessage(1), last(2, 1)).error, "") << "order";
  EXPECT_NE(ParseChanged(SampleMessage(1), [](std::string& body) { body[0] = 7; }).error, "") << "kind";
  const AttemptHistory resumed{1, {4, true, seconds(2), 1}, ""};
  const std::size_t trailing_bytes =
      4 + 8;  // bytes after the fields changed here: the zone's name, the first run
  EXPECT_NE(ParseChanged(resumed, last(2, trailing_bytes + 1)).error, "") << "may have run";
  EXPECT_NE(ParseChanged(resumed, last('\xff', trailing_bytes + 2)).error, "") << "attempts below 0";
  for (const Serial serial : {Serial{0}, ~Serial{0}})
    EXPECT_NE(
        ParseChanged(SampleMessage(1), [&](std::string& b) { b.replace(1, 8, LittleEndianBytes(serial, 8)); })
            .error,
        "");
}

// The first message of a recovered journal, as the decision engine is told of it.
Message ResumedMessage(const ParsedJournal& read) {
  ReducerDriver next;
  Recovered recovered;
  recovered.records = read.records;
  recovered.in_doubt = MessagesInDoubt(read);
  next.Feed(recovered);
  return next.All<TellMessage>().at(0).message;
}

// Guards against a second effect: a call of the message may be recorded after the damaged place, and its end
// too. Treated as never sent, the message would be sent again though it may not be repeated.
TEST(JournalDamage, MessagesBeforeTheDamageMayHaveRun) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  const std::size_t accepted_bytes = driver.journal.size();
  driver.SendAndConnect(serial);
  driver.End(serial, AttemptResult::kTimedOut);
  driver.EndTurn();
  driver.Accept("b");
  for (std::size_t at = accepted_bytes; at < driver.journal.size(); ++at) {
    std::string bad = driver.journal;
    bad[at] = static_cast<char>(bad[at] ^ 0x20);
    const ParsedJournal read = ParseJournal(bad);
    EXPECT_NE(read.error, "") << at;
    const PriorAttempts past = ResumedMessage(read).past;
    EXPECT_TRUE(past.may_have_run) << at << ' ' << read.error;
    EXPECT_EQ(past.first_run, read.records.size() > 2 ? seconds(5) : seconds(0)) << at;
  }
}

// Records after the damaged place may have told that a call which waited for its connection started, and that
// later ones did in other zones.
TEST(JournalDamage, CallThatWaitedForItsConnectionMayHaveRun) {
  ReducerDriver driver;
  driver.Send(driver.Accept("a"));
  const ParsedJournal damaged = ParseJournal(driver.journal + Framed("rubbish"));
  EXPECT_TRUE(ResumedMessage(damaged).past.may_have_run);
  EXPECT_EQ(ResumedMessage(damaged).past.first_run, Micros(0));
  EXPECT_EQ(ResumedMessage(damaged).past.run_zone, kUnknownZone);
  EXPECT_FALSE(ResumedMessage(ParseJournal(driver.journal)).past.may_have_run);
}

// A torn write ends the file and none of its effects happened: the messages before it are not in doubt.
TEST(JournalDamage, TornWriteAtTheEndIsNoDamage) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  const std::size_t accepted_bytes = driver.journal.size();
  driver.SendAndConnect(serial);
  for (std::size_t size = accepted_bytes; size < driver.journal.size(); ++size) {
    const ParsedJournal read = ParseJournal(std::string_view(driver.journal).substr(0, size));
    EXPECT_TRUE(MessagesInDoubt(read).empty()) << size;
    EXPECT_FALSE(ResumedMessage(read).past.may_have_run) << size;
  }
}

}  // namespace
}  // namespace indigosaddle::state
