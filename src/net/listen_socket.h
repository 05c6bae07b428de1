// A listening TCP socket on the loop. Accepting is the owner's: it is told when somebody waits, and takes
// them one by one, so that it can make room first and that a process out of descriptors neither spins nor
// resets who waits (uv_listen does one of the two then).
#pragma once

#include <uv.h>

#include <functional>
#include <string>

#include "net/loop.h"

namespace indigosaddle::net {

class ListenSocket {
 public:
  ListenSocket(Loop& loop, std::function<void()> waiting) : loop_(loop), waiting_(std::move(waiting)) {}
  ~ListenSocket() { Close(); }
  ListenSocket(const ListenSocket&) = delete;
  ListenSocket& operator=(const ListenSocket&) = delete;

  // "ip:port"; a negative code where it can't be had. Other processes may listen on the same address.
  int Listen(const std::string& address, int backlog);
  bool open() const { return poll_ != nullptr; }
  std::string address() const;  // as bound; empty while closed

  // The next who waits, as a descriptor of the caller's; UV_EAGAIN: nobody; else why none could be taken.
  int Accept();
  void Pause();   // says nothing more until Resume; who comes waits in the system's queue
  void Resume();  // says at once if somebody waits
  // The system completes no further connection for this socket; those in its queue can still be accepted.
  void RefuseNew();
  void Close();  // resets who still waits: RefuseNew, then accept them first

 private:
  struct Poll {
    uv_poll_t handle{};
    ListenSocket* owner = nullptr;
  };

  Loop& loop_;
  std::function<void()> waiting_;
  Poll* poll_ = nullptr;  // closed and freed by the loop
  int descriptor_ = -1;
};

}  // namespace indigosaddle::net
