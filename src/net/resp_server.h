// Where clients hand messages in: accepts connections, reads commands, writes replies in the order asked.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "brain/lifecycle.h"
#include "net/listen_socket.h"
#include "net/loop.h"
#include "net/resp.h"

namespace indigosaddle::net {

// Every way in which a client's connection can end; docs/architecture.md has the table of states.
enum class ClientEnd : std::uint8_t {
  kLeft,        // the client closed it
  kBroke,       // a reset, or a write that failed
  kSilent,      // nothing was sent on it in time
  kQuiet,       // between commands, while its place was wanted
  kUntaken,     // replies that the client did not read
  kTurnedAway,  // after an error that its stream can't be followed past
  kGaveWay,     // its place went to a new client
  kStopping,    // the node stops
  kRefused,     // within a command, as the node stops
};
constexpr std::size_t kClientEnds = static_cast<std::size_t>(ClientEnd::kRefused) + 1;
std::string_view NameOf(ClientEnd end);

// How a node that takes nothing on any more ends its clients' connections.
enum class RefusalPace : std::uint8_t {
  kReadFirst,  // what lies unread is read and answered first, and who has just come may ask
  kOutOfTime,  // the same for who has not asked yet; who has, and goes on sending, is read no further
  kLastCall,   // everyone, whether or not replies are taken
};

class RespServer {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    // Must be answered by Reply, unless the connection goes first.
    virtual void OnEnqueue(std::uint64_t connection, std::uint64_t command, Enqueue enqueue) = 0;
    // `commands`: that it sent; `lasted`: since it was accepted.
    virtual void OnClientGone(std::uint64_t connection, ClientEnd end, std::uint64_t commands,
                              Micros lasted) = 0;
    // Asked just before each admission, read and close; told as it is done.
    virtual bool May(Action action) = 0;
    virtual void Did(Action action) = 0;
  };

  struct Limits {
    std::size_t connections = 0;
    std::size_t unread_bytes = 0;  // of commands not yet followed, on all connections together
  };

  RespServer(Loop& loop, Handler& handler, Limits limits);
  ~RespServer();
  RespServer(const RespServer&) = delete;
  RespServer& operator=(const RespServer&) = delete;

  int Listen(const std::string& address);  // a negative code where that fails
  std::string address() const { return listener_.address(); }
  // Who has connected by then is served still. False: some of them can't be accepted yet; to be called again.
  bool StopListening();
  void SetLimits(Limits limits) { limits_ = limits; }  // connections that stand are not cut
  void Reply(std::uint64_t connection, std::uint64_t command, std::string line);
  bool Gone(std::uint64_t connection) const;  // closed by the client, read or not
  // Closes connections that stand between requests and have nothing unread, and from then on each with its
  // next reply; those that asked nothing yet only where `all`, and once they had time to. True when none is
  // left.
  bool CloseQuiet(bool all);
  // Intake is over: each connection gets an answer to what it has sent whole, `-BUSY` where it is within a
  // command, and its end. True when each has its end.
  bool Refuse(RefusalPace pace);
  // Closes the listener and every connection, with nothing unread on them. Nothing is told to the handler.
  void Close();
  std::size_t connections() const { return connections_.size(); }
  // While false, PING is answered with an error: a front that asks moves its clients elsewhere.
  void SetReady(bool ready) { ready_ = ready, departing_ &= !ready; }

 private:
  class Connection;

  void Admit();
  bool AdmitOne();
  void AdmitLater();
  bool MakeRoom();
  void Sweep();
  void Drop(std::uint64_t connection, ClientEnd end);

  Loop& loop_;
  Handler& handler_;
  Limits limits_;
  std::size_t unread_bytes_ = 0;
  ListenSocket listener_;
  bool waiting_ = false;  // a client that there was no room for, or perhaps several
  bool ready_ = true, departing_ = false;
  std::uint64_t last_connection_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::list<std::unique_ptr<Connection>> buried_;  // may still be in one of their callbacks
  Timer bury_, admit_, sweep_;
};

}  // namespace indigosaddle::net
