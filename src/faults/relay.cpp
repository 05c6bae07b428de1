#include "faults/relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace indigosaddle::faults {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int kMostWaitMs = 10;  // changes of links are seen that soon

sockaddr_in At(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

int Bound(int type, int& port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (type == SOCK_STREAM) setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = At(port);
  socklen_t size = sizeof at;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&at), size) != 0) return close(descriptor), -1;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return descriptor;
}

// Both kinds on one port.
void BindBoth(int& port, int& udp, int& tcp) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    port = 0;
    tcp = Bound(SOCK_STREAM, port);
    if (tcp < 0) continue;
    udp = Bound(SOCK_DGRAM, port);
    if (udp >= 0) return;
    close(tcp);
  }
  throw std::runtime_error("no free port");
}

void CloseHard(int descriptor) {
  const linger hard{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(descriptor);
}

}  // namespace

std::string Relay::AddressFor(int from, int to) const {
  return "127.0.0.1:" + std::to_string(PairOf(from, to).port);
}

Relay::Relay(const std::vector<std::string>& addresses, std::uint64_t seed) : random_(seed) {
  for (const std::string& address : addresses) {
    const std::size_t colon = address.find(':');
    sockaddr_in at = At(std::stoi(address.substr(colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
    addresses_.push_back(at);
  }
  const int count = static_cast<int>(addresses_.size());
  for (int from = 0; from < count; ++from) {
    for (int to = 0; to < count; ++to) {
      auto& pair = *pairs_.emplace_back(std::make_unique<Pair>());
      pair.from = from, pair.to = to;
      if (from == to) continue;
      BindBoth(pair.port, pair.udp, pair.listener);
      listen(pair.listener, 16);
    }
  }
  thread_ = std::thread([this] { Run(); });
}

Relay::~Relay() {
  done_ = true;
  thread_.join();
  for (const auto& stream : streams_) close(stream->near), close(stream->far);
  for (const auto& pair : pairs_) close(pair->udp), close(pair->listener);
}

void Relay::Part(const std::vector<int>& side, bool cut) {
  const auto in = [&](int i) { return std::find(side.begin(), side.end(), i) != side.end(); };
  for (const auto& pair : pairs_)
    if (in(pair->from) != in(pair->to)) pair->link.cut = cut;
}

void Relay::Heal() {
  for (const auto& pair : pairs_) {
    pair->link.cut = pair->link.split = false;
    pair->link.loss = pair->link.doubled = 0;
    pair->link.least_ms = pair->link.most_ms = 0;
  }
}

void Relay::ResetStreams() { reset_ = true; }

bool Relay::Chance(double share) { return static_cast<double>(random_() >> 11) * 0x1p-53 < share; }

std::chrono::milliseconds Relay::Delay(const Link& link) {
  const int least = link.least_ms, most = std::max<int>(least, link.most_ms);
  return std::chrono::milliseconds(
      least + static_cast<int>(random_() % static_cast<std::uint64_t>(most - least + 1)));
}

// What `from` sent towards `to`: on from the socket that `to` knows as `from`.
void Relay::TakeDatagrams(Pair& pair) {
  std::array<char, 65536> space{};
  for (;;) {
    const ssize_t count = recv(pair.udp, space.data(), space.size(), 0);
    if (count < 0) return;
    if (pair.link.cut || Chance(pair.link.loss)) {
      ++pair.link.lost;
      continue;
    }
    const std::string bytes(space.data(), static_cast<std::size_t>(count));
    const int out = PairOf(pair.to, pair.from).udp;
    const sockaddr_in to = addresses_[static_cast<std::size_t>(pair.to)];
    for (int copies = Chance(pair.link.doubled) ? 2 : 1; copies > 0; --copies) {
      late_.push({Clock::now() + Delay(pair.link), ++order_, [bytes, out, to, &pair] {
                    if (pair.link.cut) return;
                    sendto(out, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                           sizeof to);
                    ++pair.link.passed;
                  }});
    }
  }
}

void Relay::TakeStream(Pair& pair) {
  const int near = accept4(pair.listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (near < 0) return;
  auto stream = std::make_unique<Stream>();
  stream->from = pair.from, stream->to = pair.to, stream->near = near;
  stream->far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = addresses_[static_cast<std::size_t>(pair.to)];
  // A refusal shows in the first read.
  static_cast<void>(connect(stream->far, reinterpret_cast<const sockaddr*>(&to), sizeof to));
  streams_.push_back(std::move(stream));
}

// Bytes of one direction. False where the stream is over. While the link is cut they stay where they are.
bool Relay::Pump(Stream& stream, bool outward) {
  const Link& link = outward ? PairOf(stream.from, stream.to).link : PairOf(stream.to, stream.from).link;
  bool& ended = outward ? stream.near_ended : stream.far_ended;
  if (link.cut || ended) return true;
  const int in = outward ? stream.near : stream.far, out = outward ? stream.far : stream.near;
  pollfd ready{out, POLLOUT, 0};
  if (poll(&ready, 1, 0) <= 0) return true;
  std::array<char, 16384> space{};
  const ssize_t count = recv(in, space.data(), link.split ? 1 : space.size(), 0);
  if (count < 0) return errno == EAGAIN || errno == EINTR;
  if (count == 0) {
    ended = true;
    shutdown(out, SHUT_WR);
    return !(stream.near_ended && stream.far_ended);
  }
  for (ssize_t done = 0; done < count;) {
    const ssize_t wrote =
        send(out, space.data() + done, static_cast<std::size_t>(count - done), MSG_NOSIGNAL);
    if (wrote < 0 && errno != EAGAIN && errno != EINTR) return false;
    done += std::max<ssize_t>(0, wrote);
  }
  return true;
}

void Relay::Run() {
  while (!done_) {
    std::vector<pollfd> waits;
    for (const auto& pair : pairs_) {
      if (pair->udp >= 0)
        waits.push_back({pair->udp, POLLIN, 0}), waits.push_back({pair->listener, POLLIN, 0});
    }
    for (const auto& stream : streams_) {
      if (!stream->near_ended) waits.push_back({stream->near, POLLIN, 0});
      if (!stream->far_ended) waits.push_back({stream->far, POLLIN, 0});
    }
    int wait = kMostWaitMs;
    if (!late_.empty()) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(late_.top().at - Clock::now()).count();
      wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, kMostWaitMs));
    }
    poll(waits.data(), waits.size(), wait);
    for (const auto& pair : pairs_) {
      if (pair->udp < 0) continue;
      TakeDatagrams(*pair);
      TakeStream(*pair);
    }
    const bool reset = reset_.exchange(false);
    std::erase_if(streams_, [&](const auto& stream) {
      if (!reset && Pump(*stream, true) && Pump(*stream, false)) return false;
      CloseHard(stream->near), CloseHard(stream->far);
      return true;
    });
    while (!late_.empty() && late_.top().at <= Clock::now()) {
      const auto act = late_.top().act;
      late_.pop();
      act();
    }
  }
}

}  // namespace indigosaddle::faults
