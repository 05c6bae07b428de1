// One connection of a client, a part of RespServer (resp_server.cpp): reads commands, writes the replies in
// order, and ends for one of the reasons of ClientCloseReason. Each of its states is bounded in time
// (docs/architecture.md).
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

  // Takes over the descriptor of an accepted connection. Returns 0, or a negative libuv error code.
  int Begin(uv_os_sock_t descriptor);
  // Ignores whatever still arrives before this is destroyed.
  void Detach();

  std::uint64_t id() const { return id_; }
  // Time of the latest byte or reply.
  Micros last_activity_at() const { return last_activity_at_; }
  Micros accepted_at() const { return accepted_at_; }
  // Number of commands received.
  std::uint64_t commands() const { return last_command_; }
  bool has_sent_command() const { return last_command_ > 0; }
  bool has_unread() const { return stream_.unread() > 0; }
  PeerState peer_state() const { return stream_.peer_state(); }
  // Its end was sent: what still arrives is read and dropped.
  bool lingering() const { return lingering_; }
  // Between two commands, with no reply pending and nothing unread.
  bool Idle() const;

  // Closes it between two commands. The sending direction is ended first, and what the client has sent
  // meanwhile is read and dropped: the client gets an orderly end, and not a reset that could destroy its
  // last reply.
  void Disconnect(ClientCloseReason reason = ClientCloseReason::kStopping);
  // See RespServer::RejectClients.
  void Reject(RejectMode mode);
  // Accepted a short while ago, and has not sent anything yet.
  bool JustAccepted() const;
  // Reads and drops what has arrived, so that a close finds nothing unread.
  void DiscardInput() { stream_.DiscardInput(); }

  // How early it is evicted for a new client: the lowest rank first. Empty: it must not be evicted.
  std::optional<int> EvictionRank(Micros now) const;
  // Ends it if it has stayed too long in its state. `slots_wanted`: idle connections are closed too. Destroys
  // nothing but this.
  void CloseIfOverdue(Micros now, bool slots_wanted);
  // Answers the command with this number.
  void Reply(std::uint64_t command, std::string line);

  const ClientBytes& held() const { return held_; }
  // Ends it with an error, as too much memory is held.
  void CloseForMemory();
  // Stops reading if it must pause; otherwise goes on with what was read.
  void PauseOrResume();

 private:
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnDrained() override;

  // A command that was read and whose reply is not handed to the stream yet.
  struct PendingReply {
    std::optional<std::string> line;  // empty: the command is being executed
    std::size_t command_bytes = 0;    // of the heap, while it is being executed
  };

  // Executes the commands in the backlog as long as the limits on memory and replies allow it.
  void ProcessBacklog();
  void ExecuteBacklog();
  void Execute(const std::vector<std::string>& command);
  void SetReply(PendingReply& pending, std::string line);
  // Reads no more, and closes after the pending replies and this one.
  void CloseAfterReply(std::string last_reply, ClientCloseReason reason);
  // Ends the sending direction and waits for the client to close.
  void Linger(ClientCloseReason reason);
  // Frees what was received and not executed.
  void DropInput();
  // Reports what this holds to the server's ClientMemory.
  void UpdateHeldBytes();
  bool NothingPending() const { return replies_.empty() && backlog_.empty() && stream_.unwritten() == 0; }
  // No further command may be executed for now.
  bool MustPause() const;
  // It has executed as many commands as it may before the other connections have their turn. Not as the
  // clients are disconnected: then each is read as far as possible.
  bool PassIsOver() const;
  void CountCommand();
  void StartOrStopReading();
  // Writes the replies that are next in order.
  void Flush();

  RespServer& server_;
  const std::uint64_t id_;
  Stream stream_;
  RespReader reader_;
  std::string backlog_;                        // bytes that were read, but not processed yet
  std::deque<PendingReply> replies_;           // in the order asked; the last is for last_command_
  std::uint64_t last_command_ = 0, pass_ = 0;  // pass_: of the server, in which it executed the last one
  int commands_in_pass_ = 0;
  const Micros accepted_at_;
  Micros last_activity_at_, command_started_at_{0};  // latest byte or reply; present command's first byte
  ClientBytes held_;                                 // as reported to the server
  std::size_t executing_bytes_ = 0, reply_bytes_ = 0, discarded_bytes_ = 0;
  bool last_reply_was_error_ = false;
  ClientCloseReason linger_reason_ = ClientCloseReason::kErrorReply;
  bool reading_ = true, input_ended_ = false, closing_ = false, lingering_ = false, detached_ = false;
  bool executing_backlog_ = false;  // a reply that is given meanwhile must not begin it anew
};

}  // namespace indigosaddle::net
