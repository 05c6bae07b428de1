// Plain types of what the processes of one fleet send each other. The files of src/fleet decide without I/O
// and without reading a clock: time is an argument, from one steady clock of the process (SteadyClock of
// agent.h). wire.h encodes these types; the sockets are in transport.h and the thread is in agent.h.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace indigosaddle::fleet {

using Micros = std::chrono::microseconds;

// A process that the operator's file names; packets of others are ignored.
struct Peer {
  std::string name;
  std::string site;
  // ip:port.
  std::string address;
  // True for a voter (acceptor of leases).
  bool votes = true;
};

// Within one incarnation, a value further down overrides one further up.
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* NameOf(Liveness liveness);

// A statement about one member, as gossip carries it.
struct MemberUpdate {
  std::string name;
  // Numbers the processes of one name.
  std::uint64_t start = 0;
  // Numbers the statements of one process about itself: only the process itself raises it, to refute.
  std::uint32_t incarnation = 0;
  Liveness liveness = Liveness::kAlive;
  // Who suspects; otherwise empty.
  std::string accuser;
  bool operator==(const MemberUpdate&) const = default;
};

// Whether `a` is a later statement than `b` about the same member.
bool Supersedes(const MemberUpdate& a, const MemberUpdate& b);

// An agreed value of which all members keep a copy. Only its owner writes it; a higher epoch (of the lease
// under which it was written) overrides a lower one, then a higher version.
struct Fact {
  std::string key;
  std::string owner;
  std::string value;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool operator==(const Fact&) const = default;
};

// Orders the attempts at a lease. No two are equal: a process uses a counter once, and `start` tells the
// processes of one name apart.
struct Ballot {
  std::uint64_t counter = 0;
  std::string proposer;
  std::uint64_t start = 0;
  auto operator<=>(const Ballot&) const = default;
};

// The numbers are sent on the wire.
enum class LeaseKind : std::uint8_t {
  kPrepare,          // to a voter: promise to accept no ballot lower than this one
  kPromise,          // promised; `accepted` is the running lease, if any
  kReject,           // `accepted` was promised before, and its counter is as high or higher
  kPropose,          // to a voter: grant the lease to the proposer from now on, for its term
  kAccept,           // granted
  kRelease,          // to a voter: the proposer has stopped using the lease
  kRecoveryRequest,  // a voter that lost its memory asks the others
  kRecoveryReply,    // the highest ballot promised for `resource`
};

// One message between a proposer and a voter, or between voters.
struct LeaseMessage {
  LeaseKind kind = LeaseKind::kPrepare;
  std::string resource;
  Ballot ballot;
  // Round of the proposer, echoed in answers, so that an old answer never counts for a new request.
  std::uint64_t round = 0;
  // Counter 0 means none.
  Ballot accepted;
  // In a kRecoveryReply: the sender's own memory is complete.
  bool has_memory = false;
  bool operator==(const LeaseMessage&) const = default;
};

// The numbers are sent on the wire.
enum class PacketKind : std::uint8_t {
  kPing,
  kAck,
  kPingReq,  // asks the receiver to ping `target` for the sender
  kNack,     // `target` did not answer, but the relay is reachable
  kGossip,
  kLease,
  kExchange,  // all that the sender knows; answered by kExchangeReply
  kExchangeReply,
};

// One datagram, or one side of an exchange.
struct Packet {
  PacketKind kind = PacketKind::kPing;
  std::string from;
  // Start number and incarnation of the sender, which shows that it is alive.
  std::uint64_t start = 0;
  std::uint32_t incarnation = 0;
  // Fingerprint of the voters that the sender's file names.
  std::uint64_t voters_hash = 0;
  // Number of a ping, echoed in its answers.
  std::uint64_t seq = 0;
  // Of a ping: whom it is meant for.
  std::string target;
  std::vector<MemberUpdate> members;
  std::vector<Fact> facts;
  std::vector<LeaseMessage> leases;
  bool operator==(const Packet&) const = default;
};

// Intervals and timeouts of the protocols.
struct Timing {
  Micros probe_every{std::chrono::seconds(1)};
  // Until a direct ping counts as unanswered.
  Micros probe_timeout{std::chrono::milliseconds(300)};
  // Between exchanges of all known state with one other member.
  Micros exchange_every{std::chrono::seconds(30)};
  // Term of a lease by a voter's clock.
  Micros lease{std::chrono::seconds(10)};
  // Largest share by which any steady clock runs fast or slow.
  double drift = 0.01;
};

// What a state machine asks its caller to do, in this order.
struct Actions {
  // The voter's memory must be on disk before any packet is sent.
  bool persist = false;
  // Datagrams to send, with the receiver's name.
  std::vector<std::pair<std::string, Packet>> packets;
  // Members with which to begin an exchange.
  std::vector<std::string> exchanges;
};

}  // namespace indigosaddle::fleet
