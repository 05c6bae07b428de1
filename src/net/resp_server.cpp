#include "net/resp_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <deque>
#include <optional>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 511;
constexpr std::size_t kMostUnwritten =
    std::size_t{64} * 1024;                   // of replies: a slow reader is read no further
constexpr std::size_t kMostUnanswered = 256;  // commands of one connection
constexpr Micros kAdmitAgain = std::chrono::milliseconds(20);
constexpr Micros kUnfinished =
    std::chrono::seconds(5);  // a command with no byte for so long gives way to a new client

bool Is(const std::string& word, std::string_view upper) {
  return std::equal(word.begin(), word.end(), upper.begin(), upper.end(),
                    [](unsigned char a, char b) { return std::toupper(a) == b; });
}

}  // namespace

class RespServer::Connection : public Stream::Listener {
 public:
  Connection(RespServer& server, std::uint64_t id)
      : server_(server), id_(id), stream_(server.loop_, *this), quiet_since_(server.loop_.Now()) {}

  int Begin(uv_stream_t* listener) {
    const int error = stream_.Accept(listener);
    return error != 0 ? error : stream_.StartReading();
  }

  void Leave() {  // what still comes before it is destroyed counts for nothing
    leaving_ = true;
    stream_.StopReading();
  }

  bool Gone() const { return stream_.ended_unread(); }

  Micros quiet_since() const { return quiet_since_; }
  bool asked() const { return last_command_ > 0; }
  bool Quiet() const { return reader_.between_commands() && OwesNothing(); }
  bool GivesWay() const {
    return Quiet() || (OwesNothing() && server_.loop_.Now() - quiet_since_ >= kUnfinished);
  }

  void Reply(std::uint64_t command, std::string line) {
    const std::uint64_t first = last_command_ - replies_.size() + 1;
    if (command < first || command > last_command_) return;
    replies_[command - first] = std::move(line);
    Flush();
  }

 private:
  void OnBytes(std::string_view bytes) override {
    if (leaving_) return;
    quiet_since_ = server_.loop_.Now();
    backlog_.append(bytes);
    Follow();
  }

  void OnEnd(int) override { server_.Drop(id_); }

  void OnDrained() override {
    if (leaving_) return server_.Drop(id_);
    Follow();
    Pace();
  }

  // Reads commands while their replies find room.
  void Follow() {
    std::string_view rest = backlog_;
    while (!rest.empty() && !Congested()) {
      const RespReader::Status status = reader_.Next(rest);
      if (status == RespReader::Status::kNeedsMore) break;
      ++last_command_;
      replies_.emplace_back();
      if (status == RespReader::Status::kBroken) {
        rest = {};
        leaving_ = true;  // after what was asked before it is answered
        replies_.back() = "-ERR " + reader_.trouble() + "\r\n";
        break;
      }
      Run(reader_.command());
    }
    backlog_.erase(0, backlog_.size() - rest.size());
    Pace();
    Flush();
  }

  void Run(const std::vector<std::string>& command) {
    if (Is(command[0], "PING")) {
      replies_.back() = command.size() > 2    ? "-ERR PING takes at most one word\r\n"
                        : command.size() == 2 ? fmt::format("${}\r\n{}\r\n", command[1].size(), command[1])
                                              : "+PONG\r\n";
      return;
    }
    if (!Is(command[0], "ENQUEUE")) {
      replies_.back() = "-ERR unknown command\r\n";
      return;
    }
    Enqueue enqueue;
    if (const std::string trouble = ParseEnqueue(command, enqueue); !trouble.empty()) {
      replies_.back() = "-ERR " + trouble + "\r\n";
      return;
    }
    server_.handler_.OnEnqueue(id_, last_command_, std::move(enqueue));
  }

  bool OwesNothing() const {
    return replies_.empty() && backlog_.empty() && stream_.unwritten() == 0 && stream_.unread() == 0;
  }

  bool Congested() const {
    return leaving_ || stream_.unwritten() > kMostUnwritten || replies_.size() > kMostUnanswered;
  }

  // Reading stops while commands wait here: the sender's own buffers then hold it back.
  void Pace() {
    const bool want = !leaving_ && !Congested();
    if (want == reading_) return;
    reading_ = want;
    if (want) {
      stream_.StartReading();
    } else {
      stream_.StopReading();
    }
  }

  void Flush() {
    std::string out;
    while (!replies_.empty() && replies_.front()) {
      out += *replies_.front();
      replies_.pop_front();
    }
    quiet_since_ = server_.loop_.Now();
    if (!out.empty() && stream_.Write(std::move(out)) != 0) return server_.Drop(id_);
    if (leaving_ && replies_.empty() && stream_.unwritten() == 0) return server_.Drop(id_);
    if (!reading_ && !Congested()) Resume();
  }

  void Resume() {
    Pace();
    if (!backlog_.empty()) Follow();
  }

  RespServer& server_;
  const std::uint64_t id_;
  Stream stream_;
  RespReader reader_;
  std::string backlog_;                             // read, not yet followed
  std::deque<std::optional<std::string>> replies_;  // in the order asked; the last is for last_command_
  std::uint64_t last_command_ = 0;
  Micros quiet_since_;
  bool reading_ = true, leaving_ = false;
};

RespServer::RespServer(Loop& loop, Handler& handler, std::size_t most_connections)
    : loop_(loop),
      handler_(handler),
      most_connections_(most_connections),
      bury_(loop, [this] { buried_.clear(); }),
      admit_(loop, [this] { Admit(); }) {}

RespServer::~RespServer() { StopListening(); }

int RespServer::Listen(const std::string& address) {
  sockaddr_storage at{};
  if (!ParseAddress(address, at)) return UV_EINVAL;
  listener_ = new uv_tcp_t{};
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
  int error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&at), 0);
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

std::string RespServer::address() const {
  sockaddr_storage at{};
  int size = sizeof at;
  char text[INET6_ADDRSTRLEN] = {};
  if (listener_ == nullptr || uv_tcp_getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    return {};
  if (at.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(at);
    uv_ip6_name(&v6, text, sizeof text);
    return fmt::format("[{}]:{}", text, ntohs(v6.sin6_port));
  }
  const auto& v4 = reinterpret_cast<const sockaddr_in&>(at);
  uv_ip4_name(&v4, text, sizeof text);
  return fmt::format("{}:{}", text, ntohs(v4.sin_port));
}

void RespServer::StopListening() {
  if (listener_ == nullptr) return;
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

// libuv listens no further until the waiting client is accepted, so a full house costs no spinning.
void RespServer::Admit() {
  if (!waiting_ || listener_ == nullptr) return;
  if (connections_.size() >= most_connections_) {
    auto oldest = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      if (!it->second->GivesWay()) continue;
      if (oldest == connections_.end() || it->second->quiet_since() < oldest->second->quiet_since())
        oldest = it;
    }
    if (oldest == connections_.end()) return admit_.Start(kAdmitAgain);
    // At once: its descriptor is needed before this pass of the loop is over.
    const std::uint64_t gone = oldest->first;
    connections_.erase(oldest);
    handler_.OnClientGone(gone);
  }
  waiting_ = false;
  const std::uint64_t id = ++last_connection_;
  auto connection = std::make_unique<Connection>(*this, id);
  if (connection->Begin(reinterpret_cast<uv_stream_t*>(listener_)) != 0) {
    buried_.push_back(std::move(connection));
    return bury_.Start(Micros(0));
  }
  connections_.emplace(id, std::move(connection));
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
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->Quiet() && (all || connection->asked())) quiet.push_back(id);
  }
  for (std::uint64_t id : quiet) Drop(id);
  return connections_.empty();
}

void RespServer::Drop(std::uint64_t connection) {
  auto node = connections_.extract(connection);
  if (node.empty()) return;
  node.mapped()->Leave();
  buried_.push_back(std::move(node.mapped()));
  bury_.Start(Micros(0));
  handler_.OnClientGone(connection);
  if (waiting_) admit_.Start(Micros(0));
}

}  // namespace indigosaddle::net
