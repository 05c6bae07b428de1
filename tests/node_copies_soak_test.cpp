// A soak in which peers say things twice: real processes that are stopped in series, replaced, killed and
// held up, clients that use their connections until these end and some of whose commands come twice,
// endpoints whose answers are copied, cut and delayed beside their known faults, a platform whose answers and
// list come twice or whose posts are left unread. Judged by what endpoints, platform and clients did; nothing
// is excused.
//
//   INDIGOSADDLE_SOAK=FIRST:COUNT   plays these seeds instead of the few of the checks
#include <gtest/gtest.h>

#include <memory>
#include <sstream>

#include "judged_endpoint.h"
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
  // Every fifth seed is a crowd.
  void SetUp() override {
    random_.seed(GetParam());
    if (GetParam() % 5 != 0) return;
    parameters_.nodes = 24;
    parameters_.clients = 3;
    parameters_.slow_clients = 1;
    parameters_.pause = milliseconds(150);
  }

  AnsweringHabits DrawHabits() {
    const Span spans[] = {{milliseconds(0), milliseconds(5)},
                          {milliseconds(1), milliseconds(60)},
                          {milliseconds(0), milliseconds(400)},
                          {milliseconds(20), milliseconds(2000)}};
    AnsweringHabits habits;
    habits.serves = {milliseconds(2), milliseconds(40 + 80 * Draw(3))};
    habits.copy_behind = spans[Draw(3)];
    habits.copied = 0.1 * (1 + Draw(3));
    habits.refused = 0.05 * (1 + Draw(4));
    habits.half = Draw(5) == 0;
    if (Draw(3) == 0) habits.refusal = Answer(429, "X-Retry-In-Ms: 100\r\n");
    habits.error = habits.reset = 0.02;
    habits.silent = 0.01;
    return habits;
  }

  void ConfigurePlatform() {
    const std::string plain = "HTTP/1.1 204 No Content\r\n";
    const std::string answer = plain + (Draw(1) == 0 ? "Connection: close\r\n\r\n" : "\r\n");
    platform_.AnswerNotices([this, answer, max_delay_ms = 60 * Draw(1) + 2](Socket& socket) {
      if (!socket.Write(answer)) return false;
      delayed_writes_.Write(socket, milliseconds(notices_answered_++ % max_delay_ms), answer);
      return true;
    });
    platform_.ReadNotices([](int post) { return post % 5 != 0; });
    // Behind lines of a watch the same line, and behind some a list of its first version, whole.
    platform_.BehindLines([this](Socket& socket, const std::string& chunk) {
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
      endpoints_.push_back(std::make_unique<JudgedEndpoint>(
          call_record_, delayed_writes_, GetParam() * 100 + endpoints_.size(), DrawHabits()));
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

  // Every node is stopped once, killed or replaced; meanwhile an endpoint drains for good.
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
      EXPECT_FALSE(node->Ended()) << "a process is gone";
      EXPECT_EQ(node->overdue_stops(), 0) << "alive at the earliest kill";
      EXPECT_EQ(node->InvariantViolations(), "");
    }
    EXPECT_EQ(endpoints_[0]->CallsFrom(drained_at_ + kDrainPropagation), 0) << "called although it drains";
    const auto calls = call_record_.calls();
    const auto notices = platform_.notices();
    int accepted = 0;
    for (const auto& [id, message] : client_record_.messages()) {
      EXPECT_FALSE(message.closed_without_reply && !message.node_killed)
          << id << " was written whole and got no answer: " << message.close_description;
      const auto it = calls.find(id);
      const std::vector<JudgedCall> message_calls =
          it == calls.end() ? std::vector<JudgedCall>{} : it->second;
      EXPECT_FALSE(Overlap(message_calls)) << id << " was called twice at once" << LogLines(id);
      if (message.message_class == "unsafe") ExpectAtMostOneExecution(id, message_calls);
      if (message.reply != "+OK") continue;
      ++accepted;
      EXPECT_TRUE(Served(message_calls) || notices.contains(id)) << id << " has no end" << LogLines(id);
    }
    EXPECT_GT(accepted, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << client_record_.messages().size()
              << " messages, " << accepted << " taken on, " << notices.size() << " notices, "
              << delayed_writes_.written() << " things said later\n";
  }
  void ExpectAtMostOneExecution(const std::string& id, const std::vector<JudgedCall>& calls) const {
    const auto may_have_run =
        std::count_if(calls.begin(), calls.end(), [](const JudgedCall& call) { return call.status != 503; });
    EXPECT_LE(may_have_run, 1) << id << " was called again though it may have run" << LogLines(id);
  }
  // What the logs say of a message, for a failure's trace.
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
  // Of a drain, through a hold-up, a start and what the platform allows.
  static constexpr milliseconds kLongestTimeLimit{3000}, kNoticeAllowance{1800}, kDrainPropagation{1500};

  CopiesSoakParameters parameters_;
  std::mt19937_64 random_;
  CallRecord call_record_;
  SoakRecord client_record_;
  LaterWrites delayed_writes_;
  std::atomic<int> notices_answered_{0}, watch_lines_sent_{0};
  nlohmann::json first_list_ = nlohmann::json::array();
  Clock::time_point drained_at_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<JudgedEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StopSoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

// Guards against a message without its one end, or with two calls at once, whatever comes twice.
TEST_P(CopiesSoak, EachMessageHasItsEndAndOneCallAtATime) {
  Build();
  StopNodes();
  CheckResults();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CopiesSoak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
