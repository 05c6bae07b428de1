// What the fleet's thread tells the rest of the process: one immutable snapshot that is replaced as a whole
// (published.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/facts.h"
#include "fleet/sites.h"
#include "fleet/types.h"

namespace indigosaddle::fleet {

// Whether this process can rely on what is agreed.
enum class Connectivity : std::uint8_t {
  kJoining,    // never yet in contact with a majority of the voters
  kConnected,  // in contact with a majority within a lease's term
  kIsolated,   // no longer: this process is on the minority side of a partition, or alone
};
const char* NameOf(Connectivity connectivity);

// Another member, as this process sees it.
struct MemberView {
  std::string name;
  std::string site;
  Liveness liveness = Liveness::kDead;
  // False until anything was heard about it.
  bool known = false;
  // Start number of its process.
  std::uint64_t start = 0;
  bool operator==(const MemberView&) const = default;
};

// A lease that this process holds.
struct LeaseView {
  std::uint64_t epoch = 0;
  // End by the steady clock: held while now is before it.
  Micros until{Micros::min()};
  bool operator==(const LeaseView&) const = default;
};

struct Snapshot {
  // Rises with each snapshot that is published.
  std::uint64_t number = 0;
  Connectivity connectivity = Connectivity::kJoining;
  // When a majority of the voters was last confirmed reachable.
  std::optional<Micros> quorum_confirmed_at;
  // Members alive or suspected, this one included.
  std::size_t present = 1;
  // Members that may be sending, as agreed, but no fewer than are seen; nothing where not agreed yet.
  std::optional<std::size_t> senders;
  // Another, later process has this one's name.
  bool superseded = false;
  // The files of members name different voters: no lease is granted or held.
  bool files_differ = false;
  // See Prober::health_penalty; 0 is healthy.
  int health_penalty = 0;
  // The other members, by name.
  std::vector<MemberView> members;
  // Leases held by this process, by resource.
  std::map<std::string, LeaseView> leases;
  // All facts, by key.
  std::map<std::string, Fact> facts;
  // Agreed status of sites, by name.
  std::map<std::string, SiteStatus> sites;
  bool operator==(const Snapshot&) const = default;
};

// Most senders that a fact may name.
constexpr std::size_t kMaxSenders = 10000;

// Reads the value of the fact of agreed senders; nothing where it is no count from 1 to kMaxSenders.
std::optional<std::size_t> ParseSenders(std::string_view text);

// How many senders share a limit, where the operator's file says `by_file`. Too low a number would exceed the
// limit. So where the number is not reliable (nothing agreed yet, or this process is isolated), it is no
// lower than the file says, and no lower than the members seen.
std::size_t SendersToUse(const Snapshot& snapshot, std::size_t by_file);

}  // namespace indigosaddle::fleet
