#include "fleet/agent.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <utility>

namespace indigosaddle::fleet {
namespace {

constexpr Micros kShowEvery = std::chrono::milliseconds(10);  // snapshots come no faster
constexpr Micros kMostSleep = std::chrono::seconds(10);

Micros Raw() {
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

SteadyClock::SteadyClock(double rate) : rate_(rate), origin_(Raw()) {}

Micros SteadyClock::Now() const {
  const Micros raw = Raw();
  if (rate_ == 1) return raw;
  return origin_ + std::chrono::duration_cast<Micros>(std::chrono::duration<double>(raw - origin_) * rate_);
}

Agent::Agent(AgentOptions options, PublishedSnapshot& published, std::function<void()> told)
    : options_(std::move(options)),
      published_(published),
      told_(std::move(told)),
      clock_(options_.clock_rate),
      file_(options_.folder) {}

std::string Agent::Start() {
  FleetOptions fleet;
  fleet.name = options_.name;
  fleet.roster = options_.roster;
  fleet.pace = options_.timing;
  fleet.sites = options_.sites;
  fleet.seed = options_.seed;
  fleet.floor = WallMillis() / 1000;
  std::string trouble;
  if (!file_.Read(fleet.memory, trouble) && !trouble.empty())
    notes_.Put(
        {FleetEvent::Kind::kTrouble, "fleet.memory " + trouble + "; the other voters are asked", "", 0});
  fleet.start = fleet.memory.start = std::max(fleet.memory.start + 1, WallMillis());
  if (!file_.Write(fleet.memory)) return "the state folder takes no fleet.memory";
  fleet_ = std::make_unique<Fleet>(std::move(fleet), clock_.Now());
  endpoint_ = std::make_unique<Endpoint>(loop_, static_cast<Endpoint::Handler&>(*this), options_.roster,
                                         options_.name, counters_);
  if (std::string reason = endpoint_->Listen(options_.listen); !reason.empty()) return reason;
  tick_ = std::make_unique<net::Timer>(loop_, [this] { Tick(); });
  ask_close_ = std::make_unique<net::Wakeup>(loop_, [this] { Close(); });
  tick_->Start(Micros(0));
  // Signals are the main thread's.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  thread_ = std::thread([this] { loop_.Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return {};
}

Agent::~Agent() {
  if (!thread_.joinable()) return;
  ask_close_->Ask();
  thread_.join();
}

// On the agent's thread: the last words, then every handle is closed and the loop ends by itself.
void Agent::Close() {
  Out out;
  fleet_->Leave(clock_.Now(), out);
  Carry(out);
  tick_.reset();
  endpoint_.reset();
  ask_close_.reset();
}

void Agent::OnPacket(const Packet& packet) {
  Out out;
  fleet_->OnPacket(packet, clock_.Now(), out);
  Carry(out);
  Arm();
}

Packet Agent::ExchangeWord(bool answer) { return fleet_->ExchangeWord(answer); }

void Agent::Tick() {
  Out out;
  fleet_->SetLocalConditions(list_, clients_);
  fleet_->Tick(clock_.Now(), out);
  Carry(out);
  Arm();
}

void Agent::Carry(const Out& out) {
  bool may_promise = true;
  if (out.remember) {
    may_promise = file_.Write(fleet_->memory());
    if (may_promise == memory_fails_) {
      memory_fails_ = !may_promise;
      notes_.Put({FleetEvent::Kind::kTrouble,
                  may_promise ? "fleet.memory can be written again"
                              : "fleet.memory can't be written; this voter is silent",
                  "", 0});
    }
  }
  for (const auto& [to, packet] : out.packets)
    if (may_promise || packet.kind != PacketKind::kLease) endpoint_->Send(to, packet);
  for (const std::string& with : out.exchanges) endpoint_->BeginExchange(with);
}

// Replaces what others see, where it changed.
void Agent::Show() {
  Snapshot view = fleet_->View(clock_.Now());
  view.number = shown_.number;
  if (view == shown_) return;
  ++view.number;
  for (FleetEvent& note : Notes(shown_, view)) notes_.Put(std::move(note));
  shown_ = view;
  published_.Publish(std::make_unique<const Snapshot>(std::move(view)));
  told_();
}

void Agent::Arm() {
  const Micros now = clock_.Now();
  const bool late = now >= show_at_;
  if (late) {
    Show();
    show_at_ = now + kShowEvery;
  }
  // What a packet brought just after a snapshot is shown by a tick soon.
  const Micros sleep = std::min(fleet_->NextDue() - now, late ? kMostSleep : show_at_ - now);
  tick_->Start(std::max(Micros(0), sleep));
}

}  // namespace indigosaddle::fleet
