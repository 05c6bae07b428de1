// The fleet on real sockets: one thread with a loop of its own moves packets and the time in and out of a
// Fleet (fleet.h), keeps the voter's memory on the disk, and publishes snapshots. Nothing is decided here.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/fleet_events.h"
#include "fleet/mailbox.h"
#include "fleet/memory_file.h"
#include "fleet/published.h"
#include "fleet/transport.h"
#include "net/loop.h"
#include "net/wakeup.h"

namespace indigosaddle::fleet {

// The clock that leases are counted by: steady, and going on while the machine sleeps, so that a process that
// wakes up knows that its leases are over. The same on all threads of a machine.
class SteadyClock {
 public:
  // `rate`: for tests, a clock that runs fast or slow from here on.
  explicit SteadyClock(double rate = 1);
  Micros Now() const;

 private:
  double rate_;
  Micros origin_;
};

struct AgentOptions {
  std::string name, listen, folder;
  std::vector<Peer> roster;
  Timing pace;
  SiteRules sites;
  std::uint64_t seed = 0;
  double clock_rate = 1;
};

class Agent : private Endpoint::Handler {
 public:
  // `told` is called on the agent's thread, after a snapshot or notes have come.
  Agent(AgentOptions options, PublishedSnapshot& published, std::function<void()> told);
  ~Agent() override;  // leaves the fleet and ends the thread
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  std::string Start();  // why it can't; empty: the thread runs
  // From any thread.
  void SetLocalConditions(bool list, bool clients) { list_ = list, clients_ = clients; }  // see Fleet
  std::vector<FleetEvent> TakeEvents() { return notes_.TakeAll(); }
  const Counters& counters() const { return counters_; }
  const SteadyClock& clock() const { return clock_; }

 private:
  void OnPacket(const Packet& packet) override;
  Packet ExchangeWord(bool answer) override;
  void Tick();
  void Carry(const Out& out);
  void Show();
  void Arm();
  void Close();

  const AgentOptions options_;
  PublishedSnapshot& published_;
  const std::function<void()> told_;
  const SteadyClock clock_;
  const MemoryFile file_;
  Counters counters_;
  Mailbox<FleetEvent> notes_;
  Snapshot shown_;
  Micros show_at_{0};
  bool memory_fails_ = false;
  std::atomic<bool> list_{true}, clients_{true};
  net::Loop loop_;
  std::unique_ptr<net::Wakeup> ask_close_;  // the one handle that other threads may touch
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Endpoint> endpoint_;
  std::unique_ptr<net::Timer> tick_;
  std::thread thread_;
};

}  // namespace indigosaddle::fleet
