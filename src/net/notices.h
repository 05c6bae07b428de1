// Tells the platform how messages ended: one batch at a time, again until it is answered. Each post has a
// connection of its own, to this machine's agent: whatever else comes on it has nobody to reach.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_reader.h"
#include "net/loop.h"

namespace indigosaddle::net {

struct NoticeLine {
  std::uint64_t serial = 0;
  std::string json;
};

std::string FormatFailed(const std::string& id);
std::string FormatReturned(const std::string& id, Micros not_before);

class Notices {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnNoticesTaken(const std::vector<std::uint64_t>& serials) = 0;
    virtual void OnNoticeUnreadable(std::string_view line) = 0;  // given up: it would never be read
  };

  Notices(Loop& loop, Handler& handler, std::string address);
  ~Notices();

  void Post(std::vector<NoticeLine> lines);  // only after the last batch was taken
  void Move(std::string address);            // what is out is posted again there: that does no harm
  void Close();

 private:
  // One post and its answer, on a connection that carries nothing else.
  class Exchange;

  void Send();
  std::string NextPost();
  void Answered(const HttpReader& answer);
  void OutOfPatience();
  void Again();
  void Drop();

  Loop& loop_;
  Handler& handler_;
  std::string address_;
  std::vector<NoticeLine> lines_;
  std::vector<std::uint64_t> taken_;  // of the present batch
  std::size_t at_once_ = 0;           // of the lines, in the request that is out
  std::unique_ptr<Exchange> out_;
  std::vector<std::unique_ptr<Exchange>> buried_;  // silent, but may still be in one of their callbacks
  Timer patience_, again_, bury_;
  Micros pause_, patient_for_;
};

}  // namespace indigosaddle::net
