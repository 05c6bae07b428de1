// What the processes of one fleet tell each other, as plain types. The files of src/fleet decide without I/O
// and without a clock: time is an argument, from one steady clock of the process (SteadyClock of agent.h).
// What crosses the network is coded in wire.h; sockets and the thread are in agent.h.
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

// A process that the operator's file names. What comes from elsewhere is not heard. A voter has a say in
// leases.
struct Peer {
  std::string name, site, address;
  bool votes = true;
};

// Of one incarnation a word further down goes before one further up.
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* NameOf(Liveness liveness);

// What is believed of one member. `start` numbers the processes of one name, `incarnation` the words of one
// process about itself: only it raises that, to refute.
struct MemberWord {
  std::string name;
  std::uint64_t start = 0;
  std::uint32_t incarnation = 0;
  Liveness liveness = Liveness::kAlive;
  std::string accuser;  // who suspects; else empty
  bool operator==(const MemberWord&) const = default;
};

// Whether `a` is the later word about one member.
bool Newer(const MemberWord& a, const MemberWord& b);

// Something agreed that all members keep a copy of. Its one owner writes it; a higher epoch (of the lease
// under which it was written) goes before a lower one, then a higher version.
struct Fact {
  std::string key, owner, value;
  std::uint64_t epoch = 0, version = 0;
  bool operator==(const Fact&) const = default;
};

// Orders attempts at a lease. No two are equal: a counter is used once by a process, and `start` tells the
// processes of one name apart.
struct Ballot {
  std::uint64_t counter = 0;
  std::string proposer;
  std::uint64_t start = 0;
  auto operator<=>(const Ballot&) const = default;
};

enum class LeaseKind : std::uint8_t {
  kPrepare,    // to a voter: promise to heed no ballot under this one
  kPromise,    // promised; `accepted` is the lease that runs, if any
  kReject,     // a higher ballot was promised: `accepted`
  kPropose,    // to a voter: the lease is the proposer's from now on, for its term
  kAccept,     // so it is
  kRelease,    // to a voter: the proposer has stopped using it
  kRecall,     // a voter that lost its memory asks the others
  kRecollect,  // the highest ballot promised for `resource`; `memory` whether this voter has one itself
};

struct LeaseWord {
  LeaseKind kind = LeaseKind::kPrepare;
  std::string resource;
  Ballot ballot;
  std::uint64_t round = 0;  // of the proposer, echoed: an old answer never counts for a new question
  Ballot accepted;          // counter 0: none
  bool memory = false;
  bool operator==(const LeaseWord&) const = default;
};

enum class PacketKind : std::uint8_t {
  kPing,
  kAck,
  kPingReq,  // ping `target` for me
  kNack,     // `target` did not answer me; but I am here
  kGossip,
  kLease,
  kExchange,  // all that I know; answered by kExchangeReply
  kExchangeReply,
};

struct Packet {
  PacketKind kind = PacketKind::kPing;
  std::string from;
  std::uint64_t start = 0;  // of the sender, with its incarnation: it lives
  std::uint32_t incarnation = 0;
  std::uint64_t electorate = 0;  // fingerprint of the sender's voters
  std::uint64_t seq = 0;         // of a ping and its answers
  std::string target;            // of a ping: whom it is meant for
  std::vector<MemberWord> members;
  std::vector<Fact> facts;
  std::vector<LeaseWord> leases;
  bool operator==(const Packet&) const = default;
};

struct Timing {
  Micros probe_every{std::chrono::seconds(1)};
  Micros probe_timeout{std::chrono::milliseconds(300)};  // until a direct ping counts as unanswered
  Micros exchange_every{std::chrono::seconds(30)};       // all that is known, with one member
  Micros lease{std::chrono::seconds(10)};                // term of a lease by a voter's clock
  double drift = 0.01;  // most by which any steady clock runs fast or slow, as a share
};

// What a state machine wants done, in this order.
struct Out {
  bool remember = false;  // the voter's memory is to be on the disk before any packet leaves
  std::vector<std::pair<std::string, Packet>> packets;  // datagrams, by the name of who gets them
  std::vector<std::string> exchanges;                   // begin one with each
};

}  // namespace indigosaddle::fleet
