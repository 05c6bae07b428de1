// Runs a FleetMember (fleet.h) on real sockets: one thread with its own event loop feeds packets and the time
// into the state machine, sends its packets, keeps the voter's memory on disk and publishes snapshots. No
// protocol decision is made here.
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

// The clock by which leases are measured: steady, and running while the machine sleeps, so that a process
// that wakes up knows that its leases have expired. The same on all threads of a machine.
class SteadyClock {
 public:
  // `rate` other than 1 makes the clock run fast or slow from here on; for tests.
  explicit SteadyClock(double rate = 1);
  Micros Now() const;

 private:
  double rate_;
  Micros origin_;
};

// Configuration of an Agent.
struct AgentOptions {
  // Name of this member in the roster.
  std::string name;
  // ip:port for datagrams and exchanges.
  std::string listen;
  // State folder, which holds fleet.memory.
  std::string folder;
  // All members, this one included.
  std::vector<Peer> roster;
  Timing timing;
  SiteRules sites;
  // Seed of all random choices.
  std::uint64_t seed = 0;
  // See SteadyClock.
  double clock_rate = 1;
};

// Owns the fleet's thread. The destructor leaves the fleet and ends the thread.
class Agent : private Transport::Handler {
 public:
  // `on_change` is called on the agent's thread after a snapshot was published. An event that comes without a
  // new snapshot (a problem with fleet.memory) is not announced by itself; it waits for the next call.
  // `published` must outlive the agent.
  Agent(AgentOptions options, PublishedSnapshot& published, std::function<void()> on_change);
  ~Agent() override;
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Starts the thread. Returns the reason for a failure; empty on success.
  std::string Start();

  // The following may be called from any thread.

  // See FleetMember::SetLocalConditions.
  void SetLocalConditions(bool discovery_up, bool clients_connected) {
    discovery_up_ = discovery_up;
    clients_connected_ = clients_connected;
  }
  // Removes and returns the events since the last call, oldest first.
  std::vector<FleetEvent> TakeEvents() { return events_.TakeAll(); }
  const Counters& counters() const { return counters_; }
  const SteadyClock& clock() const { return clock_; }

 private:
  void OnPacket(const Packet& packet) override;
  Packet ExchangePacket(bool answer) override;
  void Tick();
  // Persists the voter's memory where asked for, then sends packets and begins exchanges.
  void Dispatch(const Actions& actions);
  void PublishIfChanged();
  void PublishAndScheduleTick();
  void Close();

  const AgentOptions options_;
  PublishedSnapshot& published_;
  const std::function<void()> on_change_;
  const SteadyClock clock_;
  const VoterMemoryFile file_;
  Counters counters_;
  Mailbox<FleetEvent> events_;
  Snapshot last_published_;
  // Earliest time of the next publication.
  Micros publish_at_{0};
  // The last write of the voter's memory failed.
  bool memory_fails_ = false;
  std::atomic<bool> discovery_up_{true};
  std::atomic<bool> clients_connected_{true};
  net::Loop loop_;
  // The only libuv handle that other threads may touch.
  std::unique_ptr<net::Wakeup> close_request_;
  std::unique_ptr<FleetMember> fleet_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<net::Timer> tick_;
  std::thread thread_;
};

}  // namespace indigosaddle::fleet
