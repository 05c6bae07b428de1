#include "net/resp_connection.h"

#include <fmt/format.h>

#include <utility>

namespace indigosaddle::net {

RespServer::Connection::Connection(RespServer& server, std::uint64_t id)
    : server_(server),
      id_(id),
      stream_(server.loop_, *this),
      accepted_at_(server.loop_.Now()),
      last_activity_at_(accepted_at_) {}

int RespServer::Connection::Begin(uv_os_sock_t descriptor) {
  const int error = stream_.Open(descriptor);
  return error != 0 ? error : stream_.StartReading();
}

void RespServer::Connection::Detach() {
  detached_ = true;
  stream_.StopReading();
  SetUnprocessedBytes(0);
}

bool RespServer::Connection::Idle() const {
  return !lingering_ && reader_.between_commands() && NothingPending() && stream_.unread() == 0;
}

void RespServer::Connection::Disconnect(ClientCloseReason reason) {
  closing_ = true;
  stream_.StopReading();
  Linger(reason);
}

bool RespServer::Connection::JustAccepted() const {
  return !has_sent_command() && reader_.between_commands() &&
         server_.loop_.Now() - accepted_at_ < resp::kFirstCommandGrace;
}

void RespServer::Connection::Reject(RejectMode mode) {
  if (lingering_) return;
  const bool close_all = mode == RejectMode::kCloseAll;
  if (closing_) {  // its last replies are not wholly written yet
    if (close_all) Linger(linger_reason_);
    return;
  }
  const bool read_no_more = mode != RejectMode::kReadPending && has_sent_command();
  if (!close_all && !read_no_more && has_unread()) return;
  if (!close_all && JustAccepted()) return;
  if (!reader_.between_commands()) return CloseAfterReply("-BUSY\r\n", ClientCloseReason::kRejected);
  closing_ = true;
  linger_reason_ = ClientCloseReason::kStopping;
  stream_.StopReading();
  Flush();
}

// 0: lingering. 1: idle after an error reply. 2: no command yet, though accepted a while ago. 3: stalled
// within a command. 4: idle after another reply. 5: just accepted.
std::optional<int> RespServer::Connection::EvictionRank(Micros now) const {
  if (lingering_) return 0;
  if (!NothingPending()) return std::nullopt;
  const bool active = now - last_activity_at_ < resp::kEvictStalledAfter;
  if (!reader_.between_commands()) return active ? std::nullopt : std::optional(3);
  if (has_sent_command()) return last_reply_was_error_ ? 1 : 4;
  return now - last_activity_at_ < resp::kNewClientGrace ? 5 : 2;
}

void RespServer::Connection::CloseIfOverdue(Micros now, bool slots_wanted) {
  const Micros inactive = now - last_activity_at_;
  if (lingering_) {
    if (inactive < (linger_reason_ == ClientCloseReason::kErrorReply ? resp::kErrorLingerTimeout
                                                                     : resp::kDisconnectLingerTimeout)) {
      return;
    }
    DiscardInput();  // after a stall, what has arrived is not read yet
    server_.CloseConnection(id_, linger_reason_);
  } else if (stream_.unwritten() > 0) {
    if (inactive >= resp::kWriteTimeout) server_.CloseConnection(id_, ClientCloseReason::kRepliesUnread);
  } else if (!NothingPending() || closing_) {
    return;  // the node still has to reply
  } else if (!reader_.between_commands()) {
    const bool late = inactive >= resp::kReadTimeout || now - command_started_at_ >= resp::kCommandTimeout;
    if (late && !has_unread())
      CloseAfterReply("-ERR the command did not end in time\r\n", ClientCloseReason::kErrorReply);
  } else if (inactive >= (has_sent_command() ? resp::kIdleTimeout : resp::kFirstByteTimeout) &&
             (slots_wanted || !has_sent_command()) && !has_unread()) {
    Disconnect(has_sent_command() ? ClientCloseReason::kIdle : ClientCloseReason::kNoCommand);
  }
}

void RespServer::Connection::Reply(std::uint64_t command, std::string line) {
  const std::uint64_t first = last_command_ - replies_.size() + 1;
  if (command < first || command > last_command_) return;
  replies_[command - first] = std::move(line);
  Flush();
}

void RespServer::Connection::OnBytes(std::string_view bytes) {
  if (detached_) return;
  if (lingering_) {  // dropped: with unread bytes a close would be a reset and lose the last reply
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > resp::kMaxDiscardedBytes) stream_.StopReading();
    return;
  }
  if (closing_ || !server_.handler_.May(Action::kReadCommand)) return;
  last_activity_at_ = server_.loop_.Now();
  if (reader_.between_commands() && backlog_.empty()) command_started_at_ = last_activity_at_;
  backlog_.append(bytes);
  ProcessBacklog();
}

void RespServer::Connection::OnEnd(int error) {
  const ClientCloseReason reason =
      error == UV_EOF ? ClientCloseReason::kClientClosed : ClientCloseReason::kConnectionBroken;
  server_.CloseConnection(id_, lingering_ ? linger_reason_ : reason);
}

void RespServer::Connection::OnDrained() {
  if (detached_ || lingering_) return;
  if (closing_) return Flush();
  ProcessBacklog();
}

void RespServer::Connection::ProcessBacklog() {
  std::string_view rest = backlog_;
  while (!rest.empty() && !RepliesAtLimit()) {
    const RespReader::Status status = reader_.Next(rest);
    if (status == RespReader::Status::kNeedsMore) break;
    if (status == RespReader::Status::kMalformed) {
      backlog_.clear();
      return CloseAfterReply(fmt::format("-ERR {}\r\n", reader_.error()), ClientCloseReason::kErrorReply);
    }
    ++last_command_;
    replies_.emplace_back();
    server_.handler_.Did(Action::kReadCommand);
    Execute(reader_.command());
    command_started_at_ = server_.loop_.Now();
  }
  backlog_.erase(0, backlog_.size() - rest.size());
  if (backlog_.empty()) backlog_.shrink_to_fit();
  SetUnprocessedBytes(backlog_.size() + reader_.buffered_bytes());
  if (server_.unprocessed_bytes_ > server_.limits_.unprocessed_bytes && unprocessed_bytes_ > 0) {
    return CloseAfterReply("-ERR too much is being sent at once\r\n", ClientCloseReason::kErrorReply);
  }
  StartOrStopReading();
  Flush();
}

void RespServer::Connection::CloseAfterReply(std::string last_reply, ClientCloseReason reason) {
  closing_ = true;
  linger_reason_ = reason;
  stream_.StopReading();
  SetUnprocessedBytes(0);
  ++last_command_;
  replies_.emplace_back(std::move(last_reply));
  Flush();
}

void RespServer::Connection::Linger(ClientCloseReason reason) {
  lingering_ = true;
  linger_reason_ = reason;
  last_activity_at_ = server_.loop_.Now();
  if (stream_.HalfClose() != 0 || stream_.StartReading() != 0)
    server_.CloseConnection(id_, ClientCloseReason::kConnectionBroken);
}

void RespServer::Connection::SetUnprocessedBytes(std::size_t bytes) {
  server_.unprocessed_bytes_ += bytes;
  server_.unprocessed_bytes_ -= std::exchange(unprocessed_bytes_, bytes);
}

void RespServer::Connection::Execute(const std::vector<std::string>& command) {
  if (resp::EqualsIgnoringCase(command[0], "PING")) {
    replies_.back() = !server_.ready_       ? "-ERR draining\r\n"
                      : command.size() > 2  ? "-ERR PING takes at most one word\r\n"
                      : command.size() == 2 ? fmt::format("${}\r\n{}\r\n", command[1].size(), command[1])
                                            : "+PONG\r\n";
    return;
  }
  if (!resp::EqualsIgnoringCase(command[0], "ENQUEUE")) {
    replies_.back() = "-ERR unknown command\r\n";
    return;
  }
  Enqueue enqueue;
  if (const std::string error = ParseEnqueue(command, enqueue); !error.empty()) {
    replies_.back() = "-ERR " + error + "\r\n";
    return;
  }
  enqueue.received_at = command_started_at_;
  server_.handler_.OnEnqueue(id_, last_command_, std::move(enqueue));
}

bool RespServer::Connection::RepliesAtLimit() const {
  return closing_ || stream_.unwritten() > resp::kMaxUnwrittenBytes ||
         replies_.size() > resp::kMaxPendingReplies;
}

// Reading stops while the replies are at their limit: the client's send buffer fills up and slows it down.
void RespServer::Connection::StartOrStopReading() {
  const bool should_read = !closing_ && !RepliesAtLimit();
  if (should_read == reading_) return;
  reading_ = should_read;
  if (should_read) {
    stream_.StartReading();
  } else {
    stream_.StopReading();
  }
}

void RespServer::Connection::Flush() {
  std::string text;
  while (!replies_.empty() && replies_.front()) {
    last_reply_was_error_ = replies_.front()->starts_with("-ERR");
    text += *replies_.front();
    replies_.pop_front();
  }
  last_activity_at_ = server_.loop_.Now();
  const bool nothing_to_write = text.empty();
  if (!text.empty() && stream_.Write(std::move(text)) != 0)
    return server_.CloseConnection(id_, ClientCloseReason::kConnectionBroken);
  if (closing_ && !lingering_ && replies_.empty() && stream_.unwritten() == 0) return Linger(linger_reason_);
  if (server_.disconnecting_ && !closing_ && !nothing_to_write && Idle()) return Disconnect();
  if (!closing_ && !reading_ && !RepliesAtLimit()) ResumeReading();
}

void RespServer::Connection::ResumeReading() {
  StartOrStopReading();
  if (!backlog_.empty()) ProcessBacklog();
}

}  // namespace indigosaddle::net
