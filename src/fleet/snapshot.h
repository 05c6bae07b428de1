// What the fleet's thread tells the rest of the process: one immutable picture, replaced as a whole
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

enum class Standing : std::uint8_t {
  kJoining,    // never yet in touch with a majority of the voters
  kConnected,  // in touch with a majority within a lease's term
  kCutOff,     // no longer: this process is in the smaller part of a cut, or alone
};
const char* NameOf(Standing connectivity);

struct MemberView {
  std::string name, site;
  Liveness liveness = Liveness::kDead;
  bool known = false;
  std::uint64_t start = 0;
  bool operator==(const MemberView&) const = default;
};

struct LeaseView {
  std::uint64_t epoch = 0;
  Micros until{Micros::min()};  // by the steady clock: held while now is before it
  bool operator==(const LeaseView&) const = default;
};

struct Snapshot {
  std::uint64_t number = 0;  // counts up with each that is published
  Standing connectivity = Standing::kJoining;
  std::optional<Micros> sure;  // when a majority of the voters was last there for sure
  std::size_t present = 1;     // members alive or suspected, with this one
  // Members that may be sending, as agreed, but no fewer than are seen; nothing: not agreed yet.
  std::optional<std::size_t> senders;
  bool superseded = false;                  // another process has this one's name
  bool files_differ = false;                // voters are not the same in all files: no lease is given or held
  int health_penalty = 0;                   // Lifeguard's local health; 0 is well
  std::vector<MemberView> members;          // others, by name
  std::map<std::string, LeaseView> leases;  // held by this process
  std::map<std::string, Fact> facts;
  std::map<std::string, SiteStatus> sites;  // as agreed
  bool operator==(const Snapshot&) const = default;
};

constexpr std::size_t kMostSenders = 10000;

// What the fact of agreed senders says; nothing where it is no count from 1 to kMostSenders.
std::optional<std::size_t> ParseSenders(std::string_view text);

// How many senders share a limit, where the operator's file says `by_file`. Too few would send over it, so
// what is not sure (nothing agreed yet, or this process is cut off) counts as no fewer than the file says,
// and no fewer than are seen.
std::size_t SendersToUse(const Snapshot& snapshot, std::size_t by_file);

}  // namespace indigosaddle::fleet
