// One connection of a client, a part of RespServer (resp_server.cpp): reads commands, keeps replies in order,
// and ends in one of the ways of ClientEnd. Every state has its end (docs/architecture.md).
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/resp_limits.h"
#include "net/resp_server.h"

namespace indigosaddle::net {

class RespServer::Connection : public Stream::Listener {
 public:
  Connection(RespServer& server, std::uint64_t id);

  int Begin(uv_os_sock_t descriptor);  // owned from here on
  void Bury();                         // what still comes before it is destroyed counts for nothing

  std::uint64_t id() const { return id_; }
  Micros quiet_since() const { return quiet_since_; }
  Micros since() const { return since_; }
  std::uint64_t commands() const { return last_command_; }
  bool asked() const { return last_command_ > 0; }
  bool unread() const { return stream_.unread() > 0; }
  bool Gone() const { return stream_.has_unread_end(); }
  // It has its end: nothing is read from it any more but to be dropped.
  bool lingering() const { return lingering_; }
  bool Quiet() const;

  // The node closes it between requests. Its end goes ahead of the close: what the client has sent meanwhile
  // is read and dropped, so that it finds an orderly end and no reset that could cost it its last reply.
  void Depart(ClientEnd end = ClientEnd::kStopping);
  // The node takes nothing on any more: see RespServer::Refuse.
  void Refuse(RefusalPace pace);
  // It has come just now and has not asked yet.
  bool Newcomer() const;
  // Reads and drops what has come, so that a close finds nothing unread.
  void DiscardInput() { stream_.DiscardInput(); }

  // How readily it gives way to a new client, most readily first; none: not at all.
  std::optional<int> GivesWay(Micros now) const;
  // Ends what has lasted too long in its state. May destroy nothing but itself.
  void Sweep(Micros now, bool room_wanted);
  void Reply(std::uint64_t command, std::string line);

 private:
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnDrained() override;

  void Follow();
  void Run(const std::vector<std::string>& command);
  void Leave(std::string last_reply, ClientEnd end);
  void Linger(ClientEnd end);
  void CountUnread(std::size_t bytes);
  bool OwesNothing() const { return replies_.empty() && backlog_.empty() && stream_.unwritten() == 0; }
  bool Congested() const;
  void Pace();
  void Flush();
  void Resume();

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
