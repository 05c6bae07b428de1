// The one loop of the node, and the handles on it as owned objects: destroying one closes it.
#pragma once

#include <uv.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "brain.h"
#include "net/address.h"

namespace indigosaddle::net {

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  void Run() { uv_run(&loop_, UV_RUN_DEFAULT); }
  void Stop() { uv_stop(&loop_); }

  // The loop's time: steady. It begins at the wall clock of when the loop was made, unless it is set.
  Micros Now() const;
  void SetTime(Micros now);  // before anything has read it; runs on from there

  // Where reads land; what a callback is given is valid until it returns.
  std::array<char, 65536>& read_buffer() { return read_buffer_; }

 private:
  uv_loop_t loop_{};
  Micros time_origin_{0};
  std::uint64_t steady_origin_ = 0;
  std::array<char, 65536> read_buffer_{};
};

class Timer {
 public:
  Timer(Loop& loop, std::function<void()> due);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(
      Micros after);  // replaces an earlier start; from within what it does, a later pass at the soonest
  void Stop();

 private:
  struct Handle {
    uv_timer_t timer{};
    Timer* owner = nullptr;
    bool due = false;  // its owner is at what it does
  };
  Handle* handle_;
  std::function<void()> due_;
};

// A TCP connection. Its callbacks may destroy it.
class Stream {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnConnected(int /*error*/) {}
    virtual void OnBytes(std::string_view bytes) = 0;
    virtual void OnEnd(int error) = 0;  // UV_EOF or what broke it; the last callback
    virtual void OnDrained() {}         // all that was written is with the system
  };

  Stream(Loop& loop, Listener& listener);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int ComeFrom(
      const sockaddr_storage& address);     // before Connect: from its ip, a port of the system's choice
  int Connect(const std::string& address);  // "ip:port"; a negative code where it can't begin
  int Accept(uv_stream_t* server);
  int Open(uv_os_sock_t descriptor);  // a connection that was accepted already; owned from here on
  int StartReading();
  void StopReading();
  int Write(std::string bytes);  // a negative code where the connection is known to be broken
  int EndSending();              // after what was written, at once where all of that has left
  void Discard();                // reads and drops what has come
  void Close();                  // at once; no callback comes any more, and the object may be kept
  void Abort();                  // the same, and nothing that has not left yet does so any more
  bool undelivered() const;      // what was written has not wholly arrived at the other side's system
  std::size_t unwritten() const;
  std::size_t unread() const;                         // bytes that have come and were not read
  bool ended_unread() const;                          // the other side has closed, which was not read yet
  bool silent() const;                                // open, and nothing lies unread
  bool PeerAddress(sockaddr_storage& address) const;  // false where there is none

 private:
  struct Handle;
  struct Pending;

  Handle* handle_;
  Listener& listener_;
};

// For what a timer is about to give up: the loop's timers come before its reads, so a node that was held up
// reads first. True where bytes lie unread on the stream: the timer then comes once more behind them.
bool ReadFirst(Timer& timer, const Stream& stream);

}  // namespace indigosaddle::net
