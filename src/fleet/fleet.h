// One member of the fleet, whole: members, gossip, probes, contact with the voters, facts, leases. A pure
// state machine: packets and the time go in, packets come out. Agent (agent.h) moves them on sockets, on a
// thread of its own; tests move them on a virtual network.
//
// What holds, whatever is lost, late, doubled or out of order:
//
// F1: At no instant two members hold one lease (proposer.h, acceptor.h).
//
// F2: A lease's epoch rises with each holder; a fact of a lower epoch never takes the place of a higher
// one's.
//
// F3: Only the member itself raises its incarnation; a word about an earlier process of a name is not heard.
//
// F4: A member that is cut off knows so within a lease's term, and claims nothing agreed from then on.
//
// F5: The count of senders never falls on knowledge that is not the agreed one: unsure means more senders.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/acceptor.h"
#include "fleet/facts.h"
#include "fleet/gossip.h"
#include "fleet/members.h"
#include "fleet/prober.h"
#include "fleet/proposer.h"
#include "fleet/quorum_contact.h"
#include "fleet/sites.h"
#include "fleet/snapshot.h"

namespace indigosaddle::fleet {

constexpr std::size_t kMostDatagram = 1400;            // bytes: fits an Ethernet frame
inline constexpr char kCoordinator[] = "coordinator";  // the lease under which agreed facts are written
inline constexpr char kSendersFact[] = "senders";

struct FleetOptions {
  std::string name;
  std::uint64_t start = 1;   // over that of every earlier process of the name, as far as is known
  std::vector<Peer> roster;  // with this one
  Timing pace;
  SiteRules sites;
  std::uint64_t seed = 0;
  Memory memory;
  std::uint64_t floor = 0;  // see Proposer
};

class Fleet {
 public:
  Fleet(FleetOptions options, Micros now);

  void Tick(Micros now, Out& out);
  Micros NextDue() const;
  void OnPacket(const Packet& packet, Micros now, Out& out);
  // What of this process others are told: whether discovery's watch stands, whether clients are there.
  void SetLocalConditions(bool list, bool clients);
  Packet ExchangeWord(bool answer) const;  // all that is known
  void Leave(Micros now, Out& out);        // tells some others, and gives leases back

  // Where anything of it changed: what Agent publishes. The number is the caller's.
  Snapshot View(Micros now) const;
  // Parts of it.
  std::map<std::string, LeaseView> Leases(Micros now) const;
  std::map<std::string, SiteStatus> SitesAgreed() const;
  std::size_t present() const { return members_.present(); }
  const Memory& memory() const { return acceptor_.memory(); }

 private:
  Packet Make(PacketKind kind) const;
  void Send(PacketKind kind, const std::string& to, std::uint64_t seq, const std::string& target, Out& out);
  void Carry(const Prober::Asks& asks, Out& out);
  void Carry(const Proposer::Words& words, Micros now, Out& out);
  void Merge(const Packet& packet, Micros now);
  void OnLeases(const Packet& packet, Micros now, Out& out);
  void Coordinate(Micros now);
  void CoordinateSites(std::uint64_t epoch, Micros now);
  void Write(const std::string& key, const std::string& value, std::uint64_t epoch);
  void TellSight(Micros now);
  std::map<std::string, SiteReport> Reports() const;
  std::size_t Senders(Micros now) const;
  bool FilesDiffer(Micros now) const;
  bool MayHold(Micros now) const;
  bool InTouch(Micros now) const;
  bool Refreshed() const;
  void Refresh(Micros now, Out& out);

  FleetOptions options_;
  std::vector<std::string> voters_;  // all
  bool votes_ = false;
  std::uint64_t electorate_;
  Gossip gossip_;
  Members members_;
  Prober prober_;
  Contact contact_;
  Facts facts_;
  Sites sites_;
  std::string site_;  // of this member
  bool has_list_ = true, has_clients_ = true;
  Acceptor acceptor_;
  std::map<std::string, Proposer> proposers_;
  bool joined_ = false, leaving_ = false, reached_ = false;  // reached: was connected at least once
  bool touched_ = false;             // in touch with a majority of the voters at the last tick
  std::set<std::string> refreshed_;  // voters that told all they know since then
  std::optional<Micros> differed_;   // when a voter of another file was heard
  Micros last_tick_, gossip_at_, exchange_at_, recall_at_, refresh_at_;
  std::uint64_t refuted_ = 0, exchanges_ = 0;
};

}  // namespace indigosaddle::fleet
