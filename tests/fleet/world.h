// Simulates hundreds of members (production code, virtual network and clocks) from a seed. Packets are lost,
// delayed, duplicated, reordered; links are cut one way or both; members die, restart with or without memory,
// stall, have fast or slow clocks. After each event it checks: no lease has two holders, epochs only rise.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "network.h"

namespace indigosaddle::fleet::testing {

class World {
 public:
  // Member i is at site i % sites; the first `voters` members vote.
  World(int members, int sites, int voters, std::uint64_t seed, Timing timing = {})
      : timing_(timing), random_(seed) {
    for (int i = 0; i < members; ++i) {
      roster_.push_back({Name(i), "site" + std::to_string(i % sites), "", i < voters});
      nodes_.emplace_back();
    }
  }
  static std::string Name(int i) { return "m" + std::to_string(i); }
  static int Number(const std::string& name) { return std::stoi(name.substr(1)); }

  void Start(int i, bool lose_memory = false) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    FleetOptions options;
    options.name = Name(i);
    options.roster = roster_;
    options.timing = timing_;
    options.seed = same_seed ? 0 : random_();
    if (!lose_memory) options.memory = node.memory;
    options.start = options.memory.start =
        std::max(node.memory.start + 1, static_cast<std::uint64_t>(now_.count()) + 1);
    options.epoch_floor = static_cast<std::uint64_t>(now_.count() / 1000000);
    node.memory = options.memory;
    node.fleet = std::make_unique<FleetMember>(options, LocalTime(i));
    ++node.generation;
    Wake(i, now_);
  }
  void StartAll() {
    for (int i = 0; i < size(); ++i) Start(i);
  }
  void Kill(int i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    if (node.fleet) node.memory = node.fleet->memory();
    node.fleet.reset();
    ++node.generation;
  }
  void Leave(int i) {
    Actions actions;
    nodes_[static_cast<std::size_t>(i)].fleet->Leave(LocalTime(i), actions);
    Dispatch(i, actions);
    Kill(i);
  }
  // The member stands still for `span`; its packets wait, as in a socket.
  void Freeze(int i, Micros span) { nodes_[static_cast<std::size_t>(i)].frozen_until = now_ + span; }
  void SetClockRate(int i, double rate) { nodes_[static_cast<std::size_t>(i)].rate = rate; }
  void Cut(int from, int to, bool cut = true) {
    cut ? void(cuts_.insert({from, to})) : void(cuts_.erase({from, to}));
  }
  // Cuts all links between the members of `side` and all others, both ways.
  void Partition(const std::set<int>& side) {
    for (int a = 0; a < size(); ++a)
      for (int b = 0; b < size(); ++b)
        if (side.contains(a) != side.contains(b)) Cut(a, b);
  }
  void Heal() { cuts_.clear(); }

  void Run(Micros span) {
    const Micros end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      Node& node = nodes_[static_cast<std::size_t>(event.to)];
      if (!node.fleet) continue;
      if (now_ < node.frozen_until) {
        event.at = node.frozen_until;
        events_.push(event);
        continue;
      }
      Actions actions;
      if (event.packet) {
        ++packets;
        node.fleet->OnPacket(*event.packet, LocalTime(event.to), actions);
        if (event.packet->kind == PacketKind::kExchange) Answer(event);
      } else {
        if (event.generation != node.generation || event.wake_number != node.wake_number) continue;
        node.fleet->Tick(LocalTime(event.to), actions);
      }
      Dispatch(event.to, actions);
      Wake(event.to, GlobalTime(event.to, node.fleet->NextDue()));
      Check(event.to);
    }
    now_ = end;
  }
  bool RunUntil(const std::function<bool()>& holds, Micros most) {
    for (const Micros end = now_ + most; now_ < end;) {
      if (holds()) return true;
      Run(milliseconds(50));
    }
    return holds();
  }

  void SetLocalConditions(int i, bool discovery_up, bool clients_connected) {
    nodes_[static_cast<std::size_t>(i)].fleet->SetLocalConditions(discovery_up, clients_connected);
  }
  std::set<int> Site(int site) const {  // numbers of its members
    std::set<int> members;
    for (int i = 0; i < size(); ++i)
      if (roster_[static_cast<std::size_t>(i)].site == "site" + std::to_string(site)) members.insert(i);
    return members;
  }
  // Whether all running members outside `except` agree on the state of a site.
  bool Agree(int site, SiteState state, const std::set<int>& except = {}) const {
    for (int i = 0; i < size(); ++i) {
      if (!Up(i) || except.contains(i)) continue;
      const auto sites = At(i).SitesAgreed();
      const auto it = sites.find("site" + std::to_string(site));
      if (it == sites.end() || it->second.state != state) return false;
    }
    return true;
  }
  const FleetMember& At(int i) const { return *nodes_[static_cast<std::size_t>(i)].fleet; }
  Snapshot View(int i) const { return nodes_[static_cast<std::size_t>(i)].fleet->View(LocalTime(i)); }
  bool Up(int i) const { return nodes_[static_cast<std::size_t>(i)].fleet != nullptr; }
  bool Frozen(int i) const { return now_ < nodes_[static_cast<std::size_t>(i)].frozen_until; }
  Liveness Sees(int i, int other) const {
    for (const MemberView& member : View(i).members)
      if (member.name == Name(other) && member.known) return member.liveness;
    return Liveness::kDead;
  }
  int Holder(const std::string& lease = kCoordinator) const {
    for (int i = 0; i < size(); ++i)
      if (Up(i) && !Frozen(i) && At(i).Leases(LocalTime(i)).contains(lease)) return i;
    return -1;
  }
  bool AllSeeAll() const {
    for (int i = 0; i < size(); ++i)
      if (Up(i) && At(i).present() != nodes_.size()) return false;
    return true;
  }
  int size() const { return static_cast<int>(nodes_.size()); }
  Micros now() const { return now_; }
  std::mt19937_64& random() { return random_; }

  Network network;
  bool same_seed = false;  // all members get the same seed
  std::uint64_t packets = 0, bytes = 0;
  std::vector<std::string> violations;  // violated invariants
  std::function<void(int, const Packet&)> on_packet_sent = [](int, const Packet&) {};

 private:
  struct Node {
    std::unique_ptr<FleetMember> fleet;
    VoterMemory memory;
    int generation = 0, wake_number = 0;
    double rate = 1;
    Micros frozen_until{0};
  };
  struct Event {
    Micros at;
    std::uint64_t order;
    int to;
    int generation, wake_number;           // of a tick
    std::shared_ptr<const Packet> packet;  // null: a tick
    int from = -1;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  Micros LocalTime(int i) const {
    return Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) *
                                            nodes_[static_cast<std::size_t>(i)].rate));
  }
  Micros GlobalTime(int i, Micros local) const {
    const double at = static_cast<double>(local.count()) / nodes_[static_cast<std::size_t>(i)].rate;
    return at > 9e15 ? Micros(static_cast<std::int64_t>(9e15)) : Micros(static_cast<std::int64_t>(at) + 1);
  }
  void Wake(int i, Micros at) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    events_.push({std::max(at, now_), ++order_, i, node.generation, ++node.wake_number, nullptr});
  }
  Micros Delay() {
    const auto spread = static_cast<std::uint64_t>((network.max_delay - network.min_delay).count() + 1);
    return network.min_delay + Micros(static_cast<std::int64_t>(random_() % spread));
  }
  bool Chance(double share) { return static_cast<double>(random_() >> 11) * 0x1p-53 < share; }
  void Deliver(int from, int to, std::shared_ptr<const Packet> packet, bool stream = false) {
    if (cuts_.contains({from, to}) || (!stream && Chance(network.loss))) return;
    events_.push({now_ + Delay(), ++order_, to, 0, 0, packet, from});
    if (!stream && Chance(network.doubled)) events_.push({now_ + Delay(), ++order_, to, 0, 0, packet, from});
  }
  void Dispatch(int i, const Actions& actions) {
    for (const auto& [to, packet] : actions.packets) {
      on_packet_sent(i, packet);
      Deliver(i, Number(to), std::make_shared<Packet>(packet));
    }
    for (const std::string& with : actions.exchanges) {
      const int to = Number(with);
      if (!cuts_.contains({to, i}))  // a connection needs both ways
        Deliver(i, to,
                std::make_shared<Packet>(nodes_[static_cast<std::size_t>(i)].fleet->ExchangePacket(false)),
                true);
    }
  }
  void Answer(const Event& event) {
    if (cuts_.contains({event.from, event.to})) return;
    Deliver(event.to, event.from,
            std::make_shared<Packet>(nodes_[static_cast<std::size_t>(event.to)].fleet->ExchangePacket(true)),
            true);
  }
  // Checks F1 and F2 (fleet.h). A member that stands still cannot act on a lease that it believes to hold.
  void Check(int changed) {
    if (!roster_[static_cast<std::size_t>(changed)].votes) return;
    std::map<std::string, int> holders;
    for (int i = 0; i < size(); ++i) {
      if (!roster_[static_cast<std::size_t>(i)].votes || !Up(i) || Frozen(i)) continue;
      for (const auto& [resource, lease] : At(i).Leases(LocalTime(i))) {
        const auto [it, first] = holders.emplace(resource, i);
        if (!first) violations.push_back(resource + " is held by " + Name(it->second) + " and " + Name(i));
        auto& [epoch, holder] = epochs_[resource];
        if (lease.epoch < epoch || (lease.epoch == epoch && epoch > 0 && holder != i))
          violations.push_back(resource + ": epoch " + std::to_string(lease.epoch) + " after " +
                               std::to_string(epoch));
        epoch = std::max(epoch, lease.epoch), holder = i;
      }
    }
  }

  Timing timing_;
  std::mt19937_64 random_;
  std::vector<Peer> roster_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Micros now_{seconds(1000)};
  std::set<std::pair<int, int>> cuts_;
  std::map<std::string, std::pair<std::uint64_t, int>> epochs_;
};

}  // namespace indigosaddle::fleet::testing
