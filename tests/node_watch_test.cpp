// Settings watched before they are in force: what is counted, and that nothing is changed by it. The watcher
// alone, and the built program against stand-ins on loopback.
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

// A decider with a watcher beside it, fed as the node feeds both.
class Pair : public TestNode {
 public:
  Pair(const Settings& settings, const ShadowSettings& watched)
      : TestNode(settings), watcher(watched, settings) {}

  void Both(Micros now, const std::function<void(ShadowEvaluation&)>& events) {
    now_ = now;
    watcher.OnTurnStart(now);
    const std::size_t sent_before = sends.size();
    const auto refused_before = refused;
    const auto failed_before = failed;
    Turn(now, [&] { events(watcher); });
    for (std::size_t i = sent_before; i < sends.size(); ++i)
      watcher.RecordSent(sends[i].id, sends[i].endpoint);
    for (const auto& [id, wait] : refused)
      if (!refused_before.contains(id)) watcher.RecordRefused(id);
    for (const auto& [id, at] : failed)
      if (!failed_before.contains(id)) watcher.RecordFailed(id);
    watcher.OnTurnEnd();
  }
  void List(ShadowEvaluation& w, const std::vector<Endpoint>& entries) {
    TestNode::UpdateList(entries);
    w.OnList(entries, true);
  }
  void Take(ShadowEvaluation& w, MessageId id, std::uint64_t destination) {
    TestNode::Enqueue(id, destination);
    Message message;
    message.id = id;
    message.deadline = now_ + seconds(20);
    message.destination = destination;
    message.rules = BaseSettings().classes[0];
    w.OnMessage(message);
  }
  void Settle(ShadowEvaluation& w, MessageId id, Result result) {
    Outcome outcome;
    for (const SendRecord& sent : sends)
      if (sent.id == id) outcome.endpoint = sent.endpoint, outcome.latency = now_ - sent.at;  // as TestNode's
    TestNode::ReportOutcome(id, Reply{result}, result == Result::kOk);
    outcome.id = id;
    outcome.result = result;
    outcome.last = result == Result::kOk;
    w.OnOutcome(outcome);
  }
  std::uint64_t Differences() const {
    std::uint64_t all = 0;
    for (std::size_t i = 0; i < node::kShadowDifferences; ++i)
      all += watcher.Count(static_cast<ShadowDifference>(i));
    return all;
  }

  ShadowEvaluation watcher;

 private:
  Micros now_{0};
};

// The same random history for both.
void Play(Pair& pair, std::uint32_t seed) {
  std::mt19937 random(seed);
  MessageId id = 0;
  pair.Both(kStart, [&](ShadowEvaluation& w) {
    pair.List(w, {TestNode::MakeEndpoint(7, "a"), TestNode::MakeEndpoint(8, "b")});
  });
  for (int step = 1; step < 400; ++step) {
    pair.Both(kStart + milliseconds(20) * step, [&](ShadowEvaluation& w) {
      if (random() % 4 == 0) pair.Take(w, ++id, 7 + random() % 2);
      for (std::size_t i = 0; i < pair.sends.size(); ++i) {
        if (pair.sends[i].settled || random() % 5 != 0) continue;
        const Result results[] = {Result::kOk, Result::kOk, Result::kRefused, Result::kError,
                                  Result::kNoConnection};
        const MessageId of = pair.sends[i].id;
        pair.Settle(w, of, results[random() % 5]);
      }
    });
  }
}

TEST(Watched, TheSameSettingsCountNothing) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Pair pair(BaseSettings(), ShadowSettings{});
    Play(pair, seed);
    EXPECT_GE(pair.sends.size(), 10u);
    EXPECT_EQ(pair.Differences(), 0u) << seed << ": " << pair.watcher.Summary();
    EXPECT_EQ(pair.watcher.Summary(), "");
  }
}

TEST(Watched, FewerAttemptsAreCountedAsRefusedAndAMessageCountsOnce) {
  ShadowSettings watched;
  watched.max_attempts = 1;
  Pair pair(BaseSettings(), watched);
  pair.Both(kStart, [&](ShadowEvaluation& w) {
    pair.List(w, {TestNode::MakeEndpoint(7, "a")});
    pair.Take(w, 1, 7);
  });
  ASSERT_EQ(pair.CountSends(MessageId{1}), 1);
  EXPECT_EQ(pair.Differences(), 0u);
  pair.Both(kStart + milliseconds(100),
            [&](ShadowEvaluation& w) { pair.Settle(w, 1, Result::kNoConnection); });
  EXPECT_EQ(pair.watcher.Count(ShadowDifference::kRefused), 1u);
  for (int i = 1; i < 50; ++i) pair.Both(kStart + milliseconds(100 + 20 * i), [](ShadowEvaluation&) {});
  EXPECT_EQ(pair.Differences(), 1u);
  EXPECT_EQ(pair.watcher.compared(), 0u);
  EXPECT_TRUE(pair.answers.empty());  // the message itself is held as before
}

TEST(Watched, MoreSendersAreCountedAsWaiting) {
  ShadowSettings watched;
  watched.senders = 200;
  Pair pair(BaseSettings(), watched);
  Play(pair, 3);
  EXPECT_GT(pair.watcher.Count(ShadowDifference::kWaited), 0u);
  EXPECT_LE(pair.Differences(), pair.watcher.messages());
}

class WatchTest : public NodeTest {
 protected:
  static std::string Watch(bool on, const std::string& more) {
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
  // A destination whose every first call is turned away; both calls of each message, and its end, are
  // counted.
  int Serve(int messages) {
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

TEST_F(WatchTest, EqualSettingsCountNothingAndTheLogSaysIt) {
  node.toml = Toml(Watch(true, ""));
  Serve(2);
  const nlohmann::json watch = Status();
  ASSERT_TRUE(watch.is_object());
  EXPECT_GE(watch.at("messages").get<int>(), 2);
  for (const auto& [kind, count] : watch.at("otherwise").items()) EXPECT_EQ(count, 0) << kind;
  EXPECT_NE(node.Command("status").second.find("watch: of "), std::string::npos);
  node.Kill(SIGTERM);
  EXPECT_NE(node.log().find("watch messages="), std::string::npos);
}

TEST_F(WatchTest, OtherSettingsAreCountedAndChangeNoCall) {
  node.toml = Toml(Watch(true, "max_attempts = 1\nsenders = 300\n"));
  const int calls = Serve(2);
  EXPECT_GE(calls, 3);  // a second attempt was made: the settings in force hold, not the watched ones
  EXPECT_GE(Status().at("otherwise").at("refused").get<int>(), 1);
  EXPECT_FALSE(HasNotice("m0", "failed"));
}

TEST_F(WatchTest, OffByDefaultAndWithoutAWordInStatus) {
  node.toml = Toml(Watch(false, "max_attempts = 1\n"));
  Serve(1);
  EXPECT_TRUE(Status().is_null());
  EXPECT_EQ(node.Command("status").second.find("watch:"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing
