// Soak test with duplicated and late input. Real node processes are stopped, signalled several times,
// replaced, killed and stalled. Clients use each connection until it ends and send some commands twice.
// Endpoints duplicate, truncate and delay responses besides their usual faults. The platform duplicates its
// answers and lists, and leaves some posts unread. The checks use only what endpoints, platform and clients
// recorded, and allow no exceptions.
//
//   INDIGOSADDLE_SOAK=FIRST:COUNT   runs these seeds instead of the default ones
#include <gtest/gtest.h>

#include <memory>
#include <sstream>

#include "recorded_endpoint.h"
#include "soak_seeds.h"
#include "stop_soak_node.h"

namespace indigosaddle::testing {
namespace {

struct CopiesSoakParameters {
  int nodes = 4, clients = 10, slow_clients = 2, destinations = 4;
  milliseconds pause{25};
  int rounds = 1;
};

class CopiesSoak : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // Every fifth seed runs with many nodes and few clients for each of them.
  void SetUp() override {
    random_.seed(GetParam());
    if (GetParam() % 5 != 0) return;
    parameters_.nodes = 24;
    parameters_.clients = 3;
    parameters_.slow_clients = 1;
    parameters_.pause = milliseconds(150);
  }

  AnswerBehavior DrawBehavior() {
    const DelayRange spans[] = {{milliseconds(0), milliseconds(5)},
                                {milliseconds(1), milliseconds(60)},
                                {milliseconds(0), milliseconds(400)},
                                {milliseconds(20), milliseconds(2000)}};
    AnswerBehavior behavior;
    behavior.service_time = {milliseconds(2), milliseconds(40 + 80 * Draw(3))};
    behavior.duplicate_delay = spans[Draw(3)];
    behavior.duplicated = 0.1 * (1 + Draw(3));
    behavior.refused = 0.05 * (1 + Draw(4));
    behavior.truncate_duplicates = Draw(5) == 0;
    if (Draw(3) == 0) behavior.refusal = Answer(429, "X-Retry-In-Ms: 100\r\n");
    behavior.error = behavior.reset = 0.02;
    behavior.silent = 0.01;
    return behavior;
  }

  void ConfigurePlatform() {
    const std::string plain = "HTTP/1.1 204 No Content\r\n";
    const std::string answer = plain + (Draw(1) == 0 ? "Connection: close\r\n\r\n" : "\r\n");
    platform_.AnswerNoticesWith([this, answer, max_delay_ms = 60 * Draw(1) + 2](Socket& socket) {
      if (!socket.Write(answer)) return false;
      delayed_writes_.Write(socket, milliseconds(notices_answered_++ % max_delay_ms), answer);
      return true;
    });
    platform_.ReadNoticesIf([](int post) { return post % 5 != 0; });
    // Each line of a watch is followed by a copy of itself, every third one also by the complete list of the
    // first version, which is out of date by then.
    platform_.AfterWatchLines([this](Socket& socket, const std::string& chunk) {
      delayed_writes_.Write(socket, milliseconds(20), chunk);
      if (watch_lines_sent_++ % 3 != 0) return;
      const std::string old_list = "{\"seq\":1,\"whole\":true,\"hosts\":" + first_list_.dump() + "}\n";
      std::ostringstream size;
      size << std::hex << old_list.size();
      delayed_writes_.Write(socket, milliseconds(60), size.str() + "\r\n" + old_list + "\r\n");
    });
  }

  void Build() {
    for (int i = 0; i < 2 * parameters_.destinations; ++i) {
      endpoints_.push_back(std::make_unique<RecordedEndpoint>(
          call_record_, delayed_writes_, GetParam() * 100 + endpoints_.size(), DrawBehavior()));
      first_list_.push_back(Member(i, "Ready"));
    }
    ConfigurePlatform();
    for (const auto& member : first_list_) platform_.Set(member);
    for (int i = 0; i < parameters_.nodes; ++i) {
      nodes_.push_back(std::make_unique<StopSoakNode>(platform_, i, parameters_.nodes,
                                                      GetParam() * 50 + nodes_.size() * 2));
      nodes_.back()->Start();
    }
    for (int i = 0; i < parameters_.nodes; ++i) {
      for (int j = 0; j < parameters_.clients; ++j) {
        const std::string prefix = "n" + std::to_string(i) + "-" + std::to_string(j) + "-";
        clients_.push_back(std::make_unique<SoakClient>(
            client_record_, nodes_[static_cast<std::size_t>(i)]->view, prefix, parameters_.destinations,
            GetParam() * 1000 + clients_.size(), parameters_.pause, kClasses, j < parameters_.slow_clients,
            kDuplicateCommandShare));
      }
    }
  }
  nlohmann::json Member(int number, const std::string& health) const {
    return PlatformStandIn::Member("s-" + std::to_string(number),
                                   endpoints_[static_cast<std::size_t>(number)]->address(),
                                   1 + number % parameters_.destinations, health);
  }

  // Each node is stopped, killed or replaced once per round. Meanwhile one endpoint drains and doesn't
  // return.
  void StopNodes() {
    std::vector<std::thread> threads;
    for (auto& node : nodes_) {
      threads.emplace_back([this, &node, own_seed = GetParam() * 90 + threads.size()] {
        std::mt19937_64 random(own_seed);
        const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        for (int round = 0; round < parameters_.rounds; ++round) {
          std::this_thread::sleep_for(milliseconds(2000 + draw(3000)));
          draw(5) == 0 ? node->Crash() : node->PlannedStop();
        }
      });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    platform_.Set(Member(0, "Terminating"));
    drained_at_ = Clock::now();
    for (std::thread& thread : threads) thread.join();
    for (auto& node : nodes_) node->EndStalls();
    std::this_thread::sleep_for(milliseconds(1000));
  }

  void CheckResults() {
    for (auto& client : clients_) client->Stop();
    std::this_thread::sleep_for(kLongestTimeLimit + kNoticeAllowance);
    for (auto& node : nodes_) {
      EXPECT_FALSE(node->Ended()) << "a process ended unexpectedly";
      EXPECT_EQ(node->overdue_stops(), 0) << "still running at the earliest SIGKILL";
      EXPECT_EQ(node->InvariantViolations(), "");
    }
    EXPECT_EQ(endpoints_[0]->CallsStartedSince(drained_at_ + kDrainPropagation), 0)
        << "called although it is draining";
    const auto calls = call_record_.calls();
    const auto notices = platform_.notices();
    int accepted = 0;
    for (const auto& [id, message] : client_record_.messages()) {
      EXPECT_FALSE(message.closed_without_reply && !message.node_killed)
          << id << " was fully written and got no reply: " << message.close_description;
      const auto it = calls.find(id);
      const std::vector<RecordedCall> message_calls =
          it == calls.end() ? std::vector<RecordedCall>{} : it->second;
      EXPECT_FALSE(AnyRanConcurrently(message_calls))
          << id << " had two calls in flight at once" << LogLines(id);
      if (message.message_class == "unsafe") ExpectAtMostOneExecution(id, message_calls);
      if (message.reply != "+OK") continue;
      ++accepted;
      EXPECT_TRUE(AnyDelivered(message_calls) || notices.contains(id))
          << id << " has no outcome" << LogLines(id);
    }
    EXPECT_GT(accepted, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << client_record_.messages().size()
              << " messages, " << accepted << " accepted, " << notices.size() << " notices, "
              << delayed_writes_.written() << " delayed writes\n";
  }
  void ExpectAtMostOneExecution(const std::string& id, const std::vector<RecordedCall>& calls) const {
    const auto may_have_run = std::count_if(calls.begin(), calls.end(),
                                            [](const RecordedCall& call) { return call.status != 503; });
    EXPECT_LE(may_have_run, 1) << id << " was called again although it may have been executed"
                               << LogLines(id);
  }
  // The node's log lines about a message, for a failure message.
  std::string LogLines(const std::string& id) const {
    std::istringstream log_lines(nodes_[static_cast<std::size_t>(NodeNumberOf(id))]->Logs());
    std::string matching = "\n";
    for (std::string line; std::getline(log_lines, line);)
      if (line.find("id=" + id + " ") != std::string::npos) matching += line + "\n";
    return matching;
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

 private:
  inline static const std::vector<std::string> kClasses = {"safe", "keyed", "unsafe"};
  static constexpr double kDuplicateCommandShare = 0.1;
  // kNoticeAllowance is how long after a message's deadline its notice may arrive. kDrainPropagation is how
  // long a drain may take to reach all nodes, through a stall, a start and the delay that the platform
  // allows.
  static constexpr milliseconds kLongestTimeLimit{3000}, kNoticeAllowance{1800}, kDrainPropagation{1500};

  CopiesSoakParameters parameters_;
  std::mt19937_64 random_;
  CallRecord call_record_;
  SoakRecord client_record_;
  DelayedWrites delayed_writes_;
  std::atomic<int> notices_answered_{0}, watch_lines_sent_{0};
  nlohmann::json first_list_ = nlohmann::json::array();
  Clock::time_point drained_at_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<RecordedEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StopSoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

// Guards against a message that never gets an outcome, or that has two calls in flight at once, when
// commands, responses, lists and notices' answers are duplicated.
TEST_P(CopiesSoak, EachMessageHasItsEndAndOneCallAtATime) {
  Build();
  StopNodes();
  CheckResults();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CopiesSoak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
