// A network between processes on loopback: one relay for each ordered pair. What `a` knows as the address of
// `b` is a port of the relay; what it sends there reaches `b` from the port that `b` knows as `a`. So each
// direction of each pair can be cut, held, slowed, thinned, doubled and put out of order by itself, for
// datagrams and streams alike.
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

// One direction of one pair. Any thread may change it.
struct Link {
  std::atomic<bool> cut{false};              // nothing passes
  std::atomic<double> loss{0};               // share of datagrams that do not arrive
  std::atomic<double> doubled{0};            // share that arrives twice
  std::atomic<int> least_ms{0}, most_ms{0};  // delay, drawn for each: a wide span puts them out of order
  std::atomic<bool> split{false};            // streams: bytes pass one by one
  std::atomic<std::uint64_t> passed{0}, lost{0};
};

class Relay {
 public:
  // `addresses`: where each of the processes really listens, UDP and TCP, as ip:port.
  Relay(const std::vector<std::string>& addresses, std::uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string AddressFor(int from, int to) const;  // of `to`, as `from` is told
  Link& link(int from, int to) { return PairOf(from, to).link; }
  void Cut(int from, int to, bool cut = true) { link(from, to).cut = cut; }
  void Part(const std::vector<int>& side, bool cut = true);  // both ways between these and all others
  void Heal();                                               // all links are as at the start
  void ResetStreams();                                       // every stream that is open ends with a reset

 private:
  struct Pair {
    int from = 0, to = 0, port = 0;
    int udp = -1, listener = -1;
    Link link;
  };
  struct Stream {
    int from = 0, to = 0;  // who opened it, to whom
    int near = -1, far = -1;
    bool near_ended = false, far_ended = false;
  };
  struct Late {
    std::chrono::steady_clock::time_point at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Late& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  Pair& PairOf(int from, int to) { return *pairs_[Index(from, to)]; }
  const Pair& PairOf(int from, int to) const { return *pairs_[Index(from, to)]; }
  std::size_t Index(int from, int to) const {
    return static_cast<std::size_t>(from) * addresses_.size() + static_cast<std::size_t>(to);
  }
  void Run();
  void TakeDatagrams(Pair& pair);
  void TakeStream(Pair& pair);
  bool Pump(Stream& stream, bool outward);
  bool Chance(double share);
  std::chrono::milliseconds Delay(const Link& link);

  std::vector<sockaddr_in> addresses_;
  std::vector<std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Stream>> streams_;
  std::priority_queue<Late> late_;
  std::uint64_t order_ = 0;
  std::mt19937_64 random_;
  std::atomic<bool> done_{false}, reset_{false};
  std::thread thread_;
};

}  // namespace indigosaddle::faults
