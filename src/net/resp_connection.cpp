#include "net/resp_connection.h"

#include <fmt/format.h>

#include <utility>

namespace indigosaddle::net {

RespServer::Connection::Connection(RespServer& server, std::uint64_t id)
    : server_(server),
      id_(id),
      stream_(server.loop_, *this),
      since_(server.loop_.Now()),
      quiet_since_(since_) {}

int RespServer::Connection::Begin(uv_os_sock_t descriptor) {
  const int error = stream_.Open(descriptor);
  return error != 0 ? error : stream_.StartReading();
}

void RespServer::Connection::Bury() {
  buried_ = true;
  stream_.StopReading();
  CountUnread(0);
}

bool RespServer::Connection::Quiet() const {
  return !lingering_ && reader_.between_commands() && OwesNothing() && stream_.unread() == 0;
}

void RespServer::Connection::Depart(ClientEnd end) {
  leaving_ = true;
  stream_.StopReading();
  Linger(end);
}

bool RespServer::Connection::Newcomer() const {
  return !asked() && reader_.between_commands() && server_.loop_.Now() - since_ < resp::kFirstCommand;
}

void RespServer::Connection::Refuse(RefusalPace pace) {
  if (lingering_) return;
  const bool last = pace == RefusalPace::kLastCall;
  if (leaving_) {  // its last reply is not taken
    if (last) Linger(linger_end_);
    return;
  }
  const bool heard = pace != RefusalPace::kReadFirst && asked();
  if (!last && !heard && unread()) return;
  if (!last && Newcomer()) return;
  if (!reader_.between_commands()) return Leave("-BUSY\r\n", ClientEnd::kRefused);
  leaving_ = true;
  linger_end_ = ClientEnd::kStopping;
  stream_.StopReading();
  Flush();
}

std::optional<int> RespServer::Connection::GivesWay(Micros now) const {
  if (lingering_) return 0;
  if (!OwesNothing()) return std::nullopt;
  const bool moving = now - quiet_since_ < resp::kGivesWay;
  if (!reader_.between_commands()) return moving ? std::nullopt : std::optional(3);
  if (asked()) return turned_away_ ? 1 : 4;
  return now - quiet_since_ < resp::kNewcomer ? 5 : 2;
}

void RespServer::Connection::Sweep(Micros now, bool room_wanted) {
  const Micros quiet = now - quiet_since_;
  if (lingering_) {
    if (quiet < (linger_end_ == ClientEnd::kTurnedAway ? resp::kLinger : resp::kDepart)) return;
    DiscardInput();  // a node that was held up has not read it yet
    server_.Drop(id_, linger_end_);
  } else if (stream_.unwritten() > 0) {
    if (quiet >= resp::kUntaken) server_.Drop(id_, ClientEnd::kUntaken);
  } else if (!OwesNothing() || leaving_) {
    return;  // the node's own duty
  } else if (!reader_.between_commands()) {
    const bool late = quiet >= resp::kStalled || now - command_since_ >= resp::kCommand;
    if (late && !unread()) Leave("-ERR the command did not end in time\r\n", ClientEnd::kTurnedAway);
  } else if (quiet >= (asked() ? resp::kQuiet : resp::kSilent) && (room_wanted || !asked()) && !unread()) {
    Depart(asked() ? ClientEnd::kQuiet : ClientEnd::kSilent);
  }
}

void RespServer::Connection::Reply(std::uint64_t command, std::string line) {
  const std::uint64_t first = last_command_ - replies_.size() + 1;
  if (command < first || command > last_command_) return;
  replies_[command - first] = std::move(line);
  Flush();
}

void RespServer::Connection::OnBytes(std::string_view bytes) {
  if (buried_) return;
  if (lingering_) {  // so that the last reply is not lost to a reset
    discarded_ += bytes.size();
    if (discarded_ > resp::kMostDiscarded) stream_.StopReading();
    return;
  }
  if (leaving_ || !server_.handler_.May(Action::kReadCommand)) return;
  quiet_since_ = server_.loop_.Now();
  if (reader_.between_commands() && backlog_.empty()) command_since_ = quiet_since_;
  backlog_.append(bytes);
  Follow();
}

void RespServer::Connection::OnEnd(int error) {
  const ClientEnd end = error == UV_EOF ? ClientEnd::kLeft : ClientEnd::kBroke;
  server_.Drop(id_, lingering_ ? linger_end_ : end);
}

void RespServer::Connection::OnDrained() {
  if (buried_ || lingering_) return;
  if (leaving_) return Flush();
  Follow();
}

// Reads commands while their replies find room.
void RespServer::Connection::Follow() {
  std::string_view rest = backlog_;
  while (!rest.empty() && !Congested()) {
    const RespReader::Status status = reader_.Next(rest);
    if (status == RespReader::Status::kNeedsMore) break;
    if (status == RespReader::Status::kBroken) {
      backlog_.clear();
      return Leave(fmt::format("-ERR {}\r\n", reader_.trouble()), ClientEnd::kTurnedAway);
    }
    ++last_command_;
    replies_.emplace_back();
    server_.handler_.Did(Action::kReadCommand);
    Run(reader_.command());
    command_since_ = server_.loop_.Now();
  }
  backlog_.erase(0, backlog_.size() - rest.size());
  if (backlog_.empty()) backlog_.shrink_to_fit();
  CountUnread(backlog_.size() + reader_.held());
  if (server_.unread_bytes_ > server_.limits_.unread_bytes && unread_ > 0) {
    return Leave("-ERR too much is being sent at once\r\n", ClientEnd::kTurnedAway);
  }
  Pace();
  Flush();
}

// After what was asked before is answered, this is its last reply.
void RespServer::Connection::Leave(std::string last_reply, ClientEnd end) {
  leaving_ = true;
  linger_end_ = end;
  stream_.StopReading();
  CountUnread(0);
  ++last_command_;
  replies_.emplace_back(std::move(last_reply));
  Flush();
}

void RespServer::Connection::Linger(ClientEnd end) {
  lingering_ = true;
  linger_end_ = end;
  quiet_since_ = server_.loop_.Now();
  if (stream_.HalfClose() != 0 || stream_.StartReading() != 0) server_.Drop(id_, ClientEnd::kBroke);
}

void RespServer::Connection::CountUnread(std::size_t bytes) {
  server_.unread_bytes_ += bytes;
  server_.unread_bytes_ -= std::exchange(unread_, bytes);
}

void RespServer::Connection::Run(const std::vector<std::string>& command) {
  if (resp::Is(command[0], "PING")) {
    replies_.back() = !server_.ready_       ? "-ERR draining\r\n"
                      : command.size() > 2  ? "-ERR PING takes at most one word\r\n"
                      : command.size() == 2 ? fmt::format("${}\r\n{}\r\n", command[1].size(), command[1])
                                            : "+PONG\r\n";
    return;
  }
  if (!resp::Is(command[0], "ENQUEUE")) {
    replies_.back() = "-ERR unknown command\r\n";
    return;
  }
  Enqueue enqueue;
  if (const std::string trouble = ParseEnqueue(command, enqueue); !trouble.empty()) {
    replies_.back() = "-ERR " + trouble + "\r\n";
    return;
  }
  enqueue.begun = command_since_;
  server_.handler_.OnEnqueue(id_, last_command_, std::move(enqueue));
}

bool RespServer::Connection::Congested() const {
  return leaving_ || stream_.unwritten() > resp::kMostUnwritten || replies_.size() > resp::kMostUnanswered;
}

// Reading stops while commands wait here: the sender's own buffers then hold it back.
void RespServer::Connection::Pace() {
  const bool want = !leaving_ && !Congested();
  if (want == reading_) return;
  reading_ = want;
  if (want) {
    stream_.StartReading();
  } else {
    stream_.StopReading();
  }
}

void RespServer::Connection::Flush() {
  std::string out;
  while (!replies_.empty() && replies_.front()) {
    turned_away_ = replies_.front()->starts_with("-ERR");
    out += *replies_.front();
    replies_.pop_front();
  }
  quiet_since_ = server_.loop_.Now();
  const bool out_was_empty = out.empty();
  if (!out.empty() && stream_.Write(std::move(out)) != 0) return server_.Drop(id_, ClientEnd::kBroke);
  if (leaving_ && !lingering_ && replies_.empty() && stream_.unwritten() == 0) return Linger(linger_end_);
  if (server_.departing_ && !leaving_ && !out_was_empty && Quiet()) return Depart();
  if (!leaving_ && !reading_ && !Congested()) Resume();
}

void RespServer::Connection::Resume() {
  Pace();
  if (!backlog_.empty()) Follow();
}

}  // namespace indigosaddle::net
