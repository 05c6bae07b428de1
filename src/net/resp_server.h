// The server that clients enqueue messages at: accepts connections, reads commands, and writes the replies in
// the order of the commands.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "brain/lifecycle.h"
#include "net/client_memory.h"
#include "net/listen_socket.h"
#include "net/loop.h"
#include "net/resp.h"

namespace indigosaddle::net {

// Why a client's connection ended: all possible reasons. docs/architecture.md has the table of states.
enum class ClientCloseReason : std::uint8_t {
  kClientClosed,      // the client closed it
  kConnectionBroken,  // a reset, or a failed write
  kNoCommand,         // no command came in time after accept
  kIdle,              // idle between two commands while slots were wanted
  kRepliesUnread,     // the client did not read its replies in time
  kErrorReply,        // an error after which the stream can't be read on
  kEvicted,           // its slot went to a new client
  kStopping,          // the node disconnects its clients
  kRejected,          // intake ended within a command
};
constexpr std::size_t kClientCloseReasons = static_cast<std::size_t>(ClientCloseReason::kRejected) + 1;
// The reason's name in the log and the status.
std::string_view NameOf(ClientCloseReason reason);

// How the connections of clients are ended once intake has ended.
enum class RejectMode : std::uint8_t {
  kReadPending,  // unread commands are read and answered first, and a client just accepted may send one
  kStopReading,  // the same for clients that have not sent a command yet; no others are read any more
  kCloseAll,     // all connections end, whether or not their replies are read
};

// Owns the listening socket and the clients' connections.
class RespServer {
 public:
  // Executes the commands. Must outlive the server.
  class Handler {
   public:
    virtual ~Handler() = default;
    // Must be answered by Reply, unless the connection closes first.
    virtual void OnEnqueue(std::uint64_t connection, std::uint64_t command, Enqueue enqueue) = 0;
    // A connection ended. `commands`: number of its commands; `lasted`: time since it was accepted.
    virtual void OnClientClosed(std::uint64_t connection, ClientCloseReason reason, std::uint64_t commands,
                                Micros lasted) = 0;
    // Whether the action is allowed now; asked just before each accept, read and close.
    virtual bool May(Action action) = 0;
    // The action is being done.
    virtual void Did(Action action) = 0;
  };

  struct Limits {
    std::size_t connections = 0;
    std::size_t held_bytes = 0;  // of commands and replies, on all connections together
  };

  RespServer(Loop& loop, Handler& handler, Limits limits);
  ~RespServer();
  RespServer(const RespServer&) = delete;
  RespServer& operator=(const RespServer&) = delete;

  // Listens on "ip:port". Returns 0, or a negative libuv error code.
  int Listen(const std::string& address);
  std::string address() const { return listener_.address(); }
  // Whether this process, where it is the first to listen on the address, gets all connections.
  bool directs_connections() const { return listener_.directs_connections(); }
  bool listening() const { return listener_.open(); }
  // While paused, new clients wait in the system's queue.
  void PauseAccepting();
  void ResumeAccepting();
  // From now on the process that was the second to listen on the address gets the new clients; then the same
  // as StopListening.
  bool HandOverListening();
  // Stops listening. Clients that connected before this call are still served. Returns false if some of them
  // can't be accepted yet: the call must then be repeated.
  bool StopListening();
  // Connections that are open already are not closed.
  void SetLimits(Limits limits) { limits_ = limits, memory_.SetLimit(limits.held_bytes); }
  // Answers a command. Ignored if its connection is closed.
  void Reply(std::uint64_t connection, std::uint64_t command, std::string line);
  // What the client has done, whether or not that was read. kGone where the connection is closed.
  PeerState StateOf(std::uint64_t connection) const;
  // Closes the connections that are idle between two commands, and from now on each other one after its next
  // reply. Clients that have not sent a command yet are included only if `all`, and once they had time to.
  // Returns true when no connection is left.
  bool DisconnectIdle(bool all);
  // Intake has ended: each client gets the answers to the commands that it has sent completely, `-BUSY` if it
  // is within a command, and is disconnected. Returns true when all connections are closed or lingering.
  bool RejectClients(RejectMode mode);
  // Closes the listener and all connections, after reading what lies unread on them, so that none is reset.
  // Nothing is reported to the handler.
  void Close();
  std::size_t connections() const { return connections_.size(); }
  // What the connections hold together.
  const ClientBytes& held_bytes() const { return memory_.sum(); }
  // While not ready, PING is answered with an error, so that a front (a proxy that spreads clients over the
  // nodes) moves its clients to other nodes.
  void SetReady(bool ready) { ready_ = ready, disconnecting_ &= !ready; }

 private:
  class Connection;

  void AcceptPending();
  bool AcceptOne();
  void AcceptLater();
  bool EvictOne();
  void CloseOverdue();
  // Closes connections that hold too much, and pauses all of them while too much is being executed.
  void LimitMemory();
  // Lets paused connections go on in the next pass of the loop.
  void ResumeLater() { resume_timer_.Start(Micros(0)); }
  void ResumeConnections();
  void CloseConnection(std::uint64_t connection, ClientCloseReason reason);

  Loop& loop_;
  Handler& handler_;
  Limits limits_;
  ClientMemory memory_;
  ListenSocket listener_;
  bool accept_paused_ = false;
  bool accept_postponed_ = false;  // clients may be pending that could not be accepted
  bool ready_ = true, disconnecting_ = false;
  std::uint64_t last_connection_ = 0, last_resumed_ = 0;
  std::uint64_t pass_ = 1;  // counts how often paused connections went on
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::list<std::unique_ptr<Connection>> closed_;  // deleted later: they may still be in a callback
  Timer deletion_timer_, accept_timer_, sweep_timer_, resume_timer_;
};

}  // namespace indigosaddle::net
