// A soak over real processes on loopback: clients use open connections until the kill, signals come in
// series, settings change in flight, on some runs calls to the system fail for a moment, and every message
// that was taken on has its one end in time and goes by the rules that it was born under, whatever happens to
// the processes meanwhile.
//
//   INDIGOSADDLE_SOAK=FIRST:COUNT   plays these seeds instead of the few of the checks
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <optional>

#include "soak_node.h"
#include "soak_seeds.h"

namespace indigosaddle::testing {
namespace {

struct SoakShape {
  int nodes = 3, clients = 4, endpoints = 3;
  milliseconds pause{30};
  double trouble = 0.2;
  bool faults = false;  // of calls to the system
};

class Soak : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // Every fifth seed is a crowd; under every third calls to the system fail.
  static SoakShape ShapeOf(std::uint64_t seed) {
    SoakShape shape;
    if (seed % 5 == 0) shape = {16, 2, 2, milliseconds(400), 0.1};
    shape.faults = seed % 3 == 1;
    return shape;
  }

  void Build(std::uint64_t seed) {
    shape_ = ShapeOf(seed);
    for (int i = 1; i <= shape_.endpoints; ++i) {
      endpoints_.push_back(std::make_unique<SoakEndpoint>(record_, seed * 100 + static_cast<std::uint64_t>(i),
                                                          shape_.trouble));
      platform_.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints_.back()->address(), i));
    }
    for (int i = 0; i < shape_.nodes; ++i) {
      nodes_.push_back(std::make_unique<SoakNode>(platform_, i, shape_.nodes, seed * 50 + nodes_.size()));
      if (shape_.faults) nodes_.back()->UseFaults(seed * 70 + nodes_.size());
      nodes_.back()->Start();
    }
    for (int i = 0; i < shape_.nodes; ++i) {
      for (int j = 0; j < shape_.clients; ++j) {
        const std::string prefix = "n" + std::to_string(i) + "-" + std::to_string(j) + "-";
        clients_.push_back(std::make_unique<SoakClient>(
            record_, nodes_[static_cast<std::size_t>(i)]->view, prefix, shape_.endpoints,
            seed * 1000 + clients_.size(), shape_.pause, kClasses));
      }
    }
  }

  // Trouble in series at nodes that the seed draws, with an endpoint down for a while.
  void Trouble(std::uint64_t seed) {
    random_.seed(seed);
    endpoints_[0]->Down(true);
    for (int round = 0; round < kRounds; ++round) {
      ChangeSettings(*Any());
      std::this_thread::sleep_for(milliseconds(Draw(700)));
      SignalsAt(*Any());
      if (shape_.faults) FaultsAt(*Any());
      if (round == 1) endpoints_[0]->Down(false);
    }
    std::this_thread::sleep_for(milliseconds(1000));
  }

  void ChangeSettings(SoakNode& node) {
    for (int i = Draw(2); i >= 0; --i)
      node.ChangeSettings(), std::this_thread::sleep_for(milliseconds(Draw(300)));
    for (int i = Draw(3); i > 0; --i) node.BreakFile();
    if (Draw(3) == 0) node.ReplaceBetweenHangups();
    if (Draw(3) == 0) node.ChangeFileOnly();  // for its next start, or with the next signal
    if (Draw(3) == 0) node.BreakFileOnly();
  }

  void SignalsAt(SoakNode& node) {
    const int kind = Draw(4);
    if (kind == 0) node.Replace(false);
    if (kind == 1) node.Replace(true);
    if (kind == 2) {
      node.Kill();
      std::this_thread::sleep_for(kStartAfter);
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
      node.Replace(false);
    }
  }

  void FaultsAt(SoakNode& node) {
    for (int i = Draw(3); i >= 0; --i)
      node.faults().Play(), std::this_thread::sleep_for(milliseconds(Draw(200)));
    if (Draw(1) == 0) node.DieWithinAWrite();
  }

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  SoakNode* Any() { return nodes_[static_cast<std::size_t>(Draw(shape_.nodes - 1))].get(); }

  void Judge() {
    for (auto& client : clients_) client->Stop();
    for (auto& node : nodes_) EXPECT_FALSE(node->Ended()) << "a process is gone";
    // The longest time of a message, and what the platform allows behind it.
    std::this_thread::sleep_for(milliseconds(3000) + kNoticeSlack + kAfterReady);
    calls_ = record_.calls();
    notices_ = platform_.notices();
    int taken = 0;
    for (const auto& [id, message] : record_.messages()) {
      EXPECT_FALSE(message.closed && !message.node_died) << id << " was read and its connection closed";
      ExpectRules(id, message);
      if (message.reply != "+OK") continue;
      ++taken;
      EXPECT_TRUE(record_.Served(id) || notices_.contains(id)) << id << " has no end";
      if (!record_.Served(id)) ExpectInTime(id, message);
    }
    EXPECT_GT(taken, 50);
    std::cout << "[   soak   ] seed " << GetParam() << ": " << record_.messages().size() << " messages, "
              << taken << " taken on, " << notices_.size() << " notices\n";
  }
  const SoakNode& NodeOf(const std::string& id) const {
    return *nodes_[static_cast<std::size_t>(SenderOf(id))];
  }
  // Its notice came by the end of its time, but for the restarts of its node.
  void ExpectInTime(const std::string& id, const SentMessage& message) {
    const std::optional<Clock::time_point> told = platform_.FirstNoticeAt(id);
    const Clock::time_point due = message.begun + message.life;
    if (!told || NodeOf(id).Excused(due)) return;
    EXPECT_LE(*told, due + kNoticeSlack) << id << " was told late";
  }
  // Behind a call that may have run: nothing of an unsafe message, neither another call nor its hand-back; of
  // a keyed one, whose key every endpoint knows, calls in the key's life.
  void ExpectRules(const std::string& id, const SentMessage& message) {
    const auto rules = NodeOf(id).timeline().At(message.message_class, message.born);
    const auto calls = calls_.find(id);
    if (!rules || rules->effect == "read_like" || calls == calls_.end()) return;
    const auto first = std::find_if(calls->second.begin(), calls->second.end(),
                                    [](const SeenCall& call) { return call.answer != CallAnswer::kRefused; });
    if (first == calls->second.end()) return;
    const bool unsafe = rules->effect == "non_idempotent";
    for (auto call = std::next(first); call != calls->second.end(); ++call) {
      EXPECT_FALSE(unsafe) << id << " was called again though it may have run";
      EXPECT_LE(call->at, first->at + rules->key_life) << id << " was called again behind its key's life";
    }
    if (!unsafe) return;
    const auto notice = notices_.find(id);
    EXPECT_FALSE(notice != notices_.end() && notice->second.front()["state"] == "returned")
        << id << " was handed back though it may have run";
    EXPECT_FALSE(message.reply.starts_with("-BUSY")) << id << " was refused though it may have run";
  }

 private:
  static constexpr int kRounds = 3;
  inline static const std::vector<std::string> kClasses = {"safe", "unsafe", kShiftingClass, kShiftingClass,
                                                           kGuestClass};

  SoakShape shape_;
  std::mt19937_64 random_;
  SoakRecord record_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::vector<std::unique_ptr<SoakNode>> nodes_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  std::map<std::string, std::vector<SeenCall>> calls_;
  std::map<std::string, std::vector<nlohmann::json>> notices_;
};

TEST_P(Soak, EveryMessageHasItsEndAndNoneRunsTwice) {
  Build(GetParam());
  Trouble(GetParam());
  Judge();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(SoakSeeds()),
                         [](const auto& given) { return "Seed" + std::to_string(given.param); });

}  // namespace
}  // namespace indigosaddle::testing
