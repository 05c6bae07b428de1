#include "net/resp_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <set>
#include <utility>

#include "net/resp_connection.h"

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 511;

// A process that replaces this one listens on the same address while this one still serves; the kernel then
// spreads new connections over both. Both must ask for it, so every listener does.
int ShareThePort(uv_tcp_t& listener) {
  uv_os_fd_t descriptor = -1;
  if (const int error = uv_fileno(reinterpret_cast<uv_handle_t*>(&listener), &descriptor); error != 0) {
    return error;
  }
  const int yes = 1;
  if (setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes) != 0)
    return uv_translate_sys_error(errno);
  return 0;
}
constexpr Micros kAdmitAgain = std::chrono::milliseconds(20);
constexpr Micros kSweepEvery = std::chrono::milliseconds(100);

}  // namespace

std::string_view NameOf(ClientEnd end) {
  switch (end) {
    case ClientEnd::kLeft: return "left";
    case ClientEnd::kBroke: return "broke";
    case ClientEnd::kSilent: return "silent";
    case ClientEnd::kQuiet: return "quiet";
    case ClientEnd::kUntaken: return "untaken";
    case ClientEnd::kTurnedAway: return "turned-away";
    case ClientEnd::kGaveWay: return "gave-way";
    case ClientEnd::kStopping: return "stopping";
  }
  return "?";
}

RespServer::RespServer(Loop& loop, Handler& handler, Limits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      bury_(loop, [this] { buried_.clear(); }),
      admit_(loop, [this] { Admit(); }),
      sweep_(loop, [this] { Sweep(); }) {
  sweep_.Start(kSweepEvery);
}

RespServer::~RespServer() { StopListening(); }

int RespServer::Listen(const std::string& address) {
  sockaddr_storage at{};
  if (!ParseAddress(address, at)) return UV_EINVAL;
  listener_ = new uv_tcp_t{};
  uv_tcp_init_ex(loop_.raw(), listener_, at.ss_family);
  listener_->data = this;
  int error = ShareThePort(*listener_);
  if (error == 0) error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&at), 0);
  if (error == 0) {
    error =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog, [](uv_stream_t* stream, int status) {
          auto* self = static_cast<RespServer*>(stream->data);
          if (status == 0) {
            self->waiting_ = true;
            self->Admit();
          }
        });
  }
  if (error != 0) StopListening();
  return error;
}

std::string RespServer::address() const { return BoundAddress(listener_); }

// Connections that the system has made and the loop has not seen yet would be reset with the listener, with a
// client's request under way on them.
void RespServer::StopListening() {
  if (listener_ == nullptr) return;
  auto* listener = std::exchange(listener_, nullptr);
  if (std::exchange(waiting_, false)) {
    auto connection = std::make_unique<Connection>(*this, ++last_connection_);
    const int error = connection->Begin(reinterpret_cast<uv_stream_t*>(listener));
    Take(std::move(connection), error);
  }
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(listener), &descriptor) == 0) {
    for (int client = -1;
         (client = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      auto connection = std::make_unique<Connection>(*this, ++last_connection_);
      const int error = connection->Begin(client);
      Take(std::move(connection), error);
    }
  }
  uv_close(reinterpret_cast<uv_handle_t*>(listener),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

// libuv listens no further until the waiting client is accepted, so a full house costs no spinning.
void RespServer::Admit() {
  if (!waiting_ || listener_ == nullptr) return;
  if (connections_.size() >= limits_.connections && !MakeRoom()) return admit_.Start(kAdmitAgain);
  waiting_ = false;
  auto connection = std::make_unique<Connection>(*this, ++last_connection_);
  const int error = connection->Begin(reinterpret_cast<uv_stream_t*>(listener_));
  Take(std::move(connection), error);
}

void RespServer::Take(std::unique_ptr<Connection> connection, int error) {
  if (error == 0) {
    const std::uint64_t id = connection->id();
    connections_.emplace(id, std::move(connection));
  } else {
    buried_.push_back(std::move(connection));
    bury_.Start(Micros(0));
  }
}

// Closes who gives way most readily, the longest quiet of these, at once: its descriptor is needed before
// this pass of the loop is over. False where nobody does.
bool RespServer::MakeRoom() {
  const Micros now = loop_.Now();
  std::set<std::uint64_t> busy;  // looked as if they gave way, but have sent something
  while (true) {
    auto best = connections_.end();
    std::pair<int, Micros> best_rank;
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const std::optional<int> way = it->second->GivesWay(now);
      if (!way || busy.contains(it->first)) continue;
      const std::pair rank(*way, it->second->quiet_since());
      if (best == connections_.end() || rank < best_rank) best = it, best_rank = rank;
    }
    if (best == connections_.end()) return false;
    const std::uint64_t id = best->first;
    if (best_rank.first > 0 && best->second->unread()) {
      busy.insert(id);
      continue;
    }
    best->second->Bury();
    const std::uint64_t commands = best->second->commands();
    const Micros lasted = now - best->second->since();
    connections_.erase(best);
    handler_.OnClientGone(id, ClientEnd::kGaveWay, commands, lasted);
    return true;
  }
}

void RespServer::Sweep() {
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> all;
  all.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) all.push_back(id);
  for (std::uint64_t id : all) {
    const bool room_wanted = 4 * connections_.size() > limits_.connections;
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->Sweep(now, room_wanted);
  }
  sweep_.Start(kSweepEvery);
}

void RespServer::Reply(std::uint64_t connection, std::uint64_t command, std::string line) {
  if (const auto it = connections_.find(connection); it != connections_.end()) {
    it->second->Reply(command, std::move(line));
  }
}

bool RespServer::Gone(std::uint64_t connection) const {
  const auto it = connections_.find(connection);
  return it == connections_.end() || it->second->Gone();
}

bool RespServer::CloseQuiet(bool all) {
  departing_ = true;
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->Quiet() && (all || connection->asked())) quiet.push_back(id);
  }
  for (std::uint64_t id : quiet) connections_.at(id)->Depart();
  return connections_.empty();
}

void RespServer::Drop(std::uint64_t connection, ClientEnd end) {
  auto node = connections_.extract(connection);
  if (node.empty()) return;
  node.mapped()->Bury();
  buried_.push_back(std::move(node.mapped()));
  bury_.Start(Micros(0));
  const Connection& gone = *buried_.back();
  handler_.OnClientGone(connection, end, gone.commands(), loop_.Now() - gone.since());
  if (waiting_) admit_.Start(Micros(0));
}

}  // namespace indigosaddle::net
