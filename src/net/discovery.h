// The client of discovery: reads the list of endpoints whole once, then follows its changes by a watch. A
// watch that ends or gets no data in time is replaced by a new one. Every update is passed on at once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "brain/list_validity.h"
#include "net/backoff.h"
#include "net/http_reader.h"
#include "net/loop.h"
#include "net/member_list.h"

namespace indigosaddle::net {

// Keeps one request to discovery open or scheduled, each on a connection of its own.
class DiscoveryClient : private Stream::Listener {
 public:
  // Receives the updates.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnMembers(MemberListUpdate update) = 0;
    // A complete line or list arrived and could be read. Comes after the update that it held, if any.
    virtual void OnListConfirmed() = 0;
    // The watch or a request failed; the next request is already scheduled.
    virtual void OnWatchLost(std::string_view reason, const ListRequestFailure& failure) = 0;
  };

  // `address`: ip:port of discovery. `seed`: of all random delays. The handler must outlive this.
  DiscoveryClient(Loop& loop, Handler& handler, std::string address, const RequestPacing& pacing,
                  std::uint64_t seed);

  // Starts with the first request. `held_version`: version of the list that the node holds already, so that
  // only later changes are asked for.
  void Start(std::optional<std::uint64_t> held_version = std::nullopt);
  // Sends a request if none is open or scheduled.
  void Renew();
  // Sends the scheduled request as soon as the first one after a start, whatever failed before. Does nothing
  // while a request or a watch is open.
  void RequestSoon();

 private:
  void SendRequest();
  void ScheduleRequest(Micros delay);
  void OnConnected(int error) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnBody(std::string_view bytes);
  void OnResponseTimeout();
  // How a watch or a request failed.
  enum class Failure : std::uint8_t {
    kEnded,       // the connection was closed by discovery, or broke
    kMalformed,   // unreadable or not what was asked for
    kTimedOut,    // no data in time, after an update had come
    kNoResponse,  // not reached, or no update at all in time
    kRefused,     // a status other than 200
  };
  void OnFailure(std::string_view reason, Failure failure = Failure::kEnded);
  ListFailure ListFailureOf(Failure failure) const;
  void CloseStream();
  void OnConfirmed();
  void HandleUpdate(std::string_view json);

  Loop& loop_;
  Handler& handler_;
  std::string address_;
  HttpReader reader_;
  std::unique_ptr<Stream> stream_, closed_stream_;  // the closed one may still be in one of its callbacks
  std::string text_;  // the object of a watch, or the whole list, as far as it has arrived
  std::optional<std::uint64_t> version_;  // none: the next request is for the whole list
  Timer response_timer_, request_timer_;
  const Micros initial_jitter_;
  Backoff failure_backoff_, refusal_backoff_;
  JsonNesting nesting_;  // of text_, while a watch is read
  Micros requested_at_{0};
  bool watching_ = false, request_scheduled_ = false;
  bool connected_ = false, head_received_ = false;
  bool body_received_ = false;    // a part of a response's body, or a whole response, came on this connection
  bool update_received_ = false;  // a complete line or list came on this connection
  const Micros initial_response_timeout_;
  Micros response_timeout_;  // of a request until its response's head has arrived
};

}  // namespace indigosaddle::net
