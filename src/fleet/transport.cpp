#include "fleet/transport.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "fleet/wire.h"

namespace indigosaddle::fleet {
namespace {

constexpr Micros kExchangeTime = std::chrono::seconds(3);  // for a whole exchange
constexpr std::size_t kMostExchanges = 16;                 // at once
constexpr std::size_t kLengthBytes = 4;                    // in front of an exchange's packet, big-endian
constexpr std::size_t kMostUdp = 60000;

std::string Framed(const std::string& bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>((bytes.size() >> static_cast<unsigned>(shift)) & 0xff);
  return out + bytes;
}

// The packet behind its length; nothing while it is not whole. `broken` where it never will be.
std::optional<std::string_view> Unframed(std::string_view bytes, bool& broken) {
  if (bytes.size() < kLengthBytes) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
  broken = length == 0 || length > kMostExchangeBytes;
  if (broken || bytes.size() < kLengthBytes + length) return std::nullopt;
  return bytes.substr(kLengthBytes, length);
}

}  // namespace

// One connection for one exchange: the asker writes its packet first, the other answers with its own.
class Endpoint::Exchange : public net::Stream::Listener {
 public:
  Exchange(Endpoint& endpoint, bool asks)
      : endpoint_(endpoint),
        stream_(endpoint.loop_, *this),
        asks_(asks),
        ends_(endpoint.loop_.Now() + kExchangeTime) {}

  net::Stream& stream() { return stream_; }
  Micros ends() const { return ends_; }
  bool over() const { return over_; }
  bool good() const { return good_; }
  void Over() { over_ = true, endpoint_.sweep_->Start(Micros(0)); }  // not within its own callback

  void OnConnected(int error) override {
    if (error != 0 || stream_.StartReading() != 0) return Over();
    Say(endpoint_.handler_.ExchangeWord(false));
  }
  void OnBytes(std::string_view bytes) override {
    if (over_ || heard_) return;
    bytes_ += bytes;
    bool broken = false;
    const auto whole = Unframed(bytes_, broken);
    if (broken) return Over();
    if (!whole) return;
    heard_ = true;
    endpoint_.counters_.bytes_in += bytes_.size();
    const auto packet = Decode(*whole);
    const PacketKind due = asks_ ? PacketKind::kExchangeReply : PacketKind::kExchange;
    sockaddr_storage from{};
    const bool known = packet && packet->kind == due && stream_.PeerAddress(from) &&
                       endpoint_.Heard(*packet, reinterpret_cast<const sockaddr*>(&from), false);
    if (!known) {
      ++endpoint_.counters_.unreadable;
      return Over();
    }
    good_ = true;
    endpoint_.handler_.OnPacket(*packet);
    if (asks_) return Over();
    Say(endpoint_.handler_.ExchangeWord(true));
  }
  void OnEnd(int /*error*/) override { Over(); }

 private:
  void Say(const Packet& packet) {
    std::string bytes = Framed(Encode(packet));
    endpoint_.counters_.bytes_out += bytes.size();
    if (stream_.Write(std::move(bytes)) != 0) Over();
  }

  Endpoint& endpoint_;
  net::Stream stream_;
  const bool asks_;
  const Micros ends_;
  bool over_ = false, heard_ = false, good_ = false;
  std::string bytes_;
};

Endpoint::Endpoint(net::Loop& loop, Handler& handler, const std::vector<Peer>& roster,
                   const std::string& self, Counters& counters)
    : loop_(loop), handler_(handler), counters_(counters) {
  for (const Peer& peer : roster) {
    Address address;
    address.text = peer.address;
    if (peer.name != self && net::ParseAddress(peer.address, address.at))
      addresses_.emplace(peer.name, address);
  }
  sweep_ = std::make_unique<net::Timer>(loop, [this] {
    const Micros now = loop_.Now();
    std::erase_if(exchanges_, [&](const auto& exchange) {
      const bool over = exchange->over() || now >= exchange->ends();
      if (over) ++(exchange->good() ? counters_.exchanges : counters_.exchanges_failed);
      return over;
    });
    ArmSweep();
  });
}

void Endpoint::ArmSweep() {  // the first began first
  if (!exchanges_.empty()) sweep_->Start(exchanges_.front()->ends() - loop_.Now());
}

Endpoint::~Endpoint() {
  exchanges_.clear();
  const auto close = [](uv_handle_t* handle, uv_close_cb closed) {
    handle->data = nullptr;
    uv_close(handle, closed);
  };
  if (udp_ != nullptr) {
    close(reinterpret_cast<uv_handle_t*>(udp_),
          [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
  }
  if (tcp_ != nullptr) {
    close(reinterpret_cast<uv_handle_t*>(tcp_),
          [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
  }
}

std::string Endpoint::Listen(const std::string& address) {
  if (!net::ParseAddress(address, own_)) return "expected ip:port";
  const auto* where = reinterpret_cast<const sockaddr*>(&own_);
  tcp_ = new uv_tcp_t{};
  uv_tcp_init(loop_.raw(), tcp_);
  tcp_->data = this;
  const auto accept = [](uv_stream_t* server, int status) {
    if (status == 0 && server->data != nullptr) static_cast<Endpoint*>(server->data)->Accept();
  };
  int error = uv_tcp_bind(tcp_, where, 0);
  if (error == 0) error = uv_listen(reinterpret_cast<uv_stream_t*>(tcp_), 64, accept);
  if (error != 0) return uv_strerror(error);
  udp_ = new uv_udp_t{};
  uv_udp_init(loop_.raw(), udp_);
  udp_->data = this;
  error = uv_udp_bind(udp_, where, 0);
  const auto space = [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
    auto& bytes = static_cast<net::Loop*>(handle->loop->data)->read_buffer();
    *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  };
  const auto receive = [](uv_udp_t* udp, ssize_t count, const uv_buf_t* buffer, const sockaddr* from,
                          unsigned) {
    if (count > 0 && from != nullptr && udp->data != nullptr)
      static_cast<Endpoint*>(udp->data)->OnDatagram({buffer->base, static_cast<std::size_t>(count)}, from);
  };
  if (error == 0) error = uv_udp_recv_start(udp_, space, receive);
  return error == 0 ? "" : uv_strerror(error);
}

bool Endpoint::Heard(const Packet& packet, const sockaddr* from, bool with_port) const {
  const auto it = addresses_.find(packet.from);
  if (it == addresses_.end() || it->second.at.ss_family != from->sa_family) return false;
  if (from->sa_family == AF_INET6) {
    const auto& a = reinterpret_cast<const sockaddr_in6&>(it->second.at);
    const auto& b = *reinterpret_cast<const sockaddr_in6*>(from);
    return std::memcmp(&a.sin6_addr, &b.sin6_addr, sizeof a.sin6_addr) == 0 &&
           (!with_port || a.sin6_port == b.sin6_port);
  }
  const auto& a = reinterpret_cast<const sockaddr_in&>(it->second.at);
  const auto& b = *reinterpret_cast<const sockaddr_in*>(from);
  return a.sin_addr.s_addr == b.sin_addr.s_addr && (!with_port || a.sin_port == b.sin_port);
}

void Endpoint::OnDatagram(std::string_view bytes, const sockaddr* from) {
  ++counters_.packets_in;
  counters_.bytes_in += bytes.size();
  const auto packet = Decode(bytes);
  const bool exchange = packet && packet->kind >= PacketKind::kExchange;
  if (!packet || exchange || !Heard(*packet, from, true)) {
    ++counters_.unreadable;
    return;
  }
  handler_.OnPacket(*packet);
}

// A datagram that the system does not take at once is lost, as on the network.
void Endpoint::Send(const std::string& to, const Packet& packet) {
  const auto it = addresses_.find(to);
  if (it == addresses_.end() || udp_ == nullptr) return;
  std::string bytes = Encode(packet);
  if (bytes.size() > kMostUdp) return;
  const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  if (uv_udp_try_send(udp_, &buffer, 1, reinterpret_cast<const sockaddr*>(&it->second.at)) < 0) return;
  ++counters_.packets_out;
  counters_.bytes_out += bytes.size();
}

void Endpoint::BeginExchange(const std::string& with) {
  const auto it = addresses_.find(with);
  if (it == addresses_.end() || exchanges_.size() >= kMostExchanges) return;
  auto& exchange = *exchanges_.emplace_back(std::make_unique<Exchange>(*this, true));
  if (exchange.stream().ComeFrom(own_) != 0 || exchange.stream().Connect(it->second.text) != 0)
    return exchange.Over();
  ArmSweep();
}

void Endpoint::Accept() {
  auto exchange = std::make_unique<Exchange>(*this, false);
  if (exchange->stream().Accept(reinterpret_cast<uv_stream_t*>(tcp_)) != 0) return;
  if (exchanges_.size() >= kMostExchanges || exchange->stream().StartReading() != 0) return;  // closed here
  exchanges_.push_back(std::move(exchange));
  ArmSweep();
}

}  // namespace indigosaddle::fleet
