// Soak test over real processes on loopback. Clients use open connections until the process is killed,
// signals arrive in series, settings change while messages are in flight, and for some seeds system calls
// fail for short periods. Each accepted message must have exactly one outcome in time, and must be handled by
// the rules that applied when its client created it, whatever happens to the processes.
//
//   INDIGOSADDLE_SOAK=FIRST:COUNT   runs these seeds instead of the default ones
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <optional>

#include "soak_node.h"
#include "soak_seeds.h"

namespace indigosaddle::testing {
namespace {

struct SoakParameters {
  int nodes = 3, clients = 4, endpoints = 3;
  milliseconds pause{30};
  double failure_share = 0.2;
  bool system_call_faults = false;  // system calls fail for short periods
};

class Soak : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // Every fifth seed runs with many nodes and few clients; for every third one system calls fail at times.
  static SoakParameters ParametersFor(std::uint64_t seed) {
    SoakParameters parameters;
    if (seed % 5 == 0) parameters = {16, 2, 2, milliseconds(400), 0.1};
    parameters.system_call_faults = seed % 3 == 1;
    return parameters;
  }

  void Build(std::uint64_t seed) {
    parameters_ = ParametersFor(seed);
    for (int i = 1; i <= parameters_.endpoints; ++i) {
      endpoints_.push_back(std::make_unique<SoakEndpoint>(record_, seed * 100 + static_cast<std::uint64_t>(i),
                                                          parameters_.failure_share));
      platform_.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints_.back()->address(), i));
    }
    for (int i = 0; i < parameters_.nodes; ++i) {
      nodes_.push_back(
          std::make_unique<SoakNode>(platform_, i, parameters_.nodes, seed * 50 + nodes_.size()));
      if (parameters_.system_call_faults) nodes_.back()->UseFaults(seed * 70 + nodes_.size());
      nodes_.back()->Start();
    }
    for (int i = 0; i < parameters_.nodes; ++i) {
      for (int j = 0; j < parameters_.clients; ++j) {
        const std::string prefix = "n" + std::to_string(i) + "-" + std::to_string(j) + "-";
        clients_.push_back(std::make_unique<SoakClient>(
            record_, nodes_[static_cast<std::size_t>(i)]->view, prefix, parameters_.endpoints,
            seed * 1000 + clients_.size(), parameters_.pause, kClasses));
      }
    }
  }

  // Rounds of changed settings, signals and faults at nodes that the seed selects. The first endpoint is down
  // during the first two rounds.
  void DisturbNodes(std::uint64_t seed) {
    random_.seed(seed);
    endpoints_[0]->SetDown(true);
    for (int round = 0; round < kRounds; ++round) {
      ChangeSettingsOf(*AnyNode());
      std::this_thread::sleep_for(milliseconds(Draw(700)));
      SignalNode(*AnyNode());
      if (parameters_.system_call_faults) InjectSystemFaults(*AnyNode());
      if (round == 1) endpoints_[0]->SetDown(false);
    }
    std::this_thread::sleep_for(milliseconds(1000));
  }

  void ChangeSettingsOf(SoakNode& node) {
    for (int i = Draw(2); i >= 0; --i) {
      node.ReloadChangedFile();
      std::this_thread::sleep_for(milliseconds(Draw(300)));
    }
    for (int i = Draw(3); i > 0; --i) node.ReloadCorruptFile();
    if (Draw(3) == 0) node.ReplaceCorruptFileBetweenHangups();
    if (Draw(3) == 0) node.WriteChangedFile();  // read at its next start or SIGHUP
    if (Draw(3) == 0) node.WriteCorruptFile();
  }

  void SignalNode(SoakNode& node) {
    const int kind = Draw(4);
    if (kind == 0) node.Restart(false);
    if (kind == 1) node.Restart(true);
    if (kind == 2) {
      node.Kill();
      std::this_thread::sleep_for(kStartDelay);
      node.Start();
    }
    if (kind == 3) {
      node.Hangups(5, milliseconds(Draw(30)));
    }
    if (kind == 4) {
      node.Signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(100));
      node.Signal(SIGCONT);
      node.Hangup();
      node.Restart(false);
    }
  }

  void InjectSystemFaults(SoakNode& node) {
    for (int i = Draw(3); i >= 0; --i) {
      node.faults().FailOneCallBriefly();
      std::this_thread::sleep_for(milliseconds(Draw(200)));
    }
    if (Draw(1) == 0) node.CrashDuringWrite();
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  SoakNode* AnyNode() { return nodes_[static_cast<std::size_t>(Draw(parameters_.nodes - 1))].get(); }

  void CheckResults() {
    for (auto& client : clients_) client->Stop();
    for (auto& node : nodes_) EXPECT_FALSE(node->Ended()) << "a process ended unexpectedly";
    // The longest time limit of a message, plus the delay that the platform allows for its notice.
    std::this_thread::sleep_for(milliseconds(3000) + kNoticeTolerance + kGraceAfterReady);
    calls_ = record_.calls();
    notices_ = platform_.notices();
    int accepted = 0;
    for (const auto& [id, message] : record_.messages()) {
      EXPECT_FALSE(message.closed_without_reply && !message.node_killed)
          << id << " was read and its connection closed without a reply";
      ExpectRulesRespected(id, message);
      if (message.reply != "+OK") continue;
      ++accepted;
      EXPECT_TRUE(record_.Served(id) || notices_.contains(id)) << id << " has no outcome";
      if (!record_.Served(id)) ExpectNoticeInTime(id, message);
    }
    EXPECT_GT(accepted, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << record_.messages().size() << " messages, "
              << accepted << " accepted, " << notices_.size() << " notices\n";
  }
  const SoakNode& NodeOf(const std::string& id) const {
    return *nodes_[static_cast<std::size_t>(NodeNumberOf(id))];
  }
  // The message's notice arrived by its deadline, unless its node was restarting then.
  void ExpectNoticeInTime(const std::string& id, const SentMessage& message) {
    const std::optional<Clock::time_point> noticed_at = platform_.FirstNoticeAt(id);
    const Clock::time_point deadline = message.enqueue_began_at + message.time_limit;
    if (!noticed_at || NodeOf(id).InRestartGracePeriod(deadline)) return;
    EXPECT_LE(*noticed_at, deadline + kNoticeTolerance) << id << " got its notice too late";
  }
  // After a call that the endpoint may have executed, an unsafe message must be neither called again nor
  // returned. A message with an idempotency key may be called again while its key is valid: every endpoint
  // knows the key.
  void ExpectRulesRespected(const std::string& id, const SentMessage& message) {
    const auto rules = NodeOf(id).timeline().At(message.message_class, message.created_at);
    const auto calls = calls_.find(id);
    if (!rules || rules->effect == "read_like" || calls == calls_.end()) return;
    const auto first = std::find_if(calls->second.begin(), calls->second.end(), [](const ObservedCall& call) {
      return call.answer != CallAnswer::kRefused;
    });
    if (first == calls->second.end()) return;
    const bool unsafe = rules->effect == "non_idempotent";
    for (auto call = std::next(first); call != calls->second.end(); ++call) {
      EXPECT_FALSE(unsafe) << id << " was called again although it may have been executed";
      EXPECT_LE(call->arrived_at, first->arrived_at + rules->key_lifetime)
          << id << " was called again after its idempotency key had expired";
    }
    if (!unsafe) return;
    const auto notice = notices_.find(id);
    EXPECT_FALSE(notice != notices_.end() && notice->second.front()["state"] == "returned")
        << id << " was returned although it may have been executed";
    EXPECT_FALSE(message.reply.starts_with("-BUSY"))
        << id << " was refused although it may have been executed";
  }

 private:
  static constexpr int kRounds = 3;
  inline static const std::vector<std::string> kClasses = {"safe", "unsafe", kChangingClass, kChangingClass,
                                                           kTemporaryClass};

  SoakParameters parameters_;
  std::mt19937_64 random_;
  SoakRecord record_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::vector<std::unique_ptr<SoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  std::map<std::string, std::vector<ObservedCall>> calls_;
  std::map<std::string, std::vector<nlohmann::json>> notices_;
};

// Guards against an accepted message without an outcome and against a repeated execution, over restarts,
// kills, reloads and system call faults.
TEST_P(Soak, EveryMessageHasItsEndAndNoneRunsTwice) {
  Build(GetParam());
  DisturbNodes(GetParam());
  CheckResults();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
