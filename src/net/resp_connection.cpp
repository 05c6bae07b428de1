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

void RespServer::Connection::Reply(std::uint64_t command, std::string line) {
  const std::uint64_t first = last_command_ - replies_.size() + 1;
  if (command < first || command > last_command_) return;
  SetReply(replies_[command - first], std::move(line));
  Flush();
}

void RespServer::Connection::SetReply(PendingReply& pending, std::string line) {
  executing_bytes_ -= std::exchange(pending.command_bytes, 0);
  reply_bytes_ += line.size();
  pending.line = std::move(line);
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

void RespServer::Connection::OnDrained() {
  if (detached_) return;
  UpdateHeldBytes();
  if (lingering_) return;
  if (closing_) return Flush();
  ProcessBacklog();
}

void RespServer::Connection::ProcessBacklog() {
  if (executing_backlog_) return;
  executing_backlog_ = true;
  ExecuteBacklog();
  executing_backlog_ = false;
  if (detached_) return;
  UpdateHeldBytes();
  server_.LimitMemory();
  if (closing_) return;
  if (PassIsOver()) server_.ResumeLater();
  StartOrStopReading();
  Flush();
}

void RespServer::Connection::ExecuteBacklog() {
  std::string_view rest = backlog_;
  while (!rest.empty() && !MustPause()) {
    const RespReader::Status status = reader_.Next(rest);
    if (status == RespReader::Status::kNeedsMore) break;
    if (status == RespReader::Status::kMalformed)
      return CloseAfterReply(fmt::format("-ERR {}\r\n", reader_.error()), ClientCloseReason::kErrorReply);
    CountCommand();
    replies_.emplace_back();
    server_.handler_.Did(Action::kReadCommand);
    Execute(reader_.TakeCommand());
    if (detached_) return;
    command_started_at_ = server_.loop_.Now();
    UpdateHeldBytes();
  }
  backlog_.erase(0, backlog_.size() - rest.size());
  if (backlog_.empty()) backlog_.shrink_to_fit();
}

void RespServer::Connection::DropInput() {
  backlog_ = {};
  reader_.Close();
  UpdateHeldBytes();
}

void RespServer::Connection::UpdateHeldBytes() {
  const ClientBytes now{HeapBytes(backlog_) + reader_.held_bytes(), executing_bytes_,
                        reply_bytes_ + stream_.unwritten()};
  server_.memory_.Replace(held_, now);
  held_ = now;
}

void RespServer::Connection::Execute(const std::vector<std::string>& command) {
  const auto answer = [this](std::string line) { SetReply(replies_.back(), std::move(line)); };
  if (resp::EqualsIgnoringCase(command[0], "PING")) {
    return answer(!server_.ready_       ? "-ERR draining\r\n"
                  : command.size() > 2  ? "-ERR PING takes at most one word\r\n"
                  : command.size() == 2 ? fmt::format("${}\r\n{}\r\n", command[1].size(), command[1])
                                        : "+PONG\r\n");
  }
  if (!resp::EqualsIgnoringCase(command[0], "ENQUEUE")) return answer("-ERR unknown command\r\n");
  Enqueue enqueue;
  if (const std::string error = ParseEnqueue(command, enqueue); !error.empty())
    return answer("-ERR " + error + "\r\n");
  enqueue.received_at = command_started_at_;
  replies_.back().command_bytes = resp::kCommandOverheadBytes;
  for (const std::string& part : command) replies_.back().command_bytes += HeapBytes(part);
  executing_bytes_ += replies_.back().command_bytes;
  server_.handler_.OnEnqueue(id_, last_command_, std::move(enqueue));
}

bool RespServer::Connection::PassIsOver() const {
  return !server_.disconnecting_ && pass_ == server_.pass_ && commands_in_pass_ >= resp::kMaxCommandsPerPass;
}

void RespServer::Connection::CountCommand() {
  ++last_command_;
  if (std::exchange(pass_, server_.pass_) != server_.pass_) commands_in_pass_ = 0;
  ++commands_in_pass_;
}

bool RespServer::Connection::MustPause() const {
  return closing_ || PassIsOver() || stream_.unwritten() > resp::kMaxUnwrittenBytes ||
         replies_.size() > resp::kMaxPendingReplies || server_.memory_.TooMuchExecuting() ||
         (server_.memory_.TooManyReplies() && stream_.unwritten() > 0);
}

// Reading stops while it must pause: the client's send buffer fills up and slows it down.
void RespServer::Connection::StartOrStopReading() {
  stream_.LimitReads(server_.memory_.InputIsScarce() ? resp::kMaxBytesPerScarceRead : resp::kMaxBytesPerRead);
  const bool should_read = !MustPause() && !input_ended_;
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
  while (!replies_.empty() && replies_.front().line) {
    const std::string& line = *replies_.front().line;
    last_reply_was_error_ = line.starts_with("-ERR");
    reply_bytes_ -= line.size();
    text += line;
    replies_.pop_front();
  }
  last_activity_at_ = server_.loop_.Now();
  const bool nothing_to_write = text.empty();
  const bool broken = !nothing_to_write && stream_.Write(std::move(text)) != 0;
  UpdateHeldBytes();
  if (broken) return server_.CloseConnection(id_, ClientCloseReason::kConnectionBroken);
  if (input_ended_ && NothingPending()) return server_.CloseConnection(id_, ClientCloseReason::kClientClosed);
  if (closing_ && !lingering_ && replies_.empty() && stream_.unwritten() == 0) return Linger(linger_reason_);
  if (server_.disconnecting_ && !closing_ && !nothing_to_write && Idle()) return Disconnect();
  if (!closing_ && !reading_ && !MustPause()) PauseOrResume();
}

void RespServer::Connection::PauseOrResume() {
  if (closing_ || executing_backlog_) return;
  StartOrStopReading();
  if (!MustPause() && !backlog_.empty()) ProcessBacklog();
}

}  // namespace indigosaddle::net
