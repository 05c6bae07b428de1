// The journal's size: the file and a rewrite beside it fit into the folder together, whatever comes in one
// turn.
#include <gtest/gtest.h>

#include "state_driver.h"

namespace indigosaddle::state {
namespace {

constexpr std::size_t kJournalBytes = 100000;

void Deliver(ReducerDriver& driver, Serial serial) {
  driver.SendAndConnect(serial);
  driver.End(serial, AttemptResult::kDelivered);
  driver.EndTurn();
}

// Issue 68, beside review/10: a journal full of records of messages that are over, and one turn in which many
// large messages come: the rewrite beside the old file passed the limit.
TEST(JournalSize, ARewriteForATurnOfManyMessagesFitsBesideTheOldFile) {
  for (int delivered = 0; delivered < 600; delivered += 10) {
    ReducerDriver driver(kJournalBytes);
    for (int i = 0; i < delivered; ++i) Deliver(driver, driver.Accept("small" + std::to_string(i)));
    for (int i = 0; i < 50; ++i) driver.Submit("large" + std::to_string(i), 1, std::string(4000, 'x'));
    driver.EndTurn();
    EXPECT_GT(driver.state.open(), 5u);
    while (!driver.state.by_id.empty()) Deliver(driver, driver.state.by_id.begin()->second);
    EXPECT_LE(driver.max_folder_bytes, kJournalBytes) << delivered;
    EXPECT_LE(driver.max_journal_bytes, kJournalBytes) << delivered;
  }
}

// Guards against messages that can't end where the limit was lowered: no rewrite fits beside the file, but
// the records that end messages do, and make room.
TEST(JournalSize, RecordsThatEndMessagesAreAppendedWhereNoRewriteFits) {
  ReducerDriver driver(2 * kJournalBytes);
  std::vector<Serial> serials;
  for (int i = 0; i < 18; ++i) {
    driver.Submit("large" + std::to_string(i), 1, std::string(4000, 'x'));
    driver.EndTurn();
    serials.push_back(driver.state.last_serial);
  }
  driver.state.limits.journal_bytes = kJournalBytes;
  ASSERT_GT(2 * driver.journal.size(), kJournalBytes);
  driver.max_folder_bytes = 0;
  for (const Serial serial : serials) Deliver(driver, serial);
  EXPECT_EQ(driver.state.open(), 0u);
  EXPECT_LE(driver.max_folder_bytes, kJournalBytes);
  EXPECT_LE(driver.max_journal_bytes, kJournalBytes);
}

}  // namespace
}  // namespace indigosaddle::state
