// One connection of a client, a part of RespServer (resp_server.cpp): reads commands, keeps replies in order,
// and ends in one of the ways of ClientEnd. Every state has its end (docs/architecture.md).
#pragma once

#include <fmt/format.h>

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/resp_limits.h"
#include "net/resp_server.h"

namespace indigosaddle::net {
// One client's connection, from its first byte to its end.
class RespServer::Connection : public Stream::Listener {
 public:
  Connection(RespServer& server, std::uint64_t id)
      : server_(server),
        id_(id),
        stream_(server.loop_, *this),
        since_(server.loop_.Now()),
        quiet_since_(since_) {}

  int Begin(uv_os_sock_t descriptor) {  // owned from here on
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
  bool Quiet() const {
    return !lingering_ && reader_.between_commands() && OwesNothing() && stream_.unread() == 0;
  }

  // The node closes it between requests. Its end goes ahead of the close: what the client has sent meanwhile
  // is read and dropped, so that it finds an orderly end and no reset that could cost it its last reply.
  void Depart(ClientEnd end = ClientEnd::kStopping) {
    leaving_ = true;
    stream_.StopReading();
    Linger(end);
  }

  // How readily it gives way to a new client, most readily first; none: not at all.
  std::optional<int> GivesWay(Micros now) const {
    if (lingering_) return 0;
    if (!OwesNothing()) return std::nullopt;
    const bool moving = now - quiet_since_ < resp::kGivesWay;
    if (!reader_.between_commands()) return moving ? std::nullopt : std::optional(3);
    if (asked()) return turned_away_ ? 1 : 4;
    return now - quiet_since_ < resp::kNewcomer ? 5 : 2;
  }
  bool unread() const { return stream_.unread() > 0; }
  bool lingering() const { return lingering_; }

  // Ends what has lasted too long in its state. May destroy nothing but itself.
  void Sweep(Micros now, bool room_wanted) {
    const Micros quiet = now - quiet_since_;
    if (lingering_) {
      if (quiet >= (linger_end_ == ClientEnd::kTurnedAway ? resp::kLinger : resp::kDepart))
        server_.Drop(id_, linger_end_);
    } else if (stream_.unwritten() > 0) {
      if (quiet >= resp::kUntaken) server_.Drop(id_, ClientEnd::kUntaken);
    } else if (!OwesNothing() || leaving_) {
      return;  // the node's own duty
    } else if (!reader_.between_commands()) {
      const bool late = quiet >= resp::kStalled || now - command_since_ >= resp::kCommand;
      if (late && !unread()) Leave("the command did not end in time");
    } else if (quiet >= (asked() ? resp::kQuiet : resp::kSilent) && (room_wanted || !asked()) && !unread()) {
      Depart(asked() ? ClientEnd::kQuiet : ClientEnd::kSilent);
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
      if (discarded_ > resp::kMostDiscarded) stream_.StopReading();
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
    server_.Drop(id_, lingering_ ? linger_end_ : end);
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

  void Linger(ClientEnd end) {
    lingering_ = true;
    linger_end_ = end;
    quiet_since_ = server_.loop_.Now();
    if (stream_.EndSending() != 0 || stream_.StartReading() != 0) server_.Drop(id_, ClientEnd::kBroke);
  }

  void CountUnread(std::size_t bytes) {
    server_.unread_bytes_ += bytes;
    server_.unread_bytes_ -= std::exchange(unread_, bytes);
  }

  void Run(const std::vector<std::string>& command) {
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

  bool OwesNothing() const { return replies_.empty() && backlog_.empty() && stream_.unwritten() == 0; }

  bool Congested() const {
    return leaving_ || stream_.unwritten() > resp::kMostUnwritten || replies_.size() > resp::kMostUnanswered;
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
    const bool out_was_empty = out.empty();
    if (!out.empty() && stream_.Write(std::move(out)) != 0) return server_.Drop(id_, ClientEnd::kBroke);
    if (leaving_ && !lingering_ && replies_.empty() && stream_.unwritten() == 0)
      return Linger(ClientEnd::kTurnedAway);
    if (server_.departing_ && !leaving_ && !out_was_empty && Quiet()) return Depart();
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
  ClientEnd linger_end_ = ClientEnd::kTurnedAway;
  bool reading_ = true, leaving_ = false, lingering_ = false, buried_ = false;
};

}  // namespace indigosaddle::net
