// A journal that was damaged behind its writing: what was lost with the damage may bind what came before it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

constexpr std::size_t kFrame = 8;  // a record's length and checksum

std::uint32_t Crc(const std::string& bytes) {
  constexpr std::uint32_t kPolynomial = 0xedb88320;
  std::uint32_t crc = ~0u;
  for (const char c : bytes) {
    crc ^= static_cast<unsigned char>(c);
    for (int bit = 0; bit < 8; ++bit) crc = (crc >> 1) ^ ((crc & 1) != 0 ? kPolynomial : 0);
  }
  return ~crc;
}

std::string Number(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
  return out;
}

std::string Framed(const std::string& body) { return Number(body.size(), 4) + Number(Crc(body), 4) + body; }

// A journal of one record, changed in the part behind its frame, with its frame made to fit.
template <typename Change>
ParsedJournal Changed(const Record& record, Change change) {
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

// The frame fits, so only the record's own form tells: a field that is cut, missing or one too many.
TEST(JournalDamage, ARecordOfAnotherLengthIsNone) {
  for (const Record& record : kOneRecordOfEachKind) {
    EXPECT_EQ(Changed(record, [](std::string&) {}).records.size(), 1u);
    const std::size_t size = RecordSize(record) - kFrame;
    for (std::size_t cut = 0; cut < size; ++cut)
      EXPECT_NE(Changed(record, [&](std::string& body) { body.resize(cut); }).error, "") << record.index();
    EXPECT_NE(Changed(record, [](std::string& body) { body += '\0'; }).error, "") << record.index();
  }
}

// A value that no program writes: read as the first of its kind it would be a call that surely did not run, a
// message that may be repeated, an end that owes nothing, more attempts than are allowed.
TEST(JournalDamage, AValueOutOfRangeMakesNoRecord) {
  const auto last = [](char value, std::size_t back) {
    return [=](std::string& body) { body[body.size() - back] = value; };
  };
  EXPECT_NE(Changed(AttemptFinished{1, Result::kOk}, last(9, 1)).error, "");
  EXPECT_NE(Changed(MessageEnded{1, MessageEnd::kFailed, {}}, last(3, 9)).error, "");
  EXPECT_NE(Changed(SampleMessage(1), last(3, 11)).error, "") << "effect";
  EXPECT_NE(Changed(SampleMessage(1), last(3, 10)).error, "") << "group";
  EXPECT_NE(Changed(SampleMessage(1), last(2, 1)).error, "") << "order";
  EXPECT_NE(Changed(SampleMessage(1), [](std::string& body) { body[0] = 7; }).error, "") << "kind";
  const AttemptHistory resumed{1, {4, true, seconds(2), 1}, ""};
  const std::size_t behind = 4 + 8;  // the zone's name, the first run
  EXPECT_NE(Changed(resumed, last(2, behind + 1)).error, "") << "may have run";
  EXPECT_NE(Changed(resumed, last('\xff', behind + 2)).error, "") << "attempts below 0";
  for (const Serial serial : {Serial{0}, ~Serial{0}})
    EXPECT_NE(Changed(SampleMessage(1), [&](std::string& b) { b.replace(1, 8, Number(serial, 8)); }).error,
              "");
}

// The message of a journal that was taken up, as the module hears of it; the rest of the journal was `read`.
Message Resumed_(const ParsedJournal& read) {
  ReducerDriver next;
  Recovered recovered;
  recovered.records = read.records;
  recovered.in_doubt = MessagesInDoubt(read);
  next.Feed(recovered);
  return next.All<TellMessage>().at(0).message;
}

// Behind the damage a call of the message may be on record, its end too: taken for one that was never sent,
// it would be sent a second time though it may not be repeated.
TEST(JournalDamage, WhatCameBeforeMayHaveRun) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  const std::size_t taken = driver.journal.size();
  driver.SendAndConnect(serial);
  driver.End(serial, AttemptResult::kTimedOut);
  driver.EndTurn();
  driver.Accept("b");
  for (std::size_t at = taken; at < driver.journal.size(); ++at) {
    std::string bad = driver.journal;
    bad[at] = static_cast<char>(bad[at] ^ 0x20);
    const ParsedJournal read = ParseJournal(bad);
    EXPECT_NE(read.error, "") << at;
    const Past past = Resumed_(read).past;
    EXPECT_TRUE(past.may_have_run) << at << ' ' << read.error;
    EXPECT_EQ(past.first_run, read.records.size() > 2 ? seconds(5) : seconds(0)) << at;
  }
}

// A call that waited for its connection may have begun by then, in another zone too.
TEST(JournalDamage, ACallThatWaitedForItsConnectionMayHaveRun) {
  ReducerDriver driver;
  driver.Send(driver.Accept("a"));
  const ParsedJournal damaged = ParseJournal(driver.journal + Framed("rubbish"));
  EXPECT_TRUE(Resumed_(damaged).past.may_have_run);
  EXPECT_EQ(Resumed_(damaged).past.first_run, Micros(0));
  EXPECT_EQ(Resumed_(damaged).past.run_zone, kUnknownZone);
  EXPECT_FALSE(Resumed_(ParseJournal(driver.journal)).past.may_have_run);
}

// A write that was cut off ends the file and had no effect: what came before it is as it was.
TEST(JournalDamage, ACutWriteIsNoDamage) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  const std::size_t taken = driver.journal.size();
  driver.SendAndConnect(serial);
  for (std::size_t size = taken; size < driver.journal.size(); ++size) {
    const ParsedJournal read = ParseJournal(std::string_view(driver.journal).substr(0, size));
    EXPECT_TRUE(MessagesInDoubt(read).empty()) << size;
    EXPECT_FALSE(Resumed_(read).past.may_have_run) << size;
  }
}

}  // namespace
}  // namespace indigosaddle::state
