// Clients of the node that go on handing messages in while its processes come and go.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "client_stand_in.h"

namespace indigosaddle::testing {

// Clients that hand messages in one after the other, each on its own connection as long as that stays open.
class SteadyClients {
 public:
  SteadyClients(int port, int count) {
    for (int number = 0; number < count; ++number)
      threads_.emplace_back([this, port, number] { Run(port, number); });
  }
  ~SteadyClients() { Stop(); }
  SteadyClients(const SteadyClients&) = delete;
  SteadyClients& operator=(const SteadyClients&) = delete;
  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable()) thread.join();
  }
  int accepted() const { return accepted_; }
  // Messages that ended at the door: refused, or without a reply in time on a new connection too.
  int turned_away() const { return turned_away_; }

 private:
  static constexpr std::chrono::milliseconds kReplyTimeout{400};

  void Run(int port, int number) {
    auto client = std::make_unique<ClientStandIn>(port);
    for (int i = 0; !stopped_; ++i) {
      const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
      const std::string command = ClientStandIn::Enqueue(id, "c=safe,d=60000,dest=7");
      const auto began = Clock::now();
      std::string reply = client->Ask(command);
      if (reply.empty()) {  // the connection was closed between two commands
        client = std::make_unique<ClientStandIn>(port);
        reply = client->Ask(command);
      }
      const bool in_time = Clock::now() - began <= kReplyTimeout;
      ++(reply == "+OK" && in_time ? accepted_ : turned_away_);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  std::atomic<bool> stopped_{false};
  std::atomic<int> accepted_{0}, turned_away_{0};
  std::vector<std::thread> threads_;
};

}  // namespace indigosaddle::testing
