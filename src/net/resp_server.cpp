#include "net/resp_server.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <deque>
#include <optional>
#include <set>
#include <utility>

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
constexpr std::size_t kMostUnwritten =
    std::size_t{64} * 1024;                   // of replies: a slow reader is read no further
constexpr std::size_t kMostUnanswered = 256;  // commands of one connection
constexpr Micros kAdmitAgain = std::chrono::milliseconds(20);

// Every state of a connection has its end (docs/architecture.md). Clients wait 400 ms for an answer.
constexpr Micros kSweepEvery = std::chrono::milliseconds(100);
constexpr Micros kSilent = std::chrono::seconds(2);  // since it came, with no byte
// Between commands, where a quarter of the places is taken: clients that ask once and stay hold a share that
// others wait for.
constexpr Micros kQuiet = std::chrono::milliseconds(250);
constexpr Micros kStalled = std::chrono::milliseconds(1500);  // within a command, with no further byte
constexpr Micros kCommand = std::chrono::milliseconds(2500);  // of one command, from its first byte
constexpr Micros kUntaken = std::chrono::seconds(3);          // replies that the client does not read
constexpr Micros kLinger = std::chrono::milliseconds(500);    // after its last reply, for the client to leave
constexpr std::size_t kMostDiscarded = std::size_t{1024} * 1024;  // bytes that come meanwhile
constexpr Micros kGivesWay = std::chrono::milliseconds(250);      // a stalled command, to a new client
constexpr Micros kNewcomer = std::chrono::milliseconds(100);      // who came just now is about to ask

bool Is(const std::string& word, std::string_view upper) {
  return std::equal(word.begin(), word.end(), upper.begin(), upper.end(),
                    [](unsigned char a, char b) { return std::toupper(a) == b; });
}

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

class RespServer::Connection : public Stream::Listener {
 public:
  Connection(RespServer& server, std::uint64_t id)
      : server_(server),
        id_(id),
        stream_(server.loop_, *this),
        since_(server.loop_.Now()),
        quiet_since_(since_) {}

  int Begin(uv_stream_t* listener) {
    const int error = stream_.Accept(listener);
    return error != 0 ? error : stream_.StartReading();
  }
  int Begin(uv_os_sock_t descriptor) {
    const int error = stream_.Open(descriptor);
    return error != 0 ? error : stream_.StartReading();
  }
  std::uint64_t id() const { return id_; }

  void Bury() {  // what still comes before it is destroyed counts for nothing
    buried_ = true;
    stream_.StopReading();
    CountUnread(0);
  }

  bool Gone() const { return stream_.ended_unread(); }

  Micros quiet_since() const { return quiet_since_; }
  bool asked() const { return last_command_ > 0; }
  std::uint64_t commands() const { return last_command_; }
  Micros since() const { return since_; }
  bool Quiet() const { return reader_.between_commands() && OwesNothing() && stream_.unread() == 0; }

  // How readily it gives way to a new client, most readily first; none: not at all.
  std::optional<int> GivesWay(Micros now) const {
    if (lingering_) return 0;
    if (!OwesNothing()) return std::nullopt;
    const bool moving = now - quiet_since_ < kGivesWay;
    if (!reader_.between_commands()) return moving ? std::nullopt : std::optional(3);
    if (asked()) return turned_away_ ? 1 : 4;
    return now - quiet_since_ < kNewcomer ? 5 : 2;
  }
  bool unread() const { return stream_.unread() > 0; }

  // Ends what has lasted too long in its state. May destroy nothing but itself.
  void Sweep(Micros now, bool room_wanted) {
    const Micros quiet = now - quiet_since_;
    if (lingering_) {
      if (quiet >= kLinger) server_.Drop(id_, ClientEnd::kTurnedAway);
    } else if (stream_.unwritten() > 0) {
      if (quiet >= kUntaken) server_.Drop(id_, ClientEnd::kUntaken);
    } else if (!OwesNothing() || leaving_) {
      return;  // the node's own duty
    } else if (!reader_.between_commands()) {
      const bool late = quiet >= kStalled || now - command_since_ >= kCommand;
      if (late && !unread()) Leave("the command did not end in time");
    } else if (quiet >= (asked() ? kQuiet : kSilent) && (room_wanted || !asked()) && !unread()) {
      server_.Drop(id_, asked() ? ClientEnd::kQuiet : ClientEnd::kSilent);
    }
  }

  void Reply(std::uint64_t command, std::string line) {
    const std::uint64_t first = last_command_ - replies_.size() + 1;
    if (command < first || command > last_command_) return;
    replies_[command - first] = std::move(line);
    Flush();
  }

 private:
  void OnBytes(std::string_view bytes) override {
    if (buried_) return;
    if (lingering_) {  // so that the last reply is not lost to a reset
      discarded_ += bytes.size();
      if (discarded_ > kMostDiscarded) stream_.StopReading();
      return;
    }
    if (leaving_) return;
    quiet_since_ = server_.loop_.Now();
    if (reader_.between_commands() && backlog_.empty()) command_since_ = quiet_since_;
    backlog_.append(bytes);
    Follow();
  }

  void OnEnd(int error) override {
    const ClientEnd end = error == UV_EOF ? ClientEnd::kLeft : ClientEnd::kBroke;
    server_.Drop(id_, lingering_ ? ClientEnd::kTurnedAway : end);
  }

  void OnDrained() override {
    if (buried_ || lingering_) return;
    if (leaving_) return Flush();
    Follow();
  }

  // Reads commands while their replies find room.
  void Follow() {
    std::string_view rest = backlog_;
    while (!rest.empty() && !Congested()) {
      const RespReader::Status status = reader_.Next(rest);
      if (status == RespReader::Status::kNeedsMore) break;
      if (status == RespReader::Status::kBroken) {
        backlog_.clear();
        return Leave(reader_.trouble());
      }
      ++last_command_;
      replies_.emplace_back();
      Run(reader_.command());
      command_since_ = server_.loop_.Now();
    }
    backlog_.erase(0, backlog_.size() - rest.size());
    if (backlog_.empty()) backlog_.shrink_to_fit();
    CountUnread(backlog_.size() + reader_.held());
    if (server_.unread_bytes_ > server_.limits_.unread_bytes && unread_ > 0) {
      return Leave("too much is being sent at once");
    }
    Pace();
    Flush();
  }

  // After what was asked before is answered, this is its last reply.
  void Leave(std::string_view trouble) {
    leaving_ = true;
    stream_.StopReading();
    CountUnread(0);
    ++last_command_;
    replies_.emplace_back(fmt::format("-ERR {}\r\n", trouble));
    Flush();
  }

  void Linger() {
    lingering_ = true;
    quiet_since_ = server_.loop_.Now();
    if (stream_.EndSending() != 0 || stream_.StartReading() != 0) server_.Drop(id_, ClientEnd::kBroke);
  }

  void CountUnread(std::size_t bytes) {
    server_.unread_bytes_ += bytes;
    server_.unread_bytes_ -= std::exchange(unread_, bytes);
  }

  void Run(const std::vector<std::string>& command) {
    if (Is(command[0], "PING")) {
      replies_.back() = !server_.ready_       ? "-ERR draining\r\n"
                        : command.size() > 2  ? "-ERR PING takes at most one word\r\n"
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

  bool OwesNothing() const { return replies_.empty() && backlog_.empty() && stream_.unwritten() == 0; }

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
      turned_away_ = replies_.front()->starts_with("-ERR");
      out += *replies_.front();
      replies_.pop_front();
    }
    quiet_since_ = server_.loop_.Now();
    if (!out.empty() && stream_.Write(std::move(out)) != 0) return server_.Drop(id_, ClientEnd::kBroke);
    if (leaving_ && !lingering_ && replies_.empty() && stream_.unwritten() == 0) return Linger();
    if (!leaving_ && !reading_ && !Congested()) Resume();
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
  const Micros since_;                     // accepted
  Micros quiet_since_, command_since_{0};  // latest byte or reply; first byte of the present command
  std::size_t unread_ = 0, discarded_ = 0;
  bool turned_away_ = false;  // by the latest reply: an error
  bool reading_ = true, leaving_ = false, lingering_ = false, buried_ = false;
};

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
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->Quiet() && (all || connection->asked())) quiet.push_back(id);
  }
  for (std::uint64_t id : quiet) Drop(id, ClientEnd::kStopping);
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
