// Many changes of the configuration at the built program under traffic, half of them bad.
#include <gtest/gtest.h>

#include <random>

#include "changes.h"

namespace indigosaddle::testing {
namespace {

// The letter's test: changes while traffic runs, half of them bad in ways drawn from a seed.
// INDIGOSADDLE_CHANGES sets how many; tests/hundred_changes.sh runs it in full.
TEST_F(ChangesTest, ManyChangesHalfOfThemBadUnderTraffic) {
  const char* told = std::getenv("INDIGOSADDLE_CHANGES");
  const int changes = told != nullptr ? std::stoi(told) : 12;
  std::atomic<int> effects{0};
  std::mutex mutex;
  std::map<std::string, int> delivered;  // calls answered 200, by id
  EndpointStandIn endpoint([&](Socket& socket, const HttpRequest& request, int number) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    if (number % 17 == 0) return socket.Write(Answer(503, "X-No-Slot: 1\r\n"));  // never ran, sent again
    const std::lock_guard lock(mutex);
    ++effects, ++delivered[request.headers.at("x-trace-id")];
    return socket.Write(Answer(200));
  });
  platform.Set(PlatformStandIn::Member("s", endpoint.address(), 7));
  ListSettler();
  const std::string usual = "400";  // room for what waits while the endpoint's refusals are paced
  node.toml = Toml({{"holding_room", usual}});
  ASSERT_TRUE(node.Start());
  Settle();

  std::atomic<bool> done{false};
  std::map<std::string, std::string> answers;  // of the client, by id
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c) {
    clients.emplace_back([&, c] {
      ClientStandIn client(node.port);
      for (int i = 0; !done; ++i) {
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(i);
        const char* const classes[] = {"keyed", "safe", "unsafe"};
        const std::string names =
            std::string("c=") + classes[i % 3] + ",d=20000,dest=7" + (i % 3 == 0 ? ",k=" + id : "");
        const std::string answer = client.Ask(ClientStandIn::Enqueue(id, names));
        {
          const std::lock_guard lock(mutex);
          EXPECT_TRUE(answers.emplace(id, answer).second);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));  // the span before
  std::mt19937 random(5);
  int refused = 0, undone = 0, kept = 0;
  for (int i = 0; i < changes; ++i) {
    const bool bad = i % 2 == 1;
    const std::string before = Running();
    const std::string slots = std::to_string(6 + random() % 6), attempts = std::to_string(8 + i % 9);
    std::string document = Toml({{"call_slots", slots}, {"max_attempts", attempts}, {"holding_room", usual}});
    const auto way = random() % 4;
    if (bad && way == 0) document = document.substr(0, document.size() / 2);  // cut off
    if (bad && way == 1)
      document = Toml({{"call_slots", slots}, {"holding_room", usual}, {"trial", "\"10 hours\""}});
    if (bad && way == 2)
      document = Toml({{"call_slots", "1"}, {"holding_room", "1"}});  // a burst of refusals
    if (bad && way == 3)
      document = Toml({{"listen", "\"127.0.0.1:9\""}, {"holding_room", usual}, {"senders", "3"}});
    const Json answer = Apply(document);
    if (bad && way != 2) {
      EXPECT_FALSE(answer.at("ok").get<bool>()) << way;
      EXPECT_EQ(Running(), before);
      ++refused;
      continue;
    }
    EXPECT_TRUE(answer.at("ok").get<bool>()) << answer;
    EXPECT_TRUE(Eventually([&] { return Last().at("result") != "on trial"; }));
    if (bad) {
      EXPECT_EQ(Last().at("result"), "undone") << Last();
      EXPECT_EQ(Running(), before);
      ++undone;
    } else {
      kept += Last().at("result") == "kept";
    }
  }
  done = true;
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(refused + undone, changes / 2);
  EXPECT_GE(kept, (changes - changes / 2) * 9 / 10);
  std::printf("%d changes: %d refused, %d undone, %d kept; %zu messages\n", changes, refused, undone, kept,
              answers.size());

  // Exactly one final answer for each message, no double, none lost.
  auto notices = platform.notices();
  const auto has_end = [&](const std::string& id) {
    const std::lock_guard lock(mutex);
    if (delivered.contains(id) || notices.contains(id)) return true;
    notices = platform.notices();
    return notices.contains(id);
  };
  int taken = 0;
  for (const auto& [id, answer] : answers) {
    if (answer != "+OK") {
      EXPECT_TRUE(answer.starts_with("-BUSY")) << id << " " << answer;
      continue;
    }
    ++taken;
    EXPECT_TRUE(Eventually([&, name = id] { return has_end(name); })) << id;
  }
  EXPECT_GT(taken, 0);
  notices = platform.notices();
  for (const auto& [id, count] : delivered) {
    EXPECT_EQ(count, 1) << id;
    EXPECT_EQ(answers[id], "+OK") << id;  // nothing is sent for what was turned away
    EXPECT_FALSE(notices.contains(id)) << id;
  }
  for (const auto& [id, said] : notices) EXPECT_EQ(said.size(), 1u) << id;
}

}  // namespace
}  // namespace indigosaddle::testing
