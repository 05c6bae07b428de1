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

#include "recorded_endpoint.h"
#include "soak_seeds.h"
#include "stop_soak_node.h"

namespace indigosaddle::testing {
namespace {

struct CopiesShape {
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
    shape_.nodes = 24;
    shape_.clients = 3;
    shape_.slow_clients = 1;
    shape_.pause = milliseconds(150);
  }

  AnswerBehavior DrawHabits() {
    const DelayRange spans[] = {{milliseconds(0), milliseconds(5)},
                                {milliseconds(1), milliseconds(60)},
                                {milliseconds(0), milliseconds(400)},
                                {milliseconds(20), milliseconds(2000)}};
    AnswerBehavior habits;
    habits.service_time = {milliseconds(2), milliseconds(40 + 80 * Draw(3))};
    habits.duplicate_delay = spans[Draw(3)];
    habits.duplicated = 0.1 * (1 + Draw(3));
    habits.refused = 0.05 * (1 + Draw(4));
    habits.truncate_duplicates = Draw(5) == 0;
    if (Draw(3) == 0) habits.refusal = Answer(429, "X-Retry-In-Ms: 100\r\n");
    habits.error = habits.reset = 0.02;
    habits.silent = 0.01;
    return habits;
  }

  void SetPlatform() {
    const std::string plain = "HTTP/1.1 204 No Content\r\n";
    const std::string answer = plain + (Draw(1) == 0 ? "Connection: close\r\n\r\n" : "\r\n");
    platform_.AnswerNoticesWith([this, answer, most = 60 * Draw(1) + 2](Socket& socket) {
      if (!socket.Write(answer)) return false;
      later_.Write(socket, milliseconds(notices_answered_++ % most), answer);
      return true;
    });
    platform_.ReadNoticesIf([](int post) { return post % 5 != 0; });
    // Behind lines of a watch the same line, and behind some a list of its first version, whole.
    platform_.AfterWatchLines([this](Socket& socket, const std::string& chunk) {
      later_.Write(socket, milliseconds(20), chunk);
      if (lines_++ % 3 != 0) return;
      const std::string older = "{\"seq\":1,\"whole\":true,\"hosts\":" + first_list_.dump() + "}\n";
      std::ostringstream size;
      size << std::hex << older.size();
      later_.Write(socket, milliseconds(60), size.str() + "\r\n" + older + "\r\n");
    });
  }

  void Build() {
    for (int i = 0; i < 2 * shape_.destinations; ++i) {
      endpoints_.push_back(std::make_unique<RecordedEndpoint>(
          record_, later_, GetParam() * 100 + endpoints_.size(), DrawHabits()));
      first_list_.push_back(Member(i, "Ready"));
    }
    SetPlatform();
    for (const auto& member : first_list_) platform_.Set(member);
    for (int i = 0; i < shape_.nodes; ++i) {
      nodes_.push_back(
          std::make_unique<StopSoakNode>(platform_, i, shape_.nodes, GetParam() * 50 + nodes_.size() * 2));
      nodes_.back()->Start();
    }
    for (int i = 0; i < shape_.nodes; ++i) {
      for (int j = 0; j < shape_.clients; ++j) {
        const std::string prefix = "n" + std::to_string(i) + "-" + std::to_string(j) + "-";
        clients_.push_back(
            std::make_unique<SoakClient>(clients_saw_, nodes_[static_cast<std::size_t>(i)]->view, prefix,
                                         shape_.destinations, GetParam() * 1000 + clients_.size(),
                                         shape_.pause, kClasses, j < shape_.slow_clients, kCopiedCommands));
      }
    }
  }
  nlohmann::json Member(int number, const std::string& health) const {
    return PlatformStandIn::Member("s-" + std::to_string(number),
                                   endpoints_[static_cast<std::size_t>(number)]->address(),
                                   1 + number % shape_.destinations, health);
  }

  // Every node is stopped once, killed or replaced; meanwhile an endpoint drains for good.
  void StopAll() {
    std::vector<std::thread> threads;
    for (auto& node : nodes_) {
      threads.emplace_back([this, &node, own_seed = GetParam() * 90 + threads.size()] {
        std::mt19937_64 random(own_seed);
        const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        for (int round = 0; round < shape_.rounds; ++round) {
          std::this_thread::sleep_for(milliseconds(2000 + draw(3000)));
          draw(5) == 0 ? node->Crash() : node->PlannedStop();
        }
      });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    platform_.Set(Member(0, "Terminating"));
    drained_at_ = Clock::now();
    for (std::thread& thread : threads) thread.join();
    for (auto& node : nodes_) node->StopHoldUps();
    std::this_thread::sleep_for(milliseconds(1000));
  }

  void Judge() {
    for (auto& client : clients_) client->Stop();
    std::this_thread::sleep_for(kLongestLife + kNoticesBy);
    for (auto& node : nodes_) {
      EXPECT_FALSE(node->Ended()) << "a process is gone";
      EXPECT_EQ(node->alive_at_kill(), 0) << "alive at the earliest kill";
      EXPECT_EQ(node->Breaks(), "");
    }
    EXPECT_EQ(endpoints_[0]->CallsStartedSince(drained_at_ + kDrainTold), 0) << "called although it drains";
    const auto calls = record_.calls();
    const auto notices = platform_.notices();
    int taken = 0;
    for (const auto& [id, message] : clients_saw_.messages()) {
      EXPECT_FALSE(message.closed && !message.node_died)
          << id << " was written whole and got no answer: " << message.how;
      const auto it = calls.find(id);
      const std::vector<RecordedCall> own = it == calls.end() ? std::vector<RecordedCall>{} : it->second;
      EXPECT_FALSE(AnyRanConcurrently(own)) << id << " was called twice at once" << Lines(id);
      if (message.message_class == "unsafe") ExpectOneRun(id, own);
      if (message.reply != "+OK") continue;
      ++taken;
      EXPECT_TRUE(AnyDelivered(own) || notices.contains(id)) << id << " has no end" << Lines(id);
    }
    EXPECT_GT(taken, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << clients_saw_.messages().size() << " messages, "
              << taken << " taken on, " << notices.size() << " notices, " << later_.written()
              << " things said later\n";
  }
  void ExpectOneRun(const std::string& id, const std::vector<RecordedCall>& calls) const {
    const auto may_have_run = std::count_if(calls.begin(), calls.end(),
                                            [](const RecordedCall& call) { return call.status != 503; });
    EXPECT_LE(may_have_run, 1) << id << " was called again though it may have run" << Lines(id);
  }
  // What the logs say of a message, for a failure's trace.
  std::string Lines(const std::string& id) const {
    std::istringstream all(nodes_[static_cast<std::size_t>(SenderOf(id))]->Logs());
    std::string found = "\n";
    for (std::string line; std::getline(all, line);)
      if (line.find("id=" + id + " ") != std::string::npos) found += line + "\n";
    return found;
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

 private:
  inline static const std::vector<std::string> kClasses = {"safe", "keyed", "unsafe"};
  static constexpr double kCopiedCommands = 0.1;
  // Of a drain, through a hold-up, a start and what the platform allows.
  static constexpr milliseconds kLongestLife{3000}, kNoticesBy{1800}, kDrainTold{1500};

  CopiesShape shape_;
  std::mt19937_64 random_;
  CallRecord record_;
  SoakRecord clients_saw_;
  DelayedWrites later_;
  std::atomic<int> notices_answered_{0}, lines_{0};
  nlohmann::json first_list_ = nlohmann::json::array();
  Clock::time_point drained_at_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<RecordedEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StopSoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

// Guards against a message without its one end, or with two calls at once, whatever comes twice.
TEST_P(CopiesSoak, EachMessageHasItsEndAndOneCallAtATime) {
  Build();
  StopAll();
  Judge();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CopiesSoak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
