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
constexpr int kMaxPollMs = 10;  // changes of links and requested resets take effect within this time

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Returns a non-blocking socket of this type bound to the loopback port, or -1. Port 0 lets the system
// choose; `port` is then set to its choice.
int BindSocket(int type, int& port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (type == SOCK_STREAM) setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof address;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0) return close(descriptor), -1;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

// Binds a UDP and a TCP socket to the same port, which the system chooses. Throws std::runtime_error if that
// fails too often.
void BindBoth(int& port, int& udp, int& tcp) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    port = 0;
    tcp = BindSocket(SOCK_STREAM, port);
    if (tcp < 0) continue;
    udp = BindSocket(SOCK_DGRAM, port);
    if (udp >= 0) return;
    close(tcp);
  }
  throw std::runtime_error("no free port");
}

// Closes a TCP socket with a reset instead of an orderly end.
void CloseWithReset(int descriptor) {
  const linger no_linger{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  close(descriptor);
}

}  // namespace

std::string Relay::AddressFor(int from, int to) const {
  return "127.0.0.1:" + std::to_string(PairOf(from, to).port);
}

Relay::Relay(const std::vector<std::string>& addresses, std::uint64_t seed) : random_(seed) {
  for (const std::string& address : addresses) {
    const std::size_t colon = address.find(':');
    sockaddr_in parsed = LoopbackAddress(std::stoi(address.substr(colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    addresses_.push_back(parsed);
  }
  const int count = static_cast<int>(addresses_.size());
  for (int from = 0; from < count; ++from) {
    for (int to = 0; to < count; ++to) {
      auto& pair = *pairs_.emplace_back(std::make_unique<Pair>());
      pair.from = from;
      pair.to = to;
      if (from == to) continue;
      BindBoth(pair.port, pair.udp, pair.listener);
      listen(pair.listener, 16);
    }
  }
  thread_ = std::thread([this] { Run(); });
}

Relay::~Relay() {
  stopping_ = true;
  thread_.join();
  for (const auto& stream : streams_) {
    close(stream->opener_socket);
    close(stream->target_socket);
  }
  for (const auto& pair : pairs_) {
    close(pair->udp);
    close(pair->listener);
  }
}

void Relay::Partition(const std::vector<int>& side, bool cut) {
  const auto on_side = [&](int i) { return std::find(side.begin(), side.end(), i) != side.end(); };
  for (const auto& pair : pairs_)
    if (on_side(pair->from) != on_side(pair->to)) pair->link.cut = cut;
}

void Relay::Heal() {
  for (const auto& pair : pairs_) {
    pair->link.cut = pair->link.byte_by_byte = false;
    pair->link.loss = pair->link.duplication = 0;
    pair->link.min_delay_ms = pair->link.max_delay_ms = 0;
  }
}

void Relay::ResetStreams() { reset_requested_ = true; }

bool Relay::RandomlyTrue(double probability) {
  return static_cast<double>(random_() >> 11) * 0x1p-53 < probability;
}

std::chrono::milliseconds Relay::RandomDelay(const Link& link) {
  const int min = link.min_delay_ms;
  const int max = std::max<int>(min, link.max_delay_ms);
  return std::chrono::milliseconds(min +
                                   static_cast<int>(random_() % static_cast<std::uint64_t>(max - min + 1)));
}

// Reads what `from` has sent to `to` and schedules it. It is sent from the socket at which `to` reaches
// `from`.
void Relay::ReceiveDatagrams(Pair& pair) {
  std::array<char, 65536> buffer{};
  for (;;) {
    const ssize_t count = recv(pair.udp, buffer.data(), buffer.size(), 0);
    if (count < 0) return;
    if (pair.link.cut || RandomlyTrue(pair.link.loss)) {
      ++pair.link.dropped;
      continue;
    }
    const std::string bytes(buffer.data(), static_cast<std::size_t>(count));
    const int output = PairOf(pair.to, pair.from).udp;
    const sockaddr_in to = addresses_[static_cast<std::size_t>(pair.to)];
    for (int copies = RandomlyTrue(pair.link.duplication) ? 2 : 1; copies > 0; --copies) {
      delayed_.push({Clock::now() + RandomDelay(pair.link), ++last_order_, [bytes, output, to, &pair] {
                       if (pair.link.cut) return;
                       sendto(output, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                              sizeof to);
                       ++pair.link.forwarded;
                     }});
    }
  }
}

// Accepts a connection, if one waits, and begins to connect to its target.
void Relay::AcceptStream(Pair& pair) {
  const int accepted = accept4(pair.listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (accepted < 0) return;
  auto stream = std::make_unique<Stream>();
  stream->from = pair.from;
  stream->to = pair.to;
  stream->opener_socket = accepted;
  stream->target_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = addresses_[static_cast<std::size_t>(pair.to)];
  // If the target refuses the connection, the first read reports it.
  static_cast<void>(connect(stream->target_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to));
  streams_.push_back(std::move(stream));
}

// Passes on bytes of one direction. False if the stream is over. While the link is cut, bytes stay unread.
bool Relay::ForwardBytes(Stream& stream, bool from_opener) {
  const Link& link = from_opener ? PairOf(stream.from, stream.to).link : PairOf(stream.to, stream.from).link;
  bool& ended = from_opener ? stream.opener_ended : stream.target_ended;
  if (link.cut || ended) return true;
  const int input = from_opener ? stream.opener_socket : stream.target_socket;
  const int output = from_opener ? stream.target_socket : stream.opener_socket;
  pollfd ready{output, POLLOUT, 0};
  if (poll(&ready, 1, 0) <= 0) return true;
  std::array<char, 16384> buffer{};
  const ssize_t count = recv(input, buffer.data(), link.byte_by_byte ? 1 : buffer.size(), 0);
  if (count < 0) return errno == EAGAIN || errno == EINTR;
  if (count == 0) {
    ended = true;
    shutdown(output, SHUT_WR);
    return !(stream.opener_ended && stream.target_ended);
  }
  for (ssize_t done = 0; done < count;) {
    const ssize_t written =
        send(output, buffer.data() + done, static_cast<std::size_t>(count - done), MSG_NOSIGNAL);
    if (written < 0 && errno != EAGAIN && errno != EINTR) return false;
    done += std::max<ssize_t>(0, written);
  }
  return true;
}

void Relay::Run() {
  while (!stopping_) {
    std::vector<pollfd> polled;
    for (const auto& pair : pairs_) {
      if (pair->udp >= 0) {
        polled.push_back({pair->udp, POLLIN, 0});
        polled.push_back({pair->listener, POLLIN, 0});
      }
    }
    for (const auto& stream : streams_) {
      if (!stream->opener_ended) polled.push_back({stream->opener_socket, POLLIN, 0});
      if (!stream->target_ended) polled.push_back({stream->target_socket, POLLIN, 0});
    }
    int timeout_ms = kMaxPollMs;
    if (!delayed_.empty()) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(delayed_.top().due - Clock::now()).count();
      timeout_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, kMaxPollMs));
    }
    poll(polled.data(), polled.size(), timeout_ms);
    for (const auto& pair : pairs_) {
      if (pair->udp < 0) continue;
      ReceiveDatagrams(*pair);
      AcceptStream(*pair);
    }
    const bool reset = reset_requested_.exchange(false);
    std::erase_if(streams_, [&](const auto& stream) {
      if (!reset && ForwardBytes(*stream, true) && ForwardBytes(*stream, false)) return false;
      CloseWithReset(stream->opener_socket);
      CloseWithReset(stream->target_socket);
      return true;
    });
    while (!delayed_.empty() && delayed_.top().due <= Clock::now()) {
      const auto send_now = delayed_.top().send;
      delayed_.pop();
      send_now();
    }
  }
}

}  // namespace indigosaddle::faults
