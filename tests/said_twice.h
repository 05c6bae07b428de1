// A world in which peers say things twice: one built node, destinations with two endpoints each, clients that
// hand in all the time.
#pragma once

#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "recorded_endpoint.h"
#include "stand_ins.h"

namespace indigosaddle::testing {

class SaidTwice : public ::testing::Test {
 protected:
  static constexpr int kDestinations = 12, kClients = 32;
  static constexpr milliseconds kLife{3000}, kNoticeSlack{300}, kClientPause{150};

  SaidTwice() : node(platform.address()) {
    node.config["settings"]["familyInfo"]["callSlots"] = 64;
    node.config["settings"]["caps"]["maxOpen"] = 2000;
  }

  void Build(const AnswerBehavior& habits, std::uint64_t seed) {
    for (int i = 0; i < 2 * kDestinations; ++i) {
      endpoints.push_back(
          std::make_unique<RecordedEndpoint>(record, later, seed * 100 + endpoints.size(), habits));
      platform.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(),
                                           1 + i % kDestinations));
    }
    ASSERT_TRUE(node.Start());
    ASSERT_TRUE(Eventually([&] {
      return ClientStandIn(node.port).Ask(ClientStandIn::Enqueue(
                 "first", "c=safe,d=3000,dest=" + std::to_string(kDestinations))) == "+OK";
    }));
  }

  // All clients hand in for so long, then every message comes to its end.
  void Play(milliseconds span, const std::string& message_class = "safe") {
    std::vector<std::thread> clients;
    const auto end = Clock::now() + span;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i, end, &message_class] {
        ClientStandIn client(node.port);
        for (int number = 0; Clock::now() < end; ++number) {
          const std::string id = "c" + std::to_string(i) + "-" + std::to_string(number);
          HandIn(client, id, message_class, 1 + (i + number) % kDestinations);
          std::this_thread::sleep_for(kClientPause);
        }
      });
    }
    for (std::thread& client : clients) client.join();
    std::this_thread::sleep_for(kLife + kNoticeSlack);
  }
  virtual void HandIn(ClientStandIn& client, const std::string& id, const std::string& message_class,
                      int destination) {
    const std::string reply =
        client.Ask(ClientStandIn::Enqueue(id, "c=" + message_class + ",d=" + std::to_string(kLife.count()) +
                                                  ",k=" + id + ",dest=" + std::to_string(destination)));
    if (reply == "+OK") Took(id);
  }
  void Took(const std::string& id) {
    const std::lock_guard lock(mutex_);
    taken_.push_back(id);
  }

  struct Verdict {
    int taken = 0, lost = 0, at_once = 0, called_again = 0;
  };
  // By what the endpoints and the platform did.
  Verdict Judge() {
    EXPECT_FALSE(node.Ended()) << "the process is gone";
    Verdict verdict;
    const auto calls = record.calls();
    const auto notices = platform.notices();
    const std::lock_guard lock(mutex_);
    for (const std::string& id : taken_) {
      ++verdict.taken;
      const auto it = calls.find(id);
      const std::vector<RecordedCall> own = it == calls.end() ? std::vector<RecordedCall>{} : it->second;
      verdict.lost += !AnyDelivered(own) && !notices.contains(id) ? 1 : 0;
      verdict.at_once += AnyRanConcurrently(own) ? 1 : 0;
      const auto may_have_run =
          std::count_if(own.begin(), own.end(), [](const RecordedCall& call) { return call.status != 503; });
      verdict.called_again += may_have_run > 1 ? 1 : 0;
    }
    std::cout << "[  judged  ] " << verdict.taken << " taken on, " << verdict.lost << " lost, "
              << verdict.at_once << " with two calls at once, " << verdict.called_again
              << " called again though it may have run, " << notices.size() << " notices, " << Copies()
              << " copies, " << Connections() << " connections\n";
    return verdict;
  }
  void ExpectRulesKept() {
    const Verdict verdict = Judge();
    EXPECT_GT(verdict.taken, 100);
    EXPECT_EQ(verdict.lost, 0);
    EXPECT_EQ(verdict.at_once, 0);
  }
  int Copies() const {
    int copies = 0;
    for (const auto& endpoint : endpoints) copies += endpoint->duplicates();
    return copies;
  }
  int Connections() const {
    int connections = 0;
    for (const auto& endpoint : endpoints) connections += endpoint->connections();
    return connections;
  }

  CallRecord record;
  DelayedWrites later;
  PlatformStandIn platform;
  std::vector<std::unique_ptr<RecordedEndpoint>> endpoints;
  NodeProcess node;

 private:
  std::mutex mutex_;
  std::vector<std::string> taken_;
};

}  // namespace indigosaddle::testing
