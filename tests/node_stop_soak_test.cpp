// Soak test of planned stops. Real processes are stopped, replaced and restarted as the platform does it, and
// are stalled for up to 0.15 s at any point, several times in a row. Clients use each connection until it
// ends, and some send commands in pieces. A request that was fully written to an open connection must be
// answered; one that crossed the orderly end of an idle connection must be answered on a new one. There are
// no exceptions around a planned stop.
//
//   INDIGOSADDLE_SOAK=FIRST:COUNT   runs these seeds instead of the default ones
#include <gtest/gtest.h>

#include <memory>

#include "soak_seeds.h"
#include "stop_soak_node.h"

namespace indigosaddle::testing {
namespace {

struct StopSoakParameters {
  int nodes = 4, clients = 12, slow_clients = 8, endpoints = 3;
  milliseconds pause{20};
  double failure_share = 0.15;
  int rounds = 2;
};

class StopSoak : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // Every fifth seed runs with many nodes and few clients for each of them.
  static StopSoakParameters ParametersFor(std::uint64_t seed) {
    StopSoakParameters parameters;
    if (seed % 5 == 0) {
      parameters.nodes = 24;
      parameters.clients = 3;
      parameters.slow_clients = 1;
      parameters.pause = milliseconds(150);
    }
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
          std::make_unique<StopSoakNode>(platform_, i, parameters_.nodes, seed * 50 + nodes_.size() * 2));
      nodes_.back()->Start();
    }
    for (int i = 0; i < parameters_.nodes; ++i) {
      for (int j = 0; j < parameters_.clients; ++j) {
        const std::string prefix = "n" + std::to_string(i) + "-" + std::to_string(j) + "-";
        clients_.push_back(std::make_unique<SoakClient>(
            record_, nodes_[static_cast<std::size_t>(i)]->view, prefix, parameters_.endpoints,
            seed * 1000 + clients_.size(), parameters_.pause, kClasses, j < parameters_.slow_clients));
      }
    }
  }

  // Each node is stopped once per round; one time in eight it is killed without a SIGTERM instead.
  void StopNodes(std::uint64_t seed) {
    std::vector<std::thread> threads;
    for (auto& node : nodes_) {
      threads.emplace_back([this, &node, own_seed = seed * 90 + threads.size()] {
        std::mt19937_64 random(own_seed);
        const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        for (int round = 0; round < parameters_.rounds; ++round) {
          std::this_thread::sleep_for(milliseconds(draw(1500)));
          draw(7) == 0 ? node->Crash() : node->PlannedStop();
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
    for (auto& node : nodes_) node->EndStalls();
    std::this_thread::sleep_for(milliseconds(500));
  }

  void CheckResults() {
    for (auto& client : clients_) client->Stop();
    // The longest time limit of a message, plus the delay that the platform allows for its notice.
    std::this_thread::sleep_for(kLongestTimeLimit + kNoticeAllowance);
    int overdue_stops = 0;
    for (auto& node : nodes_) {
      EXPECT_FALSE(node->Ended()) << "a process ended unexpectedly";
      EXPECT_EQ(node->Logs().find(" phase.break "), std::string::npos);
      overdue_stops += node->overdue_stops();
    }
    EXPECT_EQ(overdue_stops, 0) << "still running at the earliest SIGKILL";
    const auto calls = record_.calls();
    const auto notices = platform_.notices();
    int accepted = 0, unanswered = 0;
    for (const auto& [id, message] : record_.messages()) {
      EXPECT_FALSE(message.closed_without_reply && !message.node_killed)
          << id << " was fully written and got no reply: " << message.close_description << ", at "
          << WallMillis(message.fully_written_at) << "\n"
          << nodes_[static_cast<std::size_t>(NodeNumberOf(id))]->Phases();
      unanswered += message.reply.empty() ? 1 : 0;
      ExpectNoUnsafeRepeat(id, message, calls);
      if (message.reply != "+OK") continue;
      ++accepted;
      EXPECT_TRUE(record_.Served(id) || notices.contains(id)) << id << " has no outcome";
    }
    EXPECT_GT(accepted, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << record_.messages().size() << " messages, "
              << accepted << " accepted, " << unanswered << " not answered in 0.4 s, " << notices.size()
              << " notices\n";
  }
  // Converts to Unix time in milliseconds, as in the nodes' logs.
  static std::int64_t WallMillis(Clock::time_point at) {
    const auto age = Clock::now() - at;
    const auto wall = std::chrono::system_clock::now() - age;
    return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
  }
  static void ExpectNoUnsafeRepeat(const std::string& id, const SentMessage& message,
                                   const std::map<std::string, std::vector<ObservedCall>>& calls) {
    const auto seen = calls.find(id);
    if (message.message_class != "unsafe" || seen == calls.end()) return;
    const auto may_have_run =
        std::count_if(seen->second.begin(), seen->second.end(),
                      [](const ObservedCall& call) { return call.answer != CallAnswer::kRefused; });
    EXPECT_LE(may_have_run, 1) << id << " was called again although it may have been executed";
  }

 private:
  inline static const std::vector<std::string> kClasses = {"safe", "keyed", "unsafe"};
  static constexpr milliseconds kLongestTimeLimit{3000}, kNoticeAllowance{1800};

  StopSoakParameters parameters_;
  SoakRecord record_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StopSoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

// Guards against a request that gets no reply, or no outcome, because of a planned stop while the process is
// stalled.
TEST_P(StopSoak, EachRequestIsAnsweredAndHasItsEnd) {
  Build(GetParam());
  StopNodes(GetParam());
  CheckResults();
}

INSTANTIATE_TEST_SUITE_P(Seeds, StopSoak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
