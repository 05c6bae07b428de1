// Fixture of a built node whose peers duplicate what they send: destinations with two endpoints each, and
// clients that enqueue all the time.
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

// Owns the endpoints, the platform and the node, and evaluates what became of each accepted message.
class DuplicatesTest : public ::testing::Test {
 protected:
  static constexpr int kDestinations = 12, kClients = 32;
  static constexpr milliseconds kMessageLifetime{3000}, kNoticeSlack{300}, kClientPause{150};

  DuplicatesTest() : node(platform.address()) {
    node.config["settings"]["familyInfo"]["callSlots"] = 64;
    node.config["settings"]["caps"]["maxOpen"] = 2000;
  }

  // Creates the endpoints, starts the node and waits until it knows their list.
  void StartNodeAndEndpoints(const AnswerBehavior& behavior, std::uint64_t seed) {
    for (int i = 0; i < 2 * kDestinations; ++i) {
      endpoints.push_back(std::make_unique<RecordedEndpoint>(record, delayed_writes,
                                                             seed * 100 + endpoints.size(), behavior));
      platform.Set(PlatformStandIn::Member("s-" + std::to_string(i), endpoints.back()->address(),
                                           1 + i % kDestinations));
    }
    ASSERT_TRUE(node.Start());
    ASSERT_TRUE(Eventually([&] {
      return ClientStandIn(node.port).Ask(ClientStandIn::Enqueue(
                 "first", "c=safe,d=3000,dest=" + std::to_string(kDestinations))) == "+OK";
    }));
  }

  // All clients enqueue for `span`; then waits until every message has ended.
  void EnqueueAndFinish(milliseconds span, const std::string& message_class = "safe") {
    std::vector<std::thread> clients;
    const auto end = Clock::now() + span;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i, end, &message_class] {
        ClientStandIn client(node.port);
        for (int number = 0; Clock::now() < end; ++number) {
          const std::string id = "c" + std::to_string(i) + "-" + std::to_string(number);
          EnqueueMessage(client, id, message_class, 1 + (i + number) % kDestinations);
          std::this_thread::sleep_for(kClientPause);
        }
      });
    }
    for (std::thread& client : clients) client.join();
    std::this_thread::sleep_for(kMessageLifetime + kNoticeSlack);
  }
  virtual void EnqueueMessage(ClientStandIn& client, const std::string& id, const std::string& message_class,
                              int destination) {
    const std::string reply = client.Ask(
        ClientStandIn::Enqueue(id, "c=" + message_class + ",d=" + std::to_string(kMessageLifetime.count()) +
                                       ",k=" + id + ",dest=" + std::to_string(destination)));
    if (reply == "+OK") RecordAccepted(id);
  }
  // Records a message that got +OK, for the evaluation.
  void RecordAccepted(const std::string& id) {
    const std::lock_guard lock(mutex_);
    accepted_.push_back(id);
  }

  // Numbers of accepted messages. Lost ones had neither a served call nor a notice, concurrent ones had two
  // calls at once, and repeated ones had a second call although an earlier one may have run.
  struct Evaluation {
    int accepted = 0, lost = 0, concurrent = 0, repeated = 0;
  };
  // Evaluates the records of the endpoints and the platform.
  Evaluation Evaluate() {
    EXPECT_FALSE(node.Ended()) << "the process has ended";
    Evaluation evaluation;
    const auto calls = record.calls();
    const auto notices = platform.notices();
    const std::lock_guard lock(mutex_);
    for (const std::string& id : accepted_) {
      ++evaluation.accepted;
      const auto it = calls.find(id);
      const std::vector<RecordedCall> own = it == calls.end() ? std::vector<RecordedCall>{} : it->second;
      evaluation.lost += !AnyDelivered(own) && !notices.contains(id) ? 1 : 0;
      evaluation.concurrent += AnyRanConcurrently(own) ? 1 : 0;
      const auto may_have_run =
          std::count_if(own.begin(), own.end(), [](const RecordedCall& call) { return call.status != 503; });
      evaluation.repeated += may_have_run > 1 ? 1 : 0;
    }
    std::cout << "[ results  ] " << evaluation.accepted << " accepted, " << evaluation.lost << " lost, "
              << evaluation.concurrent << " with two calls at once, " << evaluation.repeated
              << " called again although an earlier call may have run, " << notices.size() << " notices, "
              << DuplicateCount() << " duplicate responses, " << Connections() << " connections\n";
    return evaluation;
  }
  void ExpectNoneLostOrConcurrent() {
    const Evaluation evaluation = Evaluate();
    EXPECT_GT(evaluation.accepted, 100);
    EXPECT_EQ(evaluation.lost, 0);
    EXPECT_EQ(evaluation.concurrent, 0);
  }
  // Responses that the endpoints sent a second time.
  int DuplicateCount() const {
    int duplicates = 0;
    for (const auto& endpoint : endpoints) duplicates += endpoint->duplicates();
    return duplicates;
  }
  int Connections() const {
    int connections = 0;
    for (const auto& endpoint : endpoints) connections += endpoint->connections();
    return connections;
  }

  CallRecord record;
  DelayedWrites delayed_writes;
  PlatformStandIn platform;
  std::vector<std::unique_ptr<RecordedEndpoint>> endpoints;
  NodeProcess node;

 private:
  std::mutex mutex_;
  std::vector<std::string> accepted_;
};

}  // namespace indigosaddle::testing
