// Many configuration changes of the built program under traffic, half of them bad.
#include <gtest/gtest.h>

#include <random>

#include "changes.h"

namespace indigosaddle::testing {
namespace {

// Applies changes while traffic runs; half of them are bad, in ways that are drawn from a fixed seed. Each
// message must get exactly one result. INDIGOSADDLE_CHANGES sets the number of changes;
// tests/hundred_changes.sh runs the full number.
TEST_F(ChangesTest, ManyChangesHalfOfThemBadUnderTraffic) {
  const char* change_count_text = std::getenv("INDIGOSADDLE_CHANGES");
  const int changes = change_count_text != nullptr ? std::stoi(change_count_text) : 12;
  std::atomic<int> delivered_calls{0};
  std::mutex mutex;
  std::map<std::string, int> delivered;  // number of calls answered 200, by message id
  EndpointStandIn endpoint([&](Socket& socket, const HttpRequest& request, int number) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    // The call has not run and is repeated.
    if (number % 17 == 0) return socket.Write(Answer(503, "X-No-Slot: 1\r\n"));
    const std::lock_guard lock(mutex);
    ++delivered_calls;
    ++delivered[request.headers.at("x-trace-id")];
    return socket.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s", endpoint.address(), 7));
  ListSettler();
  const std::string holding_room = "400";  // holds what waits while the endpoint is in back-off
  node.toml = Toml({{"holding_room", holding_room}});
  ASSERT_TRUE(node.Start());
  Settle();

  std::atomic<bool> done{false};
  std::map<std::string, std::string> answers;  // the client's answers, by message id
  std::vector<std::thread> clients;
  for (int client_index = 0; client_index < 4; ++client_index) {
    clients.emplace_back([&, client_index] {
      ClientStandIn client(node.port);
      for (int i = 0; !done; ++i) {
        const std::string id = "c" + std::to_string(client_index) + "-" + std::to_string(i);
        const char* const classes[] = {"keyed", "safe", "unsafe"};
        const std::string fields =
            std::string("c=") + classes[i % 3] + ",d=20000,dest=7" + (i % 3 == 0 ? ",k=" + id : "");
        const std::string answer = client.Ask(ClientStandIn::Enqueue(id, fields));
        {
          const std::lock_guard lock(mutex);
          EXPECT_TRUE(answers.emplace(id, answer).second);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
      }
    });
  }
  // The period before the first change, with which the guard compares.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::mt19937 random(5);
  int refused = 0, undone = 0, kept = 0;
  for (int i = 0; i < changes; ++i) {
    const bool bad = i % 2 == 1;
    const std::string before = RunningConfiguration();
    const std::string slots = std::to_string(6 + random() % 6), attempts = std::to_string(8 + i % 9);
    std::string document =
        Toml({{"call_slots", slots}, {"max_attempts", attempts}, {"holding_room", holding_room}});
    const auto fault = random() % 4;
    if (bad && fault == 0) document = document.substr(0, document.size() / 2);  // truncated
    if (bad && fault == 1)
      document = Toml({{"call_slots", slots}, {"holding_room", holding_room}, {"trial", "\"10 hours\""}});
    if (bad && fault == 2)
      document = Toml({{"call_slots", "1"}, {"holding_room", "1"}});  // a burst of refusals
    if (bad && fault == 3)
      document = Toml({{"listen", "\"127.0.0.1:9\""}, {"holding_room", holding_room}, {"senders", "3"}});
    const Json answer = Apply(document);
    if (bad && fault != 2) {
      EXPECT_FALSE(answer.at("ok").get<bool>()) << fault;
      EXPECT_EQ(RunningConfiguration(), before);
      ++refused;
      continue;
    }
    EXPECT_TRUE(answer.at("ok").get<bool>()) << answer;
    EXPECT_TRUE(Eventually([&] { return LastGeneration().at("result") != "on trial"; }));
    if (bad) {
      EXPECT_EQ(LastGeneration().at("result"), "undone") << LastGeneration();
      EXPECT_EQ(RunningConfiguration(), before);
      ++undone;
    } else {
      kept += LastGeneration().at("result") == "kept";
    }
  }
  done = true;
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(refused + undone, changes / 2);
  EXPECT_GE(kept, (changes - changes / 2) * 9 / 10);
  std::printf("%d changes: %d refused, %d undone, %d kept; %zu messages\n", changes, refused, undone, kept,
              answers.size());

  // Each message has exactly one result: none is doubled, none is lost.
  auto notices = platform.notices();
  const auto has_result = [&](const std::string& id) {
    const std::lock_guard lock(mutex);
    if (delivered.contains(id) || notices.contains(id)) return true;
    notices = platform.notices();
    return notices.contains(id);
  };
  int accepted = 0;
  for (const auto& [id, answer] : answers) {
    if (answer != "+OK") {
      EXPECT_TRUE(answer.starts_with("-BUSY")) << id << " " << answer;
      continue;
    }
    ++accepted;
    EXPECT_TRUE(Eventually([&, name = id] { return has_result(name); })) << id;
  }
  EXPECT_GT(accepted, 0);
  notices = platform.notices();
  for (const auto& [id, count] : delivered) {
    EXPECT_EQ(count, 1) << id;
    EXPECT_EQ(answers[id], "+OK") << id;  // no call is made for a rejected message
    EXPECT_FALSE(notices.contains(id)) << id;
  }
  for (const auto& [id, results] : notices) EXPECT_EQ(results.size(), 1u) << id;
}

}  // namespace
}  // namespace indigosaddle::testing
