// The engine reacts only to the changes that it is fed and never scans all messages. This test feeds random
// histories and scans all messages after each turn. No message may be left that should have been answered, be
// sent while in flight or after its end, or be answered twice.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

// What the test knows of one message.
struct KnownMessage {
  std::uint64_t destination = 0;
  Micros deadline{0};
  int attempts = 0;
  bool in_flight = false;
  bool ended = false;  // delivered, withdrawn or answered
};

// A random history, and the scan of all messages after each turn.
class CheckedHistory {
 public:
  explicit CheckedHistory(std::uint32_t seed) : random_(seed), node_(MakeSettings()) {
    node_.Turn(now_, [&] { ListAll(true); });
  }

  // One turn with up to five random events, then the check.
  void Step() {
    now_ += milliseconds(1 + random_() % 40);
    node_.Turn(now_, [&] {
      for (int events = static_cast<int>(random_() % 6); events > 0; --events) FeedRandomEvent();
    });
    for (; sends_seen_ < node_.sends.size(); ++sends_seen_) {
      KnownMessage& known = messages_.at(node_.sends[sends_seen_].id);
      ASSERT_FALSE(known.in_flight || known.ended);
      known.in_flight = true;
      ++known.attempts;
    }
    Check();
  }

  std::size_t answered() const { return node_.answers.size(); }

 private:
  static Settings MakeSettings() {
    Settings settings = BaseSettings();
    settings.max_open = 60;
    settings.max_attempts = 4;
    settings.call_slots = 6;
    return settings;
  }

  void ListAll(bool whole) {
    std::vector<Endpoint> entries;
    for (std::uint64_t d = 1; d <= 5; ++d) {
      const auto state = random_() % 8 == 0 ? EndpointState::kDraining : EndpointState::kReady;
      if (random_() % 6 != 0)
        entries.push_back(TestNode::MakeEndpoint(d, "e" + std::to_string(d), 0, 0, state));
    }
    node_.UpdateList(entries, whole);
    for (const Endpoint& entry : entries) listed_.insert(entry.destination);
  }

  void FeedRandomEvent() {
    switch (random_() % 8) {
      case 0: return ListAll(random_() % 2 == 0);
      case 1:
      case 2:
      case 3: {
        const MessageId id = ++last_id_;
        const Micros life = milliseconds(20 + random_() % 3000);
        const std::uint64_t destination = 1 + random_() % 7;  // two of them never listed
        messages_[id] = {destination, now_ + life, 0, false, false};
        return node_.Enqueue(id, destination, life, random_() % 4 == 0 ? "key" : "");
      }
      case 4: {
        if (messages_.empty()) return;
        auto it = messages_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_() % messages_.size()));
        if (it->second.ended || random_() % 4 != 0) return;
        node_.brain().OnWithdrawn(it->first);
        it->second.ended = true;
        return;
      }
      default: return EndRandomAttempt();
    }
  }

  void EndRandomAttempt() {
    std::vector<MessageId> in_flight;
    for (const auto& [id, known] : messages_)
      if (known.in_flight) in_flight.push_back(id);
    if (in_flight.empty()) return;
    const MessageId id = in_flight[random_() % in_flight.size()];
    KnownMessage& message = messages_.at(id);
    const Result results[] = {Result::kOk, Result::kRefused, Result::kError, Result::kNoConnection,
                              Result::kNotSent};
    const Result result = results[random_() % 5];
    const Micros wait =
        result == Result::kRefused && random_() % 2 == 0 ? milliseconds(random_() % 4000) : milliseconds(0);
    node_.ReportOutcome(id, Reply{result, milliseconds(0), wait}, result == Result::kOk);
    message.in_flight = false;
    if (result == Result::kOk) message.ended = true;
    Micros& paused_until = paused_until_[message.destination];
    if (result == Result::kRefused) paused_until = std::max(paused_until, now_ + wait);
  }

  void Check() {
    const Settings settings = MakeSettings();
    int held = 0;
    for (auto& [id, known] : messages_) {
      const auto answers = node_.answers.find(id);
      ASSERT_LE(answers == node_.answers.end() ? 0 : answers->second, 1) << id;
      if (answers != node_.answers.end()) known.ended = true;
      if (known.ended) continue;
      ++held;
      if (known.in_flight) {
        ASSERT_LT(now_, known.deadline + settings.tick) << id << " is in flight past its deadline";
        continue;
      }
      ASSERT_GT(known.deadline - now_, 2 * settings.tick) << id << " waits past its deadline";
      ASSERT_LT(known.attempts, settings.max_attempts) << id << " waits with no attempts left";
      ASSERT_TRUE(listed_.contains(known.destination))
          << id << " waits for a destination that was never listed";
      // A Retry-After past the deadline ends the message at once.
      ASSERT_LT(paused_until_[known.destination], known.deadline)
          << id << " waits though its Retry-After outlasts it";
    }
    ASSERT_LE(held, settings.max_open - 3);
  }

  std::mt19937 random_;
  Micros now_{seconds(1)};
  TestNode node_;
  std::map<MessageId, KnownMessage> messages_;
  std::map<std::uint64_t, Micros> paused_until_;  // by destination, from Retry-After
  std::set<std::uint64_t> listed_;
  MessageId last_id_ = 0;
  std::size_t sends_seen_ = 0;
};

TEST(Events, FullScanFindsNoMessageThatShouldHaveBeenAnswered) {
  std::size_t answered = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    CheckedHistory history(seed);
    for (int step = 0; step < 200; ++step) {
      history.Step();
      if (::testing::Test::HasFatalFailure()) FAIL() << "seed " << seed << ", step " << step;
    }
    answered += history.answered();
  }
  EXPECT_GT(answered, 10000u);
}

}  // namespace
}  // namespace indigosaddle::testing
