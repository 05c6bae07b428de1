// Duplicated, late and unsolicited responses, notices' answers, commands and list lines at the built node
// over loopback. Evaluated by the records of the endpoints and the platform.
#include <gtest/gtest.h>

#include <csignal>
#include <random>
#include <sstream>

#include "duplicates.h"

namespace indigosaddle::testing {
namespace {

struct DuplicatedResponses {
  const char* name;
  AnswerBehavior behavior;
};

class DuplicatedResponsesTest : public DuplicatesTest,
                                public ::testing::WithParamInterface<DuplicatedResponses> {};

// Guards against a call that is ended by the response to another call, which loses messages or makes two
// calls at once.
TEST_P(DuplicatedResponsesTest, EndNoOtherCall) {
  StartNodeAndEndpoints(GetParam().behavior, 1);
  EnqueueAndFinish(milliseconds(6000));
  EXPECT_GT(DuplicateCount(), 20);
  ExpectNoneLostOrConcurrent();
}

AnswerBehavior DuplicatingBehavior(double copied, int least, int most) {
  AnswerBehavior behavior;
  behavior.duplicated = copied;
  behavior.duplicate_delay = {milliseconds(least), milliseconds(most)};
  return behavior;
}
AnswerBehavior WithSlowCalls(AnswerBehavior behavior, int least, int most, double refused) {
  behavior.service_time = {milliseconds(least), milliseconds(most)};
  behavior.refused = refused;
  return behavior;
}
AnswerBehavior WithTruncatedDuplicates(AnswerBehavior behavior) {
  behavior.truncate_duplicates = true;
  return behavior;
}

INSTANTIATE_TEST_SUITE_P(
    Copies, DuplicatedResponsesTest,
    ::testing::Values(
        DuplicatedResponses{"AtOnce", DuplicatingBehavior(0.3, 0, 1)},
        DuplicatedResponses{"Soon", DuplicatingBehavior(0.15, 1, 20)},
        DuplicatedResponses{"WithinAnotherCall", DuplicatingBehavior(0.3, 0, 400)},
        DuplicatedResponses{"OfSlowCalls", WithSlowCalls(DuplicatingBehavior(0.3, 1, 60), 100, 400, 0.15)},
        DuplicatedResponses{"OfRefusals", WithSlowCalls(DuplicatingBehavior(0.6, 0, 400), 300, 700, 0.4)},
        DuplicatedResponses{"Late", DuplicatingBehavior(0.3, 20, 2000)},
        DuplicatedResponses{"Half", WithTruncatedDuplicates(DuplicatingBehavior(0.3, 0, 400))}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

// The endpoints refuse all calls, so that every message ends by a notice.
class DuplicatedNoticeAnswers : public DuplicatesTest {
 protected:
  void Run(const std::string& answer, int max_delay_millis, bool leaves_some_unread) {
    platform.AnswerNoticesWith([this, answer, max_delay_millis](Socket& socket) {
      const int delay = std::uniform_int_distribution<int>(0, max_delay_millis)(random_);
      if (!socket.Write(answer)) return false;
      delayed_writes.Write(socket, milliseconds(delay), answer);
      return true;
    });
    if (leaves_some_unread) platform.ReadNoticesIf([](int post) { return post % 5 != 0; });
    AnswerBehavior behavior;
    behavior.refused = 1;
    StartNodeAndEndpoints(behavior, 2);
    EnqueueAndFinish(milliseconds(4000));
    ExpectNoneLostOrConcurrent();
  }

 private:
  std::mt19937_64 random_{3};
};

// Guards against a batch that counts as delivered by the copy of an earlier 204 although nobody has read it.
TEST_F(DuplicatedNoticeAnswers, DoNotConfirmAnotherBatch) {
  Run("HTTP/1.1 204 No Content\r\n\r\n", 60, true);
}

// Guards against a process that dies or loses a batch when a copy follows an answer that closes the
// connection.
TEST_F(DuplicatedNoticeAnswers, AreHarmlessAfterAnAnswerWithConnectionClose) {
  Run("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", 2, true);
}

// Every command is sent a second time with the same id, on another connection.
class DuplicatedCommands : public DuplicatesTest {
 protected:
  static std::string Unsafe(const std::string& id) {
    return ClientStandIn::Enqueue(id, "c=unsafe,d=3000,dest=1");
  }
};

// Guards against a message that runs twice because its command is sent again after it has ended.
TEST_F(DuplicatedCommands, RunOnce) {
  AnswerBehavior behavior;
  behavior.refused = 0;
  StartNodeAndEndpoints(behavior, 4);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "u" + std::to_string(i);
    ASSERT_EQ(ClientStandIn(node.port).Ask(Unsafe(id)), "+OK");
    RecordAccepted(id);
    std::this_thread::sleep_for(milliseconds(5 * (i % 40)));
    EXPECT_EQ(ClientStandIn(node.port).Ask(Unsafe(id)), "+OK")
        << "a repeated command must be accepted, also after the message has ended";
  }
  std::this_thread::sleep_for(kMessageLifetime + kNoticeSlack);
  EXPECT_EQ(Evaluate().repeated, 0);
}

// The same with a kill and a start of the process between a command and its copy.
TEST_F(DuplicatedCommands, RunOnceOverARestart) {
  AnswerBehavior behavior;
  behavior.refused = 0;
  StartNodeAndEndpoints(behavior, 5);
  for (int i = 0; i < 5; ++i) ASSERT_EQ(ClientStandIn(node.port).Ask(Unsafe("u" + std::to_string(i))), "+OK");
  for (int i = 0; i < 5; ++i) RecordAccepted("u" + std::to_string(i));
  std::this_thread::sleep_for(milliseconds(400));
  node.Kill(SIGKILL);
  ASSERT_TRUE(node.Start());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(ClientStandIn(node.port).Ask(Unsafe("u" + std::to_string(i))), "+OK");
  std::this_thread::sleep_for(kMessageLifetime + kNoticeSlack);
  EXPECT_EQ(Evaluate().repeated, 0);
}

// A refusal promises that the message does not run: its client enqueues it again under another id.
// Guards against a copy of a refused command that is accepted.
TEST_F(DuplicatedCommands, AreRefusedIfTheFirstWasRefused) {
  node.config["settings"]["caps"]["maxOpen"] = 4;
  AnswerBehavior behavior;
  behavior.refused = 0;
  behavior.service_time = {milliseconds(250), milliseconds(250)};
  StartNodeAndEndpoints(behavior, 6);
  std::this_thread::sleep_for(milliseconds(500));
  std::string refused;
  for (int i = 0; i < 10 && refused.empty(); ++i) {
    const std::string id = "u" + std::to_string(i);
    if (ClientStandIn(node.port).Ask(Unsafe(id)).starts_with("-BUSY")) refused = id;
  }
  ASSERT_FALSE(refused.empty());
  std::this_thread::sleep_for(milliseconds(330));  // the node admits messages again
  EXPECT_TRUE(ClientStandIn(node.port).Ask(Unsafe(refused)).starts_with("-BUSY"));
  std::this_thread::sleep_for(milliseconds(600));
  EXPECT_FALSE(record.calls().contains(refused));
}

// Guards against calls to a draining endpoint because an older line or list of the watch is sent again.
TEST_F(DuplicatesTest, AnOlderLineOfTheListDoesNotUndoADrain) {
  AnswerBehavior behavior;
  behavior.refused = 0;
  const std::string whole_again = "{\"seq\":2,\"whole\":true,\"hosts\":[";
  std::string ready;
  for (int i = 0; i < 2; ++i) {
    endpoints.push_back(std::make_unique<RecordedEndpoint>(record, delayed_writes,
                                                           7 + static_cast<std::uint64_t>(i), behavior));
    const auto member = PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(), 1);
    platform.Set(member);
    ready += (i > 0 ? "," : "") + member.dump();
  }
  platform.AfterWatchLines([&](Socket& socket, const std::string& chunk) {
    if (chunk.find("Terminating") == std::string::npos) return;
    const std::string line = whole_again + ready + "]}\n";
    std::ostringstream size;
    size << std::hex << line.size();
    delayed_writes.Write(socket, milliseconds(50), size.str() + "\r\n" + line + "\r\n");
  });
  ASSERT_TRUE(node.Start());
  const auto enqueue = [&](const std::string& id) {
    return ClientStandIn(node.port).Ask(ClientStandIn::Enqueue(id, "c=safe,d=3000,dest=1"));
  };
  ASSERT_TRUE(Eventually([&] { return enqueue("first") == "+OK"; }));
  platform.Set(PlatformStandIn::Member("s-0", endpoints[0]->address(), 1, "Terminating"));
  std::this_thread::sleep_for(milliseconds(1000));
  const auto drained_from = Clock::now();
  for (int i = 0; i < 30; ++i) EXPECT_EQ(enqueue("d" + std::to_string(i)), "+OK");
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(endpoints[0]->CallsStartedSince(drained_from), 0);
}

}  // namespace
}  // namespace indigosaddle::testing
