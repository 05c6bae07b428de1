// The sockets of one member, on the fleet's own event loop: datagrams over UDP, and state exchanges over TCP
// (one request packet and one reply packet per connection). Checks that a packet comes from the address that
// the operator's file gives for the sender's name.
#pragma once

#include <uv.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/types.h"
#include "net/loop.h"

namespace indigosaddle::fleet {

// Counts since the start; may be read from any thread.
struct Counters {
  // The packets are datagrams alone; the bytes include those of exchanges.
  std::atomic<std::uint64_t> packets_in{0};
  std::atomic<std::uint64_t> packets_out{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  // Datagrams and complete packets of exchanges that can't be decoded, are of a kind that does not belong
  // there, or don't come from their sender's address.
  std::atomic<std::uint64_t> unreadable{0};
  std::atomic<std::uint64_t> exchanges{0};
  std::atomic<std::uint64_t> exchanges_failed{0};
};

// Sends and receives packets. Used from the loop's thread only, apart from the counters.
class Transport {
 public:
  // Receives what arrives; must outlive the transport.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnPacket(const Packet& packet) = 0;
    // Returns the packet to send in an exchange: the reply (`answer`) or the request.
    virtual Packet ExchangePacket(bool answer) = 0;
  };

  // `self` is this member's name in `roster`.
  Transport(net::Loop& loop, Handler& handler, const std::vector<Peer>& roster, const std::string& self,
            Counters& counters);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Listens on `address` (ip:port) for datagrams and exchanges. Returns the reason for a failure; empty on
  // success.
  std::string Listen(const std::string& address);
  // Sends a datagram to the named member. Errors are ignored, as a lost datagram is.
  void Send(const std::string& to, const Packet& packet);
  // Opens a connection to the named member and exchanges all known state. Does nothing where too many
  // exchanges run already.
  void BeginExchange(const std::string& with);

 private:
  class Exchange;
  struct Address {
    sockaddr_storage at{};
    // ip:port, as in the operator's file.
    std::string text;
  };
  void OnDatagram(std::string_view bytes, const sockaddr* from);
  void Accept();
  // Schedules the removal of the exchange whose deadline is first.
  void ArmSweep();
  // True where `from` is the address of the member that the packet names as its sender.
  bool SourceMatches(const Packet& packet, const sockaddr* from, bool with_port) const;

  net::Loop& loop_;
  Handler& handler_;
  Counters& counters_;
  // Addresses of the other members, by name.
  std::map<std::string, Address> addresses_;
  uv_udp_t* udp_ = nullptr;
  uv_tcp_t* tcp_ = nullptr;
  // Address to listen on, and source address of outgoing exchanges.
  sockaddr_storage own_{};
  // Running exchanges, oldest first.
  std::list<std::unique_ptr<Exchange>> exchanges_;
  std::unique_ptr<net::Timer> sweep_;
};

}  // namespace indigosaddle::fleet
