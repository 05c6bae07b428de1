// Shadow evaluation of settings that are not in force: which differences it counts, and that it changes no
// decision. Tests the evaluation alone, and the built program against stand-ins on loopback.
#include <gtest/gtest.h>

#include <random>

#include "node/shadow_evaluation.h"
#include "stand_ins.h"
#include "test_node.h"

namespace indigosaddle::testing {
namespace {

using node::ShadowDifference;
using node::ShadowEvaluation;
using node::ShadowSettings;

constexpr Micros kStart = seconds(100);

// A decision engine with a shadow evaluation, both fed the same events as in the node.
class ShadowedNode : public TestNode {
 public:
  ShadowedNode(const Settings& settings, const ShadowSettings& shadow_settings)
      : TestNode(settings), shadow(shadow_settings, settings) {}

  // Runs a turn with the events on both, and reports the engine's decisions to the evaluation.
  void RunTurn(Micros now, const std::function<void(ShadowEvaluation&)>& events) {
    now_ = now;
    shadow.OnTurnStart(now);
    const std::size_t sent_before = sends.size();
    const auto refused_before = refused;
    const auto failed_before = failed;
    Turn(now, [&] { events(shadow); });
    for (std::size_t i = sent_before; i < sends.size(); ++i)
      shadow.RecordSent(sends[i].id, sends[i].endpoint);
    for (const auto& [id, wait] : refused)
      if (!refused_before.contains(id)) shadow.RecordRefused(id);
    for (const auto& [id, at] : failed)
      if (!failed_before.contains(id)) shadow.RecordFailed(id);
    shadow.OnTurnEnd();
  }
  void UpdateBothLists(ShadowEvaluation& evaluation, const std::vector<Endpoint>& entries) {
    TestNode::UpdateList(entries);
    evaluation.OnList(entries, true);
  }
  void AcceptInBoth(ShadowEvaluation& evaluation, MessageId id, std::uint64_t destination) {
    TestNode::Enqueue(id, destination);
    Message message;
    message.id = id;
    message.deadline = now_ + seconds(20);
    message.destination = destination;
    message.rules = BaseSettings().classes[0];
    evaluation.OnMessage(message);
  }
  void ReportInBoth(ShadowEvaluation& evaluation, MessageId id, Result result) {
    Outcome outcome;
    for (const SendRecord& sent : sends)
      if (sent.id == id) {  // as TestNode does
        outcome.endpoint = sent.endpoint;
        outcome.latency = now_ - sent.at;
      }
    TestNode::ReportOutcome(id, Reply{result}, result == Result::kOk);
    outcome.id = id;
    outcome.result = result;
    outcome.last = result == Result::kOk;
    evaluation.OnOutcome(outcome);
  }
  std::uint64_t Differences() const {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < node::kShadowDifferences; ++i)
      total += shadow.Count(static_cast<ShadowDifference>(i));
    return total;
  }

  ShadowEvaluation shadow;

 private:
  Micros now_{0};
};

// Runs a random history, from the seed, on the engine and the evaluation.
void PlayRandomHistory(ShadowedNode& node, std::uint32_t seed) {
  std::mt19937 random(seed);
  MessageId id = 0;
  node.RunTurn(kStart, [&](ShadowEvaluation& evaluation) {
    node.UpdateBothLists(evaluation, {TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
  });
  for (int step = 1; step < 400; ++step) {
    node.RunTurn(kStart + milliseconds(20) * step, [&](ShadowEvaluation& evaluation) {
      if (random() % 4 == 0) node.AcceptInBoth(evaluation, ++id, 7 + random() % 2);
      for (std::size_t i = 0; i < node.sends.size(); ++i) {
        if (node.sends[i].settled || random() % 5 != 0) continue;
        const Result results[] = {Result::kOk, Result::kOk, Result::kRefused, Result::kError,
                                  Result::kNoConnection};
        const MessageId message_id = node.sends[i].id;
        node.ReportInBoth(evaluation, message_id, results[random() % 5]);
      }
    });
  }
}

TEST(ShadowEvaluationTest, EqualSettingsCountNoDifference) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    ShadowedNode node(BaseSettings(), ShadowSettings{});
    PlayRandomHistory(node, seed);
    EXPECT_GE(node.sends.size(), 10u);
    EXPECT_EQ(node.Differences(), 0u) << seed << ": " << node.shadow.Summary();
    EXPECT_EQ(node.shadow.Summary(), "");
  }
}

TEST(ShadowEvaluationTest, FewerAttemptsCountAsRefusedOncePerMessage) {
  ShadowSettings shadow_settings;
  shadow_settings.max_attempts = 1;
  ShadowedNode node(BaseSettings(), shadow_settings);
  node.RunTurn(kStart, [&](ShadowEvaluation& evaluation) {
    node.UpdateBothLists(evaluation, {TestNode::MakeEndpoint(7, "a")});
    node.AcceptInBoth(evaluation, 1, 7);
  });
  ASSERT_EQ(node.CountSends(MessageId{1}), 1);
  EXPECT_EQ(node.Differences(), 0u);
  node.RunTurn(kStart + milliseconds(100), [&](ShadowEvaluation& evaluation) {
    node.ReportInBoth(evaluation, 1, Result::kNoConnection);
  });
  EXPECT_EQ(node.shadow.Count(ShadowDifference::kRefused), 1u);
  for (int i = 1; i < 50; ++i) node.RunTurn(kStart + milliseconds(100 + 20 * i), [](ShadowEvaluation&) {});
  EXPECT_EQ(node.Differences(), 1u);
  EXPECT_EQ(node.shadow.compared(), 0u);
  EXPECT_TRUE(node.answers.empty());  // the message itself stays pending as before
}

TEST(ShadowEvaluationTest, MoreSendersCountAsWaiting) {
  ShadowSettings shadow_settings;
  shadow_settings.senders = 200;
  ShadowedNode node(BaseSettings(), shadow_settings);
  PlayRandomHistory(node, 3);
  EXPECT_GT(node.shadow.Count(ShadowDifference::kWaited), 0u);
  EXPECT_LE(node.Differences(), node.shadow.messages());
}

class ShadowEvaluationOfNodeTest : public NodeTest {
 protected:
  static std::string WatchTable(bool on, const std::string& more) {
    return std::string("[watch]\non = ") + (on ? "true\n" : "false\n") + more;
  }
  std::string Toml(const std::string& more) const {
    return "[node]\nname = \"n0\"\nlisten = \"127.0.0.1:0\"\ndiscovery = \"" + platform.address() +
           "\"\n[limits]\ndisk = \"3MB\"\n[delivery]\nmax_attempts = 12\nzone = \"z\"\n"
           "[[classes]]\nname = \"safe\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"60s\"\nworth = 1\n"
           "[[kinds]]\nname = \"m\"\n[[zones]]\nname = \"z\"\n[control]\nsocket = \"control.sock\"\n" +
           more;
  }
  nlohmann::json Status() {
    return nlohmann::json::parse(node.Command("status --json").second, nullptr, false)
        .value("watch", nlohmann::json());
  }
  // Delivers messages to a destination that rejects every other call, and returns the number of calls that it
  // received.
  int DeliverWithFirstCallsRejected(int messages) {
    EndpointStandIn endpoint([](Socket& socket, const HttpRequest&, int n) {
      return socket.Write(Answer(n % 2 == 1 ? 503 : 200));
    });
    platform.Set(PlatformStandIn::Member("a", endpoint.address(), 7));
    EXPECT_TRUE(node.Start());
    EXPECT_TRUE(EnqueueOnceListed("m0", "c=safe,d=60000,dest=7"));
    for (int i = 1; i < messages; ++i) {
      EXPECT_EQ(Enqueue("m" + std::to_string(i), "c=safe,d=60000,dest=7"), "+OK");
    }
    EXPECT_TRUE(Eventually([&] { return static_cast<int>(endpoint.calls().size()) >= messages + 1; }));
    return static_cast<int>(endpoint.calls().size());
  }
};

TEST_F(ShadowEvaluationOfNodeTest, EqualSettingsCountNoDifferenceAndAreLogged) {
  node.toml = Toml(WatchTable(true, ""));
  DeliverWithFirstCallsRejected(2);
  const nlohmann::json watch = Status();
  ASSERT_TRUE(watch.is_object());
  EXPECT_GE(watch.at("messages").get<int>(), 2);
  for (const auto& [kind, count] : watch.at("otherwise").items()) EXPECT_EQ(count, 0) << kind;
  EXPECT_NE(node.Command("status").second.find("watch: of "), std::string::npos);
  node.Kill(SIGTERM);
  EXPECT_NE(node.log().find("watch messages="), std::string::npos);
}

TEST_F(ShadowEvaluationOfNodeTest, OtherSettingsCountDifferencesAndChangeNoCall) {
  node.toml = Toml(WatchTable(true, "max_attempts = 1\nsenders = 300\n"));
  const int calls = DeliverWithFirstCallsRejected(2);
  EXPECT_GE(calls, 3);  // a second attempt was made: the settings in force apply, not the evaluated ones
  EXPECT_GE(Status().at("otherwise").at("refused").get<int>(), 1);
  EXPECT_FALSE(HasNotice("m0", "failed"));
}

TEST_F(ShadowEvaluationOfNodeTest, DisabledEvaluationIsAbsentFromStatus) {
  node.toml = Toml(WatchTable(false, "max_attempts = 1\n"));
  DeliverWithFirstCallsRejected(1);
  EXPECT_TRUE(Status().is_null());
  EXPECT_EQ(node.Command("status").second.find("watch:"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing
