#include "fleet/agent.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <utility>

namespace indigosaddle::fleet {
namespace {

constexpr Micros kMinPublishInterval = std::chrono::milliseconds(10);  // between two snapshots
constexpr Micros kMaxSleep = std::chrono::seconds(10);

Micros BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Micros>(std::chrono::seconds(now.tv_sec) +
                                            std::chrono::nanoseconds(now.tv_nsec));
}

std::uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

SteadyClock::SteadyClock(double rate) : rate_(rate), origin_(BootTime()) {}

Micros SteadyClock::Now() const {
  const Micros raw = BootTime();
  if (rate_ == 1) return raw;
  return origin_ + std::chrono::duration_cast<Micros>(std::chrono::duration<double>(raw - origin_) * rate_);
}

Agent::Agent(AgentOptions options, PublishedSnapshot& published, std::function<void()> on_change)
    : options_(std::move(options)),
      published_(published),
      on_change_(std::move(on_change)),
      clock_(options_.clock_rate),
      file_(options_.folder) {}

std::string Agent::Start() {
  FleetOptions fleet;
  fleet.name = options_.name;
  fleet.roster = options_.roster;
  fleet.timing = options_.timing;
  fleet.sites = options_.sites;
  fleet.seed = options_.seed;
  fleet.epoch_floor = WallMillis() / 1000;
  std::string error;
  if (!file_.Read(fleet.memory, error) && !error.empty()) {
    events_.Put(
        {FleetEvent::Kind::kProblem, "fleet.memory " + error + "; the other voters are asked", "", 0});
  }
  fleet.start = fleet.memory.start = std::max(fleet.memory.start + 1, WallMillis());
  if (!file_.Write(fleet.memory)) return "fleet.memory cannot be written in the state folder";
  fleet_ = std::make_unique<FleetMember>(std::move(fleet), clock_.Now());
  transport_ = std::make_unique<Transport>(loop_, static_cast<Transport::Handler&>(*this), options_.roster,
                                           options_.name, counters_);
  if (std::string reason = transport_->Listen(options_.listen); !reason.empty()) return reason;
  tick_ = std::make_unique<net::Timer>(loop_, [this] { Tick(); });
  close_request_ = std::make_unique<net::Wakeup>(loop_, [this] { Close(); });
  tick_->Start(Micros(0));
  // Signals are handled on the main thread only.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  thread_ = std::thread([this] { loop_.Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return {};
}

Agent::~Agent() {
  if (!thread_.joinable()) return;
  close_request_->Request();
  thread_.join();
}

// Runs on the agent's thread: announces that this member leaves, then closes every handle, so that the loop
// ends by itself.
void Agent::Close() {
  Actions actions;
  fleet_->Leave(clock_.Now(), actions);
  Dispatch(actions);
  tick_.reset();
  transport_.reset();
  close_request_.reset();
}

void Agent::OnPacket(const Packet& packet) {
  Actions actions;
  fleet_->OnPacket(packet, clock_.Now(), actions);
  Dispatch(actions);
  PublishAndScheduleTick();
}

Packet Agent::ExchangePacket(bool answer) { return fleet_->ExchangePacket(answer); }

void Agent::Tick() {
  Actions actions;
  fleet_->SetLocalConditions(discovery_up_, clients_connected_);
  fleet_->Tick(clock_.Now(), actions);
  Dispatch(actions);
  PublishAndScheduleTick();
}

void Agent::Dispatch(const Actions& actions) {
  bool may_promise = true;
  if (actions.persist) {
    may_promise = file_.Write(fleet_->memory());
    if (may_promise == memory_fails_) {
      memory_fails_ = !may_promise;
      events_.Put({FleetEvent::Kind::kProblem,
                   may_promise ? "fleet.memory can be written again"
                               : "fleet.memory can't be written; this voter is silent",
                   "", 0});
    }
  }
  for (const auto& [to, packet] : actions.packets)
    if (may_promise || packet.kind != PacketKind::kLease) transport_->Send(to, packet);
  for (const std::string& with : actions.exchanges) transport_->BeginExchange(with);
}

// Publishes a snapshot where it differs from the last one.
void Agent::PublishIfChanged() {
  Snapshot view = fleet_->View(clock_.Now());
  view.number = last_published_.number;
  if (view == last_published_) return;
  ++view.number;
  for (FleetEvent& event : EventsBetween(last_published_, view)) events_.Put(std::move(event));
  last_published_ = view;
  published_.Publish(std::make_unique<const Snapshot>(std::move(view)));
  on_change_();
}

void Agent::PublishAndScheduleTick() {
  const Micros now = clock_.Now();
  const bool publish = now >= publish_at_;
  if (publish) {
    PublishIfChanged();
    publish_at_ = now + kMinPublishInterval;
  }
  // A change that comes just after a snapshot is published by a tick soon after.
  const Micros sleep = std::min(fleet_->NextDue() - now, publish ? kMaxSleep : publish_at_ - now);
  tick_->Start(std::max(Micros(0), sleep));
}

}  // namespace indigosaddle::fleet
