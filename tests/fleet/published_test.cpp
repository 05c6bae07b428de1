// Passing snapshots between threads; also built and run under ThreadSanitizer (INDIGOSADDLE_TSAN).
#include "fleet/published.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "fleet/mailbox.h"

namespace indigosaddle::fleet {
namespace {

// While a writer replaces the snapshot, every read sees one whole snapshot, never an older one than before.
TEST(PublishedSnapshotTest, ReadersSeeWholeSnapshotsThatOnlyGetNewer) {
  PublishedSnapshot published;
  std::atomic<bool> done{false};
  std::atomic<int> torn{0}, older{0};
  std::atomic<std::uint64_t> looks{0};
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      const PublishedSnapshot::Reader reader(published);
      std::uint64_t last = 0;
      while (!done) {
        const PublishedSnapshot::Reader::ReadSection section(reader);
        const Snapshot& snapshot = section.get();
        const std::size_t number = snapshot.number;
        if (snapshot.members.size() != number % 7 ||
            (!snapshot.members.empty() && snapshot.members[0].start != number))
          ++torn;
        if (number < last) ++older;
        last = number;
        ++looks;
      }
    });
  }
  for (std::uint64_t number = 1; number <= 2000 || looks < 1000; ++number) {
    auto next = std::make_unique<Snapshot>();
    next->number = number;
    next->members.resize(number % 7, MemberView{"m", "s", Liveness::kAlive, true, number});
    published.Publish(std::move(next));
  }
  done = true;
  for (std::thread& reader : readers) reader.join();
  EXPECT_EQ(torn, 0);
  EXPECT_EQ(older, 0);
}

// A reader outside its read sections must not delay the writer.
TEST(PublishedSnapshotTest, TheWriterDoesNotWaitForAnIdleReader) {
  PublishedSnapshot published;
  const PublishedSnapshot::Reader reader(published);
  std::thread writer([&] {
    for (int i = 0; i < 100; ++i) published.Publish(std::make_unique<Snapshot>());
  });
  writer.join();
  const PublishedSnapshot::Reader::ReadSection section(reader);
  EXPECT_EQ(section.get().number, 0u);
}

TEST(MailboxTest, LosesNothingAndKeepsEachSendersOrder) {
  Mailbox<std::pair<int, int>> mailbox;
  std::vector<std::thread> senders;
  for (int who = 0; who < 3; ++who) {
    senders.emplace_back([&mailbox, who] {
      for (int i = 0; i < 5000; ++i) mailbox.Put({who, i});
    });
  }
  std::vector<int> next(3, 0);
  int taken = 0;
  while (taken < 15000) {
    for (const auto& [who, i] : mailbox.TakeAll()) {
      ASSERT_EQ(i, next[static_cast<std::size_t>(who)]++);
      ++taken;
    }
  }
  for (std::thread& sender : senders) sender.join();
}

}  // namespace
}  // namespace indigosaddle::fleet
