// Peers that say things twice, late or to nothing, at the built node over loopback. Judged by what the
// endpoints and the platform did.
#include <gtest/gtest.h>

#include <csignal>
#include <random>
#include <sstream>

#include "said_twice.h"

namespace indigosaddle::testing {
namespace {

struct CopiedAnswers {
  const char* name;
  AnswerBehavior habits;
};

class CopiedAnswersTest : public SaidTwice, public ::testing::WithParamInterface<CopiedAnswers> {};

// Guards against a call that another call's answer ends: lost messages, and two calls at once.
TEST_P(CopiedAnswersTest, EndNoOtherCall) {
  Build(GetParam().habits, 1);
  Play(milliseconds(6000));
  EXPECT_GT(Copies(), 20);
  ExpectRulesKept();
}

AnswerBehavior Habits(double copied, int least, int most) {
  AnswerBehavior habits;
  habits.duplicated = copied;
  habits.duplicate_delay = {milliseconds(least), milliseconds(most)};
  return habits;
}
AnswerBehavior Slow(AnswerBehavior habits, int least, int most, double refused) {
  habits.service_time = {milliseconds(least), milliseconds(most)};
  habits.refused = refused;
  return habits;
}
AnswerBehavior Half(AnswerBehavior habits) {
  habits.truncate_duplicates = true;
  return habits;
}

INSTANTIATE_TEST_SUITE_P(
    Copies, CopiedAnswersTest,
    ::testing::Values(CopiedAnswers{"AtOnce", Habits(0.3, 0, 1)}, CopiedAnswers{"Soon", Habits(0.15, 1, 20)},
                      CopiedAnswers{"WithinAnotherCall", Habits(0.3, 0, 400)},
                      CopiedAnswers{"OfSlowCalls", Slow(Habits(0.3, 1, 60), 100, 400, 0.15)},
                      CopiedAnswers{"OfRefusals", Slow(Habits(0.6, 0, 400), 300, 700, 0.4)},
                      CopiedAnswers{"Late", Habits(0.3, 20, 2000)},
                      CopiedAnswers{"Half", Half(Habits(0.3, 0, 400))}),
    [](const auto& given) { return std::string(given.param.name); });

// Endpoints refuse all, so that every message ends by a notice.
class CopiedNotices : public SaidTwice {
 protected:
  void Run(const std::string& answer, int most_behind_millis, bool leaves_some_unread) {
    platform.AnswerNoticesWith([this, answer, most_behind_millis](Socket& socket) {
      const int behind = std::uniform_int_distribution<int>(0, most_behind_millis)(random_);
      if (!socket.Write(answer)) return false;
      later.Write(socket, milliseconds(behind), answer);
      return true;
    });
    if (leaves_some_unread) platform.ReadNoticesIf([](int post) { return post % 5 != 0; });
    AnswerBehavior habits;
    habits.refused = 1;
    Build(habits, 2);
    Play(milliseconds(4000));
    ExpectRulesKept();
  }

 private:
  std::mt19937_64 random_{3};
};

// Guards against a batch that the copy of an earlier 204 settles, though nobody has read it.
TEST_F(CopiedNotices, SettleNoOtherBatch) { Run("HTTP/1.1 204 No Content\r\n\r\n", 60, true); }

// Guards against a process that dies, or loses a batch, by a copy behind an answer that ends its connection.
TEST_F(CopiedNotices, BehindACloseEndNothing) {
  Run("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", 2, true);
}

// Every command comes a second time with the same id, on a connection of its own.
class CopiedCommands : public SaidTwice {
 protected:
  static std::string Unsafe(const std::string& id) {
    return ClientStandIn::Enqueue(id, "c=unsafe,d=3000,dest=1");
  }
};

// Guards against a message that runs twice because its command comes again once it has ended.
TEST_F(CopiedCommands, RunOnce) {
  AnswerBehavior habits;
  habits.refused = 0;
  Build(habits, 4);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "u" + std::to_string(i);
    ASSERT_EQ(ClientStandIn(node.port).Ask(Unsafe(id)), "+OK");
    Took(id);
    std::this_thread::sleep_for(milliseconds(5 * (i % 40)));
    EXPECT_EQ(ClientStandIn(node.port).Ask(Unsafe(id)), "+OK") << "it is taken on, whatever became of it";
  }
  std::this_thread::sleep_for(kLife + kNoticeSlack);
  EXPECT_EQ(Judge().called_again, 0);
}

// The same, where the process is killed and started again between a command and its copy.
TEST_F(CopiedCommands, RunOnceOverARestart) {
  AnswerBehavior habits;
  habits.refused = 0;
  Build(habits, 5);
  for (int i = 0; i < 5; ++i) ASSERT_EQ(ClientStandIn(node.port).Ask(Unsafe("u" + std::to_string(i))), "+OK");
  for (int i = 0; i < 5; ++i) Took("u" + std::to_string(i));
  std::this_thread::sleep_for(milliseconds(400));
  node.Kill(SIGKILL);
  ASSERT_TRUE(node.Start());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(ClientStandIn(node.port).Ask(Unsafe("u" + std::to_string(i))), "+OK");
  std::this_thread::sleep_for(kLife + kNoticeSlack);
  EXPECT_EQ(Judge().called_again, 0);
}

// A refusal promises that nothing runs: its client hands the message in again under another id.
// Guards against the copy of a refused command that is taken on.
TEST_F(CopiedCommands, OfARefusedOneAreRefused) {
  node.config["settings"]["caps"]["maxOpen"] = 4;
  AnswerBehavior habits;
  habits.refused = 0;
  habits.service_time = {milliseconds(250), milliseconds(250)};
  Build(habits, 6);
  std::this_thread::sleep_for(milliseconds(500));
  std::string refused;
  for (int i = 0; i < 10 && refused.empty(); ++i) {
    const std::string id = "u" + std::to_string(i);
    if (ClientStandIn(node.port).Ask(Unsafe(id)).starts_with("-BUSY")) refused = id;
  }
  ASSERT_FALSE(refused.empty());
  std::this_thread::sleep_for(milliseconds(330));  // there is room again
  EXPECT_TRUE(ClientStandIn(node.port).Ask(Unsafe(refused)).starts_with("-BUSY"));
  std::this_thread::sleep_for(milliseconds(600));
  EXPECT_FALSE(record.calls().contains(refused));
}

// Guards against calls to an endpoint that drains, because an older line or list of the watch comes again.
TEST_F(SaidTwice, AnOlderLineOfTheListUndoesNoDrain) {
  AnswerBehavior habits;
  habits.refused = 0;
  const std::string whole_again = "{\"seq\":2,\"whole\":true,\"hosts\":[";
  std::string ready;
  for (int i = 0; i < 2; ++i) {
    endpoints.push_back(
        std::make_unique<RecordedEndpoint>(record, later, 7 + static_cast<std::uint64_t>(i), habits));
    const auto member = PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(), 1);
    platform.Set(member);
    ready += (i > 0 ? "," : "") + member.dump();
  }
  platform.AfterWatchLines([&](Socket& socket, const std::string& chunk) {
    if (chunk.find("Terminating") == std::string::npos) return;
    const std::string line = whole_again + ready + "]}\n";
    std::ostringstream size;
    size << std::hex << line.size();
    later.Write(socket, milliseconds(50), size.str() + "\r\n" + line + "\r\n");
  });
  ASSERT_TRUE(node.Start());
  const auto hand_in = [&](const std::string& id) {
    return ClientStandIn(node.port).Ask(ClientStandIn::Enqueue(id, "c=safe,d=3000,dest=1"));
  };
  ASSERT_TRUE(Eventually([&] { return hand_in("first") == "+OK"; }));
  platform.Set(PlatformStandIn::Member("s-0", endpoints[0]->address(), 1, "Terminating"));
  std::this_thread::sleep_for(milliseconds(1000));
  const auto drained_from = Clock::now();
  for (int i = 0; i < 30; ++i) EXPECT_EQ(hand_in("d" + std::to_string(i)), "+OK");
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(endpoints[0]->CallsStartedSince(drained_from), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
