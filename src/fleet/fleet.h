// One whole member of the fleet: membership, gossip, probes, contact with the voters, facts and leases. A
// pure state machine: packets and the time go in, packets come out. Agent (agent.h) connects it to sockets on
// its own thread; tests connect it to a virtual network.
//
// Invariants, whatever packets are lost, late, duplicated or reordered:
//
// F1: At no instant do two members hold one lease (proposer.h, acceptor.h).
//
// F2: A lease's epoch rises with each holder; a fact of a lower epoch never replaces one of a higher epoch.
//
// F3: Only the member itself raises its incarnation; an update about an earlier process of a name is ignored.
//
// F4: A member that is isolated knows so within a lease's term, and from then on its snapshot says that
// agreed values are unreliable (Connectivity::kIsolated).
//
// F5: The count of senders is lowered only to an agreed number, and only while this member can rely on it;
// otherwise more senders are assumed.
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

// Most bytes of a datagram: fits an Ethernet frame.
constexpr std::size_t kMaxDatagramBytes = 1400;
// The lease whose holder writes the agreed facts.
inline constexpr char kCoordinator[] = "coordinator";
// Key of the fact that holds the agreed number of senders.
inline constexpr char kSendersFact[] = "senders";

// Configuration and initial state of a FleetMember.
struct FleetOptions {
  std::string name;
  // Start number of this process: higher than that of every earlier process of the name, as far as known.
  std::uint64_t start = 1;
  // All members, this one included.
  std::vector<Peer> roster;
  Timing timing;
  SiteRules sites;
  std::uint64_t seed = 0;
  // What the voter's file holds.
  VoterMemory memory;
  // See Proposer.
  std::uint64_t epoch_floor = 0;
};

// State machine of one member. All times are of one steady clock of the process.
class FleetMember {
 public:
  FleetMember(FleetOptions options, Micros now);

  // Does what is due at `now`; appends what is to be sent to `actions`.
  void Tick(Micros now, Actions& actions);
  // When Tick has to be called next.
  Micros NextDue() const;
  // Handles one received packet.
  void OnPacket(const Packet& packet, Micros now, Actions& actions);
  // Sets what this process tells others about itself: whether its discovery watch is up, and whether clients
  // are connected.
  void SetLocalConditions(bool discovery_up, bool clients_connected);
  // A packet with all known members and facts, as reply (`answer`) or as request.
  Packet ExchangePacket(bool answer) const;
  // Tells some members that this one leaves, and releases its leases.
  void Leave(Micros now, Actions& actions);

  // The current state, as Agent publishes it. The caller sets Snapshot::number.
  Snapshot View(Micros now) const;

  // Parts of the snapshot.

  // Leases that this member holds, by resource.
  std::map<std::string, LeaseView> Leases(Micros now) const;
  // Agreed state of sites, by name; sites without an agreed state are missing.
  std::map<std::string, SiteStatus> SitesAgreed() const;
  // Members alive or suspected, this one included.
  std::size_t present() const { return members_.present(); }
  // What has to be on disk where Actions::persist is set.
  const VoterMemory& memory() const { return acceptor_.memory(); }

 private:
  Packet MakePacket(PacketKind kind) const;
  void Send(PacketKind kind, const std::string& to, std::uint64_t seq, const std::string& target,
            Actions& actions);
  void Dispatch(const Prober::ProbeMessages& messages, Actions& actions);
  void Dispatch(const Proposer::LeaseMessages& messages, Micros now, Actions& actions);
  void Merge(const Packet& packet, Micros now);
  void OnLeases(const Packet& packet, Micros now, Actions& actions);
  // Writes the agreed facts where this member is the coordinator.
  void Coordinate(Micros now);
  void CoordinateSites(std::uint64_t epoch, Micros now);
  void WriteFact(const std::string& key, const std::string& value, std::uint64_t epoch);
  void PublishObservation(Micros now);
  std::map<std::string, SiteTally> TallySites() const;
  std::size_t Senders(Micros now) const;
  // A member whose file names other voters was heard lately.
  bool FilesDiffer(Micros now) const;
  bool MayHoldLeases(Micros now) const;
  bool InQuorumContact(Micros now) const;
  // A majority of the voters has sent all it knows since contact was regained.
  bool CaughtUp() const;
  void UpdateContactAndCatchUp(Micros now, Actions& actions);

  FleetOptions options_;
  // Names of all voters, this member included where it votes.
  std::vector<std::string> voters_;
  bool votes_ = false;
  // Fingerprint of `voters_`, sent in every packet.
  std::uint64_t voters_hash_;
  Gossip gossip_;
  Members members_;
  Prober prober_;
  QuorumContact quorum_contact_;
  Facts facts_;
  SiteMonitor site_monitor_;
  // Site of this member.
  std::string site_;
  bool has_discovery_ = true;
  bool has_clients_ = true;
  Acceptor acceptor_;
  // One per lease that this member may hold, by resource.
  std::map<std::string, Proposer> proposers_;
  // An exchange with any member has succeeded.
  bool joined_ = false;
  bool leaving_ = false;
  // This member was connected at least once.
  bool was_connected_ = false;
  // In contact with a majority of the voters at the last tick.
  bool in_contact_ = false;
  // Voters that sent all they know since contact was regained.
  std::set<std::string> state_received_from_;
  // When a member whose file names other voters was last heard.
  std::optional<Micros> voters_differed_at_;
  Micros last_tick_;
  Micros gossip_at_;
  Micros exchange_at_;
  Micros recovery_request_at_;
  Micros catch_up_at_;
  // Refutations already passed on to the prober.
  std::uint64_t refuted_ = 0;
  std::uint64_t exchanges_ = 0;
};

}  // namespace indigosaddle::fleet
