// The module is told what has changed and looks at nothing else. So after each turn an omniscient look at all
// messages must find nothing that should have been answered, over random histories.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "test_node.h"

namespace indigosaddle::testing {
namespace {

struct Known {
  std::uint64_t destination = 0;
  Micros give_up{0};
  int attempts = 0;
  bool out = false, over = false;
};

class Omniscient {
 public:
  explicit Omniscient(std::uint32_t seed) : random_(seed), node_(Made()) {
    node_.Turn(now_, [&] { ListAll(true); });
  }

  void Step() {
    now_ += milliseconds(1 + random_() % 40);
    node_.Turn(now_, [&] {
      for (int events = static_cast<int>(random_() % 6); events > 0; --events) Event();
    });
    for (; seen_ < node_.sends.size(); ++seen_) {
      Known& known = messages_.at(node_.sends[seen_].id);
      ASSERT_FALSE(known.out || known.over);
      known.out = true, ++known.attempts;
    }
    Check();
  }

  std::size_t answered() const { return node_.answers.size(); }

 private:
  static Settings Made() {
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

  void Event() {
    switch (random_() % 8) {
      case 0: return ListAll(random_() % 2 == 0);
      case 1:
      case 2:
      case 3: {
        const MessageId id = ++last_;
        const Micros life = milliseconds(20 + random_() % 3000);
        const std::uint64_t destination = 1 + random_() % 7;  // two of them never listed
        messages_[id] = {destination, now_ + life, 0, false, false};
        return node_.Enqueue(id, destination, life, random_() % 4 == 0 ? "key" : "");
      }
      case 4: {
        if (messages_.empty()) return;
        auto it = messages_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_() % messages_.size()));
        if (it->second.over || random_() % 4 != 0) return;
        node_.brain().OnWithdrawn(it->first);
        it->second.over = true;
        return;
      }
      default: return Settle();
    }
  }

  void Settle() {
    std::vector<MessageId> out;
    for (const auto& [id, known] : messages_)
      if (known.out) out.push_back(id);
    if (out.empty()) return;
    const MessageId id = out[random_() % out.size()];
    Known& settled = messages_.at(id);
    const Result results[] = {Result::kOk, Result::kFull, Result::kError, Result::kNoConnection,
                              Result::kNotSent};
    const Result result = results[random_() % 5];
    const Micros wait =
        result == Result::kFull && random_() % 2 == 0 ? milliseconds(random_() % 4000) : milliseconds(0);
    node_.ReportOutcome(id, Reply{result, milliseconds(0), wait}, result == Result::kOk);
    settled.out = false;
    if (result == Result::kOk) settled.over = true;
    Micros& paused = paused_[settled.destination];
    if (result == Result::kFull) paused = std::max(paused, now_ + wait);
  }

  void Check() {
    const Settings settings = Made();
    int open = 0;
    for (auto& [id, known] : messages_) {
      const auto answers = node_.answers.find(id);
      ASSERT_LE(answers == node_.answers.end() ? 0 : answers->second, 1) << id;
      if (answers != node_.answers.end()) known.over = true;
      if (known.over) continue;
      ++open;
      if (known.out) {
        ASSERT_LT(now_, known.give_up + settings.tick) << id << " is out past its time";
        continue;
      }
      ASSERT_GT(known.give_up - now_, 2 * settings.tick) << id << " waits past its time";
      ASSERT_LT(known.attempts, settings.max_attempts) << id << " has had its attempts";
      ASSERT_TRUE(listed_.contains(known.destination)) << id << " goes nowhere";
      // What is told to wait past its time is given up at once.
      ASSERT_LT(paused_[known.destination], known.give_up) << id << " can't arrive";
    }
    ASSERT_LE(open, settings.max_open - 3);
  }

  std::mt19937 random_;
  Micros now_{seconds(1)};
  TestNode node_;
  std::map<MessageId, Known> messages_;
  std::map<std::uint64_t, Micros> paused_;
  std::set<std::uint64_t> listed_;
  MessageId last_ = 0;
  std::size_t seen_ = 0;
};

TEST(Events, AnOmniscientLookFindsNothingThatShouldHaveBeenAnswered) {
  std::size_t answered = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    Omniscient history(seed);
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
