// A listening TCP socket on the loop. It reports that connections are pending, and its owner accepts them one
// by one. So the owner can first close another connection to free a slot. And a process without free
// descriptors neither loops busily nor resets pending connections; with uv_listen it would do one of these.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <string>

#include "net/loop.h"

namespace indigosaddle::net {

class ListenSocket {
 public:
  // `on_pending` is called while connections are pending.
  ListenSocket(Loop& loop, std::function<void()> on_pending)
      : loop_(loop), on_pending_(std::move(on_pending)) {}
  ~ListenSocket() { Close(); }
  ListenSocket(const ListenSocket&) = delete;
  ListenSocket& operator=(const ListenSocket&) = delete;

  // Listens on "ip:port". Returns 0, or a negative libuv error code. Other processes may listen on the same
  // address; the first of them gets all connections.
  int Listen(const std::string& address, int backlog);
  bool open() const { return poll_ != nullptr; }
  // The address that it listens on; empty while closed.
  std::string address() const;

  // Which of the processes that listen on the address gets the connections that come from now on.
  enum class Receiver : std::uint8_t { kFirstListener, kSecondListener };
  // Sets the receiver for all of them, and where there is only one, it gets them all. Otherwise the system
  // distributes connections over all of them. Returns false if the system can't do this.
  bool DirectConnectionsTo(Receiver receiver);
  // Whether Listen directed connections to the first listener.
  bool directs_connections() const { return directs_connections_; }

  // Accepts the next pending connection and returns its descriptor, which the caller owns. UV_EAGAIN: none is
  // pending. Otherwise a negative libuv error code.
  int Accept();
  // Stops reporting until Resume; new connections wait in the system's queue.
  void Pause();
  // Reports again, at once if connections are pending.
  void Resume();
  // The system completes no further connection for this socket; those in its queue can still be accepted.
  void RefuseNew();
  // Closes the socket and so resets pending connections. To avoid that, call RefuseNew and accept them first.
  void Close();

 private:
  struct Poll {
    uv_poll_t handle{};
    ListenSocket* owner = nullptr;
  };

  Loop& loop_;
  std::function<void()> on_pending_;
  Poll* poll_ = nullptr;  // closed and freed by the loop
  int descriptor_ = -1;
  bool directs_connections_ = false;
};

}  // namespace indigosaddle::net
