// The event loop of a thread, and the libuv handles on it as owned objects: destroying one closes it.
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

// A libuv loop and its clock. The constructor throws std::runtime_error if libuv fails.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  void Run() { uv_run(&loop_, UV_RUN_DEFAULT); }
  void Stop() { uv_stop(&loop_); }

  // The loop's time. Steady; starts from the wall clock at construction, unless it is set.
  Micros Now() const;
  // Sets the time, which runs on from there. To be called before anything has read it.
  void SetTime(Micros now);

  // Shared buffer for all reads. Data passed to a callback is valid until the callback returns.
  std::array<char, 65536>& read_buffer() { return read_buffer_; }

 private:
  uv_loop_t loop_{};
  Micros time_origin_{0};
  std::uint64_t steady_origin_ = 0;
  std::array<char, 65536> read_buffer_{};
};

// A one-shot timer. Its callback may destroy it.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces an earlier start. Started within its own callback, it runs in a later pass of the loop.
  void Start(Micros after);
  void Stop();

 private:
  struct Handle {
    uv_timer_t timer{};
    Timer* owner = nullptr;
    bool in_callback = false;
  };
  Handle* handle_;
  std::function<void()> callback_;
};

// What the peer of a connection has done, whether or not that was read.
enum class PeerState : std::uint8_t {
  kOpen,
  kEnded,  // it has ended its sending; whether it still reads can't be known
  kGone,   // the connection is broken: nothing reaches the peer any more
};

// A TCP connection. Its callbacks may destroy it.
class Stream {
 public:
  // Receives the events of a stream.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnConnected(int /*error*/) {}
    virtual void OnBytes(std::string_view bytes) = 0;
    // The stream ended (UV_EOF) or broke (another negative libuv error code). The last callback.
    virtual void OnEnd(int error) = 0;
    // All that was written was handed to the system.
    virtual void OnDrained() {}
  };

  Stream(Loop& loop, Listener& listener);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // The following return 0, or a negative libuv error code.
  // Before Connect: connects from the IP of `address`, with a port that the system chooses.
  int BindLocal(const sockaddr_storage& address);
  // Begins to connect to "ip:port".
  int Connect(const std::string& address);
  int Accept(uv_stream_t* server);
  // Takes over an accepted connection, which it owns from here on, also after an error.
  int Open(uv_os_sock_t descriptor);
  int StartReading();
  void StopReading();
  // Most bytes that one OnBytes passes; without a call, what the loop's read buffer holds.
  void LimitReads(std::size_t bytes);
  // Takes over the bytes. Fails if the connection is known to be broken.
  int Write(std::string bytes);
  // Ends the sending direction after what was written, at once if all of that has left.
  int HalfClose();

  // Reads and drops what has arrived.
  void DiscardInput();
  // Closes at once. No callback comes any more; the object may be kept.
  void Close();
  // As Close, and resets the connection, so that nothing that has not left yet is sent any more.
  void Abort();

  // Whether something that was written has not yet reached the peer's system.
  bool undelivered() const;
  // Bytes that were not handed to the system yet.
  std::size_t unwritten() const;
  // Bytes that have arrived and were not read.
  std::size_t unread() const;
  // An end is seen behind unread bytes, too.
  PeerState peer_state() const;
  // Whether the connection is open and nothing lies unread on it.
  bool open_and_quiet() const;
  // Returns false if there is no peer.
  bool PeerAddress(sockaddr_storage& address) const;

 private:
  struct Handle;
  struct Pending;

  Handle* handle_;
  Listener& listener_;
};

// For the callback of a timeout. A loop runs its timers before its reads, so after a stall the data that was
// awaited may have arrived already. If bytes lie unread on the stream, restarts the timer to run after they
// are read, and returns true.
bool RestartIfUnread(Timer& timer, const Stream& stream);

}  // namespace indigosaddle::net
