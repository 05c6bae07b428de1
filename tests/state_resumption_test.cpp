// Recovery from the journal of a process that ended at any instant.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

TEST(Resumption, PendingMessagesAreResumedWithTheirAttempts) {
  ReducerDriver driver;
  const Serial untried = driver.Accept("untried"), turned_away = driver.Accept("turned away"),
               out = driver.Accept("out"), error = driver.Accept("error"), over = driver.Accept("over"),
               notice = driver.Accept("notice");
  driver.SendAndConnect(turned_away);
  driver.End(turned_away, AttemptResult::kUnavailable);
  driver.SendAndConnect(out);
  driver.SendAndConnect(error);
  driver.End(error, AttemptResult::kError);
  driver.SendAndConnect(over);
  driver.End(over, AttemptResult::kDelivered);
  driver.Feed(FailRequested{notice});
  driver.EndTurn();

  ReducerDriver next = driver.Restart();
  std::map<Serial, PriorAttempts> past;
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
  EXPECT_TRUE(past.at(out).may_have_run);  // its call was cut off: not known whether it ran
  EXPECT_EQ(past.at(out).first_run, seconds(5));
  EXPECT_EQ(past.at(out).run_zone, 3);
  EXPECT_TRUE(past.at(error).may_have_run);
  next.EndTurn();
  ASSERT_EQ(next.All<PostNotices>().size(), 1u);
  EXPECT_EQ(next.All<PostNotices>()[0].notices.at(0).id, "notice");
  EXPECT_EQ(next.rewrites, 1);

  // Once more from the rewritten journal: serials continue, nothing is lost.
  ReducerDriver third = next.Restart();
  past.clear();
  for (const TellMessage& e : third.All<TellMessage>()) {
    if (!e.message.ended) past[e.message.id] = e.message.past;
  }
  ASSERT_EQ(past.size(), 4u);
  EXPECT_TRUE(past.at(out).may_have_run);
  EXPECT_EQ(past.at(out).attempts, 1);
  EXPECT_EQ(past.at(out).first_run, seconds(5));
  third.EndTurn();
  EXPECT_GT(third.Accept("new"), over);
}

TEST(Resumption, MessagesAreResumedInTheOrderAccepted) {
  ReducerDriver driver;
  for (int i = 0; i < 20; ++i) driver.Accept("m" + std::to_string(i));
  ReducerDriver next = driver.Restart();
  std::vector<Serial> order;
  for (const TellMessage& e : next.All<TellMessage>()) order.push_back(e.message.id);
  ASSERT_EQ(order.size(), 20u);
  EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
}

TEST(Resumption, AnyPrefixOfTheJournalKeepsWhatWasAnsweredByThen) {
  // Killed at any byte: messages that were answered before are there, ended ones stay ended.
  ReducerDriver driver;
  std::vector<std::pair<std::size_t, std::string>> promised;  // journal size from which an id is pending
  for (int i = 0; i < 5; ++i) {
    const std::string id = "m" + std::to_string(i);
    driver.Accept(id);
    promised.emplace_back(driver.journal.size(), id);
  }
  const std::string head = JournalHeader();
  for (std::size_t size = 0; size <= driver.journal.size(); ++size) {
    State state({100, 100000, {{"notice", 0}}, {{"acme", 1}}});
    Effects effects;
    Reduce(state, Recovered{ParseJournal(std::string_view(driver.journal).substr(0, size)).records, {}},
           effects);
    for (const auto& [from, id] : promised) EXPECT_EQ(state.by_id.contains(id), size >= from) << size;
  }
}

// A call whose connection never came up has not run: after a kill it only counts as an attempt. From the
// instant in which its first byte may leave, it may have run.
TEST(Resumption, CallThatWaitedForItsConnectionHasNotRun) {
  for (const bool begun : {false, true}) {
    ReducerDriver driver;
    const Serial serial = driver.Accept("a");
    driver.Feed(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
    driver.EndTurn();
    ASSERT_EQ(driver.All<StartCall>().size(), 1u);
    if (begun) driver.Feed(CallConnected{serial});
    ReducerDriver next = driver.Restart();
    for (int life = 0; life < 2; ++life, next = next.Restart()) {  // the second time from a rewritten journal
      const auto told = next.All<TellMessage>();
      ASSERT_EQ(told.size(), 1u);
      EXPECT_EQ(told[0].message.past.attempts, 1);
      EXPECT_EQ(told[0].message.past.may_have_run, begun);
      EXPECT_EQ(told[0].message.past.first_run, begun ? seconds(5) : seconds(0));
      next.EndTurn();
    }
  }
}

// The same in a journal that was rewritten while the call waited for its connection.
TEST(Resumption, RewriteKeepsWhetherACallHasStarted) {
  for (const bool begun : {false, true}) {
    ReducerDriver driver;
    const Serial serial = driver.Accept("a");
    driver.Feed(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
    driver.EndTurn();
    if (begun) driver.Feed(CallConnected{serial});
    driver.state.rewrite_due = true;
    driver.EndTurn();
    ASSERT_EQ(driver.rewrites, 1);
    ReducerDriver next = driver.Restart();
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.attempts, 1);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.may_have_run, begun);
  }
}

// An AcceptedMessage, an AttemptStarted and an AttemptHistory record as the program before version 3 wrote
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

// In those versions an AttemptStarted record may mean that a call still waited for its connection, so it may
// have run. The message's rules and the zone's name are not recorded: the strictest rules apply, and the zone
// is unknown.
TEST(Resumption, JournalOfAnOlderVersionIsReadWithTheStrictestRules) {
  for (const char version : {'\1', '\2'}) {
    std::string old = "indigosaddle journal ";
    old += std::string({version, '\0', '\0', '\0'}) + FromHex(kOldRecords);
    const ParsedJournal read = ParseJournal(old);
    EXPECT_EQ(read.error, "");
    ASSERT_EQ(read.records.size(), 3u);
    ReducerDriver next;
    next.Feed(Recovered{read.records, Micros(0)});
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    const Message message = next.All<TellMessage>()[0].message;
    EXPECT_TRUE(message.past.may_have_run);
    EXPECT_EQ(message.past.run_zone, kUnknownZone);
    EXPECT_EQ(message.rules, kStrictestRules);
  }
}

// Numbers of classes and zones differ between settings, so the journal keeps names and the message's own
// rules.
TEST(Resumption, ChangedSettingsChangeNeitherAMessagesRulesNorItsZone) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.SendAndConnect(serial);
  driver.End(serial, AttemptResult::kTimedOut);
  driver.EndTurn();
  const auto resumed_with = [&](std::map<std::string, int> zones) {
    ReducerDriver next;
    next.state.limits.classes = {};  // dropped
    next.state.limits.zones = std::move(zones);
    next.Feed(Recovered{ParseJournal(driver.journal).records, Micros(0)});
    return next.All<TellMessage>().at(0).message;
  };
  EXPECT_EQ(resumed_with({{"z-2", 3}, {"z-3", 2}}).past.run_zone, 2);
  EXPECT_EQ(resumed_with({{"z-2", 3}}).past.run_zone, kUnknownZone);
  EXPECT_EQ(resumed_with({}).rules, SampleMessage(1).rules);
  EXPECT_EQ(resumed_with({}).message_class, -1);
}

// Cut at every byte of the AttemptStarted record: unless the record is whole the call has not started, and
// nothing of it had been sent.
TEST(Resumption, TornAttemptStartedRecordMeansTheCallHasNotStarted) {
  ReducerDriver driver;
  const Serial serial = driver.Accept("a");
  driver.Feed(SendRequested{serial, "s-1", seconds(1), seconds(5), false});
  driver.EndTurn();
  const std::size_t before = driver.journal.size();
  driver.Feed(CallConnected{serial});
  ASSERT_GT(driver.journal.size(), before);
  for (std::size_t size = before; size <= driver.journal.size(); ++size) {
    ReducerDriver next;
    next.Feed(Recovered{ParseJournal(std::string_view(driver.journal).substr(0, size)).records, {}});
    ASSERT_EQ(next.All<TellMessage>().size(), 1u);
    EXPECT_EQ(next.All<TellMessage>()[0].message.past.may_have_run, size == driver.journal.size()) << size;
  }
}

}  // namespace
}  // namespace indigosaddle::state
