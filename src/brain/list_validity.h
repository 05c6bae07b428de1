// Decides how long the node's copy of the endpoint list is valid (rule 3: nothing new to a draining or gone
// endpoint). Deterministic, without I/O: the caller passes the time.
//
// A node counts as knowing a change of the list at the latest
//  - 6 s after discovery had it and could be reached, and
//  - 4 s after the configuration named another address of discovery, if that one can be reached.
// Discovery that does not respond can't be reached, and does not limit the list. Discovery that responds
// without sending a list can be reached, and may have a change: the list is then valid until those times.
//
// While the address of discovery changes, both addresses count, each by its own clock, and the earlier limit
// holds. The list at hand comes from the address in use, but only the next one can confirm that there is
// nothing newer there: neither changes nor failures at the address in use lift a limit that the next address
// has set.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "brain.h"

namespace indigosaddle {

// A node counts as knowing a change of the list this long after discovery had it and could be reached.
constexpr Micros kListChangeDeadline = std::chrono::seconds(6);
// The same after the configuration named another address of discovery.
constexpr Micros kListMoveDeadline = std::chrono::seconds(4);
// Subtracted from both, for calls that are still on their way at the deadline.
constexpr Micros kListChangeMargin = std::chrono::milliseconds(300);

// What a failed request for the list, or a lost watch, shows of discovery.
enum class ListFailure : std::uint8_t {
  kConnectionLost,  // the connection ended between two updates: nothing
  kNoResponse,      // it may have been unreachable when it was asked
  kNoList,          // it can be reached, but refused or sent nothing that can be read as a list
};

// A failed request for the list, or a lost watch. Both times are node time.
struct ListRequestFailure {
  ListFailure kind = ListFailure::kConnectionLost;
  Micros requested_at{0};
  Micros failed_at{0};
};

// The limit that one address of discovery sets.
class ListClock {
 public:
  // The address that a process starts with.
  static ListClock ForStart(Micros now) { return ListClock(now); }
  // An address that the configuration names from `now` on.
  static ListClock ForMove(Micros now);

  // A complete line or list arrived and could be read.
  void OnConfirmed(Micros now);
  void OnFailure(const ListRequestFailure& failure);
  // The configuration names a further address, which takes the place of this one.
  void OnReplaced(Micros now) { named_at_ = now; }
  // The configuration named another address, whose clock is `next`, and names this one again. Where this one
  // is not current, the limits set so far hold until it confirms the list.
  void OnNamedAgain(const ListClock& next, Micros now);

  // From then on the list counts as outdated; Micros::max(): no limit.
  Micros outdated_from() const;

 private:
  explicit ListClock(Micros now) : unreachable_at_(now) {}

  // The list is confirmed and no request has failed since: every change was received.
  bool current() const { return confirmed_at_.has_value() && !first_failure_at_.has_value(); }
  // Whether the list was confirmed and every change received until `named_at_` + kListMoveDeadline.
  bool confirmed_since_move() const;

  // The latest instant at which discovery may have been unreachable before it was seen to be reachable.
  Micros unreachable_at_;
  // When the configuration named the present address, and the first one since the list was confirmed; empty
  // for the address that the process started with.
  std::optional<Micros> named_at_, first_named_at_;
  std::optional<Micros> confirmed_at_;
  std::optional<Micros> first_failure_at_;  // since the list was confirmed
  bool refused_ = false;                    // ListFailure::kNoList since the list was confirmed
  Micros inherited_limit_ = Micros::max();  // from other addresses, until the list is confirmed here
};

// The limit of the list at hand, from the address in use and the next one.
class ListValidity {
 public:
  enum class Address : std::uint8_t { kInUse, kNext };

  // The process starts at `now`.
  explicit ListValidity(Micros now) : in_use_(ListClock::ForStart(now)) {}

  // The configuration names an address other than the one in use. The limit counts from the first such change
  // since an address was taken into use, however many follow.
  void OnMove(Micros now);
  // The configuration names the address in use again.
  void OnMoveBack(Micros now);
  // The next address has sent the whole list and is the one in use from now on.
  void OnSwitch();

  void OnConfirmed(Address address, Micros now);
  void OnFailure(Address address, const ListRequestFailure& failure);

  // Nothing new may be sent from then on; Micros::max(): no limit.
  Micros outdated_from() const;
  // The address whose answers set the limit.
  Address limited_by() const;

 private:
  ListClock in_use_;
  std::optional<ListClock> next_;  // empty: the configured address is the one in use
};

}  // namespace indigosaddle
