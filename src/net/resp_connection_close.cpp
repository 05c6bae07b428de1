// How a client's connection ends: by the client, for its time or its memory, or as the node stops.
#include <fmt/format.h>

#include <utility>

#include "net/resp_connection.h"

namespace indigosaddle::net {

std::string_view NameOf(ClientCloseReason reason) {
  switch (reason) {
    case ClientCloseReason::kClientClosed: return "left";
    case ClientCloseReason::kConnectionBroken: return "broke";
    case ClientCloseReason::kNoCommand: return "silent";
    case ClientCloseReason::kIdle: return "quiet";
    case ClientCloseReason::kRepliesUnread: return "untaken";
    case ClientCloseReason::kErrorReply: return "turned-away";
    case ClientCloseReason::kEvicted: return "gave-way";
    case ClientCloseReason::kStopping: return "stopping";
    case ClientCloseReason::kRejected: return "refused";
  }
  return "?";
}

void RespServer::Connection::Detach() {
  detached_ = true;
  stream_.StopReading();
  DropInput();
  replies_.clear();
  executing_bytes_ = reply_bytes_ = 0;
  server_.memory_.Replace(held_, {});
  held_ = {};
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
  if (!close_all && !backlog_.empty()) return;  // commands that were read are answered first
  const bool read_no_more = mode != RejectMode::kReadPending && has_sent_command();
  if (!close_all && !read_no_more && has_unread()) return;
  if (!close_all && JustAccepted()) return;
  if (!reader_.between_commands()) return CloseAfterReply("-BUSY\r\n", ClientCloseReason::kRejected);
  closing_ = true;
  linger_reason_ = ClientCloseReason::kStopping;
  stream_.StopReading();
  DropInput();
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

// The client may only have ended its sending: what it has sent is answered before the connection is closed.
void RespServer::Connection::OnEnd(int error) {
  if (error == UV_EOF && !lingering_ && !NothingPending()) {
    input_ended_ = true;
    return;
  }
  const ClientCloseReason reason =
      error == UV_EOF ? ClientCloseReason::kClientClosed : ClientCloseReason::kConnectionBroken;
  server_.CloseConnection(id_, lingering_ ? linger_reason_ : reason);
}

void RespServer::Connection::CloseForMemory() {
  CloseAfterReply("-ERR too much is being sent at once\r\n", ClientCloseReason::kErrorReply);
}

void RespServer::Connection::CloseAfterReply(std::string last_reply, ClientCloseReason reason) {
  closing_ = true;
  linger_reason_ = reason;
  stream_.StopReading();
  DropInput();
  ++last_command_;
  SetReply(replies_.emplace_back(), std::move(last_reply));
  Flush();
}

void RespServer::Connection::Linger(ClientCloseReason reason) {
  lingering_ = true;
  linger_reason_ = reason;
  last_activity_at_ = server_.loop_.Now();
  if (stream_.HalfClose() != 0 || stream_.StartReading() != 0)
    server_.CloseConnection(id_, ClientCloseReason::kConnectionBroken);
}

}  // namespace indigosaddle::net
