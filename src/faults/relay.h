// A simulated network between processes on loopback: one relay for each ordered pair of nodes. The address at
// which `a` reaches `b` is a port of the relay; what `a` sends there reaches `b` from the port at which `b`
// reaches `a`. Each direction of each pair can thus have faults of its own: datagrams and streams are cut,
// datagrams are lost, duplicated, delayed and reordered, and streams are passed on byte by byte.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace indigosaddle::faults {

// One direction of one pair: its faults and its counts. Any thread may change it.
struct Link {
  std::atomic<bool> cut{false};        // nothing passes; bytes of streams wait, datagrams are dropped
  std::atomic<double> loss{0};         // share of datagrams that are dropped
  std::atomic<double> duplication{0};  // share of datagrams that arrive twice
  std::atomic<int> min_delay_ms{0};    // of datagrams, drawn for each one: a wide range reorders them
  std::atomic<int> max_delay_ms{0};
  std::atomic<bool> byte_by_byte{false};    // streams: bytes are passed on one at a time
  std::atomic<std::uint64_t> forwarded{0};  // datagrams
  std::atomic<std::uint64_t> dropped{0};    // datagrams
};

// Runs all relays on a thread of its own. Nodes are numbered from 0.
class Relay {
 public:
  // `addresses`: where each node really listens, with UDP and TCP, as ip:port. `seed`: of losses, duplicates
  // and delays. Throws std::runtime_error if no port is free.
  Relay(const std::vector<std::string>& addresses, std::uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // The address at which node `from` reaches node `to`.
  std::string AddressFor(int from, int to) const;
  Link& link(int from, int to) { return PairOf(from, to).link; }
  // Cuts or restores one direction.
  void Cut(int from, int to, bool cut = true) { link(from, to).cut = cut; }
  // Cuts or restores both directions between the nodes of `side` and all other nodes.
  void Partition(const std::vector<int>& side, bool cut = true);
  // Removes all faults from all links.
  void Heal();
  // Ends every open stream with a reset.
  void ResetStreams();

 private:
  struct Pair {
    int from = 0;
    int to = 0;
    int port = 0;       // of both sockets
    int udp = -1;       // -1: `from` and `to` are the same node
    int listener = -1;  // TCP
    Link link;
  };
  // A TCP connection that node `from` opened to node `to`.
  struct Stream {
    int from = 0;
    int to = 0;
    int opener_socket = -1;     // the connection from `from`
    int target_socket = -1;     // the connection to `to`
    bool opener_ended = false;  // the end of its bytes was read
    bool target_ended = false;
  };
  // A datagram that is sent once its delay is over.
  struct DelayedDatagram {
    std::chrono::steady_clock::time_point due;
    std::uint64_t order;  // of arrival, for those due at the same time
    std::function<void()> send;
    // Reversed, so that the priority queue has the earliest on top.
    bool operator<(const DelayedDatagram& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  Pair& PairOf(int from, int to) { return *pairs_[Index(from, to)]; }
  const Pair& PairOf(int from, int to) const { return *pairs_[Index(from, to)]; }
  std::size_t Index(int from, int to) const {
    return static_cast<std::size_t>(from) * addresses_.size() + static_cast<std::size_t>(to);
  }
  void Run();
  void ReceiveDatagrams(Pair& pair);
  void AcceptStream(Pair& pair);
  bool ForwardBytes(Stream& stream, bool from_opener);
  bool RandomlyTrue(double probability);
  std::chrono::milliseconds RandomDelay(const Link& link);

  std::vector<sockaddr_in> addresses_;
  std::vector<std::unique_ptr<Pair>> pairs_;  // by Index
  std::vector<std::unique_ptr<Stream>> streams_;
  std::priority_queue<DelayedDatagram> delayed_;
  std::uint64_t last_order_ = 0;
  std::mt19937_64 random_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> reset_requested_{false};
  std::thread thread_;
};

}  // namespace indigosaddle::faults
