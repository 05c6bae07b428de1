// Measures whole fleets in virtual time (tests/fleet/world.h), for docs/results.md. Usage:
//   fleet_figures cost            bytes, packets and CPU per member, 3 to 300 members
//   fleet_figures site LOSS       loss of one of three sites at 99 members: how long until all others agree
//   fleet_figures false LOSS H    living members declared dead, in H node-hours at 50 members
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "../tests/fleet/world.h"
#include "fleet/wire.h"

namespace {

using namespace std::chrono_literals;
using indigosaddle::fleet::Encode;
using indigosaddle::fleet::Liveness;
using indigosaddle::fleet::Micros;
using indigosaddle::fleet::Packet;
using indigosaddle::fleet::SiteState;
using indigosaddle::fleet::testing::World;

void Cost() {
  for (const int members : {3, 10, 30, 100, 300}) {
    World world(members, 3, std::min(members, 5), 1);
    world.StartAll();
    world.Run(60s);
    std::uint64_t packets = 0, bytes = 0;
    world.on_packet_sent = [&](int, const Packet& packet) { ++packets, bytes += Encode(packet).size(); };
    const auto began = std::chrono::steady_clock::now();
    world.Run(20s);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    fmt::print(
        "{} members: {:.1f} datagrams and {:.0f} bytes a second sent by each; {:.0f} us of CPU a second "
        "each\n",
        members, static_cast<double>(packets) / 20 / members, static_cast<double>(bytes) / 20 / members,
        took.count() / 20 / members * 1e6);
  }
}

void Site(double loss) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    World world(99, 3, 5, seed);
    world.network.loss = loss;
    world.StartAll();
    if (!world.RunUntil([&] { return world.Agree(1, SiteState::kUp); }, 120s)) continue;
    for (const int i : world.Site(1)) world.Kill(i);
    const Micros killed = world.now();
    if (world.RunUntil([&] { return world.Agree(1, SiteState::kLost); }, 180s))
      times.push_back(std::chrono::duration<double>(world.now() - killed).count());
  }
  std::sort(times.begin(), times.end());
  fmt::print("loss {}: all others agree after {:.1f} to {:.1f} s, median {:.1f} s ({} of 5 seeds)\n", loss,
             times.empty() ? 0 : times.front(), times.empty() ? 0 : times.back(),
             times.empty() ? 0 : times[times.size() / 2], times.size());
}

void False(double loss, double hours) {
  World world(50, 3, 5, 7);
  world.network.loss = loss;
  world.StartAll();
  world.RunUntil([&] { return world.AllSeeAll(); }, 120s);
  int declared_dead = 0, sites_lost = 0;
  const int steps = static_cast<int>(hours * 3600 / 50);
  for (int step = 0; step < steps; ++step) {
    world.Run(1s);
    const auto view = world.View(step % 50);
    for (const auto& member : view.members) declared_dead += member.liveness >= Liveness::kDead;
    for (const auto& [site, status] : view.sites) sites_lost += status.state == SiteState::kLost;
  }
  fmt::print(
      "loss {}, {} node-hours: {} looks saw a living member given up, {} a living site lost; {} faults\n",
      loss, hours, declared_dead, sites_lost, world.violations.size());
}

}  // namespace

int main(int count, char** arguments) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);  // a long run shows its progress
  const std::string what = count > 1 ? arguments[1] : "";
  if (what == "cost") return Cost(), 0;
  if (what == "site" && count > 2) return Site(std::atof(arguments[2])), 0;
  if (what == "false" && count > 3) return False(std::atof(arguments[2]), std::atof(arguments[3])), 0;
  std::fputs("usage: fleet_figures cost | site LOSS | false LOSS NODE_HOURS\n", stderr);
  return 2;
}
