// What the next process makes of the journal of one that ended at any instant.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state_play.h"

namespace indigosaddle::state {
namespace {

TEST(Resumption, WhatIsOwedComesBackWithItsAttempts) {
  Play play;
  const Serial untried = play.Owe("untried"), turned_away = play.Owe("turned away"), out = play.Owe("out"),
               error = play.Owe("error"), over = play.Owe("over"), notice = play.Owe("notice");
  play.Begin(turned_away);
  play.End(turned_away, AttemptResult::kUnavailable);
  play.Begin(out);
  play.Begin(error);
  play.End(error, AttemptResult::kError);
  play.Begin(over);
  play.End(over, AttemptResult::kDelivered);
  play.Event_(FailRequested{notice});
  play.Turn();

  Play next = play.Restart();
  std::map<Serial, Past> past;
  std::vector<Serial> told_as_ended;  // its key waits for the notice
  for (const TellMessage& e : next.All<TellMessage>()) {
    if (e.message.ended) {
      told_as_ended.push_back(e.message.id);
    } else {
      past[e.message.id] = e.message.past;
    }
  }
  ASSERT_EQ(past.size(), 4u);
  EXPECT_EQ(told_as_ended, std::vector<Serial>{notice});
  EXPECT_EQ(past.at(untried).attempts, 0);
  EXPECT_EQ(past.at(turned_away).attempts, 1);
  EXPECT_FALSE(past.at(turned_away).may_have_run);
  EXPECT_EQ(past.at(out).attempts, 1);
  EXPECT_TRUE(past.at(out).may_have_run);  // cut off: nobody knows
  EXPECT_EQ(past.at(out).first_run, seconds(5));
  EXPECT_EQ(past.at(out).run_zone, 3);
  EXPECT_TRUE(past.at(error).may_have_run);
  next.Turn();
  ASSERT_EQ(next.All<PostNotices>().size(), 1u);
  EXPECT_EQ(next.All<PostNotices>()[0].notices.at(0).id, "notice");
  EXPECT_EQ(next.rewrites, 1);

  // And once more, from the rewritten journal: numbers go on, nothing is forgotten.
  Play third = next.Restart();
  past.clear();
  for (const TellMessage& e : third.All<TellMessage>()) {
    if (!e.message.ended) past[e.message.id] = e.message.past;
  }
  ASSERT_EQ(past.size(), 4u);
  EXPECT_TRUE(past.at(out).may_have_run);
  EXPECT_EQ(past.at(out).attempts, 1);
  EXPECT_EQ(past.at(out).first_run, seconds(5));
  third.Turn();
  EXPECT_GT(third.Owe("new"), over);
}

TEST(Resumption, MessagesComeInTheOrderTaken) {
  Play play;
  for (int i = 0; i < 20; ++i) play.Owe("m" + std::to_string(i));
  Play next = play.Restart();
  std::vector<Serial> order;
  for (const TellMessage& e : next.All<TellMessage>()) order.push_back(e.message.id);
  ASSERT_EQ(order.size(), 20u);
  EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
}

TEST(Resumption, AnyPrefixOfTheJournalIsAStateThatWasPromised) {
  // Killed at any byte: what was answered before is there, what was over stays over.
  Play play;
  std::vector<std::pair<std::size_t, std::string>> promised;  // journal size from which an id is pending
  for (int i = 0; i < 5; ++i) {
    const std::string id = "m" + std::to_string(i);
    play.Owe(id);
    promised.emplace_back(play.journal.size(), id);
  }
  const std::string head = JournalHeader();
  for (std::size_t size = 0; size <= play.journal.size(); ++size) {
    State state({100, 100000, {{"notice", 0}}, {{"acme", 1}}});
    Effects effects;
    Reduce(state, Recovered{ParseJournal(std::string_view(play.journal).substr(0, size)).records, {}},
           effects);
    for (const auto& [from, id] : promised) EXPECT_EQ(state.by_id.contains(id), size >= from) << size;
  }
}

// A call whose connection was never up has surely not run: after a kill it counts as an attempt and no more.
// From the instant in which its first byte may leave it may have run.
TEST(Resumption, ACallThatWaitedForItsConnectionHasNotRun) {
  for (const bool begun : {false, true}) {
    Play play;
    const Serial serial = play.Owe("a");
    play.Event_(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
    play.Turn();
    ASSERT_EQ(play.All<StartCall>().size(), 1u);
    if (begun) play.Event_(CallConnected{serial});
    Play next = play.Restart();
    for (int life = 0; life < 2; ++life, next = next.Restart()) {  // the second from a rewritten journal
      const auto told = next.All<TellMessage>();
      ASSERT_EQ(told.size(), 1u);
      EXPECT_EQ(told[0].message.past.attempts, 1);
      EXPECT_EQ(told[0].message.past.may_have_run, begun);
      EXPECT_EQ(told[0].message.past.first_run, begun ? seconds(5) : seconds(0));
      next.Turn();
    }
  }
}

// The same in a journal that was rewritten while the call waited for its connection.
TEST(Resumption, ARewriteKeepsWhetherACallHasBegun) {
  for (const bool begun : {false, true}) {
    Play play;
    const Serial serial = play.Owe("a");
    play.Event_(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
    play.Turn();
    if (begun) play.Event_(CallConnected{serial});
    play.state.rewrite_due = true;
    play.Turn();
    ASSERT_EQ(play.rewrites, 1);
    Play next = play.Restart();
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.attempts, 1);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.may_have_run, begun);
  }
}

// A AcceptedMessage, an AttemptStarted and a AttemptHistory record as the program before version 3 wrote
// them, with numbers of zones.
constexpr std::string_view kOldRecords =
    "45000000a5c10eb400010000000000000003000000696431060000006e6f74696365040000006163"
    "6d65020000006b31010000006f04000000626f64790700000000000000002d3101000000001c0000"
    "0011fe2d7901010000000000000003000000732d3102000000c0c62d00000000001a000000fc1f54"
    "4f050100000000000000040000000180841e000000000001000000";

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  return bytes;
}

// There an AttemptStarted record may mean that a call waited for its connection, so unsure; and nobody noted
// the rules of the message nor its zone's name: the strictest bind, and no zone is the one where it ran.
TEST(Resumption, AJournalOfAnOlderVersionIsReadAndItsMessagesGoByTheStrictest) {
  for (const char version : {'\1', '\2'}) {
    std::string old = "indigosaddle journal ";
    old += std::string({version, '\0', '\0', '\0'}) + FromHex(kOldRecords);
    const ParsedJournal read = ParseJournal(old);
    EXPECT_EQ(read.error, "");
    ASSERT_EQ(read.records.size(), 3u);
    Play next;
    next.Event_(Recovered{read.records, Micros(0)});
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    const Message message = next.All<TellMessage>()[0].message;
    EXPECT_TRUE(message.past.may_have_run);
    EXPECT_EQ(message.past.run_zone, kUnknownZone);
    EXPECT_EQ(message.rules, kStrictestRules);
  }
}

// Numbers of classes and zones are of one process's settings: what is kept is names and the message's own
// rules.
TEST(Resumption, OtherSettingsBindNoMessageToOtherRulesOrToAnotherZone) {
  Play play;
  const Serial serial = play.Owe("a");
  play.Begin(serial);
  play.End(serial, AttemptResult::kTimedOut);
  play.Turn();
  const auto resumed_with = [&](std::map<std::string, int> zones) {
    Play next;
    next.state.limits.classes = {};  // dropped
    next.state.limits.zones = std::move(zones);
    next.Event_(Recovered{ParseJournal(play.journal).records, Micros(0)});
    return next.All<TellMessage>().at(0).message;
  };
  EXPECT_EQ(resumed_with({{"z-2", 3}, {"z-3", 2}}).past.run_zone, 2);
  EXPECT_EQ(resumed_with({{"z-2", 3}}).past.run_zone, kUnknownZone);
  EXPECT_EQ(resumed_with({}).rules, SomeTaken(1).rules);
  EXPECT_EQ(resumed_with({}).message_class, -1);
}

// Cut at every byte of the record that says that a call begins: up to its last byte the call has not begun,
// and nothing of it had left.
TEST(Resumption, CutAtAnyByteOfACallsRecordItHasNotBegun) {
  Play play;
  const Serial serial = play.Owe("a");
  play.Event_(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
  play.Turn();
  const std::size_t before = play.journal.size();
  play.Event_(CallConnected{serial});
  ASSERT_GT(play.journal.size(), before);
  for (std::size_t size = before; size <= play.journal.size(); ++size) {
    Play next;
    next.Event_(Recovered{ParseJournal(std::string_view(play.journal).substr(0, size)).records, {}});
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.may_have_run, size == play.journal.size()) << size;
  }
}

}  // namespace
}  // namespace indigosaddle::state
