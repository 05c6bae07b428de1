#include "fleet/transport.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "fleet/wire.h"

namespace indigosaddle::fleet {
namespace {

constexpr Micros kExchangeTimeout = std::chrono::seconds(3);  // of a whole exchange
constexpr std::size_t kMaxExchanges = 16;                     // at once
constexpr std::size_t kLengthBytes = 4;  // length prefix of an exchange's packet, big-endian
constexpr std::size_t kMaxUdpBytes = 60000;

std::string Framed(const std::string& bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>((bytes.size() >> static_cast<unsigned>(shift)) & 0xff);
  return out + bytes;
}

// The packet behind its length prefix; nothing while it is incomplete. Sets `broken` where the length is not
// allowed.
std::optional<std::string_view> Unframed(std::string_view bytes, bool& broken) {
  if (bytes.size() < kLengthBytes) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
  broken = length == 0 || length > kMaxExchangeBytes;
  if (broken || bytes.size() < kLengthBytes + length) return std::nullopt;
  return bytes.substr(kLengthBytes, length);
}

}  // namespace

// One connection for one exchange: the initiator writes its packet first, the other answers with its own.
class Transport::Exchange : public net::Stream::Listener {
 public:
  Exchange(Transport& transport, bool initiator)
      : transport_(transport),
        stream_(transport.loop_, *this),
        initiator_(initiator),
        deadline_(transport.loop_.Now() + kExchangeTimeout) {}

  net::Stream& stream() { return stream_; }
  Micros deadline() const { return deadline_; }
  bool finished() const { return finished_; }
  bool succeeded() const { return succeeded_; }
  void Finish() {
    finished_ = true;
    transport_.sweep_->Start(Micros(0));  // destroyed by the sweep, not within its own callback
  }

  void OnConnected(int error) override {
    if (error != 0 || stream_.StartReading() != 0) return Finish();
    WritePacket(transport_.handler_.ExchangePacket(false));
  }
  void OnBytes(std::string_view bytes) override {
    if (finished_ || received_) return;
    bytes_ += bytes;
    bool broken = false;
    const auto whole = Unframed(bytes_, broken);
    if (broken) return Finish();
    if (!whole) return;
    received_ = true;
    transport_.counters_.bytes_in += bytes_.size();
    const auto packet = Decode(*whole);
    const PacketKind expected_kind = initiator_ ? PacketKind::kExchangeReply : PacketKind::kExchange;
    sockaddr_storage from{};
    const bool known = packet && packet->kind == expected_kind && stream_.PeerAddress(from) &&
                       transport_.SourceMatches(*packet, reinterpret_cast<const sockaddr*>(&from), false);
    if (!known) {
      ++transport_.counters_.unreadable;
      return Finish();
    }
    succeeded_ = true;
    transport_.handler_.OnPacket(*packet);
    if (initiator_) return Finish();
    WritePacket(transport_.handler_.ExchangePacket(true));
  }
  void OnEnd(int /*error*/) override { Finish(); }

 private:
  void WritePacket(const Packet& packet) {
    std::string bytes = Framed(Encode(packet));
    transport_.counters_.bytes_out += bytes.size();
    if (stream_.Write(std::move(bytes)) != 0) Finish();
  }

  Transport& transport_;
  net::Stream stream_;
  const bool initiator_;
  const Micros deadline_;
  bool finished_ = false, received_ = false, succeeded_ = false;
  std::string bytes_;
};

Transport::Transport(net::Loop& loop, Handler& handler, const std::vector<Peer>& roster,
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
      const bool finished = exchange->finished() || now >= exchange->deadline();
      if (finished) ++(exchange->succeeded() ? counters_.exchanges : counters_.exchanges_failed);
      return finished;
    });
    ArmSweep();
  });
}

void Transport::ArmSweep() {  // the first has the earliest deadline
  if (!exchanges_.empty()) sweep_->Start(exchanges_.front()->deadline() - loop_.Now());
}

Transport::~Transport() {
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

std::string Transport::Listen(const std::string& address) {
  if (!net::ParseAddress(address, own_)) return "expected ip:port";
  const auto* where = reinterpret_cast<const sockaddr*>(&own_);
  tcp_ = new uv_tcp_t{};
  uv_tcp_init(loop_.raw(), tcp_);
  tcp_->data = this;
  const auto accept = [](uv_stream_t* server, int status) {
    if (status == 0 && server->data != nullptr) static_cast<Transport*>(server->data)->Accept();
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
      static_cast<Transport*>(udp->data)->OnDatagram({buffer->base, static_cast<std::size_t>(count)}, from);
  };
  if (error == 0) error = uv_udp_recv_start(udp_, space, receive);
  return error == 0 ? "" : uv_strerror(error);
}

bool Transport::SourceMatches(const Packet& packet, const sockaddr* from, bool with_port) const {
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

void Transport::OnDatagram(std::string_view bytes, const sockaddr* from) {
  ++counters_.packets_in;
  counters_.bytes_in += bytes.size();
  const auto packet = Decode(bytes);
  const bool exchange = packet && packet->kind >= PacketKind::kExchange;
  if (!packet || exchange || !SourceMatches(*packet, from, true)) {
    ++counters_.unreadable;
    return;
  }
  handler_.OnPacket(*packet);
}

// A datagram that the kernel does not take at once counts as lost on the network.
void Transport::Send(const std::string& to, const Packet& packet) {
  const auto it = addresses_.find(to);
  if (it == addresses_.end() || udp_ == nullptr) return;
  std::string bytes = Encode(packet);
  if (bytes.size() > kMaxUdpBytes) return;
  const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  if (uv_udp_try_send(udp_, &buffer, 1, reinterpret_cast<const sockaddr*>(&it->second.at)) < 0) return;
  ++counters_.packets_out;
  counters_.bytes_out += bytes.size();
}

void Transport::BeginExchange(const std::string& with) {
  const auto it = addresses_.find(with);
  if (it == addresses_.end() || exchanges_.size() >= kMaxExchanges) return;
  auto& exchange = *exchanges_.emplace_back(std::make_unique<Exchange>(*this, true));
  if (exchange.stream().BindLocal(own_) != 0 || exchange.stream().Connect(it->second.text) != 0)
    return exchange.Finish();
  ArmSweep();
}

void Transport::Accept() {
  auto exchange = std::make_unique<Exchange>(*this, false);
  if (exchange->stream().Accept(reinterpret_cast<uv_stream_t*>(tcp_)) != 0) return;
  if (exchanges_.size() >= kMaxExchanges || exchange->stream().StartReading() != 0)
    return;  // closed by its destructor
  exchanges_.push_back(std::move(exchange));
  ArmSweep();
}

}  // namespace indigosaddle::fleet
