// Connects the node with discovery: follows the endpoint list at the address in use and, while the
// configuration names another one, asks there too until that one has sent a whole list. Reports from when on
// the list at hand is outdated; ListValidity decides that.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/log.h"
#include "brain/list_validity.h"
#include "net/discovery.h"
#include "net/loop.h"
#include "node/repeated_event.h"

namespace indigosaddle::node {

// Where discovery is, and how to ask it.
struct DiscoveryTarget {
  std::string address;  // ip:port
  net::RequestPacing pacing;
  std::uint64_t seed = 0;  // of all random delays
};

// Used on the node's loop only. The loop, the log and the owner must outlive it.
class DiscoveryLink {
 public:
  // Receives the list and what is known of it. Not called within a turn.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The whole list or changes of it, from the address in use or the next one.
    virtual void OnMembers(net::MemberListUpdate update) = 0;
    // The watch at the address in use was lost; a new one is requested.
    virtual void OnListWatchLost() = 0;
    // Nothing new may be sent from `outdated_from` (node time) on, until the next call; Micros::max(): no
    // limit. Comes after the update that it rests on.
    virtual void OnListValidity(Micros outdated_from) = 0;
    // Nothing new may be sent from now on, because the address that the configuration names sends no list.
    // The owner may change the address within this call.
    virtual void OnListOutdatedByMove() = 0;
    // The next address is in use from now on.
    virtual void OnDiscoverySwitched() = 0;
  };

  DiscoveryLink(net::Loop& loop, Owner& owner, base::Log& log);

  // Starts to follow the list. `held_version`: version of the list that the node holds already.
  void Start(DiscoveryTarget target, std::optional<std::uint64_t> held_version);
  // The configuration names this address now. Does nothing before Start and after Close.
  void MoveTo(DiscoveryTarget target);
  // Asks at the address in use if no request is open or scheduled there.
  void Renew();
  // Ends all requests; nothing is reported any more.
  void Close();

  // The address that the list at hand came from or is requested at.
  const std::string& address_in_use() const { return address_in_use_; }
  // Whether the configuration names another address, which has not sent a whole list yet.
  bool moving() const { return next_ != nullptr; }
  // Whether nothing new may be sent because the list is outdated.
  bool outdated() const { return outdated_since_.has_value(); }
  // Since when the watch at the address in use has been lost; empty while it stands.
  std::optional<Micros> watch_lost_at() const { return watch_lost_at_; }
  // Times since the start that a watch or a request failed, at all addresses.
  std::uint64_t watch_losses() const { return in_use_losses_.total() + next_losses_.total(); }
  // Why the list at hand is limited by the address that the configuration names, as a sentence for operators;
  // empty: it is not, or that address is the one in use.
  std::string MoveFault() const;
  // The "list" part of the node's status.
  nlohmann::json Json() const;

 private:
  using Address = ListValidity::Address;

  // Follows the list at one address.
  class Follower : public net::DiscoveryClient::Handler {
   public:
    Follower(DiscoveryLink& link, const DiscoveryTarget& target)
        : link_(link), client_(link.loop_, *this, target.address, target.pacing, target.seed) {}
    net::DiscoveryClient& client() { return client_; }

   private:
    void OnMembers(net::MemberListUpdate update) override { link_.OnMembers(*this, std::move(update)); }
    void OnListConfirmed() override { link_.OnListConfirmed(*this); }
    void OnWatchLost(std::string_view reason, const ListRequestFailure& failure) override {
      link_.OnWatchLost(*this, reason, failure);
    }

    DiscoveryLink& link_;
    net::DiscoveryClient client_;
  };

  Address AddressOf(const Follower& follower) const;
  // The address whose answers limit the list at hand, and how its latest request failed.
  struct LimitingAddress {
    bool is_next = false;
    const std::string& address;
    const std::string& failure;
  };
  LimitingAddress limited_by() const;
  void OnMembers(const Follower& follower, net::MemberListUpdate update);
  void OnListConfirmed(const Follower& follower);
  void OnWatchLost(const Follower& follower, std::string_view reason, const ListRequestFailure& failure);
  void MoveBack();
  void Switch();
  // Reports and logs the limit of the list if it has changed.
  void UpdateValidity();
  void OnOutdatedTimer();
  void LogValidAgain();

  net::Loop& loop_;
  Owner& owner_;
  base::Log& log_;
  net::Timer switch_timer_, outdated_timer_;
  ListValidity validity_{Micros(0)};
  std::string address_in_use_, next_address_;
  std::unique_ptr<Follower> in_use_;  // empty before Start and after Close
  std::unique_ptr<Follower> next_;    // empty: the configured address is the one in use
  RepeatedEvent in_use_losses_, next_losses_;
  std::string in_use_failure_, next_failure_;  // the latest at each address
  std::optional<Micros> watch_lost_at_;
  Micros outdated_from_ = Micros::max();  // as reported last
  std::optional<Micros> outdated_since_;  // empty: the list is valid
};

}  // namespace indigosaddle::node
