// Sends the platform notices of how messages ended: one batch at a time, repeated until it is accepted. Each
// request has a connection of its own to the agent on this machine, so stray bytes on it can't be taken for
// the response to another request. While the agent moves, both of its addresses are tried in turn.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_reader.h"
#include "net/loop.h"

namespace indigosaddle::net {

// The notice of one message, as one line of JSON.
struct NoticeLine {
  std::uint64_t serial = 0;  // of the message at this node
  std::string json;
};

// The JSON of a notice that the message with this id failed, or was returned. `retry_after`: how long the
// client should wait before it sends the message again; zero: not reported.
std::string FormatFailedNotice(const std::string& id);
std::string FormatReturnedNotice(const std::string& id, Micros retry_after);

// Sends batches of notices and repeats them after failures.
class Notices {
 public:
  // Receives the outcome. Must outlive this.
  class Handler {
   public:
    virtual ~Handler() = default;
    // The whole batch is done. `serials`: all messages of the batch.
    virtual void OnNoticesAccepted(const std::vector<std::uint64_t>& serials) = 0;
    // The platform can't read this notice. It is given up, as repeating it would not help.
    virtual void OnNoticeUnreadable(std::string_view line) = 0;
  };

  // `address`: ip:port of the platform's agent.
  Notices(Loop& loop, Handler& handler, std::string address);
  ~Notices();

  // Sends a batch. To be called only after the previous batch was accepted.
  void Post(std::vector<NoticeLine> lines);
  // Sends to another address from now on. A request in flight is repeated there: duplicates do no harm.
  // `fallback`: tried where the address does not accept a request, and the other way round; empty: none.
  void SetAddress(std::string address, std::string fallback = {});
  // Stops sending. Nothing is reported any more.
  void Close();

 private:
  // One request and its response, on a connection that carries nothing else.
  class Exchange;

  void Send();
  std::string NextRequest();
  void OnResponse(const HttpReader& response);
  void OnResponseTimeout();
  void Retry();
  void CloseExchange();

  Loop& loop_;
  Handler& handler_;
  std::string address_;   // of the next request
  std::string fallback_;  // of the one after a failure; empty: the same
  std::vector<NoticeLine> lines_;
  std::vector<std::uint64_t> accepted_;  // of the present batch
  std::size_t lines_per_request_ = 0;    // of the request in flight
  std::unique_ptr<Exchange> in_flight_;
  std::vector<std::unique_ptr<Exchange>> closed_;  // deleted later: they may still be in a callback
  Timer response_timer_, retry_timer_, deletion_timer_;
  Micros retry_delay_, response_timeout_;
};

}  // namespace indigosaddle::net
