// The control socket: a Unix-domain socket for the operators' commands on the same machine. Each line is one
// JSON object, and each is answered with one line. The socket has mode 0600, and a peer that runs as another
// user (root excepted) is refused by its credentials.
//
// Limits: the number of connections, the bytes of a line, the requests of a peer without an answer, the time
// for a line, the time without a request, and the time for a peer to read answers. A peer that exceeds one is
// disconnected. The node's message delivery never waits for a peer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace indigosaddle::net {

// Listens on the control socket, passes each line to its handler and writes the answers.
class ControlServer {
 public:
  // Handles the requests. Must outlive the server.
  class Handler {
   public:
    virtual ~Handler() = default;
    // Must be answered by Answer, now or later; an answer to a peer that is gone is dropped. `line` is
    // without the line end.
    virtual void OnControlRequest(std::uint64_t peer, std::string_view line) = 0;
    // A new peer was refused, or a connected one sent a request that is too long or one too many; for the
    // log. `uid` is 0 for a connected peer, and where the system does not report the user.
    virtual void OnControlRefused(std::uint64_t uid, std::string_view reason) = 0;
  };

  static constexpr std::size_t kMaxPeers = 8;
  static constexpr std::size_t kMaxLineBytes = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxUnwrittenBytes = std::size_t{1024} * 1024;  // of answers to one peer

  ControlServer(Loop& loop, Handler& handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  // Returns the reason for a failure; empty on success. Replaces a socket file on which nobody listens.
  std::string Listen(const std::string& path);
  // Answers one request of the peer. `line` is without the line end.
  void Answer(std::uint64_t peer, std::string line);
  std::size_t peers() const { return peers_.size(); }

 private:
  class Peer;

  void Accept();
  void Drop(std::uint64_t peer);
  void DropOverdue();

  Loop& loop_;
  Handler& handler_;
  uv_pipe_t* listener_ = nullptr;  // closed and freed by the loop
  std::string path_;
  std::uint64_t last_peer_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  Timer sweep_timer_;
};

}  // namespace indigosaddle::net
