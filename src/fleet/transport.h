// Sockets of one member: datagrams and exchanges, on the fleet's own loop. Bytes in, packets out; who may be
// heard is checked here by the address that the operator's file gives for the name a packet claims.
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

// Since the start; read from any thread.
struct Counters {
  std::atomic<std::uint64_t> packets_in{0}, packets_out{0}, bytes_in{0}, bytes_out{0};
  std::atomic<std::uint64_t> unreadable{0};  // no packet, or from an address that is not its sender's
  std::atomic<std::uint64_t> exchanges{0}, exchanges_failed{0};
};

class Endpoint {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnPacket(const Packet& packet) = 0;
    virtual Packet ExchangeWord(bool answer) = 0;
  };

  Endpoint(net::Loop& loop, Handler& handler, const std::vector<Peer>& roster, const std::string& self,
           Counters& counters);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  std::string Listen(const std::string& address);  // why not; empty: it listens, for both
  void Send(const std::string& to, const Packet& packet);
  void BeginExchange(const std::string& with);

 private:
  class Exchange;
  struct Address {
    sockaddr_storage at{};
    std::string text;
  };
  void OnDatagram(std::string_view bytes, const sockaddr* from);
  void Accept();
  void ArmSweep();
  bool Heard(const Packet& packet, const sockaddr* from, bool with_port) const;

  net::Loop& loop_;
  Handler& handler_;
  Counters& counters_;
  std::map<std::string, Address> addresses_;
  uv_udp_t* udp_ = nullptr;
  uv_tcp_t* tcp_ = nullptr;
  sockaddr_storage own_{};  // where it listens, and where its exchanges come from
  std::list<std::unique_ptr<Exchange>> exchanges_;
  std::unique_ptr<net::Timer> sweep_;
};

}  // namespace indigosaddle::fleet
